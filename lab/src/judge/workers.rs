//! Rules on workers: nothing new to draining ones, and no cold one falls.

use super::{Judge, Rule, SLACK_S, seconds};
use crate::record::{Event, Seen, WorkerState};
use std::collections::HashMap;

/// A send may have been under way so long before its last byte came.
const TRANSIT_ALLOWANCE_S: f64 = 0.1;

/// What gateways have been told of workers, and what they sent them.
#[derive(Default)]
struct GatewayViews {
    /// By gateway and worker, since when it knows that nothing new is wanted.
    unwanted: HashMap<(usize, usize), f64>,
    /// By gateway and worker, since when it knows that the worker has started.
    started: HashMap<(usize, usize), f64>,
    /// By worker, the attempts since its start: when, and from which gateway.
    attempts: HashMap<usize, Vec<(f64, usize)>>,
}

impl GatewayViews {
    fn listed(&mut self, at: f64, gate: usize, worker: usize, wanted: bool) {
        if wanted {
            self.unwanted.remove(&(gate, worker));
            self.started.insert((gate, worker), at);
        } else {
            self.unwanted.entry((gate, worker)).or_insert(at);
        }
    }

    fn worker_started(&mut self, worker: usize) {
        self.attempts.remove(&worker);
        self.started.retain(|(_, w), _| *w != worker);
    }

    /// The attempts at a worker in the `window_s` before `at`: how many came from gateways that knew of its start,
    /// and how many in all.
    fn attempts_within(&self, worker: usize, at: f64, window_s: f64) -> (usize, usize) {
        let all = self.attempts.get(&worker).map_or(&[][..], Vec::as_slice);
        let (mut knowing, mut total) = (0, 0);
        for (sent, gate) in all.iter().filter(|(sent, _)| at - sent <= window_s) {
            total += 1;
            knowing += usize::from(self.started.get(&(*gate, worker)).is_some_and(|since| since <= sent));
        }
        (knowing, total)
    }
}

impl Judge<'_> {
    /// Finds sends to draining workers, and cold workers that fell.
    pub(super) fn check_workers(&mut self) {
        let world = &self.scenario.world;
        let mut views = GatewayViews::default();
        let mut found = Vec::new();
        for Seen { at, event } in &self.recording.seen {
            let at = seconds(*at);
            match event {
                Event::Told { gate, worker, wanted } => views.listed(at, *gate, *worker, *wanted),
                Event::Attempt { txn, gate, worker, .. } => {
                    views.attempts.entry(*worker).or_default().push((at, *gate));
                    let told = views.unwanted.get(&(*gate, *worker)).copied().unwrap_or(f64::INFINITY);
                    let late = at - told - world.drain_grace_s - SLACK_S - TRANSIT_ALLOWANCE_S;
                    if late > 0.0 {
                        let what = format!(
                            "gateway {gate} sent {txn:016x} to worker {worker} {late:.2} s after it had to stop"
                        );
                        found.push((Rule::Drain, at, what));
                    }
                }
                Event::Worker { worker, state: WorkerState::Started } => views.worker_started(*worker),
                Event::Worker { worker, state: WorkerState::Fell } => {
                    let (told, of) = views.attempts_within(*worker, at, world.fall_s);
                    // Those that were not told could not know better.
                    if 3 * told >= 2 * of {
                        let what = format!(
                            "cold worker {worker} fell: {told} of {of} attempts came from gateways that knew"
                        );
                        found.push((Rule::Cold, at, what));
                    }
                }
                _ => {}
            }
        }
        self.add_violations(found);
    }
}
