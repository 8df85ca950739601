//! Golden tests: every message between processes keeps its encoding, so that processes of different versions are compatible.

#[path = "support/golden.rs"]
mod golden;

use golden::{GoldenCase, case};
use opalrun_wire::{
    feed::{
        Change, ControlNode, FeedRequest, FeedUpdate, PartitionReplicas, Position, Replica, StoreMap,
        StoreNode, StoreState, Subscriber, Worker, WorkerFailures, WorkerState,
    },
    frame::{self, HEADER_BYTES, PROTOCOL_VERSION},
    ids::{Epoch, FeedOffset, Generation, NodeIdentity, Partition, Shard},
    store::{CountEntry, StoreReply, StoreRequest, Turn},
};

fn positions() -> Vec<Position> {
    vec![
        Position { shard: Shard(0), offset: FeedOffset(17) },
        Position { shard: Shard(3), offset: FeedOffset(u64::MAX) },
    ]
}

fn store_node(identity: u64, state: StoreState) -> StoreNode {
    StoreNode {
        identity: NodeIdentity(identity),
        node_name: format!("storage-{identity}"),
        address: format!("10.9.0.{identity}:7380"),
        zone: "zone-1".to_owned(),
        state,
    }
}

fn control_node(identity: u64) -> ControlNode {
    ControlNode {
        identity: NodeIdentity(identity),
        node_name: format!("core-{identity}"),
        peer_address: format!("10.8.0.{identity}:7380"),
        control_address: format!("10.8.0.{identity}:8144"),
        zone: "zone-2".to_owned(),
    }
}

fn worker(state: WorkerState) -> Worker {
    Worker {
        id: "i-0000002a".to_owned(),
        service: "alpha".to_owned(),
        address: "10.128.0.9:8080".to_owned(),
        zone: "zone-3".to_owned(),
        generation: "v7".to_owned(),
        capacity: 32,
        state,
        warmup_remaining_ms: 1_500,
        sequence: 9,
    }
}

fn worker_failures() -> Vec<WorkerFailures> {
    vec![
        WorkerFailures { worker: "i-0000002a".to_owned(), failures: 3 },
        WorkerFailures { worker: String::new(), failures: u32::MAX },
    ]
}

fn store_map() -> StoreMap {
    let complete = Replica { store: NodeIdentity(1), is_complete: true };
    let copying = Replica { store: NodeIdentity(2), is_complete: false };
    StoreMap {
        epoch: Epoch(12),
        stores: vec![
            store_node(1, StoreState::Active),
            store_node(2, StoreState::Retiring),
            store_node(3, StoreState::Retired),
        ],
        partitions: vec![
            PartitionReplicas { replicas: vec![complete, copying], sources: vec![NodeIdentity(3)] },
            PartitionReplicas { replicas: vec![complete], sources: Vec::new() },
            PartitionReplicas::default(),
        ],
    }
}

fn configuration() -> Change {
    Change::Configuration { generation: Generation(5), body: b"{\"generation\":5}".to_vec() }
}

fn changes() -> Vec<Change> {
    vec![
        configuration(),
        Change::ControlNodes(vec![control_node(1), control_node(2)]),
        Change::StoreMap(store_map()),
        Change::Worker(worker(WorkerState::Ready)),
        Change::WorkerGone { service: "alpha".to_owned(), id: "i-0000002b".to_owned() },
    ]
}

fn feed_requests() -> Vec<GoldenCase<FeedRequest>> {
    let subscribe = |subscriber: Subscriber| FeedRequest::Subscribe { subscriber, positions: positions() };
    vec![
        case(
            "subscribe_gatekeeper",
            subscribe(Subscriber::Gatekeeper {
                node_name: "edge-1".to_owned(),
                incarnation: 0x0102_0304_0506_0708,
                zone: "zone-1".to_owned(),
            }),
        ),
        case(
            "subscribe_store",
            subscribe(Subscriber::Store { node: store_node(7, StoreState::Active), bootstrap: true }),
        ),
        case(
            "subscribe_store_without_bootstrap",
            subscribe(Subscriber::Store { node: store_node(8, StoreState::Retiring), bootstrap: false }),
        ),
        case("subscribe_proxy", subscribe(Subscriber::Proxy)),
        case("heartbeat", FeedRequest::Heartbeat { positions: positions(), generation: Generation(5) }),
        case("worker_failures", FeedRequest::WorkerFailures(worker_failures())),
        case(
            "replicas_complete",
            FeedRequest::ReplicasComplete {
                store: NodeIdentity(7),
                epoch: Epoch(12),
                partitions: vec![Partition(0), Partition(5), Partition(31)],
            },
        ),
        case("shutdown_requested", FeedRequest::ShutdownRequested { store: NodeIdentity(7) }),
    ]
}

fn feed_updates() -> Vec<GoldenCase<FeedUpdate>> {
    vec![
        case(
            "snapshot",
            FeedUpdate::Snapshot { shard: Shard(2), offset: FeedOffset(40), changes: changes() },
        ),
        case(
            "snapshot_of_nothing",
            FeedUpdate::Snapshot { shard: Shard(2), offset: FeedOffset(0), changes: Vec::new() },
        ),
        case("changes", FeedUpdate::Changes { shard: Shard(1), offset: FeedOffset(41), changes: changes() }),
        case("fresh", FeedUpdate::Fresh { gatekeepers: 6 }),
        case(
            "suspects",
            FeedUpdate::Suspects(vec!["i-0000002a".to_owned(), "a longer id than fits in place".to_owned()]),
        ),
        case("no_suspects", FeedUpdate::Suspects(Vec::new())),
        case("unavailable", FeedUpdate::Unavailable),
        case("shutdown_decision_moving", FeedUpdate::ShutdownDecision { is_moving: true }),
        case("shutdown_decision_not_moving", FeedUpdate::ShutdownDecision { is_moving: false }),
    ]
}

fn single_changes() -> Vec<GoldenCase<Change>> {
    vec![
        case("configuration", configuration()),
        case("control_nodes", Change::ControlNodes(vec![control_node(1), control_node(2)])),
        case("store_map", Change::StoreMap(store_map())),
        case("store_map_before_the_first", Change::StoreMap(StoreMap::default())),
        case("worker_ready", Change::Worker(worker(WorkerState::Ready))),
        case("worker_draining", Change::Worker(worker(WorkerState::Draining))),
        case("worker_gone", Change::WorkerGone { service: "alpha".to_owned(), id: "i-0000002b".to_owned() }),
    ]
}

fn count_entry(holder: u64) -> CountEntry {
    CountEntry { holder, sequence: 4, taken: 1_000_000 }
}

fn turn() -> Turn {
    Turn {
        id: "turn-3".to_owned(),
        ancestors: vec!["turn-1".to_owned(), "turn-2 with a longer id".to_owned()],
        input: b"{\"prompt\":\"p\"}".to_vec(),
        output: b"one\ntwo\n".to_vec(),
        retention_ms: 60_000,
        worker: "i-0000002a".to_owned(),
    }
}

fn store_requests() -> Vec<GoldenCase<StoreRequest>> {
    vec![
        case(
            "write_count",
            StoreRequest::WriteCount {
                epoch: Epoch(12),
                program: "program-a".to_owned(),
                entry: count_entry(1),
            },
        ),
        case("put_turn", StoreRequest::PutTurn { epoch: Epoch(12), turn: turn() }),
        case("get_turn", StoreRequest::GetTurn { epoch: Epoch(12), id: "turn-3".to_owned() }),
        case(
            "extend_turns",
            StoreRequest::ExtendTurns {
                epoch: Epoch(12),
                partition: Partition(31),
                ids: vec!["turn-1".to_owned(), "turn-2 with a longer id".to_owned()],
                retention_ms: 60_000,
            },
        ),
        case(
            "copy_partition",
            StoreRequest::CopyPartition { epoch: Epoch(12), partition: Partition(31), cursor: 77 },
        ),
    ]
}

fn store_replies() -> Vec<GoldenCase<StoreReply>> {
    vec![
        case("count", StoreReply::Count { is_complete: true, entries: vec![count_entry(1), count_entry(2)] }),
        case("count_of_incomplete_replica", StoreReply::Count { is_complete: false, entries: Vec::new() }),
        case("stored", StoreReply::Stored { is_complete: true }),
        case("stored_by_incomplete_replica", StoreReply::Stored { is_complete: false }),
        case("turn", StoreReply::Turn { is_complete: true, turn: Some(turn()), left_ms: 130_000 }),
        case("turn_missing", StoreReply::Turn { is_complete: false, turn: None, left_ms: 0 }),
        case(
            "page",
            StoreReply::Page {
                counts: vec![
                    ("program-a".to_owned(), vec![count_entry(1)]),
                    ("program-b with a longer name".to_owned(), Vec::new()),
                ],
                turns: vec![(turn(), 130_000)],
                next: Some(78),
                is_complete: true,
            },
        ),
        case(
            "page_last",
            StoreReply::Page { counts: Vec::new(), turns: Vec::new(), next: None, is_complete: false },
        ),
        case("stale_epoch", StoreReply::StaleEpoch { epoch: Epoch(13) }),
        case("failed", StoreReply::Failed { code: 601 }),
    ]
}

/// Fails to compile when a variant is added to a message type, as a reminder that it needs a golden file.
fn _every_variant_has_a_case(
    request: &FeedRequest,
    update: &FeedUpdate,
    change: &Change,
    store_request: &StoreRequest,
    store_reply: &StoreReply,
) {
    match request {
        FeedRequest::Subscribe {
            subscriber: Subscriber::Gatekeeper { .. } | Subscriber::Store { .. } | Subscriber::Proxy,
            ..
        }
        | FeedRequest::Heartbeat { .. }
        | FeedRequest::WorkerFailures(_)
        | FeedRequest::ReplicasComplete { .. }
        | FeedRequest::ShutdownRequested { .. } => {}
    }
    match update {
        FeedUpdate::Snapshot { .. }
        | FeedUpdate::Changes { .. }
        | FeedUpdate::Fresh { .. }
        | FeedUpdate::Suspects(_)
        | FeedUpdate::Unavailable
        | FeedUpdate::ShutdownDecision { .. } => {}
    }
    match change {
        Change::Configuration { .. }
        | Change::ControlNodes(_)
        | Change::StoreMap(_)
        | Change::Worker(_)
        | Change::WorkerGone { .. } => {}
    }
    match store_request {
        StoreRequest::WriteCount { .. }
        | StoreRequest::PutTurn { .. }
        | StoreRequest::GetTurn { .. }
        | StoreRequest::ExtendTurns { .. }
        | StoreRequest::CopyPartition { .. } => {}
    }
    match store_reply {
        StoreReply::Count { .. }
        | StoreReply::Stored { .. }
        | StoreReply::Turn { .. }
        | StoreReply::Page { .. }
        | StoreReply::StaleEpoch { .. }
        | StoreReply::Failed { .. } => {}
    }
}

/// Checks the golden files of one message type.
macro_rules! check_messages {
    ($directory:literal, $cases:expr) => {
        golden::check(
            $directory,
            &$cases,
            |message| frame::encode(message).to_vec(),
            |body| frame::decode(body).expect("a golden file can be decoded"),
        )
    };
}

#[test]
fn feed_requests_keep_their_encoding() {
    check_messages!("feed_request", feed_requests());
}

#[test]
fn feed_updates_keep_their_encoding() {
    check_messages!("feed_update", feed_updates());
}

#[test]
fn changes_keep_their_encoding() {
    check_messages!("change", single_changes());
}

#[test]
fn store_requests_keep_their_encoding() {
    check_messages!("store_request", store_requests());
}

#[test]
fn store_replies_keep_their_encoding() {
    check_messages!("store_reply", store_replies());
}

#[test]
fn frames_keep_their_header() {
    let frames = [
        case("heartbeat", FeedRequest::Heartbeat { positions: positions(), generation: Generation(5) }),
        case("shutdown_requested", FeedRequest::ShutdownRequested { store: NodeIdentity(7) }),
    ];
    golden::check("frame", &frames, frame::encode_frame, |bytes| {
        let (header, body) = bytes.split_first_chunk::<HEADER_BYTES>().expect("a frame has a header");
        let (body_bytes, checksum) = frame::parse_header(*header);
        assert_eq!(body_bytes, body.len());
        frame::check(body, checksum).expect("the checksum of the body");
        frame::decode(body).expect("the body can be decoded")
    });
}

#[test]
fn the_protocol_version_is_unchanged() {
    assert_eq!(PROTOCOL_VERSION, 2);
}
