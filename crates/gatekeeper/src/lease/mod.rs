//! Leases of units: how a gatekeeper holds programs to their budgets.
//!
//! For each program a gatekeeper holds a lease: the units that it has added to the program's count, less those that
//! it has relayed. A turn's maximum is reserved from the lease before the turn is sent. What does not suffice is
//! asked for in blocks, sized to the program's recent demand here; what does not fit the budget is given back at once.
//!
//! [`Leases`] decides, without input or output. [`ProgramLeases`] runs it against the stores.

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
