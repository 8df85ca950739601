//! Size-bounded LRU cache of turns. Stored turns are immutable, so cached ones need no invalidation.

use fnv::FnvHashMap;
use opalrun_wire::store::Turn;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Approximate memory of a cache entry in addition to the turn's own bytes.
const ENTRY_OVERHEAD_BYTES: usize = 320;

/// Caches turns by id and evicts the least recently used ones.
#[derive(Debug)]
pub struct TurnCache {
    capacity_bytes: usize,
    used_bytes: usize,
    entries: FnvHashMap<Rc<str>, Entry>,
    /// Ids by the `use_counter` value of their last use, least recently used first.
    ids_by_last_use: BTreeMap<u64, Rc<str>>,
    /// Incremented with each use of an entry.
    use_counter: u64,
}

#[derive(Debug)]
struct Entry {
    turn: Rc<Turn>,
    last_use: u64,
    bytes: usize,
}

impl TurnCache {
    /// Creates an empty cache of at most `capacity_bytes`.
    #[must_use]
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            entries: FnvHashMap::default(),
            ids_by_last_use: BTreeMap::new(),
            use_counter: 0,
        }
    }

    /// Returns a cached turn and marks it as used.
    pub fn get(&mut self, id: &str) -> Option<Rc<Turn>> {
        let entry = self.entries.get_mut(id)?;
        let id_key = self.ids_by_last_use.remove(&entry.last_use)?;
        self.use_counter += 1;
        entry.last_use = self.use_counter;
        self.ids_by_last_use.insert(self.use_counter, id_key);
        Some(Rc::clone(&entry.turn))
    }

    /// Adds a turn and evicts least recently used turns as needed. A turn larger than the capacity is not added.
    pub fn insert(&mut self, turn: Rc<Turn>) {
        self.remove(&turn.id);
        let bytes = size_in_bytes(&turn);
        if bytes > self.capacity_bytes {
            return;
        }
        while self.used_bytes + bytes > self.capacity_bytes {
            self.evict_least_recently_used();
        }
        self.use_counter += 1;
        let id_key: Rc<str> = Rc::from(turn.id.as_str());
        self.ids_by_last_use.insert(self.use_counter, Rc::clone(&id_key));
        self.entries.insert(id_key, Entry { turn, last_use: self.use_counter, bytes });
        self.used_bytes += bytes;
    }

    /// Returns the approximate size of all entries, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn evict_least_recently_used(&mut self) {
        if let Some((_, id_key)) = self.ids_by_last_use.first_key_value() {
            let id_key = Rc::clone(id_key);
            self.remove(&id_key);
        }
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.ids_by_last_use.remove(&entry.last_use);
            self.used_bytes -= entry.bytes;
        }
    }
}

fn size_in_bytes(turn: &Turn) -> usize {
    let ancestors: usize = turn.ancestors.iter().map(|id| id.len() + std::mem::size_of::<String>()).sum();
    turn.input.len() + turn.output.len() + ancestors + 2 * turn.id.len() + ENTRY_OVERHEAD_BYTES
}
