//! Zones that go and return: the built program against fakes on loopback sockets.

mod fakes;
use fakes::*;
use serde_json::{Value, json};

/// Requests sent together. One at a time would all go to whichever worker answered quickest at first, and a worker
/// that is never asked can't be found broken: with as many as there are workers, each of them is asked.
const AT_ONCE: usize = 6;

/// Three workers in each of two zones; the gateway is in the first.
struct Halls {
    workers: Vec<Worker>,
    setup: NodeSetup,
    discovery: Discovery,
    asked: usize,
}

fn hall(id: &str, worker: &Worker, zone: &str) -> Value {
    let mut entry = discovery_entry(id, worker.addr, "SERVING");
    entry["zone"] = json!(zone);
    entry
}

impl Halls {
    fn new() -> Self {
        let workers: Vec<Worker> = (0..6).map(|_| Worker::start(Behaviour::Respond("ok"))).collect();
        let (mut setup, _) = NodeSetup::new(&workers.iter().collect::<Vec<_>>());
        let zone = |i: usize| if i < 3 { "hall-a" } else { "hall-b" };
        setup.initial_servers =
            workers.iter().enumerate().map(|(i, w)| hall(&format!("w{i}"), w, zone(i))).collect();
        let discovery = Discovery::start(&setup.initial_servers);
        setup.discovery = discovery.addr;
        setup.settings["Dcs"] = json!(["hall-a", "hall-b"]);
        setup.has_admin_api = true;
        Self { workers, setup, discovery, asked: 0 }
    }

    fn near(&self, does: &Behaviour) {
        self.workers[..3].iter().for_each(|w| w.set_behaviour(does.clone()));
    }

    /// Sends `AT_ONCE` requests together; how many of them were served.
    fn ask_together(&mut self, node: &Node) -> usize {
        let mut clients: Vec<Client> = (0..AT_ONCE).map(|_| node.connect()).collect();
        for client in &mut clients {
            self.asked += 1;
            client.send(&ClientRequest::new(&format!("z{}", self.asked)).with_header("X-Remaining", "0.5"));
        }
        let served = |client: &mut Client| client.read_response().expect("a whole answer").status() == 200;
        clients.iter_mut().map(|client| usize::from(served(client))).sum()
    }

    /// Asks until the log holds `text`; how many were served of how many.
    fn until(&mut self, node: &Node, text: &str) -> (usize, usize) {
        let (start, mut served, before) = (std::time::Instant::now(), 0, self.asked);
        loop {
            served += self.ask_together(node);
            if node.log.try_iter().any(|line| line.contains(text)) {
                return (served, self.asked - before);
            }
            assert!(start.elapsed() < LIMIT, "{text}: not within {} requests", self.asked - before);
        }
    }
}

fn zones(node: &Node) -> Vec<Value> {
    node.report("zones")["zones"].as_array().expect("a list").clone()
}

#[test]
fn a_zone_whose_workers_reset_is_left_and_used_again_when_they_answer() {
    let mut halls = Halls::new();
    let node = halls.setup.start();
    halls.discovery.wait_for_watch_from(6);
    // A busy machine may answer slowly near at first: the own zone is preferred once that news has faded.
    let start = std::time::Instant::now();
    let told = loop {
        (0..5).for_each(|_| assert_eq!(halls.ask_together(&node), AT_ONCE));
        let told = zones(&node);
        if told[0]["share"].as_f64() > told[1]["share"].as_f64() {
            break told;
        }
        assert!(start.elapsed() < LIMIT, "the own zone is not preferred: {told:?}");
    };
    assert_eq!(
        (&told[0]["zone"], &told[0]["own"], &told[1]["own"]),
        (&json!("hall-a"), &json!(true), &json!(false))
    );
    halls.near(&Behaviour::Close);
    halls.until(&node, "zone 0 ejected: Broken");
    let told = zones(&node);
    assert_eq!((&told[0]["left"]["why"], &told[0]["weight"]), (&json!("broken"), &json!(0.0)));
    // An answer to what was in hand when the zone was left would show that its workers have lived on.
    (0..3).for_each(|i| drop(node.wait_for_pool(&format!("w{i}"), |pool| pool["in_use"] == 0)));
    halls.near(&Behaviour::Respond("back"));
    halls.until(&node, "zone 0 returned to service");
    let told = zones(&node);
    assert_eq!(
        (&told[0]["left"], &told[0]["cold"]),
        (&Value::Null, &json!(3)),
        "none was heard of meanwhile"
    );
    assert_eq!(node.admin_status("POST /control/zones"), 405);
}

#[test]
fn a_silent_zone_is_left_and_an_unsafe_request_there_is_not_sent_again() {
    let mut halls = Halls::new();
    let node = halls.setup.start();
    halls.discovery.wait_for_watch_from(6);
    (0..30).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("a{i}"))).status(), 200));
    halls.workers.iter().for_each(|w| drop(w.drain_requests()));
    halls.near(&Behaviour::NeverRespond);
    for i in 0..6 {
        // Wherever it went, it went there once.
        let status =
            node.request(&ClientRequest::submit(&format!("u{i}")).with_header("X-Remaining", "0.3")).status();
        assert!(matches!(status, 200 | 502), "{status}");
    }
    let seen: usize = halls.workers.iter().map(|w| w.drain_requests().len()).sum();
    assert_eq!(seen, 6);
    halls.until(&node, "zone 0 ejected: Silent");
    let (served, asked) = (0..10).fold((0, 0), |(served, asked), i| {
        let ask = ClientRequest::new(&format!("s{i}")).with_header("X-Remaining", "0.5");
        (served + usize::from(node.request(&ask).status() == 200), asked + 1)
    });
    assert!(served + 2 >= asked, "{served} of {asked}: all but trials go to the other zone");
}

#[test]
fn odd_zones_in_discovery_are_zones_and_an_own_one_that_nobody_names_is_refused() {
    let mut halls = Halls::new();
    let node = halls.setup.start();
    let long = "x".repeat(10_000);
    for (i, zone) in ["", "nowhere", long.as_str()].into_iter().enumerate() {
        halls.discovery.upsert(hall(&format!("w{i}"), &halls.workers[i], zone));
    }
    halls.discovery.wait_for_watch_from(9);
    (0..12).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("o{i}"))).status(), 200));
    let told = zones(&node);
    assert_eq!(told.len(), 3, "{told:?}");
    assert_eq!(told[2]["zone"], Value::Null, "what the settings do not name is one zone");
    // All workers in it.
    for i in 3..6 {
        halls.discovery.upsert(hall(&format!("w{i}"), &halls.workers[i], "nowhere"));
    }
    halls.discovery.wait_for_watch_from(12);
    (0..12).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("p{i}"))).status(), 200));
    halls.setup.settings["Locality"] = json!(2);
    node.reload(&halls.setup.config().to_string());
    assert!(
        node.wait_for_log("configuration rejected, the present one stays in force")
            .contains("settings.Locality")
    );
    halls.setup.settings["Dcs"] = json!(["hall-a", "hall-b", "hall-c"]);
    node.reload(&halls.setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    assert_eq!(node.request(&ClientRequest::new("q")).status(), 200);
    halls.setup.settings["Locality"] = json!(7);
    let output = spawn_gateway(&halls.setup.config().to_string()).wait_with_output().expect("it ends");
    assert!(!output.status.success());
}
