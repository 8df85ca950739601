//! Membership of a fleet of gateways: several real processes on the loopback interface, with crashes and network faults.

mod fakes;

use fakes::*;
use serde_json::{Value, json};
use std::net::{SocketAddr, UdpSocket};

/// Returns `n` free UDP addresses; all are bound at once, so that they differ.
fn free_addrs(n: usize) -> Vec<SocketAddr> {
    let sockets: Vec<UdpSocket> =
        (0..n).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a free port")).collect();
    sockets.iter().map(|s| s.local_addr().expect("bound")).collect()
}

/// The `fleet` section of a configuration.
fn fleet_config(own: SocketAddr, seeds: &[SocketAddr]) -> Value {
    let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
    json!({"listen": own.to_string(), "seeds": seeds, "name": "test"})
}

/// Returns the set-up of gateway `index` of `addrs.len()`, with an admin address.
fn setup(index: usize, addrs: &[SocketAddr], worker: &Worker) -> (NodeSetup, Discovery) {
    let (mut setup, discovery) = NodeSetup::new(&[worker]);
    setup.settings["Me"] = json!(index);
    setup.settings["PeersTotal"] = json!(addrs.len());
    setup.has_admin_api = true;
    setup.fleet = Some(fleet_config(addrs[index], addrs));
    (setup, discovery)
}

/// Starts one gateway for each address.
fn fleet(addrs: &[SocketAddr], worker: &Worker) -> Vec<(Node, NodeSetup, Discovery)> {
    let start = |index| {
        let (setup, discovery) = setup(index, addrs, worker);
        (setup.start(), setup, discovery)
    };
    (0..addrs.len()).map(start).collect()
}

fn report(node: &Node) -> Value {
    node.report("fleet")
}

/// Waits until a gateway's fleet report satisfies the condition, and returns it.
fn until(node: &Node, condition: impl Fn(&Value) -> bool) -> Value {
    node.wait_for_report("fleet", condition)
}

/// Condition: the gateway sees `n` other members.
fn has_members(n: usize) -> impl Fn(&Value) -> bool {
    move |report| report["members"] == json!(n)
}

#[test]
fn gateways_discover_each_other_and_detect_a_crash_and_a_restart() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), free_addrs(4));
    let mut nodes = fleet(&addrs, &worker);
    nodes.iter().for_each(|(node, ..)| drop(until(node, has_members(3))));
    let (mut killed, setup, _discovery) = nodes.pop().expect("four gateways");
    killed.child.kill().expect("the child process");
    killed.child.wait().expect("the child process");
    nodes.iter().for_each(|(node, ..)| drop(node.wait_for_log("fleet: gateway 3")));
    nodes.iter().for_each(|(node, ..)| drop(until(node, has_members(2))));
    // A restart with the same name and address.
    let restarted = setup.start();
    until(&restarted, has_members(3));
    nodes.iter().for_each(|(node, ..)| drop(until(node, has_members(3))));
    // A clean shutdown: the member announces that it leaves, and is not suspected first.
    restarted.terminate();
    nodes.iter().for_each(|(node, ..)| drop(until(node, has_members(2))));
}

#[test]
fn gateways_discover_each_other_again_after_all_have_restarted() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), free_addrs(3));
    let first = fleet(&addrs, &worker);
    first.iter().for_each(|(node, ..)| drop(until(node, has_members(2))));
    let starts: Vec<Value> = first.iter().map(|(node, ..)| report(node)["start"].clone()).collect();
    drop(first);
    let second = fleet(&addrs, &worker);
    for ((node, ..), before) in second.iter().zip(starts) {
        let report = until(node, has_members(2));
        assert!(report["start"].as_u64() > before.as_u64());
    }
}

#[test]
fn units_spent_at_one_gateway_are_spent_at_the_others() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), free_addrs(2));
    let nodes = fleet(&addrs, &worker);
    nodes.iter().for_each(|(node, ..)| drop(until(node, has_members(1))));
    let (a, b, customer) = (&nodes[0].0, &nodes[1].0, "00000000b4d65521");
    let spend_request = |i: usize| {
        ClientRequest::new(&format!("spend-{i}"))
            .with_header("X-Plan", "pieni")
            .with_header("X-Customer", customer)
    };
    let served = |node: &Node, from: usize| {
        (from..from + 12).filter(|i| node.request(&spend_request(*i)).status() == 200).count()
    };
    // The plan has a burst of eight and almost no rate.
    let of_a = served(a, 0);
    assert!((4..=8).contains(&of_a), "{of_a} served at the first gateway");
    // Once nothing is waiting at the first gateway, it has reported all that it spent.
    until(a, |r| r["waiting"] == json!(0));
    until(b, |r| r["customers"] == json!(1));
    let of_b = served(b, 100);
    assert!(of_a + of_b <= 8, "{of_a} and {of_b} served of a burst of eight");
}

#[test]
fn a_flood_of_foreign_datagrams_is_ignored_while_requests_are_served() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), free_addrs(2));
    let nodes = fleet(&addrs, &worker);
    nodes.iter().for_each(|(node, ..)| drop(until(node, has_members(1))));
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let stop = std::sync::atomic::AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            let (mut rng, mut bytes) = (fastrand::Rng::with_seed(4), [0; 1300]);
            // Up to 300,000 datagrams without a pause: random, truncated, too long, and of another version.
            for i in 0..300_000 {
                if stop.load(std::sync::atomic::Ordering::Relaxed) {
                    break;
                }
                bytes[..4].copy_from_slice(if i % 2 == 0 { b"opfl" } else { b"none" });
                bytes[4] = if i % 3 == 0 { 1 } else { 2 };
                bytes[5..40].iter_mut().for_each(|b| *b = rng.u8(..));
                let length = [0, 3, 20, 400, 1300][rng.usize(..5)];
                // A full socket buffer drops the datagram, which is fine here.
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
    until(&nodes[0].0, has_members(1));
    assert_eq!(report["customers"], json!(1), "only the customer of its own client");
}

#[test]
fn sighup_switches_the_fleet_on_and_off_and_an_address_in_use_is_logged() {
    let (worker, addrs) = (Worker::start(Behaviour::Respond("here")), free_addrs(2));
    let (mut first, _discovery) = setup(0, &addrs, &worker);
    first.fleet = None;
    let a = first.start();
    assert_eq!(a.admin_status("GET /control/fleet"), 404, "off unless the configuration has a fleet section");
    let (second, _other) = setup(1, &addrs, &worker);
    let b = second.start();
    first.fleet = Some(fleet_config(addrs[0], &addrs));
    a.reload(&first.config().to_string());
    until(&b, has_members(1));
    let off = {
        let mut off = fleet_config(addrs[0], &addrs);
        off["on"] = json!(false);
        off
    };
    first.fleet = Some(off);
    a.reload(&first.config().to_string());
    until(&b, has_members(0));
    a.wait_for_log("has left the fleet");
    // A second process with the same fleet address serves requests, and logs that it can't join.
    let duplicate = second.start();
    duplicate.wait_for_log("fleet: can't bind");
    assert_eq!(duplicate.request(&ClientRequest::new("duplicate")).status(), 200);
}

#[test]
fn an_invalid_fleet_section_is_refused_and_its_key_is_named() {
    let worker = Worker::start(Behaviour::Respond("here"));
    let (mut setup, _discovery) = NodeSetup::new(&[&worker]);
    setup.fleet = Some(json!({"listen": "nowhere", "name": "x"}));
    let output = setup.run_with_config_text(&setup.config().to_string(), &create_temp_folder());
    assert!(!output.status.success());
    let error = String::from_utf8(output.stderr).expect("text");
    assert!(error.contains("fleet"), "{error}");
}
