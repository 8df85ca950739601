//! Client tries (a request as sent to a gateway, first time or retry) and the attempts at workers made for them.

use crate::record::{Ending, Outcome};

/// One attempt at a worker.
pub(super) struct Attempt {
    /// Time at which its last byte reached the worker, in seconds.
    pub(super) at: f64,
    /// Time at which it left its gateway: `at` less the delay on the link.
    pub(super) left_gateway: f64,
    pub(super) worker: usize,
    /// Once it has ended: the time, the way it ended, and the core seconds that the worker spent on it.
    pub(super) ended: Option<(f64, Ending, f64)>,
}

impl Attempt {
    /// Whether the worker may have executed it, as far as the gateway could know at `at`: true unless the worker had
    /// rejected it by then.
    pub(super) fn may_have_run(&self, at: f64) -> bool {
        !matches!(self.ended, Some((ended, Ending::TurnedAway, _)) if ended <= at)
    }
}

/// One client try: a request as sent to a gateway, first time or retry.
pub(super) struct Try {
    /// Time at which the client sent it, in seconds.
    pub(super) at: f64,
    /// Transaction number of the request's first try; equal to its own for the first.
    pub(super) first: u64,
    /// Number of tries before it.
    pub(super) again: u32,
    pub(super) gate: usize,
    pub(super) customer: usize,
    pub(super) plan: usize,
    pub(super) class: usize,
    /// Time limit that the client set for it, in seconds.
    pub(super) remaining: f64,
    /// Time and kind of its outcome at the client.
    pub(super) answer: Option<(f64, Outcome)>,
    /// Attempts at workers, in order of arrival.
    pub(super) sent: Vec<Attempt>,
}
