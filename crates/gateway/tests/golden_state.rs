//! Golden files of the state that one process hands over to the next: it must stay readable between versions.

mod common;
#[path = "../../wire/tests/support/golden.rs"]
mod golden;

use common::*;
use golden::{case, check};
use opalrun_gateway::*;

/// A gateway with leased and spent units, observed servers and one server that is offline.
fn used_gateway() -> Harness {
    let mut harness = Harness::new(settings());
    let mut counter = InstantCounter::default();
    assert!(counter.request_many(&mut harness, "a", 12) > 0);
    let attempts = sent_attempts(&harness.actions.clone());
    for (number, (job, server)) in attempts.iter().enumerate() {
        harness.now += 0.01;
        let status = if number % 3 == 2 { Status::Error } else { Status::Ok };
        harness.attempt_ended(job, 0, server, status);
    }
    harness.gateway.set_offline(harness.now, "c", true);
    harness
}

/// The JSON encoding of a state.
fn text(state: &State) -> String {
    serde_json::to_string(state).expect("a state can be encoded")
}

#[test]
fn a_state_decodes_and_encodes_as_in_earlier_versions() {
    let mut harness = used_gateway();
    let states = [("empty", State::default()), ("used", harness.gateway.hand_over(harness.now))];
    check(
        "gateway_state",
        &states.map(|(stem, state)| case(stem, text(&state))),
        |text| text.clone().into_bytes(),
        |bytes| text(&serde_json::from_slice::<State>(bytes).expect("a state")),
    );
}
