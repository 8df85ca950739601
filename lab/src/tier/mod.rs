//! Tests of the whole serving tier: its real processes run over loopback, with simulated workers, clients, agent
//! programs, an operator and a platform around them. The judge checks the tier's rules on what these observed.

pub mod arrivals;
pub mod client;
pub mod configuration;
pub mod deployment;
pub mod fault;
pub mod fleet;
pub mod judge;
pub mod machine;
pub mod observation;
pub mod operator;
pub mod page;
pub mod peer;
pub mod platform;
pub mod program;
pub mod run;
pub mod settings_file;
#[cfg(test)]
mod tests;
pub mod worker;
