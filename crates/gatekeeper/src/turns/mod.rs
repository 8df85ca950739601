//! Retained turns: what was said in a line of turns, kept in the stores and, for a while, in memory.
//!
//! [`Turns::chain`] gives what a worker must receive before the new input of a turn; [`Turns::store`] keeps a turn that
//! was answered whole.

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
