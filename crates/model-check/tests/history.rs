//! Linearizability of histories of a compare-and-set register.

use opalrun_model_check::{Operation, SequentialSpec, check_linearizable};

#[derive(Debug, Clone, PartialEq, Eq)]
enum Call {
    Read,
    Swap { expected: u64, new: u64 },
}

struct Register;

impl SequentialSpec for Register {
    type Call = Call;
    type Reply = Result<u64, u64>;
    type State = u64;

    fn apply(&self, state: &u64, call: &Call) -> (u64, Result<u64, u64>) {
        match call {
            Call::Read => (*state, Ok(*state)),
            Call::Swap { expected, new } if expected == state => (*new, Ok(*new)),
            Call::Swap { .. } => (*state, Err(*state)),
        }
    }
}

type Recorded = Operation<Call, Result<u64, u64>>;

fn answered(called_at: u64, answered_at: u64, call: Call, reply: Result<u64, u64>) -> Recorded {
    Operation { called_at, answer: Some((answered_at, reply)), call }
}

fn unclear(called_at: u64, call: Call) -> Recorded {
    Operation { called_at, answer: None, call }
}

fn swap(expected: u64, new: u64) -> Call {
    Call::Swap { expected, new }
}

fn is_linearizable(history: &[Recorded]) -> bool {
    check_linearizable(&Register, &0, history).is_ok()
}

#[test]
fn sequential_operations_are_linearizable() {
    let history = [
        answered(1, 2, Call::Read, Ok(0)),
        answered(3, 4, swap(0, 5), Ok(5)),
        answered(5, 6, swap(0, 6), Err(5)),
        answered(7, 8, Call::Read, Ok(5)),
    ];
    assert!(is_linearizable(&history));
}

#[test]
fn a_read_after_an_acknowledged_write_must_see_it() {
    let history = [answered(1, 2, swap(0, 5), Ok(5)), answered(3, 4, Call::Read, Ok(0))];
    assert!(!is_linearizable(&history));
}

#[test]
fn reads_concurrent_with_a_write_may_see_either_value_but_not_go_back() {
    let change = answered(1, 9, swap(0, 5), Ok(5));
    let seen_then_not =
        [change.clone(), answered(2, 3, Call::Read, Ok(5)), answered(4, 5, Call::Read, Ok(0))];
    assert!(!is_linearizable(&seen_then_not));
    let not_then_seen = [change, answered(2, 3, Call::Read, Ok(0)), answered(4, 5, Call::Read, Ok(5))];
    assert!(is_linearizable(&not_then_seen));
}

#[test]
fn two_swaps_of_the_same_value_do_not_both_succeed() {
    let history = [answered(1, 9, swap(0, 5), Ok(5)), answered(1, 9, swap(0, 6), Ok(6))];
    assert!(!is_linearizable(&history));
}

#[test]
fn a_write_without_a_response_may_take_effect_at_any_time_or_never() {
    let never = [unclear(1, swap(0, 5)), answered(2, 3, Call::Read, Ok(0))];
    assert!(is_linearizable(&never));
    let late = [unclear(1, swap(0, 5)), answered(2, 3, Call::Read, Ok(0)), answered(8, 9, Call::Read, Ok(5))];
    assert!(is_linearizable(&late));
    let before_its_call = [answered(1, 2, Call::Read, Ok(5)), unclear(3, swap(0, 5))];
    assert!(!is_linearizable(&before_its_call));
    let gone_again =
        [unclear(1, swap(0, 5)), answered(2, 3, Call::Read, Ok(5)), answered(4, 5, Call::Read, Ok(0))];
    assert!(!is_linearizable(&gone_again));
}

#[test]
fn the_error_of_a_non_linearizable_history_names_the_inconsistent_candidate() {
    let history = [answered(1, 2, swap(0, 5), Ok(5)), answered(3, 4, Call::Read, Ok(0))];
    let error = check_linearizable(&Register, &0, &history).expect_err("the history is not linearizable");
    let error = error.to_string();
    assert!(error.contains("after 1 operations") && error.contains("1: "), "{error}");
}
