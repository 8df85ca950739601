//! The leases of all programs at one gatekeeper, as a state machine.
//!
//! Times are those of a monotonic clock, passed in by the caller. What is to be done comes out as [`Action`]s, in
//! order.

use super::program::{ProgramLease, WaitingTurn};
use super::{Action, LeaseError, TurnBudget, TurnId};
use fnv::{FnvHashMap, FnvHashSet};
use std::rc::Rc;
use std::time::Duration;

/// Units that lie free for one to two such spans are given back.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long a turn that the count does not hold waits for units that other gatekeepers hold to come back. Theirs lie
/// idle for two sweeps at most; after that, what they hold is spent or reserved.
const RECLAIM_TIMEOUT: Duration = Duration::from_millis(600);
/// The backoff before the count is asked again at first. It doubles with each time, and is drawn between half of it and
/// all of it, so that two gatekeepers don't keep seeing each other's acquisition.
const FIRST_RETRY_BACKOFF: Duration = Duration::from_millis(10);
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// How long a program is remembered after its last turn: longer than the stores keep its count.
const PROGRAM_RETENTION: Duration = Duration::from_mins(15);
const EXPIRY_INTERVAL: Duration = Duration::from_mins(1);
/// Programs that are remembered at most; turns of further ones are refused with [`LeaseError::Unavailable`].
const MAX_PROGRAMS: usize = 50_000;

/// A turn that has begun and not ended.
#[derive(Debug)]
struct Turn {
    program: Rc<str>,
    /// What is reserved for it and not relayed; 0 while it waits.
    reserved: u64,
}

/// The state machine of the leases of all programs at one gatekeeper. It does no input or output.
#[derive(Debug)]
pub struct Leases {
    programs: FnvHashMap<Rc<str>, ProgramLease>,
    /// Programs with something under way or something to give back.
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
    /// No leases. The seed is that of the backoffs between acquisitions.
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

    /// The actions decided since the last call, in the order in which they are to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// A turn of a program has arrived. An [`Action::Decide`] says, at once or later, whether it may be sent to a
    /// worker.
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

    /// `units` of output are about to be relayed to the turn's client. An unknown turn is ignored.
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

    /// The turn has ended, in whatever way; a turn that still waits is abandoned. An unknown turn is ignored.
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

    /// The answer to [`Action::Acquire`]: the entry was written to a quorum, and the units in all other holders'
    /// entries were read after that.
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
            self.request_again(&program);
        } else {
            self.defer_or_refuse(&program, now);
        }
        self.reconcile_entry(&program, requested);
        self.advance(&program, now);
    }

    /// The answer to [`Action::Acquire`] when no quorum has answered in time. Turns that it was for are refused with
    /// [`LeaseError::Unavailable`].
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

    /// When [`tick`](Self::tick) is to be called next; `None`: not before another input.
    #[must_use]
    pub fn next_wake(&self) -> Option<Duration> {
        if self.active.is_empty() {
            return None;
        }
        let retries = self.active.iter().filter_map(|program| self.programs.get(program)?.retry_at);
        retries.chain([self.next_sweep]).min()
    }

    /// Time has passed: retries acquisitions that are due, gives back idle units and forgets unused programs.
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

    /// The process is about to end: from now on no units are retained that no turn needs.
    pub fn drain(&mut self) {
        self.is_draining = true;
        for program in self.active_programs() {
            self.trim(&program);
        }
    }

    /// Gives back what lay free for a whole span.
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

    /// Drops programs that have been at rest for so long that the stores have dropped them, too.
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
        self.request_again(program);
        self.advance(program, now);
    }

    /// Has the next acquisition count in all turns that wait.
    fn request_again(&mut self, program: &Rc<str>) {
        if let Some(lease) = self.programs.get_mut(program) {
            lease.waiting.iter_mut().for_each(|waiting| waiting.is_requested = false);
        }
    }

    /// Covers what can be covered, and asks for what is missing.
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

    /// Reserves the maximum of each turn that waits, as far as the lease reaches. Refuses those that the
    /// budget can't hold beside what this gatekeeper has sent already.
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

    /// After an acquisition that did not fit the budget: refuses the turns that it was for, or defers them for a
    /// while when other gatekeepers may give units back.
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

    /// After an acquisition to `written`: brings the entry to what this gatekeeper keeps of it.
    fn reconcile_entry(&mut self, program: &Rc<str>, written: u64) {
        let Some(lease) = self.programs.get_mut(program) else {
            return;
        };
        let retained = lease.trimmed(self.is_draining);
        lease.taken = written;
        self.write(program, retained);
    }

    /// Gives back what may not be held for later.
    fn trim(&mut self, program: &Rc<str>) {
        let Some(lease) = self.programs.get(program) else {
            return;
        };
        if lease.pending_acquisition.is_none() {
            let retained = lease.trimmed(self.is_draining);
            self.write(program, retained);
        }
    }

    /// Writes the entry if it stands at something else. No acquisition may be in flight.
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

    /// The one copy of a program's name; `None` when there is no room for a new program.
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

    /// In the order of their names, so that a run can be repeated.
    fn active_programs(&self) -> Vec<Rc<str>> {
        let mut programs: Vec<_> = self.active.iter().cloned().collect();
        programs.sort_unstable();
        programs
    }
}
