//! Retained turns: the inputs and outputs of a conversation, held in the stores, and in memory while they are in use and
//! for some time after.
//!
//! [`Turns::chain`] returns the earlier turns that a worker must receive before the new input of a turn;
//! [`Turns::store`] stores a turn that was answered completely.

mod cache;
mod chain;
mod error;
mod loaded_turn;
mod memory;
mod output;
mod store;
mod transfer_limit;

pub use cache::TurnCache;
pub use chain::Chain;
pub use error::ChainError;
pub use loaded_turn::LoadedTurn;
pub use memory::TurnMemory;
pub use output::TurnOutput;
pub use store::{TurnStore, Turns};

#[cfg(test)]
mod tests;
