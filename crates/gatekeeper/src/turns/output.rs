//! The output of a turn that is being answered.

use super::TurnMemory;
use crate::memory::{BudgetExhausted, MemoryReservation};
use std::{cell::RefCell, fmt, rc::Rc};

/// Output of a turn that is being answered, within the budget of the turns in memory.
pub struct TurnOutput {
    data: Vec<u8>,
    memory: Rc<RefCell<TurnMemory>>,
    reservation: MemoryReservation,
}

impl TurnOutput {
    /// Creates an empty output.
    pub(super) fn new(memory: Rc<RefCell<TurnMemory>>) -> Self {
        let reservation = memory.borrow().empty_reservation();
        Self { data: Vec::new(), memory, reservation }
    }

    /// Adds what `append` appends to the data.
    ///
    /// # Errors
    /// The turns in use leave no memory for it.
    pub fn add(&mut self, append: impl FnOnce(&mut Vec<u8>)) -> Result<(), BudgetExhausted> {
        let before = self.data.len();
        append(&mut self.data);
        self.memory.borrow_mut().grow(&mut self.reservation, self.data.len() - before)
    }

    /// Removes and returns the data. Its memory stays reserved until this is dropped.
    #[must_use]
    pub fn take_data(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.data)
    }
}

impl fmt::Debug for TurnOutput {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("TurnOutput").field("bytes", &self.data.len()).finish_non_exhaustive()
    }
}
