//! What is wrong with a configuration.

use opalrun_wire::ResultCode;
use snafu::Snafu;

/// One reason for which a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code} {place}: {message}"))]
pub struct Problem {
    /// Where it is, such as `routes[3].timeout_ms`; `body` when it concerns the whole.
    pub place: String,
    /// The kind of problem.
    pub code: ResultCode,
    /// What is wrong, in words.
    pub message: String,
}

impl Problem {
    /// A problem at a place.
    pub(crate) fn new(place: impl Into<String>, code: ResultCode, message: impl Into<String>) -> Self {
        Self { place: place.into(), code, message: message.into() }
    }
}
