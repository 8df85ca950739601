//! The serving tier among stand-ins: real processes over loopback, with workers, clients, programs, an operator and
//! a platform round them, and a judge that checks the rules on what these saw.

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
