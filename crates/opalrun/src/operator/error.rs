//! Errors of operators' commands. Each message begins with a result code if the error has one.

use super::attempts::{Attempts, CallError};
use opalrun_configuration::Problem;
use opalrun_wire::ResultCode;
use snafu::Snafu;
use std::{fmt, io, net::SocketAddr, path::PathBuf, time::Duration};

/// Why an operator's command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum OperatorError {
    /// The configuration file can't be read.
    #[snafu(display("{}: {}: {source}", ResultCode::CONFIGURATION_INVALID, path.display()))]
    ReadConfiguration {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The configuration is invalid and was not sent.
    #[snafu(display(
        "{}: not sent: {} problems{}",
        ResultCode::CONFIGURATION_INVALID,
        problems.len(),
        lines_of(problems)
    ))]
    InvalidConfiguration {
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// A control process rejected the call with a reason.
    #[snafu(display("{code}: {reason}{attempts}"))]
    Rejected {
        /// Result code from the response.
        code: String,
        /// Reason from the response.
        reason: String,
        /// Number of times that the call was sent.
        attempts: Attempts,
    },
    /// A control process rejected the call, and the response body can't be parsed as a rejection.
    #[snafu(display("{}: answered {status}{attempts}", ResultCode::ORDER_REFUSED))]
    RejectedWithoutReason {
        /// HTTP status of the response.
        status: u16,
        /// Number of times that the call was sent.
        attempts: Attempts,
    },
    /// The response to a retirement command does not have the format that this version of the program expects.
    #[snafu(display("{}: the answer can't be read: {source}", ResultCode::PROTOCOL_VERSION))]
    UnreadableAnswer {
        /// The error from the JSON parser.
        source: facet_json::DeserializeError,
    },
    /// The view of the tier does not have the format that this version of the program expects.
    #[snafu(display(
        "{}: what the control process tells can't be read: {source}",
        ResultCode::PROTOCOL_VERSION
    ))]
    UnreadableTierView {
        /// The error from the JSON parser.
        source: facet_json::DeserializeError,
    },
    /// No control process gave a conclusive response.
    #[snafu(display(
        "{}: no clear answer within {:.1} s; the last: {last}",
        ResultCode::CONTROL_UNREACHABLE,
        limit.as_secs_f64()
    ))]
    Unreachable {
        /// Time limit of the call, over all attempts.
        limit: Duration,
        /// Result of the last attempt.
        last: LastAttempt,
    },
    /// The data of a store machine was not moved before the deadline.
    #[snafu(display(
        "{}: {node} is not empty after {} s; the tier continues to move its data",
        ResultCode::ORDER_UNFINISHED,
        deadline.as_secs()
    ))]
    RetirementUnfinished {
        /// Name of the machine.
        node: String,
        /// Time within which the data should have been moved.
        deadline: Duration,
    },
    /// The async runtime for the calls can't be started.
    #[snafu(display("{source}"))]
    StartRuntime {
        /// The error from the operating system.
        source: io::Error,
    },
}

/// The result of the last attempt of a call.
#[derive(Debug)]
pub enum LastAttempt {
    /// No attempt was made.
    None,
    /// A control process gave an inconclusive response.
    Answered {
        /// Address of the control process.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Response body; invalid UTF-8 is replaced.
        body: String,
    },
    /// A control process did not respond.
    Failed {
        /// Address of the control process.
        address: SocketAddr,
        /// Error of the attempt.
        error: CallError,
    },
}

impl fmt::Display for LastAttempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::None => write!(f, "no control process was called"),
            Self::Answered { address, status, body } => write!(f, "{address} answered {status} {body}"),
            Self::Failed { address, error } => write!(f, "{address}: {error}"),
        }
    }
}

/// Formats the problems of a configuration, each on a new line.
pub fn lines_of(problems: &[Problem]) -> String {
    problems.iter().fold(String::new(), |mut lines, problem| {
        lines.push_str("\n  ");
        lines.push_str(&problem.to_string());
        lines
    })
}
