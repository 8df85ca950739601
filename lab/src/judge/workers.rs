//! Checks of traffic to workers: no new attempts at draining workers, and no overload of workers that are warming up.

use super::{Judge, Rule, SLACK_S, seconds};
use crate::record::{Event, Seen, WorkerState};
use std::collections::HashMap;

/// Allowance, in seconds, for the transit of an attempt, whose recorded time is that of its last byte at the worker.
const TRANSIT_ALLOWANCE_S: f64 = 0.1;

/// The states of workers that discovery has reported to each gateway, and the attempts that each worker received.
#[derive(Default)]
struct GatewayViews {
    /// By gateway and worker, the time at which the gateway learned that the worker is draining or gone.
    unwanted: HashMap<(usize, usize), f64>,
    /// By gateway and worker, the time at which the gateway learned of the worker's latest start.
    started: HashMap<(usize, usize), f64>,
    /// By worker, the attempts since its latest start: time in seconds, and gateway.
    attempts: HashMap<usize, Vec<(f64, usize)>>,
}

impl GatewayViews {
    /// Records that discovery listed a worker to a gateway: `wanted` as serving, otherwise as draining or gone.
    fn listed(&mut self, at: f64, gate: usize, worker: usize, wanted: bool) {
        if wanted {
            self.unwanted.remove(&(gate, worker));
            self.started.insert((gate, worker), at);
        } else {
            self.unwanted.entry((gate, worker)).or_insert(at);
        }
    }

    /// Discards the attempts at the worker's earlier incarnation, and the gateways' knowledge of it.
    fn worker_started(&mut self, worker: usize) {
        self.attempts.remove(&worker);
        self.started.retain(|(_, w), _| *w != worker);
    }

    /// Counts the attempts at a worker in the `window_s` seconds before `at`: those from gateways that knew of its
    /// latest start, and all of them.
    fn attempts_within(&self, worker: usize, at: f64, window_s: f64) -> (usize, usize) {
        let all = self.attempts.get(&worker).map_or(&[][..], Vec::as_slice);
        let (mut informed, mut total) = (0, 0);
        for (sent, gate) in all.iter().filter(|(sent, _)| at - sent <= window_s) {
            total += 1;
            informed += usize::from(self.started.get(&(*gate, worker)).is_some_and(|since| since <= sent));
        }
        (informed, total)
    }
}

impl Judge<'_> {
    /// Reports attempts at workers known to be draining, and workers overloaded during their warm-up.
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
                    let draining_since =
                        views.unwanted.get(&(*gate, *worker)).copied().unwrap_or(f64::INFINITY);
                    let late = at - draining_since - world.drain_grace_s - SLACK_S - TRANSIT_ALLOWANCE_S;
                    if late > 0.0 {
                        let what = format!(
                            "gateway {gate} sent {txn:016x} to worker {worker} {late:.2} s after the drain grace period"
                        );
                        found.push((Rule::Drain, at, what));
                    }
                }
                Event::Worker { worker, state: WorkerState::Started } => views.worker_started(*worker),
                Event::Worker { worker, state: WorkerState::Fell } => {
                    let (informed, total) = views.attempts_within(*worker, at, world.fall_s);
                    // Gateways that had not learned of the start can't be blamed: it is a violation only if at least
                    // two thirds of the attempts came from gateways that had.
                    if 3 * informed >= 2 * total {
                        let what = format!(
                            "worker {worker} was overloaded during warm-up: {informed} of {total} attempts came from gateways that knew of its start"
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
