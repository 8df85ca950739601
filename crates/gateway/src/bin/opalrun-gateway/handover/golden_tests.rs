//! Checks against golden files that this version reads and writes the handover messages of earlier versions.

use super::*;
use crate::golden::{case, check};
use std::fmt::Debug;

/// JSON text of a message, compared in its place, as the message types don't implement equality.
#[derive(PartialEq)]
struct Text(String);

impl Debug for Text {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

fn text(value: &impl Serialize) -> Text {
    Text(serde_json::to_string(value).expect("a message is serializable"))
}

#[test]
fn messages_match_the_encoding_of_earlier_versions() {
    let messages = [
        ("serving", HandoverMessage::Serving),
        ("hand", HandoverMessage::WorkerSetOffline { id: "worker-1".into(), is_offline: true }),
        ("out", HandoverMessage::InFlight { attempts: vec![("customer-1".into(), 2)], descriptors: 31 }),
    ];
    check(
        "handover_message",
        &messages.map(|(stem, message)| case(stem, text(&message))),
        |text| text.0.clone().into_bytes(),
        |bytes| text(&serde_json::from_slice::<HandoverMessage>(bytes).expect("a valid message")),
    );
}

#[test]
fn the_handover_state_matches_the_encoding_of_earlier_versions() {
    let state = HandoverState {
        format_version: FORMAT_VERSION,
        state: State::default(),
        addresses: BTreeMap::from([("worker-1".into(), SocketAddr::from(([127, 0, 0, 1], 8080)))]),
        is_out_of_service: true,
        descriptors: 17,
        configuration_version: 4,
    };
    check(
        "handover_state",
        &[case("complete", text(&state))],
        |text| text.0.clone().into_bytes(),
        |bytes| text(&serde_json::from_slice::<HandoverState>(bytes).expect("a valid handover state")),
    );
}
