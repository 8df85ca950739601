//! Configuration reload, rollback, dry run, trial and saved state of the built gateway program, also under load,
//! against fakes on loopback sockets.

mod fakes;
use fakes::*;
use serde_json::{Value, json};
use std::{
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
};

fn setup(workers: &[&Worker]) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(workers);
    setup.has_admin_api = true;
    (setup, discovery)
}

fn json_body(message: &Message) -> Value {
    serde_json::from_slice(&message.body).expect("JSON")
}

fn report(node: &Node) -> Value {
    node.report("config")
}

/// Number of the configuration version in force.
fn version_number(node: &Node) -> u64 {
    report(node)["version"]["number"].as_u64().expect("a number")
}

/// Reloads `setup` and waits until it is applied or rejected; returns the configuration report.
fn reload(node: &Node, setup: &NodeSetup) -> Value {
    node.reload(&setup.config().to_string());
    wait_for_reload(node)
}

/// Waits until the log tells the result of a reload; returns the configuration report.
fn wait_for_reload(node: &Node) -> Value {
    loop {
        let line = node.log.recv_timeout(LIMIT).expect("the result of the reload");
        if line.contains("configuration reloaded")
            || line.contains("configuration rejected, the present one stays in force")
        {
            return report(node);
        }
    }
}

fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "Slo": 20.0, "Deadline": 30.0})
}

/// A GET request of the class.
fn class_request(class: &str, txn: &str) -> ClientRequest {
    let mut request = ClientRequest::new(txn).with_header("X-Lane", class);
    request.line = format!("GET /{class} HTTP/1.1");
    request
}

#[test]
fn each_change_and_rollback_gets_a_new_version_number_and_rollbacks_go_back_step_by_step() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let first = report(&node);
    assert_eq!((&first["version"]["number"], &first["version"]["by"]), (&json!(1), &json!("start")));
    assert_eq!(first["version"]["sha256"].as_str().map(str::len), Some(64));
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 409, "there is no earlier version");
    node.wait_for_log("configuration rejected, the present one stays in force");
    for max_attempts in [2, 3] {
        setup.settings["Limits"]["SendCap"] = json!(max_attempts);
        let result = reload(&node, &setup);
        assert_eq!(
            (&result["version"]["number"], &result["version"]["by"]),
            (&json!(max_attempts), &json!("signal"))
        );
    }
    let result = reload(&node, &setup);
    assert_eq!(
        (version_number(&node), &result["last_attempt"]["unchanged"]),
        (3, &json!(true)),
        "an unchanged file gives no new version"
    );
    for (version, next_target) in [(4, json!(1)), (5, Value::Null)] {
        let rollback = node.admin_call("POST /control/config/rollback");
        assert_eq!(rollback.status(), 200);
        let result = json_body(&rollback);
        assert_eq!(
            (&result["version"]["number"], &result["version"]["by"]),
            (&json!(version), &json!("way_back"))
        );
        assert_eq!(result["way_back"], next_target);
    }
    let last = report(&node);
    assert_eq!(
        last["version"]["sha256"], first["version"]["sha256"],
        "the first configuration is in force again"
    );
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 409);
    assert_eq!(node.request(&ClientRequest::new("a")).status(), 200);
}

#[test]
fn a_rollback_that_cannot_be_applied_in_full_is_rejected_as_a_whole() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, first) = setup(&[&worker]);
    let node = setup.start();
    let assert_rejected = |key: &str| {
        let before = version_number(&node);
        let result = node.admin_call("POST /control/config/rollback");
        assert_eq!(result.status(), 409, "{key}");
        let result = json_body(&result);
        let errors = result["last_attempt"]["errors"].as_array().expect("a list").clone();
        assert!(errors.iter().any(|e| e["path"].as_str().is_some_and(|p| p.starts_with(key))), "{errors:?}");
        assert_eq!(version_number(&node), before, "no part of the rollback is applied");
        node.wait_for_log("configuration rejected, the present one stays in force");
    };
    // A class that no request has used can be rolled back; a class in use can't.
    setup.settings["Classes"] =
        json!([setup.settings["Classes"][0], setup.settings["Classes"][1], class("extra", "idempotent")]);
    reload(&node, &setup);
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 200);
    assert_eq!(node.request(&class_request("extra", "x")).status(), 400);
    reload(&node, &setup);
    assert_eq!(node.request(&class_request("extra", "y")).status(), 200);
    assert_rejected("settings.Classes.extra");
    assert_eq!(node.request(&class_request("extra", "z")).status(), 200);
    // An added plan can't be rolled back, whether used or not.
    let plan = json!({"Name": "extra", "QuotaRate": 0.0, "Depth": 0.0});
    setup.settings["Plans"].as_array_mut().expect("a list").push(plan);
    reload(&node, &setup);
    assert_eq!(node.request(&ClientRequest::new("p").with_header("X-Plan", "extra")).status(), 200);
    assert_rejected("settings.Plans");
    // A rollback can't restore an address that is no longer used; a reload of a file can.
    let second = Discovery::start(&setup.initial_servers);
    setup.discovery = second.addr;
    reload(&node, &setup);
    second.wait_for_watch_from(1);
    assert_rejected("discovery");
    setup.discovery = first.addr;
    assert_eq!(
        reload(&node, &setup)["last_attempt"]["errors"],
        json!([]),
        "a reload may restore the address"
    );
    assert_eq!(node.request(&ClientRequest::new("q")).status(), 200);
}

#[test]
fn a_dry_run_reports_the_changes_and_applies_none() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let old = setup.config().to_string();
    setup.settings["Limits"]["SendCap"] = json!(2);
    setup.max_sockets = 300;
    node.replace_config(&setup.config().to_string());
    let result = node.admin_call("POST /control/config/check");
    assert_eq!(result.status(), 200);
    let result = json_body(&result);
    assert_eq!(result["plan"]["waits"], json!(["limits"]));
    let paths: Vec<&str> = result["plan"]["changes"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|c| c["path"].as_str())
        .collect();
    assert_eq!(paths, ["limits.sockets", "settings.Limits.SendCap"]);
    node.replace_config("{\"name\": 5, \"name\": 6}");
    let result = node.admin_call("POST /control/config/check");
    assert_eq!((result.status(), &json_body(&result)["ok"]), (409, &json!(false)));
    assert_eq!(
        (version_number(&node), &report(&node)["last_attempt"]),
        (1, &Value::Null),
        "neither file was applied"
    );
    assert_eq!(node.admin_status("GET /control/config/check"), 405);
    assert_eq!(node.admin_status("POST /control/config"), 405);
    // The same checks on the command line, without a running gateway.
    let folder = create_temp_folder();
    let (a, b) = (folder.join("a.json"), folder.join("b.json"));
    std::fs::write(&a, old).expect("a file");
    std::fs::write(&b, setup.config().to_string()).expect("a file");
    let run = |arguments: &[&std::ffi::OsStr]| {
        let output = Command::new(env!("CARGO_BIN_EXE_opalrun-gateway"))
            .args(arguments)
            .output()
            .expect("the program runs");
        (output.status.code(), String::from_utf8(output.stdout).expect("text"))
    };
    let (check, against) = ("--check".as_ref(), "--against".as_ref());
    let (code, text) = run(&[check, b.as_os_str(), against, a.as_os_str()]);
    let plan: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &plan["plan"]["waits"]), (Some(0), &json!(["limits"])));
    assert_eq!(run(&[check, a.as_os_str()]).0, Some(0));
    std::fs::write(&b, "{").expect("a file");
    assert_eq!(run(&[check, b.as_os_str()]).0, Some(1));
    assert_eq!(run(&[check, folder.as_os_str()]).0, Some(1));
    for invalid in [&[check][..], &["--what".as_ref()], &[check, a.as_os_str(), against]] {
        assert_eq!(run(invalid).0, Some(2));
    }
    std::fs::remove_dir_all(folder).expect("the test's folder");
}

#[test]
fn an_invalid_or_unreadable_file_leaves_the_old_configuration_in_force() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let good = setup.config().to_string();
    let path = node.config_path().to_owned();
    let assert_rejected = |case: &str, replace_file: &dyn Fn()| {
        replace_file();
        node.send_sighup();
        let result = wait_for_reload(&node);
        assert_ne!(result["last_attempt"]["errors"], json!([]), "{case}");
        assert_eq!(
            (version_number(&node), node.request(&ClientRequest::new(&format!("b{case}"))).status()),
            (1, 200),
            "{case}"
        );
    };
    let replace = |text: &str| std::fs::write(&path, text).expect("a file");
    let with = |at: &str, value: Value| {
        let mut config = setup.config();
        *config.pointer_mut(at).expect("a key") = value;
        config.to_string()
    };
    assert_rejected("empty", &|| replace(""));
    assert_rejected("truncated", &|| replace(&good[..good.len() / 2]));
    assert_rejected("not JSON", &|| replace("deadline = 5"));
    assert_rejected("NaN", &|| replace(&good.replacen("0.05", "NaN", 1)));
    assert_rejected("duplicate key", &|| {
        replace(&good.replacen("\"listen\"", "\"name\":\"n0\",\"listen\"", 1))
    });
    assert_rejected("deadline 0", &|| replace(&with("/settings/Classes/0/Deadline", json!(0))));
    assert_rejected("deadline below 0", &|| replace(&with("/settings/Classes/0/Deadline", json!(-1))));
    assert_rejected("deadline 1e308", &|| replace(&with("/settings/Classes/0/Deadline", json!(1e308))));
    assert_rejected("attempts 0", &|| replace(&with("/settings/Limits/SendCap", json!(0))));
    assert_rejected("wrong type", &|| replace(&with("/settings/Limits", json!([]))));
    assert_rejected("too long", &|| {
        std::fs::File::create(&path).and_then(|f| f.set_len(100 << 20)).expect("a sparse file");
    });
    assert_rejected("missing", &|| std::fs::remove_file(&path).expect("a file"));
    assert_rejected("folder", &|| std::fs::create_dir(&path).expect("a folder"));
    std::fs::remove_dir(&path).expect("a folder");
    assert_rejected("pipe", &|| {
        assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success())
    });
    std::fs::remove_file(&path).expect("a pipe");
    assert_rejected("link to itself", &|| std::os::unix::fs::symlink(&path, &path).expect("a link"));
    std::fs::remove_file(&path).expect("a link");
    replace(&good);
    node.send_sighup();
    assert_eq!(wait_for_reload(&node)["last_attempt"]["unchanged"], json!(true));
}

#[test]
fn after_many_reload_signals_in_a_row_the_last_file_is_in_force() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    for i in 0..10 {
        setup.settings["Limits"]["OpenCap"] = json!(500 + i);
        node.reload(&setup.config().to_string());
    }
    node.replace_config(&setup.config().to_string());
    let start = std::time::Instant::now();
    // The last file read must be the last one written.
    while json_body(&node.admin_call("POST /control/config/check"))["plan"]["changes"] != json!([]) {
        assert!(start.elapsed() < LIMIT, "an earlier file is in force");
    }
    assert!(version_number(&node) > 1);
}

#[test]
fn during_reloads_each_request_is_answered_once_and_by_the_rules_of_one_version() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let (addr, stop) = (node.addr, stop.clone());
            thread::spawn(move || {
                let (mut client, mut sent) = (Client::connect(addr), 0);
                while !stop.load(Ordering::Relaxed) {
                    let (idempotent, txn) = (sent % 2 == 0, format!("s{c}-{sent}"));
                    // The class alternates between idempotent (GET) and at-most-once (POST): each request is valid
                    // under one version and rejected under the other.
                    let mut request = if idempotent {
                        class_request("turns", &txn)
                    } else {
                        ClientRequest::submit(&txn).with_header("X-Lane", "turns")
                    };
                    if !idempotent {
                        request.line = "POST /turns HTTP/1.1".into();
                    }
                    let response = client.request(&request);
                    assert!(matches!(response.status(), 200 | 400), "{}", response.status());
                    sent += 1;
                    if response.header("connection") == "close" {
                        client = Client::connect(addr);
                    }
                    // A request of an unchanged class is never refused.
                    assert_eq!(client.request(&ClientRequest::new(&format!("k{c}-{sent}"))).status(), 200);
                }
                sent
            })
        })
        .collect();
    setup.settings["Classes"].as_array_mut().expect("a list").push(class("turns", "idempotent"));
    let mut rollbacks = 0;
    for i in 0..30 {
        let effect = if i % 2 == 0 { "idempotent" } else { "at_most_once" };
        // The class's position in the list changes, too.
        let classes = setup.settings["Classes"].as_array_mut().expect("a list");
        classes.retain(|c| c["Name"] != "turns");
        classes.insert(i % 3, class("turns", effect));
        assert_eq!(reload(&node, &setup)["last_attempt"]["errors"], json!([]));
        if i % 5 == 4 {
            // The rollback is rejected if clients have used the class with its present effect.
            let rolled_back = node.admin_call("POST /control/config/rollback").status() == 200;
            node.wait_for_log(if rolled_back {
                "configuration rolled back"
            } else {
                "configuration rejected, the present one stays in force"
            });
            rollbacks += u32::from(rolled_back);
        }
    }
    stop.store(true, Ordering::Relaxed);
    let sent: u64 =
        clients.into_iter().map(|c| c.join().expect("no client got an unexpected response")).sum();
    assert!(sent > 0);
    assert_eq!(version_number(&node), 31 + u64::from(rollbacks));
}

#[test]
fn a_change_is_applied_while_out_of_service_and_while_shutting_down() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::RespondWhenOpened(gate.clone()));
    let (mut setup, _discovery) = setup(&[&worker]);
    let mut node = setup.start();
    assert_eq!(node.admin_status("POST /control/out-of-service"), 200);
    setup.settings["Limits"]["SendCap"] = json!(2);
    assert_eq!(reload(&node, &setup)["version"]["number"], 2);
    assert_eq!(node.admin_status("POST /control/in-service"), 200);
    let mut client = node.connect();
    client.send(&ClientRequest::new("last"));
    worker.next_request();
    node.terminate();
    node.wait_for_log("shuts down with 1 open requests");
    setup.settings["Limits"]["SendCap"] = json!(3);
    assert_eq!(reload(&node, &setup)["version"]["number"], 3);
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 200);
    gate.open();
    assert_eq!(client.read_response().map(|a| a.status()), Some(200));
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_version_that_fails_its_trial_is_rolled_back_once_and_not_applied_again() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    setup.trial = Some(json!({"length_s": 600, "worse_by": 0.2, "least": 20}));
    let node = setup.start();
    // Results are sampled once per second; these requests give the rate before the change.
    let send = |name: &str, n: usize| {
        (0..n).for_each(|i| drop(node.request(&ClientRequest::submit(&format!("{name}{i}")))))
    };
    send("before", 60);
    setup.settings["Limits"]["SendCap"] = json!(2);
    assert_eq!(reload(&node, &setup)["trial"]["version"], 2);
    worker.set_behaviour(Behaviour::NeverRespond);
    for i in 0..40 {
        // The request may have run, so it fails instead of being refused.
        node.request(&ClientRequest::submit(&format!("worse{i}")).with_header("X-Remaining", "0.08"));
    }
    node.wait_for_log("version 2 has failed its trial and is rolled back");
    node.wait_for_log("configuration rolled back: version 3");
    let result = report(&node);
    assert_eq!((&result["version"]["by"], &result["trial"]), (&json!("trial"), &Value::Null));
    node.send_sighup();
    let result = wait_for_reload(&node);
    assert_eq!(result["version"]["number"], 3, "the file that failed the trial is not applied again");
    assert!(result["last_attempt"]["errors"][0]["reason"].as_str().is_some_and(|r| r.contains("trial")));
    setup.settings["Limits"]["SendCap"] = json!(3);
    let result = reload(&node, &setup);
    assert_eq!(
        (&result["version"]["number"], &result["trial"]["version"]),
        (&json!(4), &json!(4)),
        "a changed file is applied"
    );
}

#[test]
fn a_start_with_a_broken_file_uses_the_saved_configuration_if_a_state_folder_is_given() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let folder = create_temp_folder();
    setup.state_folder = Some(folder.clone());
    let node = setup.start();
    node.wait_for_log("version 1 is saved in");
    setup.settings["Limits"]["SendCap"] = json!(2);
    reload(&node, &setup);
    node.wait_for_log("version 2 is saved in");
    assert_eq!(report(&node)["state"], folder.to_str().expect("text"));
    drop(node);
    let node = setup.start_with_config_text("{", &folder);
    let result = report(&node);
    assert_eq!(
        (&result["version"]["by"], node.request(&ClientRequest::new("a")).status()),
        (&json!("last_good"), 200)
    );
    drop(node);
    // A damaged saved configuration is an error, as without a state folder.
    let saved = folder.join("last-good.config");
    let mut text = std::fs::read(&saved).expect("the saved configuration");
    let at = text.len() - 9;
    text[at] ^= 1;
    std::fs::write(&saved, text).expect("a file");
    let output = setup.run_with_config_text("{", &folder);
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("it is damaged") && !error.contains("panicked"), "{error}");
    // The gateway serves even if it can't write to the state folder.
    setup.state_folder = Some(folder.join("nowhere"));
    let node = setup.start();
    node.wait_for_log("version 1 can't be saved in");
    assert_eq!(node.request(&ClientRequest::new("b")).status(), 200);
    drop(node);
    std::fs::remove_dir_all(folder).expect("the test's folder");
}

#[test]
fn discovery_and_counter_addresses_may_change_back_and_forth_with_calls_in_flight() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, first) = setup(&[&worker]);
    let second = Discovery::start(&setup.initial_servers);
    let counters = [Counter::start(CounterBehaviour::Answer), Counter::start(CounterBehaviour::Answer)];
    setup.counter = Some(counters[0].addr);
    let node = setup.start();
    let request = |i: usize| {
        ClientRequest::new(&format!("m{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", &format!("{i:016x}"))
    };
    for i in 0..6 {
        let (discovery, counter) = if i % 2 == 0 { (&second, &counters[1]) } else { (&first, &counters[0]) };
        (setup.discovery, setup.counter) = (discovery.addr, Some(counter.addr));
        assert_eq!(node.request(&request(2 * i)).status(), 200);
        assert_eq!(reload(&node, &setup)["last_attempt"]["errors"], json!([]));
        discovery.next_watch();
        assert_eq!(node.request(&request(2 * i + 1)).status(), 200);
        counter.next_call();
    }
    assert_eq!(version_number(&node), 7);
}

#[test]
fn an_upgrade_continues_the_version_numbers_and_both_processes_accept_changes() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let (listener, folder) =
        (std::net::TcpListener::bind("127.0.0.1:0").expect("a free port"), create_temp_folder());
    let old = setup.start_on_listener(&listener, &folder);
    setup.settings["Limits"]["SendCap"] = json!(2);
    assert_eq!(reload(&old, &setup)["version"]["number"], 2);
    let mut idle = old.connect();
    assert_eq!(idle.request(&ClientRequest::new("a")).status(), 200);
    let gate = Arc::new(Gate::default());
    worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    idle.send(&ClientRequest::new("open"));
    worker.next_request();
    let new = setup.start_on_listener(&listener, &folder);
    let result = report(&new);
    assert_eq!((&result["version"]["number"], &result["version"]["by"]), (&json!(3), &json!("upgrade")));
    old.wait_for_log("another process has taken over");
    setup.settings["Limits"]["SendCap"] = json!(3);
    assert_eq!(reload(&old, &setup)["version"]["number"], 3);
    assert_eq!(
        old.admin_call("POST /control/config/rollback").status(),
        409,
        "only the new process may roll back"
    );
    assert_eq!(reload(&new, &setup)["version"]["number"], 4);
    assert_eq!(new.admin_call("POST /control/config/rollback").status(), 200);
    gate.open();
    assert_eq!(idle.read_response().map(|a| a.status()), Some(200));
    std::fs::remove_dir_all(folder).expect("the test's folder");
}

#[test]
fn open_requests_keep_the_effect_of_a_class_that_is_removed_and_added_again() {
    let gate = Arc::new(Gate::default());
    let worker = Worker::start(Behaviour::CloseWhenOpened(gate.clone()));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let mut client = node.connect();
    client.send(&ClientRequest::submit("open"));
    worker.next_request();
    let all = setup.settings["Classes"].clone();
    setup.settings["Classes"] = json!([all[0]]);
    assert_eq!(reload(&node, &setup)["version"]["number"], 2);
    assert_eq!(node.request(&ClientRequest::submit("none")).status(), 400);
    setup.settings["Classes"] = json!([class("submit", "idempotent"), all[0]]);
    assert_eq!(reload(&node, &setup)["version"]["number"], 3);
    gate.open();
    assert_eq!(
        client.read_response().map(|a| a.status()),
        Some(502),
        "at most once when received, and it may have run"
    );
    assert_eq!(worker.drain_requests().len(), 0, "the request is not retried");
    worker.set_behaviour(Behaviour::Respond("ok"));
    assert_eq!(node.request(&class_request("submit", "safe")).status(), 200);
    // The class is in use with its new effect, so a rollback that would change it is rejected.
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 409);
}
