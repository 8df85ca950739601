//! Retained turns: the inputs and outputs of a conversation, held in the stores and in a memory cache.
//!
//! [`Turns::chain`] returns the earlier turns that a worker must receive before the new input of a turn;
//! [`Turns::store`] stores a turn that was answered completely.

mod cache;
mod chain;
mod error;
mod store;

pub use cache::TurnCache;
pub use chain::Chain;
pub use error::ChainError;
pub use store::{TurnStore, Turns};

#[cfg(test)]
mod tests;
