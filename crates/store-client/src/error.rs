//! Errors of operations on the stores.

use opalrun_wire::ResultCode;
use snafu::Snafu;

/// Error of a lease acquisition; no lease is granted.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), context(suffix(CountSnafu)))]
pub enum CountError {
    /// No quorum of complete replicas replied within the time limit.
    #[snafu(display(
        "{}: no quorum of stores replied to a write of a count within the time limit",
        ResultCode::STORES_UNAVAILABLE
    ))]
    Unavailable,
    /// A later operation of the same holder on the same program has begun.
    #[snafu(display("{}: a later operation on the same program has begun", ResultCode::SUPERSEDED))]
    Superseded,
}

/// Error of writing or reading a turn: it is unknown whether the stores have the turn.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), context(suffix(TurnSnafu)))]
pub enum TurnError {
    /// No quorum of complete replicas replied within the time limit.
    #[snafu(display(
        "{}: no quorum of stores replied to a request for a turn within the time limit",
        ResultCode::STORES_UNAVAILABLE
    ))]
    Unavailable,
}
