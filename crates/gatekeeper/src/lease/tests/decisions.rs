//! Tests of the actions that the lease state machine requests for given sequences of events.

use crate::lease::{Action, LeaseError, Leases, TurnBudget, TurnId};
use std::rc::Rc;
use std::time::Duration;

const START: Duration = Duration::from_secs(5);

fn ms(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

fn turn_budget(budget: u64, max_units: u64) -> TurnBudget {
    TurnBudget { budget, max_units }
}

fn acquire(current: u64, requested: u64) -> Action {
    Action::Acquire { program: Rc::from("p"), current, requested }
}

fn write(taken: u64) -> Action {
    Action::Write { program: Rc::from("p"), taken }
}

fn covered(turn: TurnId) -> Action {
    Action::Decide { turn, decision: Ok(()) }
}

fn refused(turn: TurnId) -> Action {
    Action::Decide { turn, decision: Err(LeaseError::BudgetSpent) }
}

fn unavailable(turn: TurnId) -> Action {
    Action::Decide { turn, decision: Err(LeaseError::Unavailable) }
}

/// Creates leases with one turn whose maximum is reserved.
fn with_one_turn(budget: u64, max_units: u64) -> (Leases, TurnId) {
    let mut leases = Leases::new(1);
    let turn = leases.begin("p", turn_budget(budget, max_units), START);
    assert_eq!(leases.take_actions(), [acquire(0, max_units)]);
    leases.granted("p", 0, START);
    assert_eq!(leases.take_actions(), [covered(turn)]);
    (leases, turn)
}

#[test]
fn a_turn_is_accepted_once_its_maximum_is_granted() {
    let (leases, _) = with_one_turn(1080, 135);
    assert!(leases.next_wake().is_some());
}

#[test]
fn units_unused_by_a_turn_cover_the_next_turn_without_an_acquisition() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.record_units(first, 30, ms(10));
    leases.end(first, ms(20));
    let second = leases.begin("p", turn_budget(10_000, 70), ms(30));
    assert_eq!(leases.take_actions(), [covered(second)]);
}

#[test]
fn an_acquired_block_is_sized_to_recent_demand() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.record_units(first, 100, ms(10));
    leases.begin("p", turn_budget(10_000, 50), ms(10));
    assert_eq!(leases.take_actions(), [acquire(100, 250)]);
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.record_units(first, 100, ms(10));
    leases.begin("p", turn_budget(10_000, 50), ms(60_000));
    assert_eq!(leases.take_actions(), [acquire(100, 150)]);
}

#[test]
fn turns_begun_during_an_acquisition_share_the_next_acquisition() {
    let mut leases = Leases::new(1);
    let first = leases.begin("p", turn_budget(10_000, 100), START);
    let second = leases.begin("p", turn_budget(10_000, 50), START);
    let third = leases.begin("p", turn_budget(10_000, 60), START);
    assert_eq!(leases.take_actions(), [acquire(0, 100)]);
    leases.granted("p", 0, ms(8));
    assert_eq!(leases.take_actions(), [covered(first), acquire(100, 210)]);
    leases.granted("p", 0, ms(16));
    assert_eq!(leases.take_actions(), [covered(second), covered(third)]);
}

#[test]
fn a_turn_beyond_the_budget_is_refused_at_once() {
    let mut leases = Leases::new(1);
    let turn = leases.begin("p", turn_budget(100, 101), START);
    assert_eq!(leases.take_actions(), [refused(turn)]);
    let (mut leases, _) = with_one_turn(150, 100);
    let second = leases.begin("p", turn_budget(150, 51), ms(1));
    assert_eq!(leases.take_actions(), [refused(second)]);
}

#[test]
fn the_smaller_of_two_budgets_is_enforced() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.record_units(first, 100, ms(1));
    leases.end(first, ms(2));
    let second = leases.begin("p", turn_budget(150, 60), ms(3));
    assert_eq!(leases.take_actions(), [refused(second)]);
    let third = leases.begin("p", turn_budget(10_000, 60), ms(4));
    assert_eq!(leases.take_actions(), [refused(third)]);
}

#[test]
fn excess_units_are_returned_and_the_turn_is_deferred_while_others_may_return_units() {
    let mut leases = Leases::new(1);
    let turn = leases.begin("p", turn_budget(300, 100), START);
    leases.take_actions();
    leases.granted("p", 250, ms(8));
    assert_eq!(leases.take_actions(), [write(0)]);
    let retry = leases.next_wake().unwrap();
    assert!(retry > ms(8) && retry <= ms(18));
    leases.tick(retry);
    assert_eq!(leases.take_actions(), [acquire(0, 100)]);
    leases.granted("p", 200, ms(30));
    assert_eq!(leases.take_actions(), [covered(turn)]);
}

#[test]
fn a_turn_is_refused_after_the_reclaim_timeout_and_the_next_one_at_once() {
    let mut leases = Leases::new(1);
    let turn = leases.begin("p", turn_budget(300, 100), START);
    let mut now = START;
    let mut decided = None;
    while decided.is_none() {
        for action in leases.take_actions() {
            match action {
                Action::Acquire { .. } => leases.granted("p", 250, now),
                Action::Decide { turn, decision } => decided = Some((turn, decision)),
                Action::Write { taken, .. } => assert_eq!(taken, 0),
            }
        }
        if decided.is_none() {
            now = leases.next_wake().unwrap();
            leases.tick(now);
        }
    }
    assert_eq!(decided, Some((turn, Err(LeaseError::BudgetSpent))));
    assert!((ms(600)..=ms(900)).contains(&now), "{now:?}");
    let second = leases.begin("p", turn_budget(300, 100), now);
    leases.take_actions();
    leases.granted("p", 250, now);
    assert_eq!(leases.take_actions()[0], refused(second));
    let third = leases.begin("p", turn_budget(300, 100), now);
    leases.take_actions();
    leases.granted("p", 200, now);
    assert_eq!(leases.take_actions()[0], covered(third));
}

#[test]
fn turns_of_an_unanswered_acquisition_are_unavailable_rather_than_refused() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    let second = leases.begin("p", turn_budget(10_000, 100), ms(1));
    leases.take_actions();
    let third = leases.begin("p", turn_budget(10_000, 10), ms(2));
    leases.unavailable("p", ms(401));
    let actions = leases.take_actions();
    assert_eq!(actions, [unavailable(second), acquire(100, 110)]);
    leases.granted("p", 0, ms(410));
    assert_eq!(leases.take_actions(), [covered(third)]);
    leases.end(first, ms(420));
}

#[test]
fn a_waiting_turn_is_covered_by_units_released_by_another_turn() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    let second = leases.begin("p", turn_budget(10_000, 80), ms(1));
    leases.take_actions();
    leases.record_units(first, 20, ms(2));
    leases.end(first, ms(3));
    assert_eq!(leases.take_actions(), [covered(second)]);
    leases.granted("p", 0, ms(8));
    assert_eq!(leases.take_actions(), []);
}

#[test]
fn idle_units_are_returned_within_half_a_second_while_another_turn_runs() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.begin("p", turn_budget(10_000, 100), ms(1));
    leases.take_actions();
    leases.granted("p", 0, ms(2));
    leases.take_actions();
    leases.record_units(first, 40, ms(3));
    leases.end(first, ms(4));
    while leases.take_actions() != [write(140)] {
        let now = leases.next_wake().unwrap();
        assert!(now <= ms(504), "{now:?}");
        leases.tick(now);
    }
}

#[test]
fn surplus_units_are_returned_at_once_when_little_budget_is_left() {
    let (mut leases, first) = with_one_turn(400, 100);
    leases.record_units(first, 40, ms(1));
    leases.end(first, ms(2));
    assert_eq!(leases.take_actions(), [write(40)]);
}

#[test]
fn draining_returns_all_units_that_no_turn_needs() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    let second = leases.begin("p", turn_budget(10_000, 100), ms(1));
    leases.take_actions();
    leases.granted("p", 0, ms(2));
    leases.take_actions();
    leases.record_units(first, 40, ms(3));
    leases.end(first, ms(4));
    leases.drain();
    assert_eq!(leases.take_actions(), [write(140)]);
    leases.record_units(second, 30, ms(5));
    leases.end(second, ms(6));
    assert_eq!(leases.take_actions(), [write(70)]);
}

#[test]
fn units_beyond_a_turns_maximum_are_counted() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.record_units(first, 102, ms(1));
    leases.end(first, ms(2));
    assert_eq!(leases.take_actions(), [write(102)]);
}

#[test]
fn a_turn_abandoned_while_waiting_leaves_no_units_taken() {
    let mut leases = Leases::new(1);
    let turn = leases.begin("p", turn_budget(10_000, 100), START);
    leases.take_actions();
    leases.end(turn, ms(1));
    leases.granted("p", 0, ms(8));
    let mut now = ms(8);
    while let Some(wake) = leases.next_wake() {
        now = wake;
        leases.tick(now);
    }
    assert_eq!(leases.take_actions(), [write(0)]);
    assert!(now <= ms(758), "{now:?}");
}

#[test]
fn calls_for_unknown_turns_and_programs_do_nothing() {
    let (mut leases, first) = with_one_turn(10_000, 100);
    leases.end(first, ms(1));
    leases.end(first, ms(2));
    leases.record_units(first, 5, ms(3));
    leases.granted("q", 0, ms(4));
    leases.granted("p", 0, ms(4));
    leases.unavailable("q", ms(5));
    assert_eq!(leases.take_actions(), []);
}
