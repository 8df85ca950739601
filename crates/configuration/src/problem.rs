//! Problems found in a configuration.

use opalrun_wire::ResultCode;
use snafu::Snafu;

/// A reason why a configuration is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{code} {location}: {message}"))]
pub struct Problem {
    /// Path of the invalid field, such as `routes[3].timeout_ms`; `body` if the problem concerns the entire body.
    pub location: String,
    /// Result code for the kind of problem.
    pub code: ResultCode,
    /// Description of the problem, as text for operators.
    pub message: String,
}

impl Problem {
    /// Creates a problem at a location.
    pub(crate) fn new(location: impl Into<String>, code: ResultCode, message: impl Into<String>) -> Self {
        Self { location: location.into(), code, message: message.into() }
    }
}
