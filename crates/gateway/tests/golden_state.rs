//! Golden files of the state that one process hands over to the next: it must stay readable between versions.

mod common;
#[path = "../../wire/tests/support/golden.rs"]
mod golden;

use common::*;
use golden::{case, check};
use opalrun_gateway::*;

/// A gateway with leased and spent units, observed servers and one server that is offline.
fn used_gateway() -> Rig {
    let mut rig = Rig::new(settings());
    let mut counter = Counter::default();
    assert!(counter.ask_many(&mut rig, "a", 12) > 0);
    let attempts = sends(&rig.actions.clone());
    for (number, (job, server)) in attempts.iter().enumerate() {
        rig.now += 0.01;
        let status = if number % 3 == 2 { Status::Error } else { Status::Ok };
        rig.outcome(job, 0, server, status);
    }
    rig.gateway.set_offline(rig.now, "c", true);
    rig
}

/// The JSON encoding of a state.
fn text(state: &State) -> String {
    serde_json::to_string(state).expect("a state can be encoded")
}

#[test]
fn a_state_decodes_and_encodes_as_in_earlier_versions() {
    let mut rig = used_gateway();
    let states = [("empty", State::default()), ("used", rig.gateway.hand_over(rig.now))];
    check(
        "gateway_state",
        &states.map(|(stem, state)| case(stem, text(&state))),
        |text| text.clone().into_bytes(),
        |bytes| text(&serde_json::from_slice::<State>(bytes).expect("a state")),
    );
}
