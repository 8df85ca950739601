//! The model checker reaches every state and finds a shortest path to a violation.

use opalrun_model_check::{Fingerprint, Model, explore};
use snafu::Snafu;

/// The water-jug puzzle: two jugs, of three and five units, are filled, emptied and poured into each other.
struct Jugs {
    forbidden: Option<u32>,
}

const SIZES: [u32; 2] = [3, 5];

#[derive(Debug, Clone, PartialEq)]
enum Event {
    Fill(usize),
    Empty(usize),
    Pour(usize),
}

/// The large jug holds the forbidden number of units.
#[derive(Debug, Clone, PartialEq, Snafu)]
#[snafu(display("the large jug holds {units}"))]
struct ForbiddenFilling {
    units: u32,
}

impl Model for Jugs {
    type State = [u32; 2];
    type Event = Event;
    type InvariantViolation = ForbiddenFilling;

    fn events(&self, _: &[u32; 2]) -> Vec<Event> {
        (0..2).flat_map(|jug| [Event::Fill(jug), Event::Empty(jug), Event::Pour(jug)]).collect()
    }

    fn apply(&self, state: &mut [u32; 2], event: &Event) {
        match *event {
            Event::Fill(jug) => state[jug] = SIZES[jug],
            Event::Empty(jug) => state[jug] = 0,
            Event::Pour(from) => {
                let to = 1 - from;
                let poured = state[from].min(SIZES[to] - state[to]);
                state[from] -= poured;
                state[to] += poured;
            }
        }
    }

    fn check(&self, state: &[u32; 2]) -> Result<(), ForbiddenFilling> {
        match self.forbidden {
            Some(forbidden) if state[1] == forbidden => Err(ForbiddenFilling { units: forbidden }),
            _ => Ok(()),
        }
    }
}

#[test]
fn all_reachable_states_are_reached() {
    let outcome = explore(&Jugs { forbidden: None }, [0, 0], usize::MAX);
    // Of the 24 states, exactly those in which at least one jug is empty or full are reachable.
    assert_eq!((outcome.states, outcome.is_exhaustive), (16, true));
    assert_eq!(outcome.counterexample, None);
}

#[test]
fn a_violation_is_reported_with_a_shortest_sequence_of_events() {
    let outcome = explore(&Jugs { forbidden: Some(4) }, [0, 0], usize::MAX);
    let counterexample = outcome.counterexample.expect("the forbidden state is reachable");
    assert_eq!(counterexample.violation.to_string(), "the large jug holds 4");
    let events = ["Fill(1)", "Pour(1)", "Empty(0)", "Pour(1)", "Fill(1)", "Pour(1)"];
    assert_eq!(counterexample.events, events);
}

#[test]
fn a_state_limit_ends_the_search_and_the_outcome_is_not_exhaustive() {
    let outcome = explore(&Jugs { forbidden: None }, [0, 0], 3);
    assert!(!outcome.is_exhaustive && outcome.states >= 3);
}

#[test]
fn different_states_have_different_fingerprints() {
    assert_eq!(Fingerprint::of(&[1, 2]), Fingerprint::of(&[1, 2]));
    assert_ne!(Fingerprint::of(&[1, 2]), Fingerprint::of(&[2, 1]));
    assert_ne!(Fingerprint::of(&""), Fingerprint::of(&"\0"));
}
