//! Errors of reserving units for a turn.

use opalrun_wire::ResultCode;
use snafu::Snafu;

/// Why no units could be reserved for a turn, which therefore must not be sent to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum LeaseError {
    /// The rest of the program's budget is smaller than the turn's maximum. Answered with 402.
    #[snafu(display(
        "{}: the remaining budget of the program is smaller than the turn's maximum",
        ResultCode::BUDGET_SPENT
    ))]
    BudgetSpent,
    /// No quorum of the stores answered in time, or too many programs are known. Answered with 503 and `Retry-After`.
    #[snafu(display(
        "{}: the stores did not return the program's used budget in time",
        ResultCode::STORES_UNAVAILABLE
    ))]
    Unavailable,
}
