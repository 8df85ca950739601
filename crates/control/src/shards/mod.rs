//! All shards of this process: their state, and the changes that subscribers of the feed have not seen yet.

#[cfg(test)]
mod steps_tests;
#[cfg(test)]
mod tests;

use crate::{
    configuration_shard::{ConfigurationCommand, ConfigurationShard},
    host::StateMachine,
    sessions::{SessionCommand, SessionShard},
};
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, Change, FeedUpdate, SESSION_SHARDS},
    frame::{FrameError, decode, encode},
};
use rkyv::{Archive, Deserialize, Serialize};
use std::{cell::RefCell, collections::VecDeque, rc::Rc};
use tokio::sync::watch;

/// Steps of a shard that are kept for subscribers that are a little behind.
const STEPS_KEPT: usize = 512;

/// Number of all shards.
pub const SHARDS: u16 = SESSION_SHARDS + 1;

/// One shard's state.
#[derive(Archive, Serialize, Deserialize, Debug, Clone)]
enum ShardState {
    Configuration(Box<ConfigurationShard>),
    Sessions(SessionShard),
}

/// What a snapshot of a shard holds.
#[derive(Archive, Serialize, Deserialize, Debug, Clone)]
struct ShardSnapshot {
    /// The index of the last command that is in the state.
    offset: u64,
    state: ShardState,
}

/// One shard: its state and its latest changes.
#[derive(Debug)]
struct Shard {
    offset: u64,
    state: ShardState,
    /// Index and changes of the latest commands that changed something.
    steps: VecDeque<(u64, Vec<Change>)>,
    /// Changes after this offset are all among the steps.
    steps_from: u64,
}

impl Shard {
    fn new(number: u16) -> Self {
        let state = if number == CONFIGURATION_SHARD {
            ShardState::Configuration(Box::default())
        } else {
            ShardState::Sessions(SessionShard::default())
        };
        Self { offset: 0, state, steps: VecDeque::new(), steps_from: 0 }
    }

    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let (reply, changes) = match &mut self.state {
            ShardState::Configuration(shard) => match decode::<ConfigurationCommand>(command) {
                Ok(command) => {
                    let (outcome, changes) = shard.apply(command);
                    (encode(&outcome).to_vec(), changes)
                }
                Err(_) => (Vec::new(), Vec::new()),
            },
            ShardState::Sessions(shard) => match decode::<SessionCommand>(command) {
                Ok(command) => {
                    let (outcome, changes) = shard.apply(command);
                    (encode(&outcome).to_vec(), changes)
                }
                Err(_) => (Vec::new(), Vec::new()),
            },
        };
        self.offset = index;
        if !changes.is_empty() {
            self.drop_superseded(&changes);
            self.steps.push_back((index, changes));
        }
        if self.steps.len() > STEPS_KEPT
            && let Some((dropped, _)) = self.steps.pop_front()
        {
            self.steps_from = dropped;
        }
        reply
    }

    /// Drops what the newest changes replace whole, so that no subscriber is sent it and no memory is held by it.
    fn drop_superseded(&mut self, newest: &[Change]) {
        for (_, changes) in &mut self.steps {
            changes.retain(|older| !newest.iter().any(|newer| supersedes(newer, older)));
        }
    }

    /// Changes after what is held; the whole state where nothing or too little is held.
    fn update_since(&self, held: Option<u64>) -> Option<FeedUpdateBody> {
        let Some(held) = held.filter(|held| *held >= self.steps_from) else {
            let behind = held.is_some_and(|held| held > self.offset);
            return (!behind).then(|| self.whole());
        };
        let news = self.steps.iter().filter(|(index, _)| *index > held);
        let changes: Vec<Change> = news.flat_map(|(_, changes)| changes.iter().cloned()).collect();
        (!changes.is_empty()).then_some(FeedUpdateBody { snapshot: false, offset: self.offset, changes })
    }

    fn whole(&self) -> FeedUpdateBody {
        let changes = match &self.state {
            ShardState::Configuration(shard) => shard.changes(),
            ShardState::Sessions(shard) => shard.changes(),
        };
        FeedUpdateBody { snapshot: true, offset: self.offset, changes }
    }
}

/// Whether a change replaces all that an older one says.
fn supersedes(newer: &Change, older: &Change) -> bool {
    matches!(
        (newer, older),
        (Change::Configuration { .. }, Change::Configuration { .. })
            | (Change::StoreMap(_), Change::StoreMap(_))
            | (Change::ControlNodes(_), Change::ControlNodes(_))
    )
}

struct FeedUpdateBody {
    snapshot: bool,
    offset: u64,
    changes: Vec<Change>,
}

/// All shards of this process. Cheap to clone; all clones are the same shards.
#[derive(Clone)]
pub struct Shards {
    shards: Rc<Vec<RefCell<Shard>>>,
    changed: Rc<watch::Sender<u64>>,
}

impl Default for Shards {
    fn default() -> Self {
        Self::new()
    }
}

impl Shards {
    /// Empty shards.
    #[must_use]
    pub fn new() -> Self {
        let shards = (0..SHARDS).map(|number| RefCell::new(Shard::new(number))).collect();
        Self { shards: Rc::new(shards), changed: Rc::new(watch::Sender::new(0)) }
    }

    /// Applies a committed command of a shard and returns the encoded outcome; empty for one that can't be read.
    pub fn apply(&self, shard: u16, index: u64, command: &[u8]) -> Vec<u8> {
        let reply = self.shard(shard).borrow_mut().apply(index, command);
        self.changed.send_modify(|count| *count += 1);
        reply
    }

    /// A shard's state as bytes.
    #[must_use]
    pub fn snapshot(&self, shard: u16) -> Vec<u8> {
        let shard = self.shard(shard).borrow();
        encode(&ShardSnapshot { offset: shard.offset, state: shard.state.clone() }).to_vec()
    }

    /// Replaces a shard's state by one from [`Self::snapshot`].
    ///
    /// # Errors
    /// Where the bytes are no snapshot of this kind of shard.
    pub fn restore(&self, shard: u16, bytes: &[u8]) -> Result<(), FrameError> {
        let snapshot: ShardSnapshot = decode(bytes)?;
        let is_configuration = matches!(snapshot.state, ShardState::Configuration(_));
        if is_configuration != (shard == CONFIGURATION_SHARD) {
            return Err(FrameError::Unreadable);
        }
        let mut own = self.shard(shard).borrow_mut();
        own.offset = snapshot.offset;
        own.state = snapshot.state;
        own.steps.clear();
        own.steps_from = snapshot.offset;
        drop(own);
        self.changed.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Lets everything that waits for changes look again.
    pub fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Told of each command that is applied.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The index of the last command that a shard's state holds.
    #[must_use]
    pub fn offset(&self, shard: u16) -> u64 {
        self.shard(shard).borrow().offset
    }

    /// Waits until a shard's state holds the command of an index.
    pub async fn wait_for(&self, shard: u16, index: u64) {
        let mut changed = self.changed();
        while self.offset(shard) < index {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    /// What a subscriber that holds an offset of a shard has to be sent; `None`: nothing.
    #[must_use]
    pub fn update_since(&self, shard: u16, held: Option<u64>) -> Option<FeedUpdate> {
        let update = self.shard(shard).borrow().update_since(held)?;
        let FeedUpdateBody { snapshot, offset, changes } = update;
        Some(if snapshot {
            FeedUpdate::Snapshot { shard, offset, changes }
        } else {
            FeedUpdate::Changes { shard, offset, changes }
        })
    }

    /// Looks at shard 0.
    ///
    /// # Panics
    /// Never: shard 0 always holds the configuration.
    pub fn with_configuration<R>(&self, look: impl FnOnce(&ConfigurationShard) -> R) -> R {
        match &self.shard(CONFIGURATION_SHARD).borrow().state {
            ShardState::Configuration(shard) => look(shard),
            ShardState::Sessions(_) => unreachable!("shard 0 holds the configuration"),
        }
    }

    /// Looks at a shard of sessions; `None` for a number that is none.
    pub fn with_sessions<R>(&self, shard: u16, look: impl FnOnce(&SessionShard) -> R) -> Option<R> {
        let shard = self.shards.get(usize::from(shard))?.borrow();
        match &shard.state {
            ShardState::Sessions(sessions) => Some(look(sessions)),
            ShardState::Configuration(_) => None,
        }
    }

    fn shard(&self, number: u16) -> &RefCell<Shard> {
        &self.shards[usize::from(number)]
    }
}

/// One shard as the replicated host runs it.
pub struct ShardMachine {
    shards: Shards,
    shard: u16,
}

impl ShardMachine {
    /// The machine of one of the shards.
    #[must_use]
    pub fn new(shards: Shards, shard: u16) -> Self {
        Self { shards, shard }
    }
}

impl StateMachine for ShardMachine {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        self.shards.apply(self.shard, index, command)
    }

    fn snapshot(&self) -> Vec<u8> {
        self.shards.snapshot(self.shard)
    }

    fn restore(&mut self, bytes: &[u8]) -> Result<(), FrameError> {
        self.shards.restore(self.shard, bytes)
    }
}
