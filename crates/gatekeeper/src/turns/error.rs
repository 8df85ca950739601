//! Errors of reading the chain of a turn.

use crate::memory::BudgetExhausted;
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
    /// The turns in use leave no memory for the chain. Answered with 503.
    #[snafu(display("{}: the memory for earlier turns is used up", ResultCode::CHAIN_NO_MEMORY))]
    NoMemory,
}

impl From<BudgetExhausted> for ChainError {
    fn from(_: BudgetExhausted) -> Self {
        Self::NoMemory
    }
}
