//! Model check of a group of three replicas: every order of a limited number of events. Elections may begin at any time,
//! messages may be delayed or lost, a power failure loses writes that are not synced, and a lost disk leads to a membership
//! change.
//!
//! Checked properties: each term has at most one leader; the leader has every committed entry; all replicas commit the same
//! entry at an index; and when a leader commits an entry, it is on the disks of a majority and of at least `hosts_lost + 1`
//! voters.

mod group;

use group::{Budget, Group, InjectedFault, InvariantViolation};
use opalrun_model_check::{Outcome, explore};

/// Maximum number of states explored where exhaustive exploration takes too long.
const DEFAULT_STATE_LIMIT: usize = 12_000;
const LARGE_STATE_LIMIT: usize = 600_000;
/// Maximum number of states of an exhaustive exploration, well above the size of any state space that is to be exhausted.
const EXHAUSTIVE_STATE_LIMIT: usize = 2_000_000;

/// Returns whether the environment requests explorations of large state spaces.
fn is_large() -> bool {
    std::env::var_os("OPALRUN_MODEL_CHECK").is_some_and(|value| value == "large")
}

fn state_limit() -> usize {
    if is_large() { LARGE_STATE_LIMIT } else { DEFAULT_STATE_LIMIT }
}

/// The initial state of an exploration.
#[derive(Clone, Copy)]
enum Start {
    /// The members have just started.
    New,
    /// All members follow a leader.
    WithLeader,
    /// One member has received nothing from the leader that the others follow.
    WithLeaderAndPartitionedMember,
    /// Two candidates have begun an election in the same term.
    TwoCandidates,
    /// One member lost its disk and was added again under a new identity; it caught up by entries or by a snapshot.
    Repaired { by_snapshot: bool },
}

fn check(group: &Group, start: Start, max_states: usize) -> Outcome<InvariantViolation> {
    let initial = match start {
        Start::New => group.new_group(),
        Start::WithLeader => group.with_leader(),
        Start::WithLeaderAndPartitionedMember => group.with_leader_and_partitioned_member(),
        Start::TwoCandidates => group.two_candidates(),
        Start::Repaired { by_snapshot } => group.repaired(by_snapshot),
    };
    let outcome = explore(group, initial, max_states);
    println!("{} states, {} transitions, depth {}", outcome.states, outcome.transitions, outcome.depth);
    outcome
}

fn assert_safe(budget: Budget, start: Start, max_states: usize) -> Outcome<InvariantViolation> {
    let outcome = check(&Group { budget, injected_fault: None }, start, max_states);
    assert_eq!(outcome.counterexample, None);
    outcome
}

fn assert_detected(budget: Budget, injected_fault: InjectedFault, start: Start) {
    let outcome =
        check(&Group { budget, injected_fault: Some(injected_fault) }, start, EXHAUSTIVE_STATE_LIMIT);
    let counterexample =
        outcome.counterexample.unwrap_or_else(|| panic!("{injected_fault:?} was not detected"));
    println!("{injected_fault:?}: {} after {} events", counterexample.violation, counterexample.events.len());
}

const NO_EVENTS: Budget =
    Budget { timeouts: 0, proposals: 0, heartbeats: 0, power_losses: 0, disk_losses: 0 };

#[test]
fn one_election_is_safe_exhaustively() {
    let outcome = assert_safe(Budget { timeouts: 1, ..NO_EVENTS }, Start::New, EXHAUSTIVE_STATE_LIMIT);
    assert!(outcome.is_exhaustive);
}

#[test]
fn one_proposal_is_safe_exhaustively() {
    let outcome =
        assert_safe(Budget { proposals: 1, ..NO_EVENTS }, Start::WithLeader, EXHAUSTIVE_STATE_LIMIT);
    assert!(outcome.is_exhaustive);
}

/// The state space has 51,290 states, too many for an unoptimised build in a short time; it is explored exhaustively only if
/// large state spaces are requested.
#[test]
fn a_proposal_and_a_heartbeat_are_safe() {
    let budget = Budget { proposals: 1, heartbeats: 1, ..NO_EVENTS };
    let outcome = assert_safe(budget, Start::WithLeader, state_limit());
    assert!(outcome.is_exhaustive || !is_large());
}

#[test]
fn a_proposal_and_a_power_failure_are_safe_exhaustively() {
    let outcome = assert_safe(
        Budget { proposals: 1, power_losses: 1, ..NO_EVENTS },
        Start::WithLeader,
        EXHAUSTIVE_STATE_LIMIT,
    );
    assert!(outcome.is_exhaustive);
}

#[test]
fn two_candidates_are_safe_up_to_a_state_limit() {
    assert_safe(Budget { timeouts: 2, ..NO_EVENTS }, Start::New, state_limit());
}

#[test]
fn a_proposal_during_elections_is_safe_up_to_a_state_limit() {
    assert_safe(
        Budget { timeouts: 2, proposals: 1, power_losses: 1, ..NO_EVENTS },
        Start::WithLeader,
        state_limit(),
    );
}

#[test]
fn a_lost_disk_and_a_new_member_are_safe_up_to_a_state_limit() {
    assert_safe(
        Budget { proposals: 1, heartbeats: 4, disk_losses: 1, ..NO_EVENTS },
        Start::WithLeader,
        state_limit(),
    );
}

#[test]
fn a_partitioned_member_and_a_lost_disk_are_safe_exhaustively() {
    let budget = Budget { timeouts: 1, disk_losses: 1, ..NO_EVENTS };
    assert!(assert_safe(budget, Start::WithLeaderAndPartitionedMember, EXHAUSTIVE_STATE_LIMIT).is_exhaustive);
}

#[test]
fn a_partitioned_member_and_a_power_failure_are_safe_exhaustively() {
    let budget = Budget { timeouts: 1, power_losses: 1, ..NO_EVENTS };
    assert!(assert_safe(budget, Start::WithLeaderAndPartitionedMember, EXHAUSTIVE_STATE_LIMIT).is_exhaustive);
}

#[test]
fn two_candidates_in_one_term_and_a_power_failure_are_safe_exhaustively() {
    let budget = Budget { power_losses: 1, ..NO_EVENTS };
    assert!(assert_safe(budget, Start::TwoCandidates, EXHAUSTIVE_STATE_LIMIT).is_exhaustive);
}

/// A second disk is lost after the first was replaced, so the membership changes a second time.
#[test]
fn a_second_lost_disk_after_a_repair_is_safe_up_to_a_state_limit() {
    for by_snapshot in [false, true] {
        let budget = Budget { proposals: 1, heartbeats: 4, disk_losses: 1, ..NO_EVENTS };
        assert_safe(budget, Start::Repaired { by_snapshot }, state_limit());
    }
}

#[test]
fn an_election_and_a_lost_disk_after_a_repair_are_safe_exhaustively() {
    for by_snapshot in [false, true] {
        let budget = Budget { timeouts: 1, disk_losses: 1, ..NO_EVENTS };
        assert!(assert_safe(budget, Start::Repaired { by_snapshot }, EXHAUSTIVE_STATE_LIMIT).is_exhaustive);
    }
}

#[test]
fn an_election_and_a_power_failure_after_a_repair_are_safe_exhaustively() {
    for by_snapshot in [false, true] {
        let budget = Budget { timeouts: 1, power_losses: 1, ..NO_EVENTS };
        assert!(assert_safe(budget, Start::Repaired { by_snapshot }, EXHAUSTIVE_STATE_LIMIT).is_exhaustive);
    }
}

#[test]
fn acknowledgement_before_the_sync_is_detected() {
    let budget = Budget { proposals: 1, ..NO_EVENTS };
    assert_detected(budget, InjectedFault::AcknowledgeBeforeSync, Start::WithLeader);
}

#[test]
fn a_lost_vote_is_detected() {
    let budget = Budget { power_losses: 1, ..NO_EVENTS };
    assert_detected(budget, InjectedFault::ForgetVote, Start::TwoCandidates);
}

#[test]
fn reuse_of_an_identity_after_a_disk_loss_is_detected() {
    let budget = Budget { timeouts: 1, disk_losses: 1, ..NO_EVENTS };
    assert_detected(budget, InjectedFault::KeepIdentityWithoutDisk, Start::WithLeaderAndPartitionedMember);
}
