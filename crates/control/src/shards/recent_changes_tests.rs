//! Selection of the recent changes that are kept for subscribers.

use super::{Shard, ShardReplica, Shards};
use crate::{configuration_shard::ConfigurationCommand, sessions::SessionCommand};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, Change, ControlNode, FeedUpdate, Worker, WorkerState},
    frame::encode,
    ids::{FeedOffset, Generation, NodeIdentity},
};

fn configuration(generation: u64) -> Vec<u8> {
    let body = format!("configuration {generation}").into_bytes();
    let sha256 = [generation as u8; 32];
    let if_match = generation - 1;
    encode(&ConfigurationCommand::PutConfiguration {
        if_match: Generation(if_match),
        generation: Generation(generation),
        body,
        sha256,
    })
    .to_vec()
}

fn control_node(identity: u64) -> Vec<u8> {
    let node = ControlNode {
        identity: NodeIdentity(identity),
        node_name: format!("core-{identity}"),
        peer_address: format!("10.0.0.{identity}:7380"),
        control_address: format!("10.0.0.{identity}:8144"),
        zone: "zone-1".to_owned(),
    };
    encode(&ConfigurationCommand::AdmitControl { node }).to_vec()
}

fn worker(id: &str) -> Vec<u8> {
    let worker = Worker {
        id: id.to_owned(),
        service: "models".to_owned(),
        address: "10.0.1.1:8080".to_owned(),
        zone: "zone-1".to_owned(),
        generation: "v1".to_owned(),
        capacity: 4,
        state: WorkerState::Ready,
        warmup_remaining_ms: 0,
        sequence: 1,
    };
    encode(&SessionCommand::Put(worker)).to_vec()
}

fn generations(changes: &[Change]) -> Vec<u64> {
    let generation = |change: &Change| match change {
        Change::Configuration { generation, .. } => Some(*generation),
        _ => None,
    };
    changes.iter().filter_map(generation).map(|generation| generation.0).collect()
}

#[test]
fn only_the_newest_configuration_is_kept_among_the_recent_changes() {
    let mut shard = ShardReplica::new(CONFIGURATION_SHARD);
    for generation in 1..=100 {
        shard.apply(LogIndex(generation), &configuration(generation));
    }
    let kept: Vec<Change> = shard.recent.iter().flat_map(|command| command.changes.clone()).collect();
    assert_eq!(generations(&kept), [100]);
}

#[test]
fn lagging_subscriber_gets_newest_configuration_and_all_other_missing_changes() {
    let shards = Shards::new();
    shards.apply(CONFIGURATION_SHARD, LogIndex(1), &configuration(1));
    shards.apply(CONFIGURATION_SHARD, LogIndex(2), &control_node(1));
    shards.apply(CONFIGURATION_SHARD, LogIndex(3), &configuration(2));
    shards.apply(CONFIGURATION_SHARD, LogIndex(4), &configuration(3));
    for known in 1..=3 {
        let update = shards.update_since(CONFIGURATION_SHARD, Some(FeedOffset(known)));
        let Some(FeedUpdate::Changes { offset, changes, .. }) = update else { panic!("{update:?}") };
        assert_eq!((offset, generations(&changes)), (FeedOffset(4), vec![3]), "from offset {known}");
        let has_nodes = changes.iter().any(|change| matches!(change, Change::ControlNodes(_)));
        assert_eq!(has_nodes, known < 2, "from offset {known}");
    }
    assert_eq!(shards.update_since(CONFIGURATION_SHARD, Some(FeedOffset(4))), None);
}

#[test]
fn all_worker_changes_are_kept() {
    let shards = Shards::new();
    for index in 1..=3 {
        shards.apply(Shard(1), LogIndex(index), &worker(&format!("i-{index}")));
    }
    let update = shards.update_since(Shard(1), Some(FeedOffset(1)));
    let Some(FeedUpdate::Changes { offset, changes, .. }) = update else { panic!("{update:?}") };
    assert_eq!((offset, changes.len()), (FeedOffset(3), 2));
}
