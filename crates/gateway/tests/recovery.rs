//! Recovery of real gateway processes from their state folders after a kill, a restart, an upgrade or damage to the journal.

mod fakes;

use fakes::*;
use serde_json::{Value, json};
use std::{
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Command, Output},
    sync::Arc,
    time::Instant,
};

/// A customer of the plan `pieni`, which has a burst of eight and almost no rate; both gateways serve it.
const CUSTOMER: &str = "00000000b4d65521";

/// A worker, and the temporary folder with the state folders of two gateways.
struct Environment {
    worker: Worker,
    folder: PathBuf,
}

impl Environment {
    fn new() -> Self {
        let folder = create_temp_folder();
        (0..2).for_each(|i| {
            std::fs::create_dir(folder.join(format!("state-{i}"))).expect("the state folder is created")
        });
        Self { worker: Worker::start(Behaviour::Respond("here")), folder }
    }

    fn state_folder(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("state-{gateway}"))
    }

    /// Returns the set-up of gateway 0 or 1, which writes its journal to its state folder.
    fn setup(&self, gateway: usize) -> (NodeSetup, Discovery) {
        let (mut setup, discovery) = NodeSetup::new(&[&self.worker]);
        setup.settings["Me"] = json!(gateway);
        setup.has_admin_api = true;
        setup.state_folder = Some(self.state_folder(gateway));
        (setup, discovery)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        // A folder that can't be removed does no harm among the temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A request that spends the quota of [`CUSTOMER`].
fn quota_request(txn: &str) -> ClientRequest {
    ClientRequest::new(txn).with_header("X-Plan", "pieni").with_header("X-Customer", CUSTOMER)
}

/// Sends 12 requests that spend the quota, and returns how many were served.
fn spend(node: &Node, tag: &str) -> usize {
    (0..12).filter(|i| node.request(&quota_request(&format!("{tag}-{i}"))).status() == 200).count()
}

fn report(node: &Node) -> Value {
    node.report("recovery")
}

/// Waits until a gateway's recovery report satisfies the condition, and returns it.
fn until(node: &Node, condition: impl Fn(&Value) -> bool) -> Value {
    node.wait_for_report("recovery", condition)
}

/// Whether the gateway holds its state folder and has synced all changes.
fn is_synced(report: &Value) -> bool {
    report["journal"]["holds"] == json!(true) && report["unwritten_ms"] == json!(0.0)
}

fn kill(node: &mut Node) {
    node.child.kill().expect("the child process");
    node.child.wait().expect("the child process");
}

/// Runs `opalrun-gateway state` with `args` on a state folder.
fn state_command(args: &[&str], folder: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_opalrun-gateway"));
    command.arg("state").args(args).arg(folder).output().expect("the program starts")
}

/// Outcome of a step of the start, if it is completed.
fn step_outcome<'a>(report: &'a Value, name: &str) -> Option<&'a str> {
    let steps = report["steps"].as_array()?;
    steps.iter().find(|s| s["name"] == json!(name))?["outcome"].as_str()
}

#[test]
fn gateways_that_are_killed_together_repeatedly_grant_no_share_twice() {
    let environment = Environment::new();
    let setups = [environment.setup(0), environment.setup(1)];
    let start = || setups.iter().map(|(setup, _)| setup.start()).collect::<Vec<Node>>();
    let mut nodes = start();
    // Without a counter each gateway grants its even share: four of the burst of eight.
    assert_eq!(nodes.iter().map(|n| spend(n, "before")).collect::<Vec<_>>(), [4, 4]);
    for round in 0..5 {
        nodes.iter().for_each(|n| drop(until(n, is_synced)));
        nodes.iter_mut().for_each(kill);
        nodes = start();
        for node in &nodes {
            assert_eq!(spend(node, &format!("after-{round}")), 0, "round {round}");
            assert_eq!(report(node)["trusted"]["customers"], json!(1));
        }
    }
    // Control: without its journal a gateway grants its share again.
    nodes.iter_mut().for_each(kill);
    std::fs::remove_file(environment.state_folder(0).join("journal")).expect("the journal");
    let without_journal = setups[0].0.start();
    assert_eq!(spend(&without_journal, "forgotten"), 4);
}

#[test]
fn no_second_burst_is_granted_when_one_of_two_gateways_is_killed_and_the_counter_is_emptied() {
    let environment = Environment::new();
    let counter = Counter::start(CounterBehaviour::Answer);
    let setups = [environment.setup(0), environment.setup(1)].map(|(mut setup, discovery)| {
        setup.counter = Some(counter.addr);
        // A quota window lasts four bursts divided by the rate, at most 25 s: the test runs within two windows.
        (setup, discovery)
    });
    let mut nodes: Vec<Node> = setups.iter().map(|(setup, _)| setup.start()).collect();
    let before: usize = nodes.iter().enumerate().map(|(i, n)| spend(n, &format!("before-{i}"))).sum();
    // One request may be served before the second gateway has its first answer from the counter.
    assert!((7..=9).contains(&before), "{before} served of a burst of eight");
    until(&nodes[0], is_synced);
    kill(&mut nodes[0]);
    counter.clear();
    nodes[0] = setups[0].0.start();
    let after: usize = nodes.iter().enumerate().map(|(i, n)| spend(n, &format!("after-{i}"))).sum();
    assert!(after <= 1, "{after} served after the kill, {before} before");
}

#[test]
fn a_truncated_journal_is_reported_repaired_and_others_count_as_spent() {
    let environment = Environment::new();
    let (setup, _discovery) = environment.setup(0);
    let mut node = setup.start();
    assert_eq!(spend(&node, "before"), 4);
    until(&node, is_synced);
    kill(&mut node);
    let journal = environment.state_folder(0).join("journal");
    let bytes = std::fs::read(&journal).expect("the journal");
    std::fs::write(&journal, &bytes[..bytes.len() - 3]).expect("the file is written");
    let verified = state_command(&["verify"], &environment.state_folder(0));
    assert_eq!(verified.status.code(), Some(1));
    let text = String::from_utf8(verified.stdout).expect("text");
    assert!(text.contains("at byte") && text.contains("cut off"), "{text}");
    assert_eq!(
        std::fs::read(&journal).expect("the journal").len(),
        bytes.len() - 3,
        "verify does not change the journal"
    );
    let node = setup.start();
    let report = report(&node);
    assert!(report["trusted"]["file"].as_str().is_some_and(|f| f.contains("cut off")), "{report}");
    assert_eq!(report["trusted"]["others_count_as_spent"], json!(true), "{report}");
    let other = ClientRequest::new("other")
        .with_header("X-Plan", "pieni")
        .with_header("X-Customer", "00000000b4d65522");
    assert_ne!(node.request(&other).status(), 200, "what it has spent is unknown");
    // The start has repaired the journal.
    assert_eq!(state_command(&["verify"], &environment.state_folder(0)).status.code(), Some(0));
}

#[test]
fn a_state_folder_in_use_is_refused_and_another_gateway_s_journal_is_preserved() {
    let environment = Environment::new();
    let (mut setup, _discovery) = environment.setup(0);
    let mut node = setup.start();
    let second = setup.run_with_config_text(&setup.config().to_string(), &environment.state_folder(0));
    assert!(!second.status.success());
    let error = String::from_utf8(second.stderr).expect("text");
    assert!(error.contains("in use by another process"), "{error}");
    assert_eq!(node.request(&ClientRequest::new("still")).status(), 200);
    assert_eq!(
        state_command(&["compact"], &environment.state_folder(0)).status.code(),
        Some(2),
        "the folder is in use"
    );
    until(&node, is_synced);
    kill(&mut node);
    let foreign = std::fs::read(environment.state_folder(0).join("journal")).expect("the journal");
    setup.name = "n1".into();
    let node = setup.start();
    let report = report(&node);
    assert!(
        step_outcome(&report, "own state").is_some_and(|s| s.contains("belongs to the gateway \"n0\"")),
        "{report}"
    );
    assert_eq!(
        std::fs::read(environment.state_folder(0).join("journal.aside-1")).expect("the preserved journal"),
        foreign
    );
    assert_eq!(node.request(&ClientRequest::new("serves")).status(), 200);
}

#[test]
fn a_write_failure_is_reported_and_requests_are_served() {
    let environment = Environment::new();
    let (setup, _discovery) = environment.setup(0);
    // A folder of the name under which a new journal is written makes every write fail.
    std::fs::create_dir_all(environment.state_folder(0).join("journal.new")).expect("the folder is created");
    let node = setup.start();
    assert_eq!(spend(&node, "serves"), 4);
    assert!(report(&node)["journal"]["failing"].is_string());
    std::fs::remove_dir(environment.state_folder(0).join("journal.new")).expect("the folder is removed");
    let report = until(&node, |r| r["journal"]["failing"].is_null());
    assert!(report["journal"]["bytes"].as_u64() > Some(0), "{report}");
    let output = state_command(&["show", "--json"], &environment.state_folder(0));
    let shown: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(shown["customers"], json!(1), "{shown}");
}

#[test]
fn a_clean_shutdown_leaves_its_leases_to_exactly_one_successor() {
    let environment = Environment::new();
    let counter = Counter::start(CounterBehaviour::Answer);
    let (mut setup, _discovery) = environment.setup(0);
    // A burst of 24 and a rate of 1/s give windows of 25 s, and lease blocks sized by demand.
    setup.settings["Plans"][1] =
        json!({"Name": "pieni", "QuotaRate": 1.0, "Depth": 24.0, "OverrunCost": 1.2});
    setup.counter = Some(counter.addr);
    let leases = || {
        let output = state_command(&["show", "--json"], &environment.state_folder(0));
        let shown: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let lease = &shown["state"]["customers"][CUSTOMER]["ledger"]["lease"];
        (shown["ended_in_good_order"] == json!(true), lease.as_f64().expect("a number"))
    };
    // With high demand a lease block is larger than what is requested, so part of the last block remains.
    let mut shutdown_and_lease = (false, 0.0);
    for round in 0..40 {
        let mut node = setup.start();
        (0..4 + round).for_each(|i| drop(node.request(&quota_request(&format!("round-{round}-{i}")))));
        node.terminate();
        assert!(node.wait_for_exit().success());
        shutdown_and_lease = leases();
        assert!(shutdown_and_lease.0, "it shut down cleanly");
        if shutdown_and_lease.1 >= 1.0 {
            break;
        }
    }
    let Some(total_before) = (shutdown_and_lease.1 >= 1.0).then(|| counter.total()) else {
        panic!("no clean shutdown left a lease");
    };
    let node = setup.start();
    assert_eq!(report(&node)["trusted"]["in_good_order"], json!(true));
    // The lease is restored without a call to the counter, unless its window has ended meanwhile.
    let restored_leases = report(&node)["trusted"]["with_leases"].as_u64();
    assert_eq!(restored_leases, Some(1));
    assert!(!leases().0 && leases().1 == 0.0, "no later process finds the leases again");
    assert!(counter.total() >= total_before);
}

#[test]
fn offline_workers_stay_offline_and_the_earlier_list_is_used_without_discovery() {
    let environment = Environment::new();
    let other = Worker::start(Behaviour::Respond("there"));
    let (mut setup, discovery) = environment.setup(0);
    let version = discovery.upsert(discovery_entry("w1", other.addr, "SERVING"));
    let mut node = setup.start();
    discovery.wait_for_watch_from(version);
    assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200);
    until(&node, is_synced);
    let show = || {
        let output = state_command(&["show", "--json"], &environment.state_folder(0));
        serde_json::from_slice::<Value>(&output.stdout).expect("JSON")
    };
    let start = Instant::now();
    while show()["workers"] != json!(2) {
        assert!(start.elapsed() < LIMIT, "{}", show());
    }
    assert_eq!(show()["out_by_hand"], json!(["w0"]));
    kill(&mut node);
    // Discovery does not answer, and the configuration names no workers.
    discovery.set_silent(true);
    setup.initial_servers = Vec::new();
    let node = setup.start();
    let report = until(&node, |r| step_outcome(r, "list of workers").is_some());
    assert!(step_outcome(&report, "list of workers").is_some_and(|s| s.contains("earlier list")), "{report}");
    assert_eq!(report["trusted"]["out_by_hand"], json!(["w0"]));
    let restarted = Instant::now();
    while node.request(&ClientRequest::new("old-list")).status() != 200 {
        assert!(restarted.elapsed() < LIMIT, "no worker of the earlier list serves");
    }
    other.next_request();
    assert!(environment.worker.drain_requests().is_empty(), "the other worker is offline");
}

#[test]
fn an_upgrade_passes_the_state_folder_on_and_a_kill_of_the_new_process_returns_it() {
    let environment = Environment::new();
    let (setup, _discovery) = environment.setup(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let old = setup.start_on_listener(&listener, &environment.folder);
    assert_eq!(spend(&old, "before"), 4);
    until(&old, is_synced);
    // After a handover the old process exits once its last client has its answer, so one client is kept waiting.
    let gate = Arc::new(Gate::default());
    environment.worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    let mut client = old.connect();
    client.send(&ClientRequest::submit("waits"));
    while environment.worker.next_request().1.header("x-txn") != "waits" {}
    environment.worker.set_behaviour(Behaviour::Respond("here"));
    let mut new = setup.start_on_listener(&listener, &environment.folder);
    assert_eq!(until(&new, is_synced)["trusted"]["from"], json!("the process before"));
    assert_eq!(report(&old)["journal"]["holds"], json!(false));
    kill(&mut new);
    until(&old, is_synced);
    assert_eq!(spend(&old, "again"), 0, "the share went to the new process, which was killed");
    gate.open();
    assert_eq!(client.read_response().expect("an answer").status(), 200);
}

#[test]
fn state_commands_report_wrong_usage_and_unusable_journals_by_exit_status() {
    let environment = Environment::new();
    assert_eq!(state_command(&["verify"], &environment.folder).status.code(), Some(2), "there is no journal");
    assert_eq!(
        state_command(&["mend"], &environment.folder).status.code(),
        Some(2),
        "there is no such command"
    );
    std::fs::write(environment.folder.join("journal"), "something else").expect("the file is written");
    assert_eq!(state_command(&["show"], &environment.folder).status.code(), Some(2));
    let (setup, _discovery) = environment.setup(0);
    let mut node = setup.start();
    assert_eq!(spend(&node, "some"), 4);
    until(&node, is_synced);
    kill(&mut node);
    let compact = state_command(&["compact", "--json"], &environment.state_folder(0));
    let sizes: Value = serde_json::from_slice(&compact.stdout).expect("JSON");
    assert_eq!(
        (compact.status.code(), sizes["after"].as_u64() < sizes["before"].as_u64()),
        (Some(0), true),
        "{sizes}"
    );
    let shown =
        String::from_utf8(state_command(&["show"], &environment.state_folder(0)).stdout).expect("text");
    assert!(shown.contains(CUSTOMER) && shown.contains("complete"), "{shown}");
}
