//! Leases of budget units, with which a gatekeeper enforces the budgets of programs.
//!
//! For each program a gatekeeper holds a lease: the units that it has added to the program's count in the stores, less
//! those that it has relayed to clients. A turn's maximum is reserved from the lease before the turn is sent to a
//! worker. When the lease is too small, further units are acquired in blocks sized to the program's recent demand at
//! this gatekeeper. Acquired units that exceed the budget are returned at once.
//!
//! [`Leases`] makes all decisions and does no input or output. [`ProgramLeases`] runs it against the stores.

mod action;
mod demand;
mod driver;
mod error;
mod metrics;
mod program;
mod state;
mod turn_budget;
mod turn_id;

pub use action::Action;
pub use driver::{LeaseStore, ProgramLeases, TurnLease};
pub use error::LeaseError;
pub use state::Leases;
pub use turn_budget::{TurnBudget, TurnBudgetError};
pub use turn_id::TurnId;

#[cfg(test)]
mod tests;
