//! State machine of the leases of all programs at one gatekeeper.
//!
//! The caller passes in times of a monotonic clock and carries out the returned [`Action`]s in order.

use super::program::{ProgramLease, WaitingTurn};
use super::{Action, LeaseError, TurnBudget, TurnId};
use fnv::{FnvHashMap, FnvHashSet};
use std::rc::Rc;
use std::time::Duration;

/// Interval between sweeps, which return units that were free during a whole interval: one to two intervals after they
/// became free.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a turn that exceeds the remaining budget waits for other gatekeepers to return units. They hold idle units
/// for two sweeps at most; what they hold after that is spent or reserved.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(600);
/// Backoff before the first repeated acquisition. It doubles with each repetition. The delay is drawn at random between
/// half the backoff and the whole, so that two gatekeepers don't keep running into each other's acquisitions.
const FIRST_RETRY_BACKOFF: Duration = Duration::from_millis(10);
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// How long an idle program's lease is retained after its last turn: longer than the stores retain the program's count.
const PROGRAM_RETENTION: Duration = Duration::from_mins(15);
const EXPIRY_INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of programs with a lease; turns of further programs are refused with [`LeaseError::Unavailable`].
const MAX_PROGRAMS: usize = 50_000;

/// A turn that has begun and not ended.
#[derive(Debug)]
struct Turn {
    program: Rc<str>,
    /// Units reserved for the turn and not relayed yet; 0 while the turn waits for units.
    reserved: u64,
}

/// State machine of the leases of all programs at one gatekeeper. It does no input or output.
#[derive(Debug)]
pub struct Leases {
    programs: FnvHashMap<Rc<str>, ProgramLease>,
    /// Programs with turns in flight, a pending acquisition or units to return.
    active: FnvHashSet<Rc<str>>,
    turns: FnvHashMap<TurnId, Turn>,
    actions: Vec<Action>,
    last_turn: u64,
    next_sweep: Duration,
    next_expiry: Duration,
    is_draining: bool,
    random: fastrand::Rng,
}

impl Leases {
    /// Creates the state machine without any leases. `seed` seeds the jitter of the retry backoff.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            programs: FnvHashMap::default(),
            active: FnvHashSet::default(),
            turns: FnvHashMap::default(),
            actions: Vec::new(),
            last_turn: 0,
            next_sweep: SWEEP_INTERVAL,
            next_expiry: EXPIRY_INTERVAL,
            is_draining: false,
            random: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the actions requested since the last call, in the order in which they must be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Begins a turn of a program. An [`Action::Decide`] states, immediately or later, whether the turn may be sent to
    /// a worker.
    pub fn begin(&mut self, program: &str, turn_budget: TurnBudget, now: Duration) -> TurnId {
        self.last_turn += 1;
        let turn = TurnId(self.last_turn);
        let Some(program) = self.program_name(program) else {
            self.decide(turn, Err(LeaseError::Unavailable));
            return turn;
        };
        self.turns.insert(turn, Turn { program: Rc::clone(&program), reserved: 0 });
        self.activate(&program, now);
        let lease = self.programs.entry(Rc::clone(&program)).or_default();
        lease.budget =
            if lease.largest_turn == 0 { turn_budget.budget } else { lease.budget.min(turn_budget.budget) };
        lease.largest_turn = lease.largest_turn.max(turn_budget.max_units);
        lease.last_used = now;
        if lease.is_beyond_budget(turn_budget.max_units) {
            self.decide(turn, Err(LeaseError::BudgetSpent));
            return turn;
        }
        lease.waiting.push(WaitingTurn {
            turn,
            max_units: turn_budget.max_units,
            is_requested: false,
            refuse_at: None,
        });
        self.advance(&program, now);
        turn
    }

    /// Counts `units` of output that are about to be relayed to the turn's client. An unknown turn is ignored.
    pub fn record_units(&mut self, turn: TurnId, units: u64, now: Duration) {
        let Some(running) = self.turns.get_mut(&turn) else {
            return;
        };
        let from_reserved = units.min(running.reserved);
        running.reserved -= from_reserved;
        let program = Rc::clone(&running.program);
        if let Some(lease) = self.programs.get_mut(&program) {
            lease.spend(units, from_reserved, now);
        }
    }

    /// Ends a turn, whether it succeeded or failed, and releases its reserved units. A turn that still waits for units
    /// is abandoned. An unknown turn is ignored.
    pub fn end(&mut self, turn: TurnId, now: Duration) {
        let Some(ended) = self.turns.remove(&turn) else {
            return;
        };
        let Some(lease) = self.programs.get_mut(&ended.program) else {
            return;
        };
        lease.release(ended.reserved, now);
        lease.waiting.retain(|waiting| waiting.turn != turn);
        self.advance(&ended.program, now);
        self.trim(&ended.program);
    }

    /// Applies the result of an [`Action::Acquire`] that a quorum answered: this gatekeeper's entry was written to a
    /// quorum, and after that the units in all other gatekeepers' entries were read as `others_taken`.
    pub fn granted(&mut self, program: &str, others_taken: u64, now: Duration) {
        let Some((program, lease)) = Self::find_program(&mut self.programs, program) else {
            return;
        };
        let Some(requested) = lease.pending_acquisition.take() else {
            return;
        };
        let is_fully_granted = lease.grant(requested, others_taken);
        self.cover_waiting(&program);
        if is_fully_granted {
            self.mark_waiting_unrequested(&program);
        } else {
            self.defer_or_refuse(&program, now);
        }
        self.reconcile_entry(&program, requested);
        self.advance(&program, now);
    }

    /// Applies the failure of an [`Action::Acquire`] that no quorum answered in time. The turns that it included are
    /// refused with [`LeaseError::Unavailable`].
    pub fn unavailable(&mut self, program: &str, now: Duration) {
        let Some((program, lease)) = Self::find_program(&mut self.programs, program) else {
            return;
        };
        lease.pending_acquisition = None;
        let (unavailable, retained) =
            lease.waiting.drain(..).partition(|waiting: &WaitingTurn| waiting.is_requested);
        lease.waiting = retained;
        for waiting in unavailable as Vec<WaitingTurn> {
            self.decide(waiting.turn, Err(LeaseError::Unavailable));
        }
        self.advance(&program, now);
        self.trim(&program);
    }

    /// Returns the time at which [`tick`](Self::tick) must be called next; `None` when no call is needed before the
    /// next other input.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        if self.active.is_empty() {
            return None;
        }
        let retries = self.active.iter().filter_map(|program| self.programs.get(program)?.retry_at);
        retries.chain([self.next_sweep]).min()
    }

    /// Runs the work that is due at `now`: retries acquisitions, returns idle units and drops unused programs.
    pub fn tick(&mut self, now: Duration) {
        let is_due = |lease: &ProgramLease| lease.retry_at.is_some_and(|at| at <= now);
        let due = self.active.iter().filter(|program| self.programs.get(*program).is_some_and(is_due));
        for program in due.map(Rc::clone).collect::<Vec<_>>() {
            self.retry(&program, now);
        }
        if self.next_sweep <= now {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        if self.next_expiry <= now {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.expire_programs(now);
        }
    }

    /// Prepares for the end of the process: returns all units that no turn in flight needs, now and from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
        for program in self.active_programs() {
            self.trim(&program);
        }
    }

    /// Returns the units that were free during the whole sweep interval.
    fn sweep(&mut self, now: Duration) {
        for program in self.active_programs() {
            let Some(lease) = self.programs.get_mut(&program) else {
                continue;
            };
            let idle = lease.min_free;
            if lease.pending_acquisition.is_none() && idle > 0 {
                let taken = lease.taken - idle;
                self.write(&program, taken);
            }
            self.trim(&program);
            self.advance(&program, now);
            let Some(lease) = self.programs.get_mut(&program) else {
                continue;
            };
            lease.begin_sweep_interval();
            if lease.is_idle() {
                self.active.remove(&program);
            }
        }
    }

    /// Drops programs that have been idle for so long that the stores no longer retain their counts either.
    fn expire_programs(&mut self, now: Duration) {
        let active = &self.active;
        self.programs
            .retain(|program, lease| active.contains(program) || now < lease.last_used + PROGRAM_RETENTION);
    }

    fn retry(&mut self, program: &Rc<str>, now: Duration) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        lease.retry_at = None;
        self.mark_waiting_unrequested(program);
        self.advance(program, now);
    }

    /// Marks all waiting turns to be included in the next acquisition.
    fn mark_waiting_unrequested(&mut self, program: &Rc<str>) {
        if let Some(lease) = self.programs.get_mut(program) {
            lease.waiting.iter_mut().for_each(|waiting| waiting.is_requested = false);
        }
    }

    /// Reserves units for the waiting turns that the lease can cover, and requests an acquisition for the others unless
    /// one is in flight.
    fn advance(&mut self, program: &Rc<str>, now: Duration) {
        self.cover_waiting(program);
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        let has_new = lease.waiting.iter().any(|waiting| !waiting.is_requested);
        if lease.pending_acquisition.is_some() || !has_new {
            return;
        }
        for waiting in &mut lease.waiting {
            waiting.is_requested = true;
        }
        let (current, requested) = (lease.taken, lease.requested(now));
        lease.pending_acquisition = Some(requested);
        lease.retry_at = None;
        self.actions.push(Action::Acquire { program: Rc::clone(program), current, requested });
    }

    /// Reserves the maximum of each waiting turn for which the lease has enough free units. Refuses the turns that would
    /// exceed the budget together with what this gatekeeper has used already.
    fn cover_waiting(&mut self, program: &Rc<str>) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        let mut decided = Vec::new();
        let waiting = std::mem::take(&mut lease.waiting);
        for turn in waiting {
            if lease.cover(turn.max_units) {
                decided.push((turn, Ok(())));
            } else if lease.is_beyond_budget(turn.max_units) {
                decided.push((turn, Err(LeaseError::BudgetSpent)));
            } else {
                lease.waiting.push(turn);
            }
        }
        if lease.waiting.is_empty() {
            lease.retry_at = None;
            lease.retries = 0;
        }
        for (waiting, decision) in decided {
            if let Some(turn) = self.turns.get_mut(&waiting.turn) {
                turn.reserved = waiting.max_units;
            }
            self.decide(waiting.turn, decision);
        }
    }

    /// Handles an acquisition that exceeded the budget: refuses the turns that it included, or defers them for up to
    /// [`RECLAIM_TIMEOUT`] when other gatekeepers may return units.
    fn defer_or_refuse(&mut self, program: &Rc<str>, now: Duration) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        let others = lease.others_taken;
        let no_units_expected = others == 0 || lease.others_taken_at_refusal == Some(others);
        let mut refused = Vec::new();
        lease.waiting.retain_mut(|waiting| {
            if !waiting.is_requested {
                return true;
            }
            let refuse_at = *waiting.refuse_at.get_or_insert(now + RECLAIM_TIMEOUT);
            let refuse = no_units_expected || now >= refuse_at;
            if refuse {
                refused.push(waiting.turn);
            }
            !refuse
        });
        if !refused.is_empty() {
            lease.others_taken_at_refusal = Some(others);
        }
        self.schedule_retry(program, now);
        for turn in refused {
            self.decide(turn, Err(LeaseError::BudgetSpent));
        }
    }

    fn schedule_retry(&mut self, program: &Rc<str>, now: Duration) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        if lease.waiting.is_empty() {
            lease.retries = 0;
            return;
        }
        let backoff = FIRST_RETRY_BACKOFF * (1 << lease.retries.min(MAX_RETRY_DOUBLINGS));
        lease.retries += 1;
        lease.retry_at = Some(now + backoff.mul_f64(0.5 + self.random.f64() / 2.0));
    }

    /// Lowers the entry, which an acquisition has written as `written`, to the units that this gatekeeper keeps.
    fn reconcile_entry(&mut self, program: &Rc<str>, written: u64) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        let retained = lease.target_taken(self.is_draining);
        lease.taken = written;
        self.write(program, retained);
    }

    /// Returns the surplus units that may not be held, unless an acquisition is in flight.
    fn trim(&mut self, program: &Rc<str>) {
        let Some(lease) = self.programs.get(program) else {
            return;
        };
        if lease.pending_acquisition.is_none() {
            let retained = lease.target_taken(self.is_draining);
            self.write(program, retained);
        }
    }

    /// Writes the entry if `taken` differs from its present value. No acquisition may be in flight.
    fn write(&mut self, program: &Rc<str>, taken: u64) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        if lease.taken == taken {
            return;
        }
        lease.taken = taken;
        lease.min_free = lease.min_free.min(lease.free());
        self.actions.push(Action::Write { program: Rc::clone(program), taken });
    }

    fn decide(&mut self, turn: TurnId, decision: Result<(), LeaseError>) {
        if decision.is_err() {
            self.turns.remove(&turn);
        }
        self.actions.push(Action::Decide { turn, decision });
    }

    /// Returns the shared copy of a program's name; `None` for a new program when [`MAX_PROGRAMS`] are known.
    fn program_name(&self, program: &str) -> Option<Rc<str>> {
        if let Some((name, _)) = self.programs.get_key_value(program) {
            return Some(Rc::clone(name));
        }
        (self.programs.len() < MAX_PROGRAMS).then(|| Rc::from(program))
    }

    fn find_program<'a>(
        programs: &'a mut FnvHashMap<Rc<str>, ProgramLease>,
        program: &str,
    ) -> Option<(Rc<str>, &'a mut ProgramLease)> {
        let name = Rc::clone(programs.get_key_value(program)?.0);
        Some((name, programs.get_mut(program)?))
    }

    fn activate(&mut self, program: &Rc<str>, now: Duration) {
        if self.active.is_empty() {
            self.next_sweep = now + SWEEP_INTERVAL;
        }
        self.active.insert(Rc::clone(program));
    }

    /// Returns the active programs sorted by name, so that simulated runs are reproducible.
    fn active_programs(&self) -> Vec<Rc<str>> {
        let mut programs: Vec<_> = self.active.iter().cloned().collect();
        programs.sort_unstable();
        programs
    }
}
