//! How far a customer can exceed its quota: every order of events for two and three gateways up to a depth, with the
//! decisions themselves, and long random sequences beyond that. `docs/bounds.md` states the bound that must hold.

mod common;
use common::*;
use opalrun_gateway::*;
use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Units per second; so few that nothing is refilled within a search, during which the clock stands still.
const RATE: f64 = 1e-6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    /// A request of one unit arrives at this gateway.
    Ask(usize),
    /// The gateway's oldest call is counted and answered.
    Answer(usize),
    /// The oldest call is lost before it is counted.
    LoseCall(usize),
    /// The oldest call is counted, and its answer is lost.
    LoseAnswer(usize),
    /// The oldest timer of requests that wait for the counter expires.
    WaitEnds(usize),
    /// The gateway is killed and restarts without state.
    Kill(usize),
    /// Another process takes over the gateway's state.
    Upgrade(usize),
}

impl Step {
    fn all(gateways: usize) -> impl Iterator<Item = Step> {
        let steps_of = |g| {
            [
                Self::Ask(g),
                Self::Answer(g),
                Self::LoseCall(g),
                Self::LoseAnswer(g),
                Self::WaitEnds(g),
                Self::Kill(g),
                Self::Upgrade(g),
            ]
        };
        (0..gateways).flat_map(steps_of)
    }
}

/// A gateway, its counter calls in flight, and the timers of requests that wait for the counter.
struct Node {
    index: u32,
    harness: Harness,
    calls: VecDeque<(u64, f64)>,
    wait_timers: VecDeque<u64>,
}

/// Maximum numbers of steps of these kinds in a search.
#[derive(Clone, Copy)]
struct Limits {
    kills: u32,
    upgrades: u32,
}

/// The gateways of one customer and the counter.
struct World {
    settings: Settings,
    nodes: Vec<Node>,
    counts: BTreeMap<u64, f64>,
    now: Time,
    /// Units sent to servers.
    sent: f64,
    asks: u32,
    kills: u32,
    upgrades: u32,
    /// A seeded defect: two processes take over from the same one, and both serve.
    two_successors: bool,
}

impl World {
    fn new(gateways: u32, burst: f64, two_successors: bool) -> Self {
        let mut settings = settings();
        (settings.gateway_count, settings.max_attempts, settings.warm_up) = (gateways, 1, 0.0);
        settings.plans = vec![plan(RATE, burst)];
        let (counts, now) = (BTreeMap::new(), 100.0);
        let mut world = Self {
            settings,
            nodes: Vec::new(),
            counts,
            now,
            sent: 0.0,
            asks: 0,
            kills: 0,
            upgrades: 0,
            two_successors,
        };
        world.nodes = (0..gateways).map(|index| world.start(index)).collect();
        world
    }

    fn start(&self, index: u32) -> Node {
        let mut settings = self.settings.clone();
        settings.gateway_index = index;
        let mut harness = Harness::new(settings);
        harness.now = self.now;
        Node { index, harness, calls: VecDeque::new(), wait_timers: VecDeque::new() }
    }

    /// The bound of `docs/bounds.md` on the units that the customer may get, with the kills so far and a clock that
    /// stands still.
    fn bound(&self) -> f64 {
        let (burst, n) = (self.settings.plans[0].burst, f64::from(self.settings.gateway_count));
        burst + (n + f64::from(self.kills)) * (burst / n).max(1.0)
    }

    /// Carries out the actions of the gateway with index `at`; every attempt is answered at once.
    fn carry_out(&mut self, at: usize, out: Vec<Action>) {
        let mut todo = VecDeque::from([out]);
        while let Some(out) = todo.pop_front() {
            for action in &out {
                match action {
                    Action::Count { counter, amount, .. } => {
                        self.nodes[at].calls.push_back((*counter, *amount));
                    }
                    // All timers but the first, which drops idle customers every minute, are those of requests that
                    // wait for the counter.
                    Action::Timer { token, at: due } if *due < self.now + 10.0 => {
                        self.nodes[at].wait_timers.push_back(*token);
                    }
                    _ => {}
                }
            }
            for (job, server) in sent_attempts(&out) {
                self.sent += 1.0;
                todo.push_back(self.nodes[at].harness.attempt_ended(&job, 0, &server, Status::Ok));
            }
        }
    }

    /// Ends the oldest call of a gateway; `false`: it has none in flight.
    fn call_ends(&mut self, at: usize, added: bool, answered: bool) -> bool {
        let Some((name, amount)) = self.nodes[at].calls.pop_front() else { return false };
        let total = self.counts.entry(name).or_default();
        *total += if added { amount } else { 0.0 };
        let (status, total) = if answered { (Status::Ok, *total) } else { (Status::Timeout, 0.0) };
        let elapsed = if answered { 0.002 } else { self.settings.counter_timeout };
        let out = self.nodes[at].harness.handle_event(Event::CounterAnswered {
            counter: name,
            status,
            total,
            elapsed,
        });
        self.carry_out(at, out);
        true
    }

    /// Takes one step; `false`: it cannot be taken in this state.
    fn take(&mut self, step: Step, limits: Limits) -> bool {
        let gateways = self.settings.gateway_count;
        match step {
            Step::Ask(at) => {
                self.asks += 1;
                let request = Request { spread: gateways, ..request(&format!("j{}", self.asks), self.now) };
                let out = self.nodes[at].harness.handle_event(Event::Request(request));
                self.carry_out(at, out);
                true
            }
            Step::Answer(at) => self.call_ends(at, true, true),
            Step::LoseCall(at) => self.call_ends(at, false, false),
            Step::LoseAnswer(at) => self.call_ends(at, true, false),
            Step::WaitEnds(at) => {
                let Some(token) = self.nodes[at].wait_timers.pop_front() else { return false };
                let out = self.nodes[at].harness.handle_event(Event::Timer { token });
                self.carry_out(at, out);
                true
            }
            Step::Kill(at) if self.kills < limits.kills => {
                self.kills += 1;
                self.nodes[at] = self.start(self.nodes[at].index);
                true
            }
            Step::Upgrade(at) if self.upgrades < limits.upgrades => {
                self.upgrades += 1;
                let index = self.nodes[at].index;
                let state = self.nodes[at].harness.gateway.hand_over(self.now);
                let successors = if self.two_successors { 2 } else { 1 };
                for successor in 0..successors {
                    let mut node = self.start(index);
                    node.harness.gateway.take_over(state.clone());
                    if successor == 0 { self.nodes[at] = node } else { self.nodes.push(node) }
                }
                true
            }
            Step::Kill(_) | Step::Upgrade(_) => false,
        }
    }

    /// A hash of everything that determines the further course.
    fn state_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for node in &self.nodes {
            format!("{:?} {:?} {:?}", node.harness.gateway, node.calls, node.wait_timers).hash(&mut hasher);
        }
        format!("{:?} {} {} {}", self.counts, self.sent, self.kills, self.upgrades).hash(&mut hasher);
        hasher.finish()
    }
}

/// The result of a search.
#[derive(Debug, Default)]
struct SearchResult {
    /// Distinct states that were reached.
    states: usize,
    /// Largest number of units sent beyond the burst.
    max_excess: f64,
    /// The first sequence that exceeds the bound, and by how many units.
    violation: Option<(f64, Vec<Step>)>,
}

/// Searches every order of steps up to `depth`; a state that was reached before is not expanded again.
fn search(gateways: u32, burst: f64, depth: usize, limits: Limits) -> SearchResult {
    let (mut result, mut reached) = (SearchResult::default(), HashSet::new());
    let mut frontier: Vec<Vec<Step>> = vec![Vec::new()];
    for _ in 0..depth {
        let mut next = Vec::new();
        for path in &frontier {
            for step in Step::all(gateways as usize) {
                // The decisions cannot be cloned, so each state is reached by replaying its steps.
                let mut world = World::new(gateways, burst, false);
                for step in path {
                    world.take(*step, limits);
                }
                if !world.take(step, limits) || !reached.insert(world.state_hash()) {
                    continue;
                }
                let path: Vec<Step> = path.iter().copied().chain([step]).collect();
                result.states += 1;
                result.max_excess = result.max_excess.max(world.sent - burst);
                if world.sent > world.bound() + 1e-6 {
                    result.violation = Some((world.sent - world.bound(), path));
                    return result;
                }
                next.push(path);
            }
        }
        frontier = next;
    }
    result
}

/// Checks that the bound holds and that a third at least of the excess that it allows is reached: a bound that nothing
/// comes near would show little.
fn check_bound(result: &SearchResult, allowed_excess: f64) {
    assert!(result.violation.is_none(), "{result:?}");
    assert!(
        result.max_excess >= allowed_excess / 3.0 && result.states > 1000,
        "{result:?} of {allowed_excess}"
    );
}

#[test]
fn two_gateways_stay_within_the_bound_in_any_order_of_calls_and_losses() {
    check_bound(&search(2, 2.0, 7, Limits { kills: 0, upgrades: 0 }), 2.0);
}

#[test]
fn two_gateways_stay_within_the_bound_if_one_is_killed_or_upgraded() {
    check_bound(&search(2, 2.0, 6, Limits { kills: 1, upgrades: 0 }), 3.0);
    check_bound(&search(2, 2.0, 6, Limits { kills: 0, upgrades: 1 }), 2.0);
}

#[test]
fn three_gateways_stay_within_the_bound() {
    check_bound(&search(3, 3.0, 6, Limits { kills: 0, upgrades: 0 }), 3.0);
}

/// Runs `count` long random sequences; returns how many exceeded the bound, and the largest share of the allowed excess
/// that one reached.
fn random_sequences(count: u64, two_successors: bool) -> (usize, f64) {
    let (mut over, mut max_share) = (0, 0.0f64);
    // Kills would widen the bound that the seeded defect has to exceed.
    let limits = Limits { kills: if two_successors { 0 } else { 3 }, upgrades: 2 };
    for seed in 0..count {
        let mut rng = fastrand::Rng::with_seed(seed);
        let gateways = rng.u32(2..5);
        let burst = rng.u32(1..9).into();
        let mut world = World::new(gateways, burst, two_successors);
        for _ in 0..120 {
            let nodes = world.nodes.len();
            let steps: Vec<Step> = Step::all(nodes).collect();
            world.take(steps[rng.usize(..steps.len())], limits);
        }
        over += usize::from(world.sent > world.bound() + 1e-6);
        max_share = max_share.max((world.sent - burst) / (world.bound() - burst));
    }
    (over, max_share)
}

#[test]
fn random_sequences_stay_within_the_bound_unless_two_processes_take_over_from_one() {
    let (over, max_share) = random_sequences(600, false);
    assert!(
        over == 0 && max_share > 1.0 / 3.0,
        "{over} exceed the bound, the largest share of it is {max_share}"
    );
    let (over, _) = random_sequences(600, true);
    assert!(over > 0, "the seeded defect is not found");
}
