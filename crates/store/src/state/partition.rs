//! In-memory data of one partition: counts and retained turns, ordered by the log records that hold their newest state.

use opalrun_wire::store::{CountEntry, Turn};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

/// Estimated memory overhead of an item beyond its data, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 160;

/// Data of a partition. Each item is keyed by the number of the log record that holds its newest state.
#[derive(Debug, Default)]
pub struct PartitionData {
    items: BTreeMap<u64, Item>,
    /// Record number of each program's count, by the program's name.
    programs: HashMap<Rc<str>, u64>,
    /// Record number of each turn, by the turn's id.
    turns: HashMap<Rc<str>, u64>,
    /// Sum of [`Item::bytes`] over all items.
    bytes: usize,
}

/// Size of a partition's data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartitionSize {
    /// Number of programs with a count.
    pub programs: usize,
    /// Number of retained turns, including expired ones that are not removed yet.
    pub turns: usize,
    /// Estimated size in memory, in bytes.
    pub bytes: usize,
}

/// Item of a partition.
#[derive(Debug)]
pub enum Item {
    /// The count of a program.
    Program(ProgramCount),
    /// A retained turn.
    Turn(RetainedTurn),
}

/// Count of a program: the units of its budget that each holder has taken.
#[derive(Debug)]
pub struct ProgramCount {
    /// Name of the program, shared with the index.
    pub program: Rc<str>,
    /// The newest entry of each holder.
    pub entries: Vec<CountEntry>,
    /// Time at which the count expires, on the monotonic clock.
    pub expires: Duration,
}

/// A turn and its time of expiry.
#[derive(Debug)]
pub struct RetainedTurn {
    /// Id of the turn, shared with the index.
    pub id: Rc<str>,
    /// Content of the turn.
    pub turn: Turn,
    /// Time at which the turn expires, on the monotonic clock.
    pub expires: Duration,
    /// Time for which the turn is retained after a restart, as its log record states.
    pub stored_retention: Duration,
}

/// The log record that holds a turn's newest state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnRecord {
    /// Number of the record.
    pub number: u64,
    /// Time for which the turn is retained after a restart, as the record states.
    pub retention: Duration,
}

impl Item {
    /// Returns the estimated size in memory, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let data = match self {
            Self::Program(count) => count.program.len() + count.entries.len() * size_of::<CountEntry>(),
            Self::Turn(retained) => turn_bytes(&retained.turn),
        };
        data + ITEM_OVERHEAD_BYTES
    }

    /// Returns the time at which the item expires, on the monotonic clock.
    #[must_use]
    pub fn expires(&self) -> Duration {
        match self {
            Self::Program(count) => count.expires,
            Self::Turn(retained) => retained.expires,
        }
    }
}

fn turn_bytes(turn: &Turn) -> usize {
    let ancestors: usize = turn.ancestors.iter().map(|ancestor| ancestor.len() + size_of::<String>()).sum();
    turn.id.len() + ancestors + turn.input.len() + turn.output.len() + turn.worker.len()
}

impl PartitionData {
    /// Returns the estimated size in memory, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of items of each kind and their size in memory.
    #[must_use]
    pub fn size(&self) -> PartitionSize {
        PartitionSize { programs: self.programs.len(), turns: self.turns.len(), bytes: self.bytes }
    }

    /// Returns the lowest number of a log record that holds the newest state of an item; `None` without items.
    #[must_use]
    pub fn oldest_record(&self) -> Option<u64> {
        self.items.first_key_value().map(|(number, _)| *number)
    }

    /// Returns the count of a program with the number of its log record.
    #[must_use]
    pub fn program(&self, program: &str) -> Option<(u64, &ProgramCount)> {
        let number = *self.programs.get(program)?;
        match self.items.get(&number) {
            Some(Item::Program(count)) => Some((number, count)),
            _ => None,
        }
    }

    /// Returns a turn that has not expired at `now`, with the number of its log record.
    #[must_use]
    pub fn turn(&self, id: &str, now: Duration) -> Option<(u64, &RetainedTurn)> {
        let number = *self.turns.get(id)?;
        match self.items.get(&number) {
            Some(Item::Turn(retained)) if retained.expires > now => Some((number, retained)),
            _ => None,
        }
    }

    /// Inserts the count of a program, which the log record `number` holds. Replaces the older state of the count, if any.
    pub fn put_program(&mut self, number: u64, program: &str, entries: Vec<CountEntry>, expires: Duration) {
        let known = self.programs.get(program).copied();
        if let Some(known) = known {
            self.remove(known);
        }
        let program: Rc<str> = Rc::from(program);
        self.programs.insert(program.clone(), number);
        self.insert(number, Item::Program(ProgramCount { program, entries, expires }));
    }

    /// Inserts a turn, which the log record `number` holds with the retention `stored_retention`. Replaces the older state of
    /// the turn, if any, and never shortens its retention.
    pub fn put_turn(&mut self, number: u64, turn: Turn, expires: Duration, stored_retention: Duration) {
        let known = self.turns.get(turn.id.as_str()).copied();
        let known_expires =
            known.and_then(|known| self.remove(known)).map_or(Duration::ZERO, |item| item.expires());
        let id: Rc<str> = Rc::from(turn.id.as_str());
        self.turns.insert(id.clone(), number);
        let expires = expires.max(known_expires);
        self.insert(number, Item::Turn(RetainedTurn { id, turn, expires, stored_retention }));
    }

    /// Extends the retention of a program's count to at least `expires`.
    pub fn extend_program(&mut self, program: &str, expires: Duration) {
        let Some(number) = self.programs.get(program) else { return };
        if let Some(Item::Program(count)) = self.items.get_mut(number) {
            count.expires = count.expires.max(expires);
        }
    }

    /// Extends the retention of a turn to at least `expires`, in memory. Does nothing if there is no such turn.
    pub fn extend_turn(&mut self, id: &str, expires: Duration) {
        let Some(number) = self.turns.get(id) else { return };
        if let Some(Item::Turn(retained)) = self.items.get_mut(number) {
            retained.expires = retained.expires.max(expires);
        }
    }

    /// Returns the log record of a turn. The turn may have expired,
    /// if it is not removed yet.
    #[must_use]
    pub fn turn_record(&self, id: &str) -> Option<TurnRecord> {
        let number = *self.turns.get(id)?;
        match self.items.get(&number) {
            Some(Item::Turn(retained)) => Some(TurnRecord { number, retention: retained.stored_retention }),
            _ => None,
        }
    }

    /// Removes and returns the item whose newest state the log record `number` holds.
    pub fn remove(&mut self, number: u64) -> Option<Item> {
        let item = self.items.remove(&number)?;
        self.bytes -= item.bytes();
        match &item {
            Item::Program(count) => self.programs.remove(&count.program),
            Item::Turn(retained) => self.turns.remove(&retained.id),
        };
        Some(item)
    }

    /// Removes all items that have expired at `now`.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<u64> =
            self.items.iter().filter(|(_, item)| item.expires() <= now).map(|(number, _)| *number).collect();
        for number in expired {
            self.remove(number);
        }
    }

    /// Iterates over the items whose log record has the number `number` or a higher one, in order of the numbers.
    pub fn items_from(&self, number: u64) -> impl Iterator<Item = (u64, &Item)> {
        self.items.range(number..).map(|(number, item)| (*number, item))
    }

    fn insert(&mut self, number: u64, item: Item) {
        self.bytes += item.bytes();
        self.items.insert(number, item);
    }
}
