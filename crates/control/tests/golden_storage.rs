//! Commands, their outcomes and the state of the shards keep the encoding of earlier builds.

#[path = "golden_storage/golden_file.rs"]
mod golden_file;

use opalrun_control::{
    configuration_shard::{ConfigurationCommand, ConfigurationOutcome},
    sessions::{ExpiredSession, SessionCommand, SessionOutcome},
    shards::Shards,
    store_map::{Liveness, Spread, StoreCommand, StoreOutcome},
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, ControlNode, StoreNode, StoreState, Worker, WorkerState},
    frame::encode,
    ids::{Epoch, Generation, NodeIdentity, Partition, Shard},
};

const SESSION_SHARD: u16 = 2;

fn control_node(identity: u64, machine: u64) -> ControlNode {
    ControlNode {
        identity: NodeIdentity(identity),
        node_name: format!("core-{machine}"),
        peer_address: format!("10.0.0.{machine}:7380"),
        control_address: format!("10.0.0.{machine}:8144"),
        zone: format!("zone-{machine}"),
    }
}

fn store_node(identity: u64, machine: u64) -> StoreNode {
    StoreNode {
        identity: NodeIdentity(identity),
        node_name: format!("state-{machine}"),
        address: format!("10.9.0.{machine}:7380"),
        zone: format!("zone-{machine}"),
        state: StoreState::Active,
    }
}

fn worker(id: &str, state: WorkerState, sequence: u64) -> Worker {
    Worker {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: "10.0.1.1:8080".to_owned(),
        zone: "zone-1".to_owned(),
        generation: "v1".to_owned(),
        capacity: 4,
        state,
        warmup_remaining_ms: 1500,
        sequence,
    }
}

fn put_configuration(if_match: u64, generation: u64) -> ConfigurationCommand {
    let body = format!("{{\"generation\":{generation}}}").into_bytes();
    ConfigurationCommand::PutConfiguration {
        if_match: Generation(if_match),
        generation: Generation(generation),
        body,
        sha256: [generation as u8; 32],
    }
}

fn spread_over_regions() -> Spread {
    let regions =
        vec![("zone-1".to_owned(), "region-1".to_owned()), ("zone-2".to_owned(), "region-2".to_owned())];
    Spread::over_regions(regions, 1, 2)
}

#[test]
fn configuration_commands_keep_their_encoding() {
    golden_file::check("command/put_configuration", &put_configuration(6, 7));
    golden_file::check(
        "command/admit_control",
        &ConfigurationCommand::AdmitControl { node: control_node(11, 1) },
    );
    golden_file::check(
        "command/drop_control",
        &ConfigurationCommand::DropControl { identity: NodeIdentity(11), min_members: 3 },
    );
}

#[test]
fn store_commands_keep_their_encoding() {
    let check = |name: &str, command: StoreCommand| {
        golden_file::check(name, &ConfigurationCommand::Store(command));
    };
    check("command/store_hello", StoreCommand::Join { node: store_node(21, 1) });
    check(
        "command/store_form_over_machines",
        StoreCommand::FormMap { replicas: 3, spread: Spread::over_machines() },
    );
    check(
        "command/store_form_over_zones",
        StoreCommand::FormMap { replicas: 5, spread: Spread::over_zones(1, 2) },
    );
    check(
        "command/store_form_over_regions",
        StoreCommand::FormMap { replicas: 5, spread: spread_over_regions() },
    );
    check("command/store_settled", StoreCommand::MarkEstablished { identity: NodeIdentity(21) });
    check(
        "command/store_silence_heard",
        StoreCommand::SetLiveness { identity: NodeIdentity(21), liveness: Liveness::Live },
    );
    check(
        "command/store_silence_short",
        StoreCommand::SetLiveness { identity: NodeIdentity(21), liveness: Liveness::Unavailable },
    );
    check(
        "command/store_silence_long",
        StoreCommand::SetLiveness { identity: NodeIdentity(21), liveness: Liveness::Dead },
    );
    check(
        "command/store_replicas_whole",
        StoreCommand::ReplicasComplete {
            store: NodeIdentity(21),
            epoch: Epoch(9),
            partitions: vec![Partition(0), Partition(5), Partition(31)],
        },
    );
    check("command/store_retire", StoreCommand::Retire { node_name: "state-1".to_owned() });
    check("command/store_leaving", StoreCommand::RequestShutdown { identity: NodeIdentity(21) });
}

#[test]
fn session_commands_keep_their_encoding() {
    golden_file::check(
        "command/session_put_ready",
        &SessionCommand::Put(worker("i-1", WorkerState::Ready, 3)),
    );
    golden_file::check(
        "command/session_put_draining",
        &SessionCommand::Put(worker("i-1", WorkerState::Draining, 4)),
    );
    golden_file::check("command/session_remove", &SessionCommand::Remove { id: "i-1".to_owned() });
    golden_file::check(
        "command/session_expire",
        &SessionCommand::Expire {
            workers: vec![
                ExpiredSession { id: "i-1".to_owned(), sequence: 3 },
                ExpiredSession { id: "i-2".to_owned(), sequence: 8 },
            ],
        },
    );
}

#[test]
fn outcomes_of_configuration_commands_keep_their_encoding() {
    let check = |name: &str, outcome: ConfigurationOutcome| golden_file::check(name, &outcome);
    check("outcome/accepted", ConfigurationOutcome::Accepted);
    check("outcome/already_accepted", ConfigurationOutcome::AlreadyAccepted);
    check("outcome/conflict", ConfigurationOutcome::Conflict { current: Generation(5) });
    check("outcome/not_above", ConfigurationOutcome::NotAbove { current: Generation(6) });
    check("outcome/directory", ConfigurationOutcome::Directory);
    check("outcome/store_done", ConfigurationOutcome::Store(StoreOutcome::Done));
    check("outcome/store_unknown_node", ConfigurationOutcome::Store(StoreOutcome::UnknownNode));
    check("outcome/store_too_few_stores", ConfigurationOutcome::Store(StoreOutcome::TooFewStores));
    check("outcome/store_not_formed", ConfigurationOutcome::Store(StoreOutcome::NotFormed));
    check("outcome/store_nothing_moves", ConfigurationOutcome::Store(StoreOutcome::NoSuccessor));
}

#[test]
fn outcomes_of_session_commands_keep_their_encoding() {
    golden_file::check("outcome/session_done", &SessionOutcome::Done);
    golden_file::check("outcome/session_late", &SessionOutcome::Stale);
    golden_file::check("outcome/session_gone", &SessionOutcome::Removed);
}

/// Returns commands that result in three control processes, one of which lost its disk, and stores in every state.
fn configuration_history() -> Vec<ConfigurationCommand> {
    let mut history = vec![put_configuration(0, 1)];
    for machine in 1..=3 {
        history.push(ConfigurationCommand::AdmitControl { node: control_node(10 + machine, machine) });
    }
    history.push(ConfigurationCommand::AdmitControl { node: control_node(19, 2) });
    let store_commands = [1, 2, 3, 4, 5, 6, 7]
        .map(|machine| StoreCommand::Join { node: store_node(20 + machine, machine) })
        .into_iter()
        .chain([
            StoreCommand::FormMap { replicas: 3, spread: Spread::over_zones(1, 1) },
            StoreCommand::Join { node: store_node(41, 1) },
            StoreCommand::SetLiveness { identity: NodeIdentity(22), liveness: Liveness::Unavailable },
            StoreCommand::Join { node: store_node(28, 8) },
            StoreCommand::Join { node: store_node(29, 9) },
            StoreCommand::Join { node: store_node(30, 10) },
            StoreCommand::MarkEstablished { identity: NodeIdentity(28) },
            StoreCommand::Retire { node_name: "state-3".to_owned() },
            StoreCommand::SetLiveness { identity: NodeIdentity(24), liveness: Liveness::Dead },
            StoreCommand::ReplicasComplete {
                store: NodeIdentity(28),
                epoch: Epoch(3),
                partitions: (0..32).map(Partition).collect(),
            },
            StoreCommand::RequestShutdown { identity: NodeIdentity(25) },
        ]);
    history.extend(store_commands.map(ConfigurationCommand::Store));
    history.push(put_configuration(1, 2));
    history
}

fn session_history() -> Vec<SessionCommand> {
    vec![
        SessionCommand::Put(worker("i-1", WorkerState::Ready, 1)),
        SessionCommand::Put(worker("i-2", WorkerState::Draining, 4)),
        SessionCommand::Put(worker("i-3", WorkerState::Ready, 2)),
        SessionCommand::Put(worker("i-4", WorkerState::Ready, 6)),
        SessionCommand::Remove { id: "i-3".to_owned() },
        SessionCommand::Expire { workers: vec![ExpiredSession { id: "i-4".to_owned(), sequence: 6 }] },
    ]
}

#[test]
fn a_snapshot_of_the_configuration_shard_keeps_its_encoding() {
    let expected = Shards::new();
    for (index, command) in (1..).zip(configuration_history()) {
        expected.apply(CONFIGURATION_SHARD, LogIndex(index), &encode(&command));
    }
    expected.with_configuration(|shard| {
        let stores = shard.stores().stores();
        assert!(stores.iter().any(|entry| entry.is_shutting_down));
        assert!(stores.iter().any(|entry| !entry.is_established));
        assert!(stores.iter().any(|entry| entry.liveness == Liveness::Unavailable));
        assert!(stores.iter().any(|entry| entry.node.state == StoreState::Retiring));
        assert!(shard.stores().map().partitions.iter().any(|partition| !partition.sources.is_empty()));
    });
    let current = expected.snapshot(CONFIGURATION_SHARD);
    let golden = golden_file::read("snapshot/configuration_shard", &current);
    assert_eq!(current, golden, "the state encodes to different bytes");
    let restored = Shards::new();
    restored.restore(CONFIGURATION_SHARD, &golden).expect("the snapshot can be decoded");
    let state = |shards: &Shards| shards.with_configuration(Clone::clone);
    assert_eq!(state(&restored), state(&expected));
    assert_eq!(restored.offset(CONFIGURATION_SHARD), expected.offset(CONFIGURATION_SHARD));
}

#[test]
fn a_snapshot_of_a_session_shard_keeps_its_encoding() {
    let expected = Shards::new();
    for (index, command) in (1..).zip(session_history()) {
        expected.apply(Shard(SESSION_SHARD), LogIndex(index), &encode(&command));
    }
    let current = expected.snapshot(Shard(SESSION_SHARD));
    let golden = golden_file::read("snapshot/session_shard", &current);
    assert_eq!(current, golden, "the state encodes to different bytes");
    let restored = Shards::new();
    restored.restore(Shard(SESSION_SHARD), &golden).expect("the snapshot can be decoded");
    let state = |shards: &Shards| shards.with_sessions(Shard(SESSION_SHARD), Clone::clone);
    assert_eq!(state(&restored), state(&expected));
    assert_eq!(restored.offset(Shard(SESSION_SHARD)), expected.offset(Shard(SESSION_SHARD)));
}
