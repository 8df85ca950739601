//! Ejection of zones and their return to service: the built gateway program against fakes on loopback sockets.

mod fakes;
use fakes::*;
use serde_json::{Value, json};

/// Number of concurrent requests. Sequential requests would all go to the worker that responded fastest at first, and
/// a worker without requests can't be detected as failed; with one request per worker, each worker receives one.
const CONCURRENT_REQUESTS: usize = 6;

/// Three workers in each of two zones; the gateway is in the zone of the first three.
struct TwoZones {
    workers: Vec<Worker>,
    setup: NodeSetup,
    discovery: Discovery,
    /// Number of requests sent.
    sent: usize,
}

/// A discovery entry in `zone`.
fn zone_entry(id: &str, worker: &Worker, zone: &str) -> Value {
    let mut entry = discovery_entry(id, worker.addr, "SERVING");
    entry["zone"] = json!(zone);
    entry
}

impl TwoZones {
    fn new() -> Self {
        let workers: Vec<Worker> = (0..6).map(|_| Worker::start(Behaviour::Respond("ok"))).collect();
        let (mut setup, _) = NodeSetup::new(&workers.iter().collect::<Vec<_>>());
        let zone = |i: usize| if i < 3 { "hall-a" } else { "hall-b" };
        setup.initial_servers =
            workers.iter().enumerate().map(|(i, w)| zone_entry(&format!("w{i}"), w, zone(i))).collect();
        let discovery = Discovery::start(&setup.initial_servers);
        setup.discovery = discovery.addr;
        setup.settings["Dcs"] = json!(["hall-a", "hall-b"]);
        setup.has_admin_api = true;
        Self { workers, setup, discovery, sent: 0 }
    }

    /// Changes the workers of the gateway's own zone.
    fn set_own_zone_behaviour(&self, behaviour: &Behaviour) {
        self.workers[..3].iter().for_each(|w| w.set_behaviour(behaviour.clone()));
    }

    /// Sends [`CONCURRENT_REQUESTS`] requests at once; returns the number served.
    fn send_concurrently(&mut self, node: &Node) -> usize {
        let mut clients: Vec<Client> = (0..CONCURRENT_REQUESTS).map(|_| node.connect()).collect();
        for client in &mut clients {
            self.sent += 1;
            client.send(&ClientRequest::new(&format!("z{}", self.sent)).with_header("X-Remaining", "0.5"));
        }
        let served =
            |client: &mut Client| client.read_response().expect("a complete response").status() == 200;
        clients.iter_mut().map(|client| usize::from(served(client))).sum()
    }

    /// Sends requests until a log line contains `text`; returns the numbers of requests served and sent.
    fn send_until_logged(&mut self, node: &Node, text: &str) -> (usize, usize) {
        let (start, mut served, before) = (std::time::Instant::now(), 0, self.sent);
        loop {
            served += self.send_concurrently(node);
            if node.log.try_iter().any(|line| line.contains(text)) {
                return (served, self.sent - before);
            }
            assert!(start.elapsed() < LIMIT, "{text}: not logged within {} requests", self.sent - before);
        }
    }
}

fn zones(node: &Node) -> Vec<Value> {
    node.report("zones")["zones"].as_array().expect("a list").clone()
}

#[test]
fn a_zone_whose_workers_close_connections_is_ejected_and_used_again_when_they_respond() {
    let mut fixture = TwoZones::new();
    let node = fixture.setup.start();
    fixture.discovery.wait_for_watch_from(6);
    // On a busy test machine the own zone may respond slowly at first: waits until its measured latency has recovered
    // and the zone is preferred.
    let start = std::time::Instant::now();
    let report = loop {
        (0..5).for_each(|_| assert_eq!(fixture.send_concurrently(&node), CONCURRENT_REQUESTS));
        let report = zones(&node);
        if report[0]["share"].as_f64() > report[1]["share"].as_f64() {
            break report;
        }
        assert!(start.elapsed() < LIMIT, "the own zone is not preferred: {report:?}");
    };
    assert_eq!(
        (&report[0]["zone"], &report[0]["own"], &report[1]["own"]),
        (&json!("hall-a"), &json!(true), &json!(false))
    );
    fixture.set_own_zone_behaviour(&Behaviour::Close);
    fixture.send_until_logged(&node, "zone 0 ejected: Broken");
    let report = zones(&node);
    assert_eq!((&report[0]["left"]["why"], &report[0]["weight"]), (&json!("broken"), &json!(0.0)));
    // A response to a request that was open at the ejection would count as a sign of life of its worker; waits until
    // none is open.
    (0..3).for_each(|i| drop(node.wait_for_pool(&format!("w{i}"), |pool| pool["in_use"] == 0)));
    fixture.set_own_zone_behaviour(&Behaviour::Respond("back"));
    fixture.send_until_logged(&node, "zone 0 returned to service");
    let report = zones(&node);
    assert_eq!(
        (&report[0]["left"], &report[0]["cold"]),
        (&Value::Null, &json!(3)),
        "all three workers warm up, as none responded meanwhile"
    );
    assert_eq!(node.admin_status("POST /control/zones"), 405);
}

#[test]
fn a_silent_zone_is_ejected_and_its_at_most_once_requests_are_not_retried() {
    let mut fixture = TwoZones::new();
    let node = fixture.setup.start();
    fixture.discovery.wait_for_watch_from(6);
    (0..30).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("a{i}"))).status(), 200));
    fixture.workers.iter().for_each(|w| drop(w.drain_requests()));
    fixture.set_own_zone_behaviour(&Behaviour::NeverRespond);
    for i in 0..6 {
        // Each request is sent exactly once, to either zone.
        let status =
            node.request(&ClientRequest::submit(&format!("u{i}")).with_header("X-Remaining", "0.3")).status();
        assert!(matches!(status, 200 | 502), "{status}");
    }
    let received: usize = fixture.workers.iter().map(|w| w.drain_requests().len()).sum();
    assert_eq!(received, 6);
    fixture.send_until_logged(&node, "zone 0 ejected: Silent");
    let (served, sent) = (0..10).fold((0, 0), |(served, sent), i| {
        let request = ClientRequest::new(&format!("s{i}")).with_header("X-Remaining", "0.5");
        (served + usize::from(node.request(&request).status() == 200), sent + 1)
    });
    assert!(served + 2 >= sent, "{served} of {sent}: all requests but probes go to the other zone");
}

#[test]
fn unknown_zones_in_discovery_are_grouped_and_an_own_zone_missing_from_the_settings_is_rejected() {
    let mut fixture = TwoZones::new();
    let node = fixture.setup.start();
    let long = "x".repeat(10_000);
    for (i, zone) in ["", "nowhere", long.as_str()].into_iter().enumerate() {
        fixture.discovery.upsert(zone_entry(&format!("w{i}"), &fixture.workers[i], zone));
    }
    fixture.discovery.wait_for_watch_from(9);
    (0..12).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("o{i}"))).status(), 200));
    let report = zones(&node);
    assert_eq!(report.len(), 3, "{report:?}");
    assert_eq!(report[2]["zone"], Value::Null, "all zones missing from the settings form one zone");
    // All workers are in the unknown zone.
    for i in 3..6 {
        fixture.discovery.upsert(zone_entry(&format!("w{i}"), &fixture.workers[i], "nowhere"));
    }
    fixture.discovery.wait_for_watch_from(12);
    (0..12).for_each(|i| assert_eq!(node.request(&ClientRequest::new(&format!("p{i}"))).status(), 200));
    fixture.setup.settings["Locality"] = json!(2);
    node.reload(&fixture.setup.config().to_string());
    assert!(
        node.wait_for_log("configuration rejected, the present one stays in force")
            .contains("settings.Locality")
    );
    fixture.setup.settings["Dcs"] = json!(["hall-a", "hall-b", "hall-c"]);
    node.reload(&fixture.setup.config().to_string());
    node.wait_for_log("configuration reloaded");
    assert_eq!(node.request(&ClientRequest::new("q")).status(), 200);
    fixture.setup.settings["Locality"] = json!(7);
    let output =
        spawn_gateway(&fixture.setup.config().to_string()).wait_with_output().expect("the process exits");
    assert!(!output.status.success());
}
