//! What the owner of shard 0 concludes of members from the passing of time.

use super::MemberFailureDetector;
use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use std::time::Duration;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn members(count: u64) -> Vec<ControlNode> {
    (1..=count)
        .map(|identity| ControlNode {
            identity: NodeIdentity(identity),
            node_name: format!("core-{identity}"),
            peer_address: String::new(),
            control_address: String::new(),
            zone: String::new(),
        })
        .collect()
}

/// Looks from `from` to `to` with member 4 silent all the while.
fn first_drop_while_silent(
    detector: &mut MemberFailureDetector,
    members: &[ControlNode],
    from: u64,
    to: u64,
) -> Option<(u64, NodeIdentity)> {
    let since_last_contact =
        |identity| if identity == NodeIdentity(4) { Duration::MAX } else { Duration::ZERO };
    (from..to).step_by(250).find_map(|at| {
        Some((at, detector.evaluate(members, NodeIdentity(1), since_last_contact, millis(at))?))
    })
}

#[test]
fn a_failed_member_is_dropped_if_enough_are_left() {
    let mut detector = MemberFailureDetector::new(3);
    assert_eq!(first_drop_while_silent(&mut detector, &members(4), 0, 10_000), Some((1750, NodeIdentity(4))));
    let mut detector = MemberFailureDetector::new(4);
    assert_eq!(first_drop_while_silent(&mut detector, &members(4), 0, 10_000), None);
}

#[test]
fn a_new_owner_watches_a_member_for_a_while_before_it_drops_it() {
    let mut detector = MemberFailureDetector::new(3);
    assert_eq!(first_drop_while_silent(&mut detector, &members(4), 0, 1500), None);
    detector.reset();
    assert_eq!(first_drop_while_silent(&mut detector, &members(4), 1500, 3000), None);
}

#[test]
fn an_owner_that_did_not_run_drops_no_member() {
    let mut detector = MemberFailureDetector::new(3);
    assert_eq!(first_drop_while_silent(&mut detector, &members(4), 0, 1000), None);
    assert_eq!(first_drop_while_silent(&mut detector, &members(4), 6000, 7500), None);
}
