//! What may go wrong with an operation on the stores.

use opalrun_wire::ResultCode;
use snafu::Snafu;

/// Why a count is not known.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), context(suffix(CountSnafu)))]
pub enum CountError {
    /// No quorum of whole replicas answered in time. Nothing may be taken on it.
    #[snafu(display("{}: no quorum of stores answered for a count in time", ResultCode::STORES_UNAVAILABLE))]
    Unavailable,
    /// A later operation of the same holder on the same program has begun.
    #[snafu(display("{}: a later operation on the same program has begun", ResultCode::SUPERSEDED))]
    Superseded,
}

/// Why a turn is not stored or not known to be absent.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
#[snafu(visibility(pub(crate)), context(suffix(TurnSnafu)))]
pub enum TurnError {
    /// No quorum of whole replicas answered in time.
    #[snafu(display("{}: no quorum of stores answered for a turn in time", ResultCode::STORES_UNAVAILABLE))]
    Unavailable,
}
