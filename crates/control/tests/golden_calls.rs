//! Calls between control processes keep their encoding, so that processes of different versions interoperate.

#[path = "../../wire/tests/support/golden.rs"]
mod golden;

use golden::{GoldenCase, case};
use opalrun_control::calls::{
    ControlAnswer, ControlCall, GatekeeperReport, StoreContact, SubscribedGatekeeper,
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{ControlNode, WorkerFailures},
    frame,
    ids::{Generation, NodeIdentity, Shard},
};

fn calls() -> Vec<GoldenCase<ControlCall>> {
    let failures = |worker: &str, failures| WorkerFailures { worker: worker.to_owned(), failures };
    vec![
        case("propose", ControlCall::Propose { shard: Shard(1), command: b"an encoded command".to_vec() }),
        case("read_index", ControlCall::ReadIndex { shard: Shard(2) }),
        case(
            "await_applied",
            ControlCall::AwaitApplied { shard: Shard(3), index: LogIndex(40), limit_ms: 300 },
        ),
        case("await_generation", ControlCall::AwaitGeneration { generation: Generation(5), limit_ms: 400 }),
        case(
            "renew_sessions",
            ControlCall::RenewSessions {
                shard: Shard(1),
                ids: vec!["i-0000002a".to_owned(), "a".to_owned(), "a longer id".to_owned()],
            },
        ),
        case(
            "store_contacts",
            ControlCall::StoreContacts {
                contacts: vec![
                    StoreContact { identity: NodeIdentity(7), age_ms: 20 },
                    StoreContact { identity: NodeIdentity(u64::MAX), age_ms: 0 },
                ],
            },
        ),
        case("gatekeepers", ControlCall::Gatekeepers { from: NodeIdentity(0x0102_0304_0506_0708), count: 6 }),
        case(
            "worker_failures",
            ControlCall::WorkerFailures(vec![
                GatekeeperReport {
                    reporter: 11,
                    failures: vec![failures("i-0000002a", 3), failures("", u32::MAX)],
                },
                GatekeeperReport { reporter: 12, failures: Vec::new() },
            ]),
        ),
        case(
            "join",
            ControlCall::Join(ControlNode {
                identity: NodeIdentity(4),
                node_name: "core-4".to_owned(),
                peer_address: "10.8.0.4:7380".to_owned(),
                control_address: "10.8.0.4:8144".to_owned(),
                zone: "zone-2".to_owned(),
            }),
        ),
        case("subscribers", ControlCall::Subscribers),
        case("voters", ControlCall::Voters { shard: Shard(3) }),
    ]
}

fn answers() -> Vec<GoldenCase<ControlAnswer>> {
    vec![
        case(
            "proposed",
            ControlAnswer::Proposed { index: LogIndex(41), outcome: b"an encoded outcome".to_vec() },
        ),
        case("not_owner", ControlAnswer::NotOwner),
        case("unavailable", ControlAnswer::Unavailable),
        case("offset", ControlAnswer::Offset(LogIndex(42))),
        case("gatekeepers", ControlAnswer::Gatekeepers(6)),
        case("suspects", ControlAnswer::Suspects(vec!["i-0000002a".to_owned(), "b".to_owned()])),
        case("done", ControlAnswer::Done),
        case(
            "subscribers",
            ControlAnswer::Subscribers(vec![
                SubscribedGatekeeper { node_name: "edge-1".to_owned(), generation: Generation(5) },
                SubscribedGatekeeper {
                    node_name: "edge-2 of a region".to_owned(),
                    generation: Generation(0),
                },
            ]),
        ),
        case("voters", ControlAnswer::Voters(vec![NodeIdentity(1), NodeIdentity(2), NodeIdentity(u64::MAX)])),
    ]
}

/// Fails to compile when a call or an answer gets a new variant, as a reminder to add a golden file.
fn _every_variant_has_a_case(call: &ControlCall, answer: &ControlAnswer) {
    match call {
        ControlCall::Propose { .. }
        | ControlCall::ReadIndex { .. }
        | ControlCall::AwaitApplied { .. }
        | ControlCall::AwaitGeneration { .. }
        | ControlCall::RenewSessions { .. }
        | ControlCall::StoreContacts { .. }
        | ControlCall::Gatekeepers { .. }
        | ControlCall::WorkerFailures(_)
        | ControlCall::Join(_)
        | ControlCall::Subscribers
        | ControlCall::Voters { .. } => {}
    }
    match answer {
        ControlAnswer::Proposed { .. }
        | ControlAnswer::NotOwner
        | ControlAnswer::Unavailable
        | ControlAnswer::Offset(_)
        | ControlAnswer::Gatekeepers(_)
        | ControlAnswer::Suspects(_)
        | ControlAnswer::Done
        | ControlAnswer::Subscribers(_)
        | ControlAnswer::Voters(_) => {}
    }
}

#[test]
fn control_calls_keep_their_encoding() {
    golden::check(
        "control_call",
        &calls(),
        |call| frame::encode(call).to_vec(),
        |bytes| frame::decode(bytes).expect("a golden file can be decoded"),
    );
}

#[test]
fn control_answers_keep_their_encoding() {
    golden::check(
        "control_answer",
        &answers(),
        |answer| frame::encode(answer).to_vec(),
        |bytes| frame::decode(bytes).expect("a golden file can be decoded"),
    );
}
