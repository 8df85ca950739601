//! Tests of the time-out after which the owner of shard 0 removes a failed member.

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

/// Evaluates every 250 ms from `from` to `to`, in milliseconds, with member 4 unreachable all the time. Returns the
/// time of the first removal and the member removed.
fn first_removal_while_unreachable(
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
fn a_failed_member_is_removed_if_enough_members_remain() {
    let mut detector = MemberFailureDetector::new(3);
    assert_eq!(
        first_removal_while_unreachable(&mut detector, &members(4), 0, 10_000),
        Some((1750, NodeIdentity(4)))
    );
    let mut detector = MemberFailureDetector::new(4);
    assert_eq!(first_removal_while_unreachable(&mut detector, &members(4), 0, 10_000), None);
}

#[test]
fn a_new_owner_waits_for_the_full_timeout_before_it_removes_a_member() {
    let mut detector = MemberFailureDetector::new(3);
    assert_eq!(first_removal_while_unreachable(&mut detector, &members(4), 0, 1500), None);
    detector.reset();
    assert_eq!(first_removal_while_unreachable(&mut detector, &members(4), 1500, 3000), None);
}

#[test]
fn an_owner_that_was_suspended_waits_for_the_full_timeout_again() {
    let mut detector = MemberFailureDetector::new(3);
    assert_eq!(first_removal_while_unreachable(&mut detector, &members(4), 0, 1000), None);
    assert_eq!(first_removal_while_unreachable(&mut detector, &members(4), 6000, 7500), None);
}
