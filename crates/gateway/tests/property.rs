//! Random legal event sequences with fixed seeds, against the rules that a single gateway has to keep: one final answer
//! in time, no attempt at a server that is not running, and no second run of a request that may run once only.

mod common;
use common::*;
use opalrun_gateway::*;
use std::collections::{BTreeMap, BTreeSet};

/// A random number generator of fixed algorithm, so that a seed always gives the same sequence.
struct Random(u64);

impl Random {
    /// A number below `n`.
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) % n
    }
}

/// What the gateway under test has asked for, and the state of its environment.
#[derive(Default)]
struct World {
    /// When each request expires.
    deadline: BTreeMap<JobId, Time>,
    /// Requests that have their final answer.
    ended: BTreeSet<JobId>,
    /// For each attempt of a request, whether it certainly has not run.
    attempts: BTreeMap<JobId, Vec<bool>>,
    /// Attempts in flight, with the time of their time-out.
    in_flight: Vec<(JobId, u32, ServerId, Time)>,
    /// InstantCounter calls in flight, by name of the count.
    calls: Vec<u64>,
    timers: Vec<(Time, u64)>,
    /// Servers that are draining or removed.
    stopped: BTreeSet<ServerId>,
    counter: BTreeMap<u64, f64>,
}

impl World {
    /// Checks the rules against `actions` and records them.
    fn check(&mut self, now: Time, at_most_once: bool, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { job, server, timeout, .. } => {
                    assert!(!self.ended.contains(job), "sent after its final answer");
                    assert!(!self.stopped.contains(server), "sent to a server that is draining or removed");
                    let attempts = self.attempts.entry(job.clone()).or_default();
                    assert!(!at_most_once || attempts.iter().all(|not_run| *not_run), "may run twice");
                    self.in_flight.push((job.clone(), attempts.len() as u32, server.clone(), now + timeout));
                    attempts.push(false);
                }
                Action::Refuse { job, .. } | Action::Fail { job } => {
                    let not_run = self.attempts.get(job).is_none_or(|a| a.iter().all(|not_run| *not_run));
                    let refuses = matches!(action, Action::Refuse { .. });
                    assert!(!(at_most_once && refuses) || not_run, "refused although it may have run");
                    assert!(self.ended.insert(job.clone()), "two final answers");
                    assert!(now <= self.deadline[job] + 0.008, "final answer after the deadline");
                }
                Action::Count { counter, amount, .. } => {
                    *self.counter.entry(*counter).or_default() += amount;
                    self.calls.push(*counter);
                }
                Action::Timer { token, at } => self.timers.push((*at, *token)),
                _ => {}
            }
        }
    }
}

/// Runs one sequence of events and returns the gateway's actions.
fn run_sequence(seed: u64) -> Vec<Action> {
    let (mut random, mut world) = (Random(seed), World::default());
    let at_most_once = seed.is_multiple_of(3);
    let mut s = settings();
    s.classes[0].effect = if at_most_once { Effect::AtMostOnce } else { Effect::Idempotent };
    s.plans.push(plan(1.0, 3.0));
    s.plans[1].max_open_attempts = 2;
    (s.plans[0].ceiling_rate, s.plans[0].ceiling_burst) = (20.0, 40.0);
    s.plans.push(Plan::default());
    let mut harness = Harness::new(s);
    for n in 0..1500 {
        harness.now += 0.002 * random.below(4) as f64;
        let due: Vec<u64> = world.timers.iter().filter(|t| t.0 <= harness.now).map(|t| t.1).collect();
        world.timers.retain(|t| t.0 > harness.now);
        for token in due {
            let out = harness.handle_event(Event::Timer { token });
            world.check(harness.now, at_most_once, &out);
        }
        while let Some(i) = world.in_flight.iter().position(|o| o.3 <= harness.now) {
            let (job, attempt, server, _) = world.in_flight.remove(i);
            let out = harness.attempt_ended(&job, attempt, &server, Status::Timeout);
            world.check(harness.now, at_most_once, &out);
        }
        let out = match random.below(10) {
            0..4 => {
                let mut r = request(&format!("j{n}"), harness.now);
                (r.plan, r.spread) = (random.below(3) as usize, 1 + random.below(3) as u32);
                r.customer = format!("c{}", random.below(4)).as_str().into();
                r.expires = harness.now + 0.01 * random.below(100) as f64;
                world.deadline.insert(r.job.clone(), r.expires);
                harness.handle_event(Event::Request(r))
            }
            4..7 if !world.in_flight.is_empty() => {
                let i = random.below(world.in_flight.len() as u64) as usize;
                let (job, attempt, server, _) = world.in_flight.remove(i);
                let ends =
                    [Status::Ok, Status::Error, Status::Rejected, Status::ConnectFailed, Status::Reset];
                let status = ends[random.below(5) as usize];
                let not_run = matches!(status, Status::Rejected | Status::ConnectFailed);
                world.attempts.get_mut(&job).expect("sent")[attempt as usize] = not_run;
                if status == Status::Ok {
                    world.ended.insert(job.clone());
                }
                harness.attempt_ended(&job, attempt, &server, status)
            }
            7 | 8 if !world.calls.is_empty() => {
                let name = world.calls.remove(0);
                if random.below(200) == 0 {
                    world.counter.clear();
                }
                let ends = [Status::Ok, Status::Ok, Status::Ok, Status::Timeout, Status::Rejected];
                let total = world.counter.get(&name).copied().unwrap_or(0.0);
                harness.counter_answered(name, ends[random.below(5) as usize], total)
            }
            _ => {
                let name = ["a", "b", "c"][random.below(3) as usize];
                let lifecycle =
                    [Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone][random.below(3) as usize];
                match lifecycle {
                    Lifecycle::Running => world.stopped.remove(name),
                    _ => world.stopped.insert(name.into()),
                };
                harness.handle_event(Event::List {
                    kind: ListKind::Changes,
                    servers: vec![server(name, lifecycle, harness.now)],
                })
            }
        };
        world.check(harness.now, at_most_once, &out);
    }
    for (job, deadline) in &world.deadline {
        let in_flight = world.in_flight.iter().any(|o| o.0 == *job);
        assert!(
            world.ended.contains(job) || in_flight || *deadline > harness.now,
            "{job} has no final answer"
        );
    }
    harness.actions
}

#[test]
fn random_event_sequences_keep_the_rules() {
    for seed in 0..60 {
        run_sequence(seed);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    assert_eq!(run_sequence(5), run_sequence(5));
}
