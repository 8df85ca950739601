//! Arithmetic of the lease of one program.

use super::demand::Demand;
use super::turn_id::TurnId;
use std::time::Duration;

/// Part of the budget, as a multiple of the program's largest turn, that must be left before surplus units may be held.
/// Near the end of the budget, surplus units held here could cause a turn at another gatekeeper to be refused.
const HEADROOM_TURNS: u64 = 4;

/// A turn for which no units are reserved yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingTurn {
    pub(super) turn: TurnId,
    pub(super) max_units: u64,
    /// Whether the acquisition in flight, or else the most recent one, includes this turn's units.
    pub(super) is_requested: bool,
    /// Time at which the turn is refused unless another gatekeeper has returned enough units by then. Set when the
    /// remaining budget has first turned out to be too small.
    pub(super) refuse_at: Option<Duration>,
}

/// The part of one program's budget that this gatekeeper holds.
#[derive(Debug, Default)]
pub(super) struct ProgramLease {
    /// Smallest budget that a turn of the program has stated, in units.
    pub(super) budget: u64,
    /// Value of this gatekeeper's entry in the program's count: units acquired and not returned.
    pub(super) taken: u64,
    /// Units relayed to clients.
    pub(super) spent: u64,
    /// Units reserved for turns in flight and not relayed yet.
    pub(super) reserved: u64,
    /// Units in the entries of all other gatekeepers, as of the last acquisition.
    pub(super) others_taken: u64,
    /// Value of `others_taken` when a turn was last refused. While it is unchanged, waiting for other gatekeepers to
    /// return units is not expected to help.
    pub(super) others_taken_at_refusal: Option<u64>,
    /// Largest `max_units` of all turns so far.
    pub(super) largest_turn: u64,
    /// Value that the acquisition in flight raises the entry to, in units; `None` when none is in flight.
    pub(super) pending_acquisition: Option<u64>,
    /// Turns that wait for units, oldest first.
    pub(super) waiting: Vec<WaitingTurn>,
    /// Time of the next acquisition for turns that the remaining budget could not cover.
    pub(super) retry_at: Option<Duration>,
    /// Consecutive acquisitions that did not cover all waiting turns.
    pub(super) retries: u32,
    /// Smallest number of free units since the last sweep.
    pub(super) min_free: u64,
    pub(super) demand: Demand,
    pub(super) last_used: Duration,
}

impl ProgramLease {
    /// Returns the units that were relayed or are reserved.
    pub(super) fn used(&self) -> u64 {
        self.spent + self.reserved
    }

    /// Returns the acquired units that are neither relayed nor reserved.
    pub(super) fn free(&self) -> u64 {
        self.taken.saturating_sub(self.used())
    }

    /// Whether the turn would exceed the budget even if no other gatekeeper had used any of it.
    pub(super) fn is_beyond_budget(&self, max_units: u64) -> bool {
        self.used() + max_units > self.budget
    }

    /// Reserves a turn's maximum. Returns `false`, and reserves nothing, when the lease has too few free units.
    pub(super) fn cover(&mut self, max_units: u64) -> bool {
        if self.used() + max_units > self.taken {
            return false;
        }
        self.reserved += max_units;
        self.record_min_free();
        true
    }

    /// Counts `units` that are relayed, of which `from_reserved` had been reserved.
    pub(super) fn spend(&mut self, units: u64, from_reserved: u64, now: Duration) {
        self.spent += units;
        self.reserved -= from_reserved;
        self.demand.add(units, now);
        self.last_used = now;
        self.record_min_free();
    }

    /// Releases the units that were reserved for an ended turn and not relayed.
    pub(super) fn release(&mut self, reserved: u64, now: Duration) {
        self.reserved -= reserved;
        self.last_used = now;
    }

    /// Returns the value that the next acquisition raises this gatekeeper's entry to: the units used and needed by
    /// waiting turns, plus the recent demand as far as surplus units are allowed.
    pub(super) fn requested(&self, now: Duration) -> u64 {
        let needed = self.used() + self.waiting.iter().map(|turn| turn.max_units).sum::<u64>();
        let ahead = self.demand.units(now).min(self.surplus_allowed(needed));
        needed.saturating_add(ahead).min(self.budget).max(self.taken)
    }

    /// Applies the result of an acquisition. Returns whether everything that was requested fits the budget.
    pub(super) fn grant(&mut self, requested: u64, others_taken: u64) -> bool {
        self.others_taken = others_taken;
        let fits = self.budget.saturating_sub(others_taken);
        // Units granted earlier stay granted: the other gatekeepers' acquisitions already accounted for them.
        self.taken = requested.min(fits).max(self.taken);
        self.record_min_free();
        self.taken >= requested
    }

    /// Returns the value that the entry should have. It is less than `taken` when surplus units are to be returned, and
    /// more when a worker has sent more units than its turn's maximum. `return_all_free`: no surplus is kept at all.
    pub(super) fn target_taken(&self, return_all_free: bool) -> u64 {
        let allowed = if return_all_free { 0 } else { self.surplus_allowed(self.used()) };
        self.used() + self.free().min(allowed)
    }

    /// Resets the minimum of free units at the start of a sweep interval.
    pub(super) fn begin_sweep_interval(&mut self) {
        self.min_free = self.free();
    }

    /// Whether no turn is in flight or waiting, no acquisition is pending and no units are left to return.
    pub(super) fn is_idle(&self) -> bool {
        self.reserved == 0
            && self.waiting.is_empty()
            && self.pending_acquisition.is_none()
            && self.taken == self.spent
    }

    /// Returns how many free units may be held in addition to `needed` ones.
    fn surplus_allowed(&self, needed: u64) -> u64 {
        let left = self.budget.saturating_sub(self.others_taken).saturating_sub(needed);
        left.saturating_sub(HEADROOM_TURNS * self.largest_turn)
    }

    fn record_min_free(&mut self) {
        self.min_free = self.min_free.min(self.free());
    }
}
