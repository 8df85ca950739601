//! A subscriber of the feed reaches the state of the shard for any sequence of commands, snapshots and updates.

use super::Shards;
use crate::{
    configuration_shard::ConfigurationCommand,
    sessions::{ExpiredSession, SessionCommand},
    store_map::{Spread, StoreCommand, StoreOutcome},
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{
        CONFIGURATION_SHARD, Change, ControlNode, FeedUpdate, StoreNode, StoreState, Worker, WorkerState,
    },
    frame::{decode, encode},
    ids::{Epoch, FeedOffset, Generation, NodeIdentity, Shard},
};
use std::collections::BTreeMap;

const SESSIONS: Shard = Shard(1);

/// State that a subscriber has built from the feed.
#[derive(Debug, Default, Clone, PartialEq)]
struct View {
    offset: Option<FeedOffset>,
    workers: BTreeMap<String, Worker>,
    configuration: Option<(u64, Vec<u8>)>,
    nodes: Vec<ControlNode>,
    map_epoch: u64,
}

impl View {
    fn follow(&mut self, shards: &Shards, shard: Shard) {
        match shards.update_since(shard, self.offset) {
            Some(FeedUpdate::Snapshot { offset, changes, .. }) => {
                assert!(self.offset.is_none_or(|known| known <= offset), "the offset of the feed decreased");
                *self = Self { offset: Some(offset), ..Self::default() };
                for change in changes {
                    self.apply(change);
                }
            }
            Some(FeedUpdate::Changes { offset, changes, .. }) => {
                assert!(self.offset.is_some_and(|known| known < offset), "an update without a higher offset");
                self.offset = Some(offset);
                for change in changes {
                    self.apply(change);
                }
            }
            Some(
                FeedUpdate::Fresh { .. }
                | FeedUpdate::Suspects(_)
                | FeedUpdate::ShutdownDecision { .. }
                | FeedUpdate::Unavailable,
            )
            | None => {}
        }
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Configuration { generation, body } => {
                let newer = self.configuration.as_ref().is_none_or(|(known, _)| *known < generation.0);
                assert!(newer, "a configuration that is not newer");
                self.configuration = Some((generation.0, body));
            }
            Change::ControlNodes(nodes) => self.nodes = nodes,
            Change::StoreMap(map) => {
                assert!(map.epoch > Epoch(self.map_epoch), "a store map that is not newer");
                self.map_epoch = map.epoch.0;
            }
            Change::Worker(worker) => {
                self.workers.insert(worker.id.clone(), worker);
            }
            Change::WorkerGone { id, .. } => {
                self.workers.remove(&id);
            }
        }
    }
}

fn worker(id: u8, sequence: u8, kind: u8) -> Worker {
    Worker {
        id: format!("w{}", id % 4),
        service: "service".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "zone".to_owned(),
        generation: format!("v{}", kind % 2),
        capacity: 4,
        state: if kind.is_multiple_of(3) { WorkerState::Draining } else { WorkerState::Ready },
        warmup_remaining_ms: 0,
        sequence: u64::from(sequence),
    }
}

fn session_command(kind: u8, id: u8, sequence: u8) -> Vec<u8> {
    let name = format!("w{}", id % 4);
    let command = match kind % 5 {
        0 => SessionCommand::Remove { id: name },
        1 => SessionCommand::Expire {
            workers: vec![ExpiredSession { id: name, sequence: u64::from(sequence) }],
        },
        _ => SessionCommand::Put(worker(id, sequence, kind)),
    };
    encode(&command).to_vec()
}

fn configuration_command(kind: u8, first: u8, second: u8) -> Vec<u8> {
    let name = format!("machine-{}", first % 4);
    let command = match kind % 5 {
        0 => ConfigurationCommand::AdmitControl {
            node: ControlNode {
                identity: NodeIdentity(u64::from(second % 8)),
                node_name: name.clone(),
                peer_address: String::new(),
                control_address: name,
                zone: String::new(),
            },
        },
        1 => ConfigurationCommand::DropControl {
            identity: NodeIdentity(u64::from(second % 8)),
            min_members: u16::from(first % 3),
        },
        2 => ConfigurationCommand::Store(StoreCommand::Join {
            node: StoreNode {
                identity: NodeIdentity(u64::from(second % 8)),
                node_name: name.clone(),
                address: name,
                zone: String::new(),
                state: StoreState::Active,
            },
        }),
        3 => ConfigurationCommand::Store(StoreCommand::FormMap {
            replicas: 2,
            spread: Spread::over_machines(),
        }),
        _ => ConfigurationCommand::PutConfiguration {
            if_match: Generation(u64::from(first)),
            generation: Generation(u64::from(second)),
            body: vec![first, second],
            sha256: [second; 32],
        },
    };
    encode(&command).to_vec()
}

fn check_subscribers_with_random_events(shard: Shard, command: fn(u8, u8, u8) -> Vec<u8>) {
    bolero::check!().with_type::<Vec<(u8, u8, u8, u8)>>().for_each(|events| {
        let (leader, follower) = (Shards::new(), Shards::new());
        let mut subscribers = [View::default(), View::default()];
        for (index, (event, kind, first, second)) in events.iter().enumerate() {
            let index = index as u64 + 1;
            let bytes = command(*kind, *first, *second);
            let reply = leader.apply(shard, LogIndex(index), &bytes);
            if event % 4 == 0 {
                follower.restore(shard, &leader.snapshot(shard)).expect("a valid snapshot");
            } else {
                assert_eq!(
                    follower.apply(shard, LogIndex(index), &bytes),
                    reply,
                    "the replicas have different outcomes"
                );
            }
            // The first subscriber alternates between the replicas; the second one follows one replica at irregular
            // intervals.
            subscribers[0].follow(if event % 2 == 0 { &leader } else { &follower }, shard);
            if event % 7 == 0 {
                subscribers[1].follow(&follower, shard);
            }
        }
        assert_eq!(leader.snapshot(shard), follower.snapshot(shard));
        let mut new_subscriber = View::default();
        new_subscriber.follow(&leader, shard);
        for mut subscriber in subscribers {
            subscriber.follow(&leader, shard);
            let known = View { offset: new_subscriber.offset, ..subscriber };
            assert_eq!(known, new_subscriber);
        }
    });
}

#[test]
fn session_subscribers_reach_the_state_of_the_shard() {
    check_subscribers_with_random_events(SESSIONS, session_command);
}

#[test]
fn configuration_subscribers_reach_the_state_of_the_shard() {
    check_subscribers_with_random_events(CONFIGURATION_SHARD, configuration_command);
}

#[test]
fn subscriber_far_behind_gets_a_snapshot() {
    let shards = Shards::new();
    let mut view = View::default();
    for index in 1..=2000 {
        shards.apply(SESSIONS, LogIndex(index), &encode(&SessionCommand::Put(worker(1, 0, index as u8))));
        if index == 1 {
            view.follow(&shards, SESSIONS);
        }
    }
    assert!(matches!(shards.update_since(SESSIONS, view.offset), Some(FeedUpdate::Snapshot { .. })));
    view.follow(&shards, SESSIONS);
    assert_eq!(view.workers.len(), 1);
}

#[test]
fn subscriber_ahead_of_the_replica_is_sent_nothing() {
    let shards = Shards::new();
    shards.apply(SESSIONS, LogIndex(5), &session_command(2, 1, 1));
    assert_eq!(shards.update_since(SESSIONS, Some(FeedOffset(9))), None);
}

#[test]
fn malformed_commands_and_snapshots_change_nothing() {
    let shards = Shards::new();
    shards.apply(SESSIONS, LogIndex(1), &session_command(2, 1, 1));
    assert!(shards.apply(SESSIONS, LogIndex(2), b"not a command").is_empty());
    assert!(shards.restore(SESSIONS, b"not a snapshot").is_err());
    assert!(shards.restore(CONFIGURATION_SHARD, &shards.snapshot(SESSIONS)).is_err());
    assert_eq!(shards.with_sessions(SESSIONS, |sessions| sessions.workers().len()), Some(1));
    let outcome: Result<StoreOutcome, _> = decode(b"");
    assert!(outcome.is_err());
}
