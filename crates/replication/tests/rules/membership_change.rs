//! Membership changes, and when a learner has caught up (thesis §4.1, §4.2.1).

use crate::support::{MEGABYTE, accept, advance, elect, leader_with_learner, replica, restored, synced};
use opalrun_replication::{Member, MemberId, Membership, Replica, timing};

fn voters(membership: &Membership) -> Vec<MemberId> {
    membership.voters().collect()
}

/// Commits two 1 MiB commands every 100 ms while the learner stays `entries` entries behind the leader. Returns the voters
/// at the end.
fn voters_with_a_learner_behind_by(entries: u64) -> Vec<MemberId> {
    let (mut replica, mut now) = leader_with_learner();
    advance(&mut replica, &mut now, None);
    for _ in 0..40 {
        for _ in 0..2 {
            replica.propose(vec![0; MEGABYTE]).expect("below the limit of uncommitted entries");
        }
        synced(&mut replica);
        let matched = replica.last_index().saturating_sub(entries);
        advance(&mut replica, &mut now, Some(matched.0));
    }
    voters(replica.membership())
}

#[test]
fn a_learner_that_lags_by_a_second_of_long_commands_has_not_caught_up() {
    assert_eq!(voters_with_a_learner_behind_by(20), [1, 2, 3].map(MemberId), "the learner is 20 MiB behind");
}

#[test]
fn a_learner_catches_up_while_commands_are_committed() {
    assert_eq!(voters_with_a_learner_behind_by(2), [1, 2, 3, 4].map(MemberId));
}

/// Until an entry of its own term is committed, a leader's log may contain an uncommitted membership change that other
/// members have already replaced.
#[test]
fn a_new_leader_does_not_change_the_membership_until_its_first_entry_is_committed() {
    let mut replica = replica(1, restored(&[1, 2, 3], 1, &[1]));
    let mut now = elect(&mut replica, &[2, 3]);
    synced(&mut replica);
    let member = |identity: u64| Member {
        identity: MemberId(identity),
        address: identity.to_string(),
        is_voter: true,
    };
    replica.set_desired_members((1..=4).map(member).collect());
    let mut heartbeat = |replica: &mut Replica, matched: u64| {
        now += timing::HEARTBEAT_INTERVAL_MS;
        replica.tick(now);
        synced(replica);
        accept(replica, now, 2, 0, matched);
        synced(replica);
    };
    for _ in 0..3 {
        heartbeat(&mut replica, 1);
        assert!(replica.membership().get(MemberId(4)).is_none());
        assert_eq!(replica.committed_voters(), None, "the voters are not reported either");
    }
    heartbeat(&mut replica, 2);
    heartbeat(&mut replica, 2);
    assert!(replica.membership().get(MemberId(4)).is_some());
}

/// If two changes are in progress at once, a majority of the old and one of the new membership need not share a voter.
#[test]
fn a_membership_change_waits_until_the_previous_one_is_committed() {
    let (mut replica, mut now) = leader_with_learner();
    let member = |identity: u64| Member {
        identity: MemberId(identity),
        address: identity.to_string(),
        is_voter: true,
    };
    now += timing::HEARTBEAT_INTERVAL_MS;
    replica.tick(now);
    synced(&mut replica);
    assert!(
        replica.membership().get(MemberId(4)).is_some(),
        "the first change is in the log, but not committed"
    );
    replica.set_desired_members((1..=5).map(member).collect());
    for _ in 0..3 {
        now += timing::HEARTBEAT_INTERVAL_MS;
        replica.tick(now);
        synced(&mut replica);
        assert!(replica.membership().get(MemberId(5)).is_none());
    }
    let last = replica.last_index();
    accept(&mut replica, now, 2, 0, last.0);
    now += timing::HEARTBEAT_INTERVAL_MS;
    replica.tick(now);
    synced(&mut replica);
    assert!(replica.membership().get(MemberId(5)).is_some());
}
