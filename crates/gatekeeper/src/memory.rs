//! Budgets that bound the memory which requests take together.

use snafu::Snafu;
use std::{cell::Cell, rc::Rc};

/// Fewer bytes are left of a budget than were to be reserved.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(display("the memory budget is used up"))]
pub struct BudgetExhausted;

/// Number of bytes that may still be taken by all users of this budget together. Clones share one budget.
#[derive(Debug, Clone)]
pub struct MemoryBudget(Rc<Cell<usize>>);

impl MemoryBudget {
    /// Creates a budget of `bytes`.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Cell::new(bytes)))
    }

    /// Reserves `bytes`.
    ///
    /// # Errors
    /// Fewer are left.
    pub fn reserve(&self, bytes: usize) -> Result<MemoryReservation, BudgetExhausted> {
        let mut reservation = self.empty_reservation();
        reservation.grow(bytes)?;
        Ok(reservation)
    }

    /// Returns a reservation without bytes, which can grow.
    #[must_use]
    pub fn empty_reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Returns the number of bytes that are left.
    #[must_use]
    pub fn available(&self) -> usize {
        self.0.get()
    }
}

/// Bytes reserved from a [`MemoryBudget`] until this is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves `bytes` more.
    ///
    /// # Errors
    /// Fewer are left.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExhausted> {
        let left = self.budget.0.get().checked_sub(bytes).ok_or(BudgetExhausted)?;
        self.budget.0.set(left);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.0.set(self.budget.0.get() + self.bytes);
    }
}
