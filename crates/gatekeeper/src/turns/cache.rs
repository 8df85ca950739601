//! A bounded cache of turns. Turns never change once they are stored, so none can be out of date.

use fnv::FnvHashMap;
use opalrun_wire::store::Turn;
use std::collections::BTreeMap;
use std::rc::Rc;

/// What an entry takes beside the turn's own bytes, about.
const ENTRY_OVERHEAD_BYTES: usize = 320;

/// Turns by their id; the least recently used give way.
#[derive(Debug)]
pub struct TurnCache {
    capacity_bytes: usize,
    used_bytes: usize,
    entries: FnvHashMap<Rc<str>, Entry>,
    /// Ids by their last use, the oldest first.
    by_use: BTreeMap<u64, Rc<str>>,
    last_use: u64,
}

#[derive(Debug)]
struct Entry {
    turn: Rc<Turn>,
    used: u64,
    bytes: usize,
}

impl TurnCache {
    /// An empty cache of that size.
    #[must_use]
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            entries: FnvHashMap::default(),
            by_use: BTreeMap::new(),
            last_use: 0,
        }
    }

    /// A turn, if it is there.
    pub fn get(&mut self, id: &str) -> Option<Rc<Turn>> {
        let entry = self.entries.get_mut(id)?;
        let name = self.by_use.remove(&entry.used)?;
        self.last_use += 1;
        entry.used = self.last_use;
        self.by_use.insert(self.last_use, name);
        Some(Rc::clone(&entry.turn))
    }

    /// Adds a turn.
    pub fn insert(&mut self, turn: Rc<Turn>) {
        self.remove(&turn.id);
        let bytes = bytes_of(&turn);
        if bytes > self.capacity_bytes {
            return;
        }
        while self.used_bytes + bytes > self.capacity_bytes {
            self.remove_oldest();
        }
        self.last_use += 1;
        let name: Rc<str> = Rc::from(turn.id.as_str());
        self.by_use.insert(self.last_use, Rc::clone(&name));
        self.entries.insert(name, Entry { turn, used: self.last_use, bytes });
        self.used_bytes += bytes;
    }

    /// Bytes that it holds.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn remove_oldest(&mut self) {
        if let Some((_, name)) = self.by_use.first_key_value() {
            let name = Rc::clone(name);
            self.remove(&name);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.by_use.remove(&entry.used);
            self.used_bytes -= entry.bytes;
        }
    }
}

fn bytes_of(turn: &Turn) -> usize {
    let ancestors: usize = turn.ancestors.iter().map(|id| id.len() + std::mem::size_of::<String>()).sum();
    turn.input.len() + turn.output.len() + ancestors + 2 * turn.id.len() + ENTRY_OVERHEAD_BYTES
}
