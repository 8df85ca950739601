//! Actions that the lease state machine requests from its driver.

use super::{LeaseError, TurnId};
use std::rc::Rc;

/// An action for the driver to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Raise this gatekeeper's entry in the program's count from `current` to `requested`, then call
    /// [`Leases::granted`](super::Leases::granted) or [`Leases::unavailable`](super::Leases::unavailable). No other
    /// write for this program is requested until then.
    Acquire {
        /// Name of the program.
        program: Rc<str>,
        /// Present value of this gatekeeper's entry, in units.
        current: u64,
        /// New value of the entry, in units.
        requested: u64,
    },
    /// Write this gatekeeper's entry without waiting for an acknowledgement, usually to return units.
    Write {
        /// Name of the program.
        program: Rc<str>,
        /// New value of the entry, in units.
        taken: u64,
    },
    /// Report to the caller whether the turn may be sent to a worker.
    Decide {
        /// The turn that was decided.
        turn: TurnId,
        /// `Ok` when the turn's maximum has been reserved; otherwise why the turn must not be sent.
        decision: Result<(), LeaseError>,
    },
}
