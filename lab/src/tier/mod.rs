//! The serving tier among stand-ins: real processes over loopback, with workers, clients, programs, an operator and
//! a platform round them, and a judge that checks the rules on what these saw.

pub mod configuration;
pub mod judge;
pub mod observation;
pub mod peer;
pub mod worker;
