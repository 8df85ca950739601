//! The turns in memory: those that requests read or use at present, and recently used ones. Each is in memory once,
//! however many requests need it, and all together stay within a budget.

use super::{LoadedTurn, TurnCache};
use crate::memory::{BudgetExhausted, MemoryBudget, MemoryReservation};
use opalrun_wire::store::Turn;
use std::{
    collections::HashMap,
    rc::{Rc, Weak},
};
use tokio::sync::OnceCell;

/// A read of a turn that all requests which need the turn wait for; `None` if the turn does not exist.
pub type SharedRead = OnceCell<Option<Rc<LoadedTurn>>>;

/// Number of entries of a table of weak references from which on it is searched for dropped ones.
const MIN_PRUNED_ENTRIES: usize = 64;

/// Part of the budget that stored turns leave to the outputs of turns which are being answered: a turn that can't be loaded
/// is rejected before it runs, while one whose output finds no memory is cut off.
const OUTPUT_SHARE: usize = 8;

/// Turns in memory, by id.
#[derive(Debug)]
pub struct TurnMemory {
    budget: MemoryBudget,
    /// Bytes of the budget that stored turns do not take.
    reserved_for_outputs: usize,
    cache: TurnCache,
    in_use: WeakTable<LoadedTurn>,
    reads: WeakTable<SharedRead>,
}

impl TurnMemory {
    /// Creates an empty memory of at most `budget_bytes`, of which recently used turns take at most `cache_bytes`.
    #[must_use]
    pub fn new(budget_bytes: usize, cache_bytes: usize) -> Self {
        Self {
            budget: MemoryBudget::new(budget_bytes),
            reserved_for_outputs: budget_bytes / OUTPUT_SHARE,
            cache: TurnCache::new(cache_bytes),
            in_use: WeakTable::default(),
            reads: WeakTable::default(),
        }
    }

    /// Returns a turn that is in memory.
    pub fn get(&mut self, id: &str) -> Option<Rc<LoadedTurn>> {
        self.cache.get(id).or_else(|| self.in_use.get(id))
    }

    /// Returns the read of a turn that is not in memory, which other requests may have begun.
    pub fn shared_read(&mut self, id: &str) -> Rc<SharedRead> {
        self.reads.get(id).unwrap_or_else(|| {
            let read = Rc::new(SharedRead::new());
            self.reads.insert(id, &read);
            read
        })
    }

    /// Takes a turn into memory. Recently used turns that no request uses give way.
    ///
    /// # Errors
    /// The turns in use leave too little of the budget.
    pub fn insert(&mut self, turn: Turn) -> Result<Rc<LoadedTurn>, BudgetExhausted> {
        let required = super::loaded_turn::size_in_bytes(&turn) + self.reserved_for_outputs;
        self.make_room(required);
        if self.budget.available() < required {
            return Err(BudgetExhausted);
        }
        let turn = Rc::new(LoadedTurn::new(turn, &self.budget)?);
        self.in_use.insert(turn.id(), &turn);
        self.cache.insert(turn.clone());
        Ok(turn)
    }

    /// Returns a reservation without bytes, for a turn that is still being answered.
    #[must_use]
    pub fn empty_reservation(&self) -> MemoryReservation {
        self.budget.empty_reservation()
    }

    /// Reserves `bytes` more. Recently used turns that no request uses give way.
    ///
    /// # Errors
    /// The turns in use leave too little of the budget.
    pub fn grow(&mut self, reservation: &mut MemoryReservation, bytes: usize) -> Result<(), BudgetExhausted> {
        self.make_room(bytes);
        reservation.grow(bytes)
    }

    /// Removes recently used turns until `bytes` are left of the budget, or none are.
    fn make_room(&mut self, bytes: usize) {
        while self.budget.available() < bytes && self.cache.evict_least_recently_used() {}
    }

    /// Returns the number of bytes that are left of the budget.
    #[must_use]
    pub fn available_bytes(&self) -> usize {
        self.budget.available()
    }
}

/// Values by id that others own. Entries of dropped values are removed as the table grows.
#[derive(Debug)]
struct WeakTable<T> {
    entries: HashMap<String, Weak<T>>,
    /// Number of entries at which dropped ones are removed next.
    prune_at: usize,
}

impl<T> Default for WeakTable<T> {
    fn default() -> Self {
        Self { entries: HashMap::new(), prune_at: MIN_PRUNED_ENTRIES }
    }
}

impl<T> WeakTable<T> {
    fn get(&self, id: &str) -> Option<Rc<T>> {
        self.entries.get(id)?.upgrade()
    }

    fn insert(&mut self, id: &str, value: &Rc<T>) {
        if self.entries.len() >= self.prune_at {
            self.entries.retain(|_, value| value.strong_count() > 0);
            self.prune_at = (self.entries.len() * 2).max(MIN_PRUNED_ENTRIES);
        }
        self.entries.insert(id.to_owned(), Rc::downgrade(value));
    }
}
