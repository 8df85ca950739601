//! Tests of the leases.

mod decisions;
mod orders;
mod shell;
mod simulation;
mod terms;
