//! Errors of reading the chain of a turn.

use opalrun_wire::ResultCode;
use snafu::Snafu;

/// Why the chain of a turn that continues an earlier one could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum ChainError {
    /// The earlier turn certainly does not exist. Answered with 404.
    #[snafu(display("{}: the turn named by `Previous` does not exist", ResultCode::UNKNOWN_TURN))]
    Unknown,
    /// The stores did not answer in time, or a turn of the chain is missing from them. Answered with 503.
    #[snafu(display(
        "{}: the earlier turns could not be read from the stores",
        ResultCode::CHAIN_UNAVAILABLE
    ))]
    Unavailable,
}
