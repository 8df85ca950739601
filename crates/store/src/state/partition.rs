//! The data of one partition: counts and retained turns, in the order of the log records that hold their newest state.

use opalrun_wire::store::{CountEntry, Turn};
use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

/// Estimate of the bytes of memory that an item takes beside its data.
const ITEM_OVERHEAD_BYTES: usize = 160;

/// The data of a partition. Each item is keyed by the number of the log record that holds its newest state.
#[derive(Debug, Default)]
pub struct PartitionData {
    items: BTreeMap<u64, Item>,
    programs: HashMap<Rc<str>, u64>,
    turns: HashMap<Rc<str>, u64>,
    bytes: usize,
}

/// The size of a partition's data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PartitionSize {
    /// Programs with a count.
    pub programs: usize,
    /// Turns.
    pub turns: usize,
    /// Bytes of memory, an estimate.
    pub bytes: usize,
}

/// A program's count or a turn.
#[derive(Debug)]
pub enum Item {
    /// A program's count.
    Program(ProgramCount),
    /// A turn.
    Turn(RetainedTurn),
}

/// The count of a program.
#[derive(Debug)]
pub struct ProgramCount {
    /// The program.
    pub program: Rc<str>,
    /// The newest entry of each holder.
    pub entries: Vec<CountEntry>,
    /// When it expires, by the monotonic clock.
    pub expires: Duration,
}

/// A turn and until when it is retained.
#[derive(Debug)]
pub struct RetainedTurn {
    /// Its id, shared with the index.
    pub id: Rc<str>,
    /// The turn.
    pub turn: Turn,
    /// When it expires, by the monotonic clock.
    pub expires: Duration,
}

impl Item {
    /// Bytes of memory, an estimate.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let data = match self {
            Self::Program(count) => count.program.len() + count.entries.len() * size_of::<CountEntry>(),
            Self::Turn(retained) => turn_bytes(&retained.turn),
        };
        data + ITEM_OVERHEAD_BYTES
    }

    /// When it expires, by the monotonic clock.
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
    /// Bytes of memory, an estimate.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Its size.
    #[must_use]
    pub fn size(&self) -> PartitionSize {
        PartitionSize { programs: self.programs.len(), turns: self.turns.len(), bytes: self.bytes }
    }

    /// The lowest record that some item still needs.
    #[must_use]
    pub fn oldest_record(&self) -> Option<u64> {
        self.items.first_key_value().map(|(number, _)| *number)
    }

    /// A program's count, with the number of its record.
    #[must_use]
    pub fn program(&self, program: &str) -> Option<(u64, &ProgramCount)> {
        let number = *self.programs.get(program)?;
        match self.items.get(&number) {
            Some(Item::Program(count)) => Some((number, count)),
            _ => None,
        }
    }

    /// A turn that has not expired, with the number of its record.
    #[must_use]
    pub fn turn(&self, id: &str, now: Duration) -> Option<(u64, &RetainedTurn)> {
        let number = *self.turns.get(id)?;
        match self.items.get(&number) {
            Some(Item::Turn(retained)) if retained.expires > now => Some((number, retained)),
            _ => None,
        }
    }

    /// Inserts a program's count with the number of its record, in place of an older state of it.
    pub fn put_program(&mut self, number: u64, program: &str, entries: Vec<CountEntry>, expires: Duration) {
        let known = self.programs.get(program).copied();
        if let Some(known) = known {
            self.remove(known);
        }
        let program: Rc<str> = Rc::from(program);
        self.programs.insert(program.clone(), number);
        self.insert(number, Item::Program(ProgramCount { program, entries, expires }));
    }

    /// Inserts a turn with the number of its record, in place of an older state of it. It is retained as long as that at
    /// least.
    pub fn put_turn(&mut self, number: u64, turn: Turn, expires: Duration) {
        let known = self.turns.get(turn.id.as_str()).copied();
        let known_expires =
            known.and_then(|known| self.remove(known)).map_or(Duration::ZERO, |item| item.expires());
        let id: Rc<str> = Rc::from(turn.id.as_str());
        self.turns.insert(id.clone(), number);
        let expires = expires.max(known_expires);
        self.insert(number, Item::Turn(RetainedTurn { id, turn, expires }));
    }

    /// Retains a program's count until `expires` at least.
    pub fn extend_program(&mut self, program: &str, expires: Duration) {
        let Some(number) = self.programs.get(program) else { return };
        if let Some(Item::Program(count)) = self.items.get_mut(number) {
            count.expires = count.expires.max(expires);
        }
    }

    /// Retains a turn until `expires` at least.
    pub fn extend_turn(&mut self, id: &str, expires: Duration) {
        let Some(number) = self.turns.get(id) else { return };
        if let Some(Item::Turn(retained)) = self.items.get_mut(number) {
            retained.expires = retained.expires.max(expires);
        }
    }

    /// Removes the item at a record and returns it.
    pub fn remove(&mut self, number: u64) -> Option<Item> {
        let item = self.items.remove(&number)?;
        self.bytes -= item.bytes();
        match &item {
            Item::Program(count) => self.programs.remove(&count.program),
            Item::Turn(retained) => self.turns.remove(&retained.id),
        };
        Some(item)
    }

    /// Removes what has expired at `now`.
    pub fn expire(&mut self, now: Duration) {
        let expired: Vec<u64> =
            self.items.iter().filter(|(_, item)| item.expires() <= now).map(|(number, _)| *number).collect();
        for number in expired {
            self.remove(number);
        }
    }

    /// The items from the record `number` on, in order.
    pub fn items_from(&self, number: u64) -> impl Iterator<Item = (u64, &Item)> {
        self.items.range(number..).map(|(number, item)| (*number, item))
    }

    fn insert(&mut self, number: u64, item: Item) {
        self.bytes += item.bytes();
        self.items.insert(number, item);
    }
}
