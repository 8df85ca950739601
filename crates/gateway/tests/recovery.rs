//! Several real processes that lose power, or are started twice, with what they leave on disk between them.

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

/// A customer of the plan with a burst of eight and next to no rate, that two gateways carry.
const CUSTOMER: &str = "00000000b4d65521";

struct Place {
    worker: Worker,
    folder: PathBuf,
}

impl Place {
    fn new() -> Self {
        let folder = create_temp_folder();
        (0..2).for_each(|i| std::fs::create_dir(folder.join(format!("state-{i}"))).expect("its own folder"));
        Self { worker: Worker::start(Behaviour::Respond("here")), folder }
    }

    fn state(&self, gateway: usize) -> PathBuf {
        self.folder.join(format!("state-{gateway}"))
    }

    /// Gateway 0 or 1 of two, which keeps its state.
    fn setup(&self, gateway: usize) -> (NodeSetup, Discovery) {
        let (mut setup, discovery) = NodeSetup::new(&[&self.worker]);
        setup.settings["Me"] = json!(gateway);
        setup.has_admin_api = true;
        setup.state_folder = Some(self.state(gateway));
        (setup, discovery)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        // What is left in the folder for temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn quota(txn: &str) -> ClientRequest {
    ClientRequest::new(txn).with_header("X-Plan", "pieni").with_header("X-Customer", CUSTOMER)
}

/// Asks until it is refused; how often it was served.
fn spend(node: &Node, tag: &str) -> usize {
    (0..12).filter(|i| node.request(&quota(&format!("{tag}-{i}"))).status() == 200).count()
}

fn report(node: &Node) -> Value {
    node.report("recovery")
}

/// Waits until a gateway's report fits.
fn until(node: &Node, fits: impl Fn(&Value) -> bool) -> Value {
    node.wait_for_report("recovery", fits)
}

/// All that was sent is on disk.
fn synced(report: &Value) -> bool {
    report["journal"]["holds"] == json!(true) && report["unwritten_ms"] == json!(0.0)
}

fn kill(node: &mut Node) {
    node.child.kill().expect("its own child");
    node.child.wait().expect("its own child");
}

fn state(args: &[&str], folder: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_opalrun-gateway"));
    command.arg("state").args(args).arg(folder).output().expect("the program starts")
}

fn step<'a>(report: &'a Value, name: &str) -> Option<&'a str> {
    let steps = report["steps"].as_array()?;
    steps.iter().find(|s| s["name"] == json!(name))?["outcome"].as_str()
}

#[test]
fn gateways_that_lose_power_together_grant_no_share_twice_however_often_it_happens() {
    let place = Place::new();
    let setups = [place.setup(0), place.setup(1)];
    let start = || setups.iter().map(|(setup, _)| setup.start()).collect::<Vec<Node>>();
    let mut nodes = start();
    // No counter: each grants its share of four.
    assert_eq!(nodes.iter().map(|n| spend(n, "before")).collect::<Vec<_>>(), [4, 4]);
    for round in 0..5 {
        nodes.iter().for_each(|n| drop(until(n, synced)));
        nodes.iter_mut().for_each(kill);
        nodes = start();
        for node in &nodes {
            assert_eq!(spend(node, &format!("after-{round}")), 0, "round {round}");
            assert_eq!(report(node)["trusted"]["customers"], json!(1));
        }
    }
    // Without what is on disk, each would have granted a share anew.
    nodes.iter_mut().for_each(kill);
    std::fs::remove_file(place.state(0).join("journal")).expect("the journal");
    let fresh = setups[0].0.start();
    assert_eq!(spend(&fresh, "forgotten"), 4);
}

#[test]
fn half_of_the_fleet_loses_power_and_the_counter_is_emptied_and_no_burst_comes_anew() {
    let place = Place::new();
    let counter = Counter::start(CounterBehaviour::Answer);
    let setups = [place.setup(0), place.setup(1)].map(|(mut setup, discovery)| {
        setup.counter = Some(counter.addr);
        // A window of four bursts over the rate, and no longer than 25 s: all of this is within two.
        (setup, discovery)
    });
    let mut nodes: Vec<Node> = setups.iter().map(|(setup, _)| setup.start()).collect();
    let before: usize = nodes.iter().enumerate().map(|(i, n)| spend(n, &format!("before-{i}"))).sum();
    // One may go ahead of the second gateway's first answer.
    assert!((7..=9).contains(&before), "{before} of a burst of eight");
    until(&nodes[0], synced);
    kill(&mut nodes[0]);
    counter.clear();
    nodes[0] = setups[0].0.start();
    let after: usize = nodes.iter().enumerate().map(|(i, n)| spend(n, &format!("after-{i}"))).sum();
    assert!(after <= 1, "{after} more, {before} before");
}

#[test]
fn a_process_killed_mid_record_is_followed_by_one_that_says_what_it_left_unread() {
    let place = Place::new();
    let (setup, _discovery) = place.setup(0);
    let mut node = setup.start();
    assert_eq!(spend(&node, "before"), 4);
    until(&node, synced);
    kill(&mut node);
    let journal = place.state(0).join("journal");
    let bytes = std::fs::read(&journal).expect("the journal");
    std::fs::write(&journal, &bytes[..bytes.len() - 3]).expect("its file");
    let told = state(&["verify"], &place.state(0));
    assert_eq!(told.status.code(), Some(1));
    let text = String::from_utf8(told.stdout).expect("text");
    assert!(text.contains("at byte") && text.contains("cut off"), "{text}");
    assert_eq!(std::fs::read(&journal).expect("the journal").len(), bytes.len() - 3, "nothing is changed");
    let node = setup.start();
    let report = report(&node);
    assert!(report["trusted"]["file"].as_str().is_some_and(|f| f.contains("cut off")), "{report}");
    assert_eq!(report["trusted"]["others_count_as_spent"], json!(true), "{report}");
    let other = ClientRequest::new("other")
        .with_header("X-Plan", "pieni")
        .with_header("X-Customer", "00000000b4d65522");
    assert_ne!(node.request(&other).status(), 200, "nobody knows what it has spent");
    // It has mended the file.
    assert_eq!(state(&["verify"], &place.state(0)).status.code(), Some(0));
}

#[test]
fn a_second_start_on_one_folder_refuses_and_another_gateway_s_journal_is_kept_aside() {
    let place = Place::new();
    let (mut setup, _discovery) = place.setup(0);
    let mut node = setup.start();
    let twin = setup.run_with_config_text(&setup.config().to_string(), &place.state(0));
    assert!(!twin.status.success());
    let said = String::from_utf8(twin.stderr).expect("text");
    assert!(said.contains("in use by another process"), "{said}");
    assert_eq!(node.request(&ClientRequest::new("still")).status(), 200);
    assert_eq!(state(&["compact"], &place.state(0)).status.code(), Some(2), "a gateway uses it");
    until(&node, synced);
    kill(&mut node);
    let theirs = std::fs::read(place.state(0).join("journal")).expect("the journal");
    setup.name = "n1".into();
    let node = setup.start();
    let found = report(&node);
    assert!(
        step(&found, "own state").is_some_and(|s| s.contains("belongs to the gateway \"n0\"")),
        "{found}"
    );
    assert_eq!(std::fs::read(place.state(0).join("journal.aside-1")).expect("kept"), theirs);
    assert_eq!(node.request(&ClientRequest::new("serves")).status(), 200);
}

#[test]
fn a_folder_that_can_t_be_written_stops_nothing_and_is_told() {
    let place = Place::new();
    let (setup, _discovery) = place.setup(0);
    // In the way of the file that is written aside.
    std::fs::create_dir_all(place.state(0).join("journal.new")).expect("a folder");
    let node = setup.start();
    assert_eq!(spend(&node, "serves"), 4);
    assert!(report(&node)["journal"]["failing"].is_string());
    std::fs::remove_dir(place.state(0).join("journal.new")).expect("its folder");
    let told = until(&node, |r| r["journal"]["failing"].is_null());
    assert!(told["journal"]["bytes"].as_u64() > Some(0), "{told}");
    let told = state(&["show", "--json"], &place.state(0));
    let told: Value = serde_json::from_slice(&told.stdout).expect("JSON");
    assert_eq!(told["customers"], json!(1), "{told}");
}

#[test]
fn an_end_in_good_order_leaves_its_leases_to_one_heir() {
    let place = Place::new();
    let counter = Counter::start(CounterBehaviour::Answer);
    let (mut setup, _discovery) = place.setup(0);
    // A burst of 24 at 1 a second: windows of 25 s, and blocks of demand's worth.
    setup.settings["Plans"][1] =
        json!({"Name": "pieni", "QuotaRate": 1.0, "Depth": 24.0, "OverrunCost": 1.2});
    setup.counter = Some(counter.addr);
    let leases = || {
        let told = state(&["show", "--json"], &place.state(0));
        let told: Value = serde_json::from_slice(&told.stdout).expect("JSON");
        let lease = &told["state"]["customers"][CUSTOMER]["ledger"]["lease"];
        (told["ended_in_good_order"] == json!(true), lease.as_f64().expect("a number"))
    };
    // As demand is high, blocks hold more than is asked for, and the last one is not all spent.
    let mut left = (false, 0.0);
    for round in 0..40 {
        let mut node = setup.start();
        (0..4 + round).for_each(|i| drop(node.request(&quota(&format!("round-{round}-{i}")))));
        node.terminate();
        assert!(node.wait_for_exit().success());
        left = leases();
        assert!(left.0, "it ended in good order");
        if left.1 >= 1.0 {
            break;
        }
    }
    let Some(calls) = (left.1 >= 1.0).then(|| counter.total()) else {
        panic!("no lease was left");
    };
    let node = setup.start();
    assert_eq!(report(&node)["trusted"]["in_good_order"], json!(true));
    // Spent with no word of the counter, unless the window has turned meanwhile.
    let trusted = report(&node)["trusted"]["with_leases"].as_u64();
    assert_eq!(trusted, Some(1));
    assert!(!leases().0 && leases().1 == 0.0, "nobody finds them twice");
    assert!(counter.total() >= calls);
}

#[test]
fn workers_out_by_hand_stay_out_and_the_list_of_before_serves_while_discovery_is_silent() {
    let place = Place::new();
    let other = Worker::start(Behaviour::Respond("there"));
    let (mut setup, discovery) = place.setup(0);
    let version = discovery.upsert(discovery_entry("w1", other.addr, "SERVING"));
    let mut node = setup.start();
    discovery.wait_for_watch_from(version);
    assert_eq!(node.admin_status("POST /control/workers/w0/offline"), 200);
    until(&node, synced);
    let told = || {
        let told = state(&["show", "--json"], &place.state(0));
        serde_json::from_slice::<Value>(&told.stdout).expect("JSON")
    };
    let start = Instant::now();
    while told()["workers"] != json!(2) {
        assert!(start.elapsed() < LIMIT, "{}", told());
    }
    assert_eq!(told()["out_by_hand"], json!(["w0"]));
    kill(&mut node);
    // Discovery comes back last, and the configuration lists nobody.
    discovery.set_silent(true);
    setup.initial_servers = Vec::new();
    let node = setup.start();
    let report = until(&node, |r| step(r, "list of workers").is_some());
    assert!(step(&report, "list of workers").is_some_and(|s| s.contains("earlier list")), "{report}");
    assert_eq!(report["trusted"]["out_by_hand"], json!(["w0"]));
    let asked = Instant::now();
    while node.request(&ClientRequest::new("old-list")).status() != 200 {
        assert!(asked.elapsed() < LIMIT, "it has a worker");
    }
    other.next_request();
    assert!(place.worker.drain_requests().is_empty(), "the other one is out by hand");
}

#[test]
fn an_upgrade_hands_the_folder_on_and_a_killed_heir_gives_it_back() {
    let place = Place::new();
    let (setup, _discovery) = place.setup(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let old = setup.start_on_listener(&listener, &place.folder);
    assert_eq!(spend(&old, "before"), 4);
    until(&old, synced);
    // A process that has handed over leaves a moment after its last client, so one is kept waiting for its answer.
    let gate = Arc::new(Gate::default());
    place.worker.set_behaviour(Behaviour::RespondWhenOpened(gate.clone()));
    let mut client = old.connect();
    client.send(&ClientRequest::submit("waits"));
    while place.worker.next_request().1.header("x-txn") != "waits" {}
    place.worker.set_behaviour(Behaviour::Respond("here"));
    let mut new = setup.start_on_listener(&listener, &place.folder);
    assert_eq!(until(&new, synced)["trusted"]["from"], json!("the process before"));
    assert_eq!(report(&old)["journal"]["holds"], json!(false));
    kill(&mut new);
    until(&old, synced);
    assert_eq!(spend(&old, "again"), 0, "what it had granted before went to the heir, who is gone");
    gate.open();
    assert_eq!(client.read_response().expect("an answer").status(), 200);
}

#[test]
fn wrong_use_of_the_tools_is_told_apart_from_damage() {
    let place = Place::new();
    assert_eq!(state(&["verify"], &place.folder).status.code(), Some(2), "no journal there");
    assert_eq!(state(&["mend"], &place.folder).status.code(), Some(2), "no such call");
    std::fs::write(place.folder.join("journal"), "something else").expect("a file");
    assert_eq!(state(&["show"], &place.folder).status.code(), Some(2));
    let (setup, _discovery) = place.setup(0);
    let mut node = setup.start();
    assert_eq!(spend(&node, "some"), 4);
    until(&node, synced);
    kill(&mut node);
    let compact = state(&["compact", "--json"], &place.state(0));
    let told: Value = serde_json::from_slice(&compact.stdout).expect("JSON");
    assert_eq!(
        (compact.status.code(), told["after"].as_u64() < told["before"].as_u64()),
        (Some(0), true),
        "{told}"
    );
    let shown = String::from_utf8(state(&["show"], &place.state(0)).stdout).expect("text");
    assert!(shown.contains(CUSTOMER) && shown.contains("whole"), "{shown}");
}
