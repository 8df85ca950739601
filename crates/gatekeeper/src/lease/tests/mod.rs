//! Unit, simulation and property tests of the leases.

mod budget_invariants;
mod decisions;
mod driver;
mod simulation;
mod turn_budget;
