//! Gateways that know each other: several real processes on one machine's loopback, and what breaks between them.

mod fakes;

use fakes::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};

/// Addresses for datagrams that are free now: drawn together, so that they differ.
fn addrs(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    sockets.iter().map(|s| s.local_addr().expect("bound")).collect()
}

fn terms(own: SocketAddr, seeds: &[SocketAddr]) -> Value {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    json!({"listen": own.to_string(), "seeds": seeds, "name": "test"})
}

/// Gateway `me` of `addrs.len()`, with an address for the operators.
fn setup(me: usize, addrs: &[SocketAddr], worker: &Worker) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(&[worker]);
    setup.settings["Me"] = json!(me);
    setup.settings["PeersTotal"] = json!(addrs.len());
    setup.has_admin_api = true;
    setup.fleet = Some(terms(addrs[me], addrs));
    (setup, discovery)
}

fn fleet(addrs: &[SocketAddr], worker: &Worker) -> Vec<(Node, NodeSetup, Discovery)> {
    let start = |me| {
        let (setup, discovery) = setup(me, addrs, worker);
        (setup.start(), setup, discovery)
    };
    (0..addrs.len()).map(start).collect()
}

fn report(node: &Node) -> Value {
    node.report("fleet")
}

/// Waits until a gateway's report fits.
fn until(node: &Node, fits: impl Fn(&Value) -> bool) -> Value {
    node.wait_for_report("fleet", fits)
}

fn members(n: usize) -> impl Fn(&Value) -> bool {
    move |report| report["members"] == json!(n)
}

#[test]
fn gateways_find_each_other_notice_a_death_and_a_return() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), addrs(4));
    let mut nodes = fleet(&addrs, &worker);
    nodes.iter().for_each(|(node, ..)| drop(until(node, members(3))));
    let (mut dead, setup, _discovery) = nodes.pop().expect("four");
    dead.child.kill().expect("its own child");
    dead.child.wait().expect("its own child");
    nodes.iter().for_each(|(node, ..)| drop(node.wait_for_log("fleet: gateway 3")));
    nodes.iter().for_each(|(node, ..)| drop(until(node, members(2))));
    // The same name and address, another start.
    let back = setup.start();
    until(&back, members(3));
    nodes.iter().for_each(|(node, ..)| drop(until(node, members(3))));
    // In good order: the others need not suspect it first.
    back.terminate();
    nodes.iter().for_each(|(node, ..)| drop(until(node, members(2))));
}

#[test]
fn a_whole_fleet_that_starts_again_finds_itself_again() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), addrs(3));
    let first = fleet(&addrs, &worker);
    first.iter().for_each(|(node, ..)| drop(until(node, members(2))));
    let starts: Vec<Value> = first.iter().map(|(node, ..)| report(node)["start"].clone()).collect();
    drop(first);
    let second = fleet(&addrs, &worker);
    for ((node, ..), before) in second.iter().zip(starts) {
        let report = until(node, members(2));
        assert!(report["start"].as_u64() > before.as_u64());
    }
}

#[test]
fn what_one_gateway_spent_is_spent_at_the_others() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), addrs(2));
    let nodes = fleet(&addrs, &worker);
    nodes.iter().for_each(|(node, ..)| drop(until(node, members(1))));
    let (a, b, customer) = (&nodes[0].0, &nodes[1].0, "00000000b4d65521");
    let ask = |i: usize| {
        ClientRequest::new(&format!("spend-{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", customer)
    };
    let served = |node: &Node, from: usize| {
        (from..from + 12).filter(|i| node.request(&ask(*i)).status() == 200).count()
    };
    // Of a burst of eight and next to no rate.
    let of_a = served(a, 0);
    assert!((4..=8).contains(&of_a), "{of_a} at the first");
    // All of it has been told once nothing waits there any more.
    until(a, |r| r["waiting"] == json!(0));
    until(b, |r| r["customers"] == json!(1));
    let of_b = served(b, 100);
    assert!(of_a + of_b <= 8, "{of_a} and {of_b} of a burst of eight");
}

#[test]
fn a_flood_of_datagrams_from_nobody_is_passed_over_while_requests_are_served() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), addrs(2));
    let nodes = fleet(&addrs, &worker);
    nodes.iter().for_each(|(node, ..)| drop(until(node, members(1))));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let stop = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (mut rng, mut bytes) = (fastrand::Rng::with_seed(4), [0; 1300]);
            // As fast as it goes, and bounded: random, cut short, too long, and of another version.
            for i in 0..300_000 {
                if stop.load(std::sync::atomic::Ordering::Relaxed) {
                    break;
                }
                bytes[..4].copy_from_slice(if i % 2 == 0 { b"opfl" } else { b"none" });
                bytes[4] = if i % 3 == 0 { 1 } else { 2 };
                bytes[5..40].iter_mut().for_each(|b| *b = rng.u8(..));
                let length = [0, 3, 20, 400, 1300][rng.usize(..5)];
                // A full buffer drops it, which is what is wanted.
                let _ = socket.send_to(&bytes[..length], addrs[0]);
            }
        });
        for i in 0..200 {
            assert_eq!(nodes[0].0.request(&ClientRequest::new(&format!("flooded-{i}"))).status(), 200);
        }
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    let report = until(&nodes[0].0, |r| r["traffic"]["damaged"].as_u64() > Some(0));
    assert!(report["traffic"]["other_version"].as_u64() > Some(0), "{report}");
    until(&nodes[0].0, members(1));
    assert_eq!(report["customers"], json!(1), "none but its own client's");
}

#[test]
fn a_fleet_is_switched_on_and_off_by_sighup_and_a_taken_address_is_told() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), addrs(2));
    let (mut first, _discovery) = setup(0, &addrs, &worker);
    first.fleet = None;
    let a = first.start();
    assert_eq!(a.admin_status("GET /control/fleet"), 404, "off unless the configuration names it");
    let (second, _other) = setup(1, &addrs, &worker);
    let b = second.start();
    first.fleet = Some(terms(addrs[0], &addrs));
    a.reload(&first.config().to_string());
    until(&b, members(1));
    let off = {
        let mut off = terms(addrs[0], &addrs);
        off["on"] = json!(false);
        off
    };
    first.fleet = Some(off);
    a.reload(&first.config().to_string());
    until(&b, members(0));
    a.wait_for_log("has left the fleet");
    // Another process at the address of the second: it serves, and says why it is not heard of.
    let twin = second.start();
    twin.wait_for_log("fleet: can't bind");
    assert_eq!(twin.request(&ClientRequest::new("twin")).status(), 200);
}

#[test]
fn terms_that_are_wrong_are_refused_with_their_key() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.fleet = Some(json!({"listen": "nowhere", "name": "x"}));
    let done = setup.run_with_config_text(&setup.config().to_string(), &create_temp_folder());
    assert!(!done.status.success());
    let said = String::from_utf8(done.stderr).expect("text");
    assert!(said.contains("fleet"), "{said}");
}
