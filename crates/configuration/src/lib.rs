//! Parses and validates the operator's configuration, and looks up routes by host and path.
//!
//! [`Configuration::parse`] takes the JSON body as sent by the operator. It returns either the typed configuration or every
//! [`Problem`] found, each with its location and a result code. It does not check that the generation is newer than the
//! current one; the control process does so with a compare-and-set.
#![forbid(unsafe_code)]

mod check;
mod document;
mod index;
mod model;
mod problem;

pub use model::{Configuration, Destination, Engine, Limits, Route, RouteType, Service};
pub use problem::Problem;

#[cfg(test)]
mod tests;
