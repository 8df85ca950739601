//! Size-bounded LRU cache of turns. Stored turns are immutable, so cached ones need no invalidation.

use super::LoadedTurn;
use fnv::FnvHashMap;
use std::{collections::BTreeMap, rc::Rc};

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
    turn: Rc<LoadedTurn>,
    last_use: u64,
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
    pub fn get(&mut self, id: &str) -> Option<Rc<LoadedTurn>> {
        let entry = self.entries.get_mut(id)?;
        let id_key = self.ids_by_last_use.remove(&entry.last_use)?;
        self.use_counter += 1;
        entry.last_use = self.use_counter;
        self.ids_by_last_use.insert(self.use_counter, id_key);
        Some(Rc::clone(&entry.turn))
    }

    /// Adds a turn and evicts least recently used turns as needed. A turn larger than the capacity is not added.
    pub fn insert(&mut self, turn: Rc<LoadedTurn>) {
        self.remove(turn.id());
        let bytes = turn.size_in_bytes();
        if bytes > self.capacity_bytes {
            return;
        }
        while self.used_bytes + bytes > self.capacity_bytes {
            self.evict_least_recently_used();
        }
        self.use_counter += 1;
        let id_key: Rc<str> = Rc::from(turn.id());
        self.ids_by_last_use.insert(self.use_counter, Rc::clone(&id_key));
        self.entries.insert(id_key, Entry { turn, last_use: self.use_counter });
        self.used_bytes += bytes;
    }

    /// Returns the approximate size of all entries, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Removes the least recently used turn; returns `false` if the cache is empty.
    pub fn evict_least_recently_used(&mut self) -> bool {
        let Some((_, id_key)) = self.ids_by_last_use.first_key_value() else { return false };
        let id_key = Rc::clone(id_key);
        self.remove(&id_key);
        true
    }

    fn remove(&mut self, id: &str) {
        if let Some(entry) = self.entries.remove(id) {
            self.ids_by_last_use.remove(&entry.last_use);
            self.used_bytes -= entry.turn.size_in_bytes();
        }
    }
}
