//! Configurations that change under load: the built program against fakes on loopback sockets.

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

fn json_of(message: &Message) -> Value {
    serde_json::from_slice(&message.body).expect("JSON")
}

fn report(node: &Node) -> Value {
    node.report("config")
}

fn number(node: &Node) -> u64 {
    report(node)["version"]["number"].as_u64().expect("a number")
}

/// Takes `setup` and waits until it holds or is refused; the report.
fn reload(node: &Node, setup: &NodeSetup) -> Value {
    node.reload(&setup.config().to_string());
    settle(node)
}

fn settle(node: &Node) -> Value {
    loop {
        let line = node.log.recv_timeout(LIMIT).expect("an end of the attempt");
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

fn ask_as(class: &str, txn: &str) -> ClientRequest {
    let mut ask = ClientRequest::new(txn).with_header("X-Lane", class);
    ask.line = format!("GET /{class} HTTP/1.1");
    ask
}

#[test]
fn versions_are_counted_and_the_way_back_goes_on_from_where_it_came_to() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let first = report(&node);
    assert_eq!((&first["version"]["number"], &first["version"]["by"]), (&json!(1), &json!("start")));
    assert_eq!(first["version"]["sha256"].as_str().map(str::len), Some(64));
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 409, "there is none before");
    node.wait_for_log("configuration rejected, the present one stays in force");
    for most in [2, 3] {
        setup.settings["Limits"]["SendCap"] = json!(most);
        let told = reload(&node, &setup);
        assert_eq!((&told["version"]["number"], &told["version"]["by"]), (&json!(most), &json!("signal")));
    }
    let told = reload(&node, &setup);
    assert_eq!((number(&node), &told["last_attempt"]["unchanged"]), (3, &json!(true)), "the same file");
    for (version, leads_to) in [(4, json!(1)), (5, Value::Null)] {
        let back = node.admin_call("POST /control/config/rollback");
        assert_eq!(back.status(), 200);
        let told = json_of(&back);
        assert_eq!(
            (&told["version"]["number"], &told["version"]["by"]),
            (&json!(version), &json!("way_back"))
        );
        assert_eq!(told["way_back"], leads_to);
    }
    let last = report(&node);
    assert_eq!(last["version"]["sha256"], first["version"]["sha256"], "as at the start");
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 409);
    assert_eq!(node.request(&ClientRequest::new("a")).status(), 200);
}

#[test]
fn the_way_back_refuses_whole_what_cannot_be_taken_back() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, first) = setup(&[&worker]);
    let node = setup.start();
    let refused = |key: &str| {
        let before = number(&node);
        let told = node.admin_call("POST /control/config/rollback");
        assert_eq!(told.status(), 409, "{key}");
        let told = json_of(&told);
        let errors = told["last_attempt"]["errors"].as_array().expect("a list").clone();
        assert!(errors.iter().any(|e| e["path"].as_str().is_some_and(|p| p.starts_with(key))), "{errors:?}");
        assert_eq!(number(&node), before, "nothing of it holds");
        node.wait_for_log("configuration rejected, the present one stays in force");
    };
    // A class that nobody has used goes back; one that is in use does not.
    setup.settings["Classes"] =
        json!([setup.settings["Classes"][0], setup.settings["Classes"][1], class("extra", "idempotent")]);
    reload(&node, &setup);
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 200);
    assert_eq!(node.request(&ask_as("extra", "x")).status(), 400);
    reload(&node, &setup);
    assert_eq!(node.request(&ask_as("extra", "y")).status(), 200);
    refused("settings.Classes.extra");
    assert_eq!(node.request(&ask_as("extra", "z")).status(), 200);
    // A plan that was added, whether used or not.
    let plan = json!({"Name": "extra", "QuotaRate": 0.0, "Depth": 0.0});
    setup.settings["Plans"].as_array_mut().expect("a list").push(plan);
    reload(&node, &setup);
    assert_eq!(node.request(&ClientRequest::new("p").with_header("X-Plan", "extra")).status(), 200);
    refused("settings.Plans");
    // An address that was given up, and back by a file of its own.
    let second = Discovery::start(&setup.initial_servers);
    setup.discovery = second.addr;
    reload(&node, &setup);
    second.wait_for_watch_from(1);
    refused("discovery");
    setup.discovery = first.addr;
    assert_eq!(reload(&node, &setup)["last_attempt"]["errors"], json!([]), "the platform may move it back");
    assert_eq!(node.request(&ClientRequest::new("q")).status(), 200);
}

#[test]
fn a_dry_run_tells_what_would_change_and_changes_nothing() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let old = setup.config().to_string();
    setup.settings["Limits"]["SendCap"] = json!(2);
    setup.max_sockets = 300;
    node.replace_config(&setup.config().to_string());
    let told = node.admin_call("POST /control/config/check");
    assert_eq!(told.status(), 200);
    let told = json_of(&told);
    assert_eq!(told["plan"]["waits"], json!(["limits"]));
    let paths: Vec<&str> = told["plan"]["changes"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|c| c["path"].as_str())
        .collect();
    assert_eq!(paths, ["limits.sockets", "settings.Limits.SendCap"]);
    node.replace_config("{\"name\": 5, \"name\": 6}");
    let told = node.admin_call("POST /control/config/check");
    assert_eq!((told.status(), &json_of(&told)["ok"]), (409, &json!(false)));
    assert_eq!((number(&node), &report(&node)["last_attempt"]), (1, &Value::Null), "neither was taken");
    assert_eq!(node.admin_status("GET /control/config/check"), 405);
    assert_eq!(node.admin_status("POST /control/config"), 405);
    // The same without a process.
    let folder = create_temp_folder();
    let (a, b) = (folder.join("a.json"), folder.join("b.json"));
    std::fs::write(&a, old).expect("a file");
    std::fs::write(&b, setup.config().to_string()).expect("a file");
    let run = |arguments: &[&std::ffi::OsStr]| {
        let done =
            Command::new(env!("CARGO_BIN_EXE_opalrun-gateway")).args(arguments).output().expect("it runs");
        (done.status.code(), String::from_utf8(done.stdout).expect("text"))
    };
    let (check, against) = ("--check".as_ref(), "--against".as_ref());
    let (code, text) = run(&[check, b.as_os_str(), against, a.as_os_str()]);
    let plan: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((code, &plan["plan"]["waits"]), (Some(0), &json!(["limits"])));
    assert_eq!(run(&[check, a.as_os_str()]).0, Some(0));
    std::fs::write(&b, "{").expect("a file");
    assert_eq!(run(&[check, b.as_os_str()]).0, Some(1));
    assert_eq!(run(&[check, folder.as_os_str()]).0, Some(1));
    for wrong in [&[check][..], &["--what".as_ref()], &[check, a.as_os_str(), against]] {
        assert_eq!(run(wrong).0, Some(2));
    }
    std::fs::remove_dir_all(folder).expect("its own folder");
}

#[test]
fn whatever_stands_in_its_place_the_old_one_holds() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let good = setup.config().to_string();
    let path = node.config_path().to_owned();
    let bad = |what: &str, place: &dyn Fn()| {
        place();
        node.send_sighup();
        let told = settle(&node);
        assert_ne!(told["last_attempt"]["errors"], json!([]), "{what}");
        assert_eq!(
            (number(&node), node.request(&ClientRequest::new(&format!("b{what}"))).status()),
            (1, 200),
            "{what}"
        );
    };
    let replace = |text: &str| std::fs::write(&path, text).expect("a file");
    let with = |at: &str, value: Value| {
        let mut config = setup.config();
        *config.pointer_mut(at).expect("a key") = value;
        config.to_string()
    };
    bad("empty", &|| replace(""));
    bad("cut", &|| replace(&good[..good.len() / 2]));
    bad("no JSON", &|| replace("deadline = 5"));
    bad("NaN", &|| replace(&good.replacen("0.05", "NaN", 1)));
    bad("doubled", &|| replace(&good.replacen("\"listen\"", "\"name\":\"n0\",\"listen\"", 1)));
    bad("deadline 0", &|| replace(&with("/settings/Classes/0/Deadline", json!(0))));
    bad("deadline below 0", &|| replace(&with("/settings/Classes/0/Deadline", json!(-1))));
    bad("deadline 1e308", &|| replace(&with("/settings/Classes/0/Deadline", json!(1e308))));
    bad("attempts 0", &|| replace(&with("/settings/Limits/SendCap", json!(0))));
    bad("another kind", &|| replace(&with("/settings/Limits", json!([]))));
    bad("long", &|| {
        std::fs::File::create(&path).and_then(|f| f.set_len(100 << 20)).expect("a sparse file");
    });
    bad("gone", &|| std::fs::remove_file(&path).expect("a file"));
    bad("folder", &|| std::fs::create_dir(&path).expect("a folder"));
    std::fs::remove_dir(&path).expect("a folder");
    bad("pipe", &|| assert!(Command::new("mkfifo").arg(&path).status().expect("mkfifo runs").success()));
    std::fs::remove_file(&path).expect("a pipe");
    bad("link to itself", &|| std::os::unix::fs::symlink(&path, &path).expect("a link"));
    std::fs::remove_file(&path).expect("a link");
    replace(&good);
    node.send_sighup();
    assert_eq!(settle(&node)["last_attempt"]["unchanged"], json!(true));
}

#[test]
fn of_many_signals_in_a_row_the_last_file_holds() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    for i in 0..10 {
        setup.settings["Limits"]["OpenCap"] = json!(500 + i);
        node.reload(&setup.config().to_string());
    }
    node.replace_config(&setup.config().to_string());
    let start = std::time::Instant::now();
    // What is read last is what stands there last.
    while json_of(&node.admin_call("POST /control/config/check"))["plan"]["changes"] != json!([]) {
        assert!(start.elapsed() < LIMIT, "another one holds");
    }
    assert!(number(&node) > 1);
}

#[test]
fn under_steady_requests_each_is_answered_once_and_under_one_versions_rules() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    let node = setup.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|c| {
            let (addr, stop) = (node.addr, stop.clone());
            thread::spawn(move || {
                let (mut client, mut asked) = (Client::connect(addr), 0);
                while !stop.load(Ordering::Relaxed) {
                    let (safe, txn) = (asked % 2 == 0, format!("s{c}-{asked}"));
                    // Safe under one version's rules, unsafe under the other's: never in between.
                    let mut ask = if safe {
                        ask_as("turns", &txn)
                    } else {
                        ClientRequest::submit(&txn).with_header("X-Lane", "turns")
                    };
                    if !safe {
                        ask.line = "POST /turns HTTP/1.1".into();
                    }
                    let answer = client.request(&ask);
                    assert!(matches!(answer.status(), 200 | 400), "{}", answer.status());
                    asked += 1;
                    if answer.header("connection") == "close" {
                        client = Client::connect(addr);
                    }
                    // And what never changes is never refused.
                    assert_eq!(client.request(&ClientRequest::new(&format!("k{c}-{asked}"))).status(), 200);
                }
                asked
            })
        })
        .collect();
    setup.settings["Classes"].as_array_mut().expect("a list").push(class("turns", "idempotent"));
    let mut backs = 0;
    for i in 0..30 {
        let effect = if i % 2 == 0 { "idempotent" } else { "at_most_once" };
        // Its place moves, too.
        let classes = setup.settings["Classes"].as_array_mut().expect("a list");
        classes.retain(|c| c["Name"] != "turns");
        classes.insert(i % 3, class("turns", effect));
        assert_eq!(reload(&node, &setup)["last_attempt"]["errors"], json!([]));
        if i % 5 == 4 {
            // Refused where clients use the class as it is now.
            let back = node.admin_call("POST /control/config/rollback").status() == 200;
            node.wait_for_log(if back {
                "configuration rolled back"
            } else {
                "configuration rejected, the present one stays in force"
            });
            backs += u32::from(back);
        }
    }
    stop.store(true, Ordering::Relaxed);
    let asked: u64 = clients.into_iter().map(|c| c.join().expect("no client saw anything else")).sum();
    assert!(asked > 0);
    assert_eq!(number(&node), 31 + u64::from(backs));
}

#[test]
fn a_change_is_taken_while_clients_are_sent_away_and_while_it_drains() {
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
fn a_version_that_does_worse_goes_back_once_and_is_not_taken_again() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, _discovery) = setup(&[&worker]);
    setup.trial = Some(json!({"length_s": 600, "worse_by": 0.2, "least": 20}));
    let node = setup.start();
    // The looks at it come once a second: the time before is counted by then.
    let ask = |name: &str, n: usize| {
        (0..n).for_each(|i| drop(node.request(&ClientRequest::submit(&format!("{name}{i}")))))
    };
    ask("before", 60);
    setup.settings["Limits"]["SendCap"] = json!(2);
    assert_eq!(reload(&node, &setup)["trial"]["version"], 2);
    worker.set_behaviour(Behaviour::NeverRespond);
    for i in 0..40 {
        // It may have run, so it fails and is not refused.
        node.request(&ClientRequest::submit(&format!("worse{i}")).with_header("X-Remaining", "0.08"));
    }
    node.wait_for_log("version 2 has failed its trial and is rolled back");
    node.wait_for_log("configuration rolled back: version 3");
    let told = report(&node);
    assert_eq!((&told["version"]["by"], &told["trial"]), (&json!("trial"), &Value::Null));
    node.send_sighup();
    let told = settle(&node);
    assert_eq!(told["version"]["number"], 3, "the file has not changed");
    assert!(told["last_attempt"]["errors"][0]["reason"].as_str().is_some_and(|r| r.contains("trial")));
    setup.settings["Limits"]["SendCap"] = json!(3);
    let told = reload(&node, &setup);
    assert_eq!((&told["version"]["number"], &told["trial"]["version"]), (&json!(4), &json!(4)), "it has");
}

#[test]
fn a_start_whose_file_is_broken_uses_the_last_good_one_where_a_folder_is_named() {
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
    let told = report(&node);
    assert_eq!(
        (&told["version"]["by"], node.request(&ClientRequest::new("a")).status()),
        (&json!("last_good"), 200)
    );
    drop(node);
    // Kept, but not whole any more: an error, as without a folder.
    let kept = folder.join("last-good.config");
    let mut text = std::fs::read(&kept).expect("kept");
    let at = text.len() - 9;
    text[at] ^= 1;
    std::fs::write(&kept, text).expect("a file");
    let output = setup.run_with_config_text("{", &folder);
    assert!(!output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    assert!(said.contains("it is damaged") && !said.contains("panicked"), "{said}");
    // A folder that can't be written to is no reason not to serve.
    setup.state_folder = Some(folder.join("nowhere"));
    let node = setup.start();
    node.wait_for_log("version 1 can't be saved in");
    assert_eq!(node.request(&ClientRequest::new("b")).status(), 200);
    drop(node);
    std::fs::remove_dir_all(folder).expect("its own folder");
}

#[test]
fn discovery_and_the_counter_may_move_and_move_back_with_lists_and_counts_under_way() {
    let worker = Worker::start(Behaviour::Respond("ok"));
    let (mut setup, first) = setup(&[&worker]);
    let second = Discovery::start(&setup.initial_servers);
    let counters = [Counter::start(CounterBehaviour::Answer), Counter::start(CounterBehaviour::Answer)];
    setup.counter = Some(counters[0].addr);
    let node = setup.start();
    let ask = |i: usize| {
        ClientRequest::new(&format!("m{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", &format!("{i:016x}"))
    };
    for i in 0..6 {
        let (discovery, counter) = if i % 2 == 0 { (&second, &counters[1]) } else { (&first, &counters[0]) };
        (setup.discovery, setup.counter) = (discovery.addr, Some(counter.addr));
        assert_eq!(node.request(&ask(2 * i)).status(), 200);
        assert_eq!(reload(&node, &setup)["last_attempt"]["errors"], json!([]));
        discovery.next_watch();
        assert_eq!(node.request(&ask(2 * i + 1)).status(), 200);
        counter.next_call();
    }
    assert_eq!(number(&node), 7);
}

#[test]
fn an_upgrade_goes_on_counting_and_either_side_takes_a_change() {
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
    let told = report(&new);
    assert_eq!((&told["version"]["number"], &told["version"]["by"]), (&json!(3), &json!("upgrade")));
    old.wait_for_log("another process has taken over");
    setup.settings["Limits"]["SendCap"] = json!(3);
    assert_eq!(reload(&old, &setup)["version"]["number"], 3);
    assert_eq!(old.admin_call("POST /control/config/rollback").status(), 409, "it is the other one's to say");
    assert_eq!(reload(&new, &setup)["version"]["number"], 4);
    assert_eq!(new.admin_call("POST /control/config/rollback").status(), 200);
    gate.open();
    assert_eq!(idle.read_response().map(|a| a.status()), Some(200));
    std::fs::remove_dir_all(folder).expect("its own folder");
}

#[test]
fn a_class_removed_and_brought_back_with_another_effect_leaves_open_requests_their_rules() {
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
    assert_eq!(client.read_response().map(|a| a.status()), Some(502), "unsafe when it came: it may have run");
    assert_eq!(worker.drain_requests().len(), 0, "and is not sent again");
    worker.set_behaviour(Behaviour::Respond("ok"));
    assert_eq!(node.request(&ask_as("submit", "safe")).status(), 200);
    // It was not used under its first effect since, so that one may come back, and this one may not go.
    assert_eq!(node.admin_call("POST /control/config/rollback").status(), 409);
}
