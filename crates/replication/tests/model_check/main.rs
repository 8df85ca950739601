//! A group of three replicas at small sizes, in every order of events: elections at any moment, messages that arrive late or
//! never, syncs, losses of power that take with them what was not synced, a disk that is lost and the change of members that
//! follows.
//!
//! What must hold: at most one leader in each term, who has every committed entry; the same entry committed everywhere at an
//! index; and a committed entry is on the disks of a majority, and of `hosts_lost + 1`, when its leader says so.

mod group;

use group::{Budget, Group, InvariantViolation, Mistake};
use opalrun_model_check::{Outcome, explore};

/// States that are explored of a size that is too large to be exhausted.
const NEAREST_STATES: usize = 12_000;
const LARGE_STATES: usize = 600_000;
/// Far above any size that is meant to be exhausted.
const ALL_STATES: usize = 2_000_000;

/// Whether larger sizes are asked for.
fn is_large() -> bool {
    std::env::var_os("OPALRUN_MODEL_CHECK").is_some_and(|value| value == "large")
}

fn nearest() -> usize {
    if is_large() { LARGE_STATES } else { NEAREST_STATES }
}

/// Where an exploration begins.
#[derive(Clone, Copy)]
enum Start {
    /// Nobody has heard of anybody.
    New,
    /// All follow a leader.
    Led,
    /// One has heard nothing of the leader that the others follow.
    LedWithPartitionedMember,
    /// Two have begun an election in the same term.
    TwoCandidates,
    /// One has lost its disk and was let in again, by entries or by a snapshot.
    Repaired { by_snapshot: bool },
}

fn check(group: &Group, start: Start, max_states: usize) -> Outcome<InvariantViolation> {
    let initial = match start {
        Start::New => group.new_group(),
        Start::Led => group.led(),
        Start::LedWithPartitionedMember => group.led_with_partitioned_member(),
        Start::TwoCandidates => group.two_candidates(),
        Start::Repaired { by_snapshot } => group.repaired(by_snapshot),
    };
    let outcome = explore(group, initial, max_states);
    println!("{} states, {} transitions, depth {}", outcome.states, outcome.transitions, outcome.depth);
    outcome
}

fn keeps_the_rules(budget: Budget, start: Start, max_states: usize) -> Outcome<InvariantViolation> {
    let outcome = check(&Group { budget, mistake: None }, start, max_states);
    assert_eq!(outcome.counterexample, None);
    outcome
}

fn find(budget: Budget, mistake: Mistake, start: Start) {
    let outcome = check(&Group { budget, mistake: Some(mistake) }, start, ALL_STATES);
    let counterexample = outcome.counterexample.unwrap_or_else(|| panic!("{mistake:?} was not found"));
    println!("{mistake:?}: {} after {} events", counterexample.violation, counterexample.events.len());
}

const NOTHING: Budget = Budget { timeouts: 0, proposals: 0, heartbeats: 0, power_losses: 0, disk_losses: 0 };

#[test]
fn one_election_is_exhausted() {
    let outcome = keeps_the_rules(Budget { timeouts: 1, ..NOTHING }, Start::New, ALL_STATES);
    assert!(outcome.is_exhaustive);
}

#[test]
fn one_proposal_is_exhausted() {
    let outcome = keeps_the_rules(Budget { proposals: 1, ..NOTHING }, Start::Led, ALL_STATES);
    assert!(outcome.is_exhaustive);
}

/// 51,290 states, which an unoptimised build does not reach soon: so all of them where larger sizes are asked for.
#[test]
fn a_proposal_and_a_heartbeat() {
    let budget = Budget { proposals: 1, heartbeats: 1, ..NOTHING };
    let outcome = keeps_the_rules(budget, Start::Led, nearest());
    assert!(outcome.is_exhaustive || !is_large());
}

#[test]
fn a_proposal_and_a_loss_of_power_are_exhausted() {
    let outcome =
        keeps_the_rules(Budget { proposals: 1, power_losses: 1, ..NOTHING }, Start::Led, ALL_STATES);
    assert!(outcome.is_exhaustive);
}

#[test]
fn two_candidates_to_a_depth() {
    keeps_the_rules(Budget { timeouts: 2, ..NOTHING }, Start::New, nearest());
}

#[test]
fn a_proposal_while_another_is_elected_to_a_depth() {
    keeps_the_rules(Budget { timeouts: 2, proposals: 1, power_losses: 1, ..NOTHING }, Start::Led, nearest());
}

#[test]
fn a_lost_disk_and_a_new_member_to_a_depth() {
    keeps_the_rules(Budget { proposals: 1, heartbeats: 4, disk_losses: 1, ..NOTHING }, Start::Led, nearest());
}

#[test]
fn a_partitioned_member_and_a_lost_disk_are_exhausted() {
    let budget = Budget { timeouts: 1, disk_losses: 1, ..NOTHING };
    assert!(keeps_the_rules(budget, Start::LedWithPartitionedMember, ALL_STATES).is_exhaustive);
}

#[test]
fn a_partitioned_member_and_a_loss_of_power_are_exhausted() {
    let budget = Budget { timeouts: 1, power_losses: 1, ..NOTHING };
    assert!(keeps_the_rules(budget, Start::LedWithPartitionedMember, ALL_STATES).is_exhaustive);
}

#[test]
fn two_candidates_in_one_term_and_a_loss_of_power_are_exhausted() {
    let budget = Budget { power_losses: 1, ..NOTHING };
    assert!(keeps_the_rules(budget, Start::TwoCandidates, ALL_STATES).is_exhaustive);
}

/// A second disk is lost after the first was replaced, so the members change a second time.
#[test]
fn a_second_lost_disk_after_a_repair_to_a_depth() {
    for by_snapshot in [false, true] {
        let budget = Budget { proposals: 1, heartbeats: 4, disk_losses: 1, ..NOTHING };
        keeps_the_rules(budget, Start::Repaired { by_snapshot }, nearest());
    }
}

#[test]
fn an_election_and_a_lost_disk_after_a_repair_are_exhausted() {
    for by_snapshot in [false, true] {
        let budget = Budget { timeouts: 1, disk_losses: 1, ..NOTHING };
        assert!(keeps_the_rules(budget, Start::Repaired { by_snapshot }, ALL_STATES).is_exhaustive);
    }
}

#[test]
fn an_election_and_a_loss_of_power_after_a_repair_are_exhausted() {
    for by_snapshot in [false, true] {
        let budget = Budget { timeouts: 1, power_losses: 1, ..NOTHING };
        assert!(keeps_the_rules(budget, Start::Repaired { by_snapshot }, ALL_STATES).is_exhaustive);
    }
}

#[test]
fn an_acknowledgement_before_the_sync_is_found() {
    let budget = Budget { proposals: 1, ..NOTHING };
    find(budget, Mistake::AcknowledgeBeforeSync, Start::Led);
}

#[test]
fn a_forgotten_vote_is_found() {
    let budget = Budget { power_losses: 1, ..NOTHING };
    find(budget, Mistake::ForgetVote, Start::TwoCandidates);
}

#[test]
fn a_member_without_its_disk_that_votes_as_before_is_found() {
    let budget = Budget { timeouts: 1, disk_losses: 1, ..NOTHING };
    find(budget, Mistake::KeepIdentityWithoutDisk, Start::LedWithPartitionedMember);
}
