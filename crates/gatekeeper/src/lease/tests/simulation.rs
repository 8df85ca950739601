//! Simulation of several gatekeepers, one program and its count in the stores, in simulated time.

use crate::lease::{Action, LeaseError, Leases, TurnBudget, TurnId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after its end during which a turn still counts against the budget with its maximum instead of the units emitted.
const COMMIT_DELAY: Duration = Duration::from_secs(1);
const ACQUISITION_TIMEOUT: Duration = Duration::from_millis(400);
const PROGRAM: &str = "p";

/// Latency and loss between the gatekeepers and the stores.
#[derive(Debug, Clone, Copy)]
pub(super) struct Network {
    /// Maximum one-way latency.
    pub(super) max_latency: Duration,
    /// Probability that the answer to an acquisition is lost, in units of 1/256.
    pub(super) lost_per_256: u8,
}

/// One gatekeeper's entry in the program's count.
#[derive(Debug, Default)]
struct Entry {
    sequence: u64,
    taken: u64,
}

/// A gatekeeper process. A restarted process is another holder with an entry of its own.
struct Gatekeeper {
    leases: Leases,
    holder: usize,
    next_sequence: u64,
}

/// A turn that has begun.
pub(super) struct Turn {
    holder: usize,
    id: TurnId,
    pub(super) max_units: u64,
    pub(super) units: u64,
    pub(super) decision: Option<Result<(), LeaseError>>,
    ended: Option<Duration>,
}

impl Turn {
    fn is_running(&self) -> bool {
        self.decision == Some(Ok(())) && self.ended.is_none()
    }
}

/// A message in flight to the stores or to a gatekeeper.
enum Message {
    Write { holder: usize, sequence: u64, taken: u64 },
    ReadOthers { holder: usize },
    GiveUp { holder: usize, current: u64 },
}

pub(super) struct Simulation {
    pub(super) now: Duration,
    pub(super) budget: u64,
    pub(super) turns: Vec<Turn>,
    gatekeepers: Vec<Gatekeeper>,
    entries: Vec<Entry>,
    messages: BTreeMap<(Duration, u64), Message>,
    last_message: u64,
    network: Network,
    random: fastrand::Rng,
    /// Refused turns that would have fitted the budget, with other turns counted as in `committed_use`.
    pub(super) false_refusals: usize,
}

impl Simulation {
    pub(super) fn new(gatekeepers: usize, budget: u64, network: Network, seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            budget,
            turns: Vec::new(),
            gatekeepers: Vec::new(),
            entries: Vec::new(),
            messages: BTreeMap::new(),
            last_message: 0,
            network,
            random: fastrand::Rng::with_seed(seed),
            false_refusals: 0,
        };
        for _ in 0..gatekeepers {
            let gatekeeper = simulation.new_process();
            simulation.gatekeepers.push(gatekeeper);
        }
        simulation
    }

    fn new_process(&mut self) -> Gatekeeper {
        self.entries.push(Entry::default());
        let leases = Leases::new(self.random.u64(..));
        Gatekeeper { leases, holder: self.entries.len() - 1, next_sequence: 1 }
    }

    pub(super) fn begin(&mut self, gatekeeper: usize, max_units: u64) -> usize {
        let gatekeeper = gatekeeper % self.gatekeepers.len();
        let (budget, now) = (self.budget, self.now);
        let process = &mut self.gatekeepers[gatekeeper];
        let id = process.leases.begin(PROGRAM, TurnBudget { budget, max_units }, now);
        self.turns.push(Turn {
            holder: process.holder,
            id,
            max_units,
            units: 0,
            decision: None,
            ended: None,
        });
        self.run_actions(gatekeeper);
        self.turns.len() - 1
    }

    /// Returns one of the running turns; `None` when no turn runs.
    pub(super) fn running(&self, choice: usize) -> Option<usize> {
        let running: Vec<usize> =
            (0..self.turns.len()).filter(|turn| self.turns[*turn].is_running()).collect();
        (!running.is_empty()).then(|| running[choice % running.len()])
    }

    pub(super) fn event(&mut self, turn: usize, units: u64) {
        let units = units.min(self.turns[turn].max_units - self.turns[turn].units);
        self.turns[turn].units += units;
        let (holder, id, now) = (self.turns[turn].holder, self.turns[turn].id, self.now);
        if let Some(gatekeeper) = self.gatekeeper_of(holder) {
            self.gatekeepers[gatekeeper].leases.record_units(id, units, now);
            self.run_actions(gatekeeper);
        }
    }

    pub(super) fn end(&mut self, turn: usize) {
        self.turns[turn].ended = Some(self.now);
        let (holder, id, now) = (self.turns[turn].holder, self.turns[turn].id, self.now);
        if let Some(gatekeeper) = self.gatekeeper_of(holder) {
            self.gatekeepers[gatekeeper].leases.end(id, now);
            self.run_actions(gatekeeper);
        }
    }

    /// Kills a gatekeeper process and starts a new one. The killed process's turns end; its messages may still arrive.
    pub(super) fn kill(&mut self, gatekeeper: usize) {
        let gatekeeper = gatekeeper % self.gatekeepers.len();
        let process = self.new_process();
        let killed = std::mem::replace(&mut self.gatekeepers[gatekeeper], process);
        for turn in self.turns.iter_mut().filter(|turn| turn.holder == killed.holder && turn.ended.is_none())
        {
            turn.ended = Some(self.now);
            turn.decision.get_or_insert(Err(LeaseError::Unavailable));
        }
    }

    pub(super) fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        loop {
            let message = self.messages.first_key_value().map(|(key, _)| key.0);
            let wakes = self.gatekeepers.iter().filter_map(|gatekeeper| gatekeeper.leases.next_wake());
            let next = wakes.chain(message).min().filter(|at| *at <= until);
            let Some(next) = next else {
                break;
            };
            self.now = self.now.max(next);
            self.deliver();
            for gatekeeper in 0..self.gatekeepers.len() {
                let now = self.now;
                self.gatekeepers[gatekeeper].leases.tick(now);
                self.run_actions(gatekeeper);
            }
        }
        self.now = until;
    }

    /// Returns the units relayed by ended turns plus the maximum of the running ones.
    pub(super) fn max_relayed(&self) -> u64 {
        let units = |turn: &Turn| if turn.is_running() { turn.max_units } else { turn.units };
        self.turns.iter().map(units).sum()
    }

    pub(super) fn relayed(&self) -> u64 {
        self.turns.iter().map(|turn| turn.units).sum()
    }

    /// Returns the units in all entries of the program's count.
    pub(super) fn counted(&self) -> u64 {
        self.entries.iter().map(|entry| entry.taken).sum()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Write { holder, sequence, taken } => self.apply(holder, sequence, taken),
                Message::ReadOthers { holder } => self.read_others(holder),
                Message::GiveUp { holder, current } => self.give_up(holder, current),
            }
        }
    }

    fn apply(&mut self, holder: usize, sequence: u64, taken: u64) {
        let entry = &mut self.entries[holder];
        if sequence > entry.sequence {
            *entry = Entry { sequence, taken };
        }
    }

    fn read_others(&mut self, holder: usize) {
        let others = self.entries.iter().enumerate().filter(|(other, _)| *other != holder);
        let others_taken = others.map(|(_, entry)| entry.taken).sum();
        if let Some(gatekeeper) = self.gatekeeper_of(holder) {
            let now = self.now;
            self.gatekeepers[gatekeeper].leases.granted(PROGRAM, others_taken, now);
            self.run_actions(gatekeeper);
        }
    }

    fn give_up(&mut self, holder: usize, current: u64) {
        if let Some(gatekeeper) = self.gatekeeper_of(holder) {
            self.write(gatekeeper, current);
            let now = self.now;
            self.gatekeepers[gatekeeper].leases.unavailable(PROGRAM, now);
            self.run_actions(gatekeeper);
        }
    }

    fn run_actions(&mut self, gatekeeper: usize) {
        for action in self.gatekeepers[gatekeeper].leases.take_actions() {
            match action {
                Action::Acquire { current, requested, .. } => self.acquire(gatekeeper, current, requested),
                Action::Write { taken, .. } => {
                    self.write(gatekeeper, taken);
                }
                Action::Decide { turn, decision } => self.decided(gatekeeper, turn, decision),
            }
        }
    }

    fn acquire(&mut self, gatekeeper: usize, current: u64, requested: u64) {
        let holder = self.gatekeepers[gatekeeper].holder;
        let written_at = self.write(gatekeeper, requested);
        if self.random.u8(..) < self.network.lost_per_256 {
            self.send(self.now + ACQUISITION_TIMEOUT, Message::GiveUp { holder, current });
        } else {
            // The other entries are read at some time after the write.
            let read_at = written_at + self.latency();
            self.send(read_at, Message::ReadOthers { holder });
        }
    }

    fn write(&mut self, gatekeeper: usize, taken: u64) -> Duration {
        let process = &mut self.gatekeepers[gatekeeper];
        let (holder, sequence) = (process.holder, process.next_sequence);
        process.next_sequence += 1;
        let at = self.now + self.latency();
        self.send(at, Message::Write { holder, sequence, taken });
        at
    }

    fn decided(&mut self, gatekeeper: usize, id: TurnId, decision: Result<(), LeaseError>) {
        let holder = self.gatekeepers[gatekeeper].holder;
        let turn =
            self.turns.iter().position(|turn| turn.holder == holder && turn.id == id).expect("a known turn");
        assert_eq!(self.turns[turn].decision, None, "a turn was decided twice");
        self.turns[turn].decision = Some(decision);
        if decision.is_err() {
            self.turns[turn].ended = Some(self.now);
        }
        if decision == Err(LeaseError::BudgetSpent)
            && self.committed_use() + self.turns[turn].max_units <= self.budget
        {
            self.false_refusals += 1;
        }
    }

    /// Returns the units that count against the budget: each turn counts with its maximum until [`COMMIT_DELAY`] after
    /// its end, and then with the units that it emitted.
    fn committed_use(&self) -> u64 {
        let units = |turn: &Turn| match (turn.decision, turn.ended) {
            (Some(Ok(())), Some(ended)) if ended + COMMIT_DELAY <= self.now => turn.units,
            (Some(Err(_)), _) => 0,
            _ => turn.max_units,
        };
        // The turn being decided is set to its decision before this is called; a refused turn counts as 0.
        self.turns.iter().map(units).sum::<u64>()
    }

    fn gatekeeper_of(&self, holder: usize) -> Option<usize> {
        self.gatekeepers.iter().position(|gatekeeper| gatekeeper.holder == holder)
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.u64(0..=self.network.max_latency.as_micros() as u64))
    }

    fn send(&mut self, at: Duration, message: Message) {
        self.last_message += 1;
        self.messages.insert((at, self.last_message), message);
    }
}
