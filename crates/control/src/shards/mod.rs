//! All shards of this process, with their state and their recent changes for the feed's subscribers.

#[cfg(test)]
mod recent_changes_tests;
#[cfg(test)]
mod tests;

use crate::{
    configuration_shard::{ConfigurationCommand, ConfigurationShard},
    host::StateMachine,
    sessions::{SessionCommand, SessionShard},
};
use opalrun_replication::LogIndex;
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, Change, FeedUpdate, SESSION_SHARDS},
    frame::{FrameError, decode, encode},
    ids::{FeedOffset, Shard},
};
use rkyv::{Archive, Deserialize, Serialize};
use std::{cell::RefCell, collections::VecDeque, rc::Rc};
use tokio::sync::watch;

/// Number of commands per shard whose changes are kept for subscribers that lag behind.
const MAX_RECENT_COMMANDS: usize = 512;

/// Number of shards.
pub const SHARDS: u16 = SESSION_SHARDS + 1;

/// All shards in ascending order.
pub fn all_shards() -> impl Iterator<Item = Shard> {
    (0..SHARDS).map(Shard)
}

/// Whether a shard with this number exists.
#[must_use]
pub fn exists(shard: Shard) -> bool {
    shard.0 < SHARDS
}

/// The shards that hold sessions.
pub fn session_shards() -> impl Iterator<Item = Shard> {
    all_shards().filter(|shard| *shard != CONFIGURATION_SHARD)
}

/// The feed offset that corresponds to a log index of a shard.
#[must_use]
pub fn feed_offset(index: LogIndex) -> FeedOffset {
    FeedOffset(index.0)
}

/// The log index that corresponds to a feed offset of a shard.
#[must_use]
pub fn log_index(offset: FeedOffset) -> LogIndex {
    LogIndex(offset.0)
}

/// The state of one shard.
#[derive(Archive, Serialize, Deserialize, Debug, Clone)]
enum ShardState {
    Configuration(Box<ConfigurationShard>),
    Sessions(SessionShard),
}

impl ShardState {
    /// Applies a command and returns the encoded outcome with the changes; `None` if the command cannot be decoded.
    fn apply(&mut self, command: &[u8]) -> Option<(Vec<u8>, Vec<Change>)> {
        match self {
            Self::Configuration(shard) => {
                let (outcome, changes) = shard.apply(decode::<ConfigurationCommand>(command).ok()?);
                Some((encode(&outcome).to_vec(), changes))
            }
            Self::Sessions(shard) => {
                let (outcome, changes) = shard.apply(decode::<SessionCommand>(command).ok()?);
                Some((encode(&outcome).to_vec(), changes))
            }
        }
    }
}

/// The content of a shard's snapshot.
#[derive(Archive, Serialize, Deserialize, Debug, Clone)]
struct ShardSnapshot {
    /// Offset of the last applied command.
    offset: FeedOffset,
    state: ShardState,
}

/// The replica of one shard, with its recent changes.
#[derive(Debug)]
struct ShardReplica {
    offset: FeedOffset,
    state: ShardState,
    /// Changes of recent commands, oldest first; commands without changes are omitted.
    recent: VecDeque<CommandChanges>,
    /// `recent` contains all changes after this offset.
    recent_from: FeedOffset,
}

/// The changes made by one command.
#[derive(Debug)]
struct CommandChanges {
    /// Offset of the command.
    offset: FeedOffset,
    changes: Vec<Change>,
}

impl ShardReplica {
    fn new(number: Shard) -> Self {
        let state = if number == CONFIGURATION_SHARD {
            ShardState::Configuration(Box::default())
        } else {
            ShardState::Sessions(SessionShard::default())
        };
        Self { offset: FeedOffset(0), state, recent: VecDeque::new(), recent_from: FeedOffset(0) }
    }

    /// Applies a command and returns the encoded outcome; empty if the command cannot be decoded.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        let (reply, changes) = self.state.apply(command).unwrap_or_default();
        self.offset = feed_offset(index);
        self.record_changes(changes);
        reply
    }

    fn record_changes(&mut self, changes: Vec<Change>) {
        if !changes.is_empty() {
            self.drop_superseded(&changes);
            self.recent.push_back(CommandChanges { offset: self.offset, changes });
        }
        if self.recent.len() > MAX_RECENT_COMMANDS
            && let Some(dropped) = self.recent.pop_front()
        {
            self.recent_from = dropped.offset;
        }
    }

    /// Drops older changes that the newest ones supersede: no subscriber needs them, and they may be large.
    fn drop_superseded(&mut self, newest: &[Change]) {
        for command in &mut self.recent {
            command.changes.retain(|older| !newest.iter().any(|newer| supersedes(newer, older)));
        }
    }

    /// Returns the update for a subscriber that has the state up to `known`: the later changes, or a snapshot if it has
    /// no state or its offset is no longer covered. `None` if there is nothing to send.
    fn update_since(&self, known: Option<FeedOffset>) -> Option<FeedUpdateBody> {
        let Some(known) = known.filter(|known| *known >= self.recent_from) else {
            let is_ahead = known.is_some_and(|known| known > self.offset);
            return (!is_ahead).then(|| self.snapshot_update());
        };
        let newer = self.recent.iter().filter(|command| command.offset > known);
        let changes: Vec<Change> = newer.flat_map(|command| command.changes.iter().cloned()).collect();
        (!changes.is_empty()).then_some(FeedUpdateBody { is_snapshot: false, offset: self.offset, changes })
    }

    fn snapshot_update(&self) -> FeedUpdateBody {
        let changes = match &self.state {
            ShardState::Configuration(shard) => shard.changes(),
            ShardState::Sessions(shard) => shard.changes(),
        };
        FeedUpdateBody { is_snapshot: true, offset: self.offset, changes }
    }
}

/// Whether a change replaces everything that an older one contains.
fn supersedes(newer: &Change, older: &Change) -> bool {
    matches!(
        (newer, older),
        (Change::Configuration { .. }, Change::Configuration { .. })
            | (Change::StoreMap(_), Change::StoreMap(_))
            | (Change::ControlNodes(_), Change::ControlNodes(_))
    )
}

/// An update for a subscriber, without the number of the shard.
struct FeedUpdateBody {
    /// The changes form the complete state; otherwise they follow the state that the subscriber has.
    is_snapshot: bool,
    offset: FeedOffset,
    changes: Vec<Change>,
}

/// All shards of this process. Clones are cheap and share the same shards, as the state machines and all readers of one
/// thread need. No borrow lasts across an await.
#[derive(Clone)]
pub struct Shards {
    shards: Rc<Vec<RefCell<ShardReplica>>>,
    changed: Rc<watch::Sender<u64>>,
}

impl Default for Shards {
    fn default() -> Self {
        Self::new()
    }
}

impl Shards {
    /// Returns empty shards.
    #[must_use]
    pub fn new() -> Self {
        let shards = all_shards().map(|number| RefCell::new(ShardReplica::new(number))).collect();
        Self { shards: Rc::new(shards), changed: Rc::new(watch::Sender::new(0)) }
    }

    /// Applies a committed command of a shard and returns the encoded outcome; empty if the command cannot be decoded.
    #[expect(clippy::must_use_candidate, reason = "a replay only needs the changes")]
    pub fn apply(&self, shard: Shard, index: LogIndex, command: &[u8]) -> Vec<u8> {
        let reply = self.shard(shard).borrow_mut().apply(index, command);
        self.changed.send_modify(|count| *count += 1);
        reply
    }

    /// The encoded state of a shard.
    #[must_use]
    pub fn snapshot(&self, shard: Shard) -> Vec<u8> {
        let shard = self.shard(shard).borrow();
        encode(&ShardSnapshot { offset: shard.offset, state: shard.state.clone() }).to_vec()
    }

    /// Replaces the state of a shard by one from [`Self::snapshot`].
    ///
    /// # Errors
    /// If the bytes are not a snapshot of this kind of shard.
    pub fn restore(&self, shard: Shard, bytes: &[u8]) -> Result<(), FrameError> {
        let snapshot: ShardSnapshot = decode(bytes)?;
        let is_configuration = matches!(snapshot.state, ShardState::Configuration(_));
        if is_configuration != (shard == CONFIGURATION_SHARD) {
            return Err(FrameError::Unreadable);
        }
        let mut replica = self.shard(shard).borrow_mut();
        replica.offset = snapshot.offset;
        replica.state = snapshot.state;
        replica.recent.clear();
        replica.recent_from = snapshot.offset;
        drop(replica);
        self.changed.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Wakes all tasks that wait for a change, without making one.
    pub fn notify_waiters(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is notified of each applied command.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Offset of the last command applied to a shard.
    #[must_use]
    pub fn offset(&self, shard: Shard) -> FeedOffset {
        self.shard(shard).borrow().offset
    }

    /// Waits until the command with the given index has been applied to a shard.
    pub async fn wait_for(&self, shard: Shard, index: LogIndex) {
        let mut changed = self.changed();
        while self.offset(shard) < feed_offset(index) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the update for a subscriber that has a shard's state up to `known`; `None` if there is nothing to send.
    #[must_use]
    pub fn update_since(&self, shard: Shard, known: Option<FeedOffset>) -> Option<FeedUpdate> {
        let update = self.shard(shard).borrow().update_since(known)?;
        let FeedUpdateBody { is_snapshot, offset, changes } = update;
        Some(if is_snapshot {
            FeedUpdate::Snapshot { shard, offset, changes }
        } else {
            FeedUpdate::Changes { shard, offset, changes }
        })
    }

    /// Reads the state of the configuration shard.
    ///
    /// # Panics
    /// Never: shard 0 always holds the configuration.
    pub fn with_configuration<R>(&self, read: impl FnOnce(&ConfigurationShard) -> R) -> R {
        match &self.shard(CONFIGURATION_SHARD).borrow().state {
            ShardState::Configuration(shard) => read(shard),
            ShardState::Sessions(_) => unreachable!("shard 0 holds the configuration"),
        }
    }

    /// Reads the state of a session shard; `None` for any other shard.
    pub fn with_sessions<R>(&self, shard: Shard, read: impl FnOnce(&SessionShard) -> R) -> Option<R> {
        let shard = self.shards.get(shard.position())?.borrow();
        match &shard.state {
            ShardState::Sessions(sessions) => Some(read(sessions)),
            ShardState::Configuration(_) => None,
        }
    }

    fn shard(&self, number: Shard) -> &RefCell<ShardReplica> {
        &self.shards[number.position()]
    }
}

/// The state machine of one shard, as run by the replicated host.
pub struct ShardMachine {
    shards: Shards,
    shard: Shard,
}

impl ShardMachine {
    /// Returns the state machine of one shard.
    #[must_use]
    pub fn new(shards: Shards, shard: Shard) -> Self {
        Self { shards, shard }
    }
}

impl StateMachine for ShardMachine {
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8> {
        self.shards.apply(self.shard, index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.shards.snapshot(self.shard)
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), FrameError> {
        self.shards.restore(self.shard, bytes)
    }
}
