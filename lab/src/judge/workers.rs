//! Rules on workers: nothing new to draining ones, and no cold one falls.

use super::{Judge, Rule, SLACK_S, seconds};
use crate::record::{Event, Seen, WorkerState};
use std::collections::HashMap;

/// A send may have been under way so long before its last byte came.
const UNDER_WAY_S: f64 = 0.1;

impl Judge<'_> {
    /// Drains and cold workers.
    pub(super) fn workers(&mut self) {
        let world = &self.scenario.world;
        // By gateway and worker, since when it knows that nothing new is wanted; or that it has started.
        let mut unwanted: HashMap<(usize, usize), f64> = HashMap::new();
        let mut knows: HashMap<(usize, usize), f64> = HashMap::new();
        let mut came: HashMap<usize, Vec<(f64, usize)>> = HashMap::new();
        let mut found = Vec::new();
        for Seen { at, event } in &self.recording.seen {
            let at = seconds(*at);
            match event {
                Event::Told { gate, worker, wanted } => {
                    if *wanted {
                        unwanted.remove(&(*gate, *worker));
                        knows.insert((*gate, *worker), at);
                    } else {
                        unwanted.entry((*gate, *worker)).or_insert(at);
                    }
                }
                Event::Attempt { txn, gate, worker, .. } => {
                    came.entry(*worker).or_default().push((at, *gate));
                    let told = unwanted.get(&(*gate, *worker)).copied().unwrap_or(f64::INFINITY);
                    let late = at - told - world.drain_grace_s - SLACK_S - UNDER_WAY_S;
                    if late > 0.0 {
                        found.push((Rule::Drain, at, format!(
                            "gateway {gate} sent {txn:016x} to worker {worker} {late:.2} s after it had to stop"
                        )));
                    }
                }
                Event::Worker { worker, state: WorkerState::Started } => {
                    came.remove(worker);
                    knows.retain(|(_, w), _| w != worker);
                }
                Event::Worker { worker, state: WorkerState::Fell } => {
                    let all = came.get(worker).map_or(&[][..], Vec::as_slice);
                    let window = all.iter().filter(|(t, _)| at - t <= world.fall_s);
                    let (mut told, mut of) = (0, 0);
                    for (t, gate) in window {
                        of += 1;
                        told += usize::from(knows.get(&(*gate, *worker)).is_some_and(|k| k <= t));
                    }
                    // Those that were not told could not know better.
                    if 3 * told >= 2 * of {
                        found.push((Rule::Cold, at, format!("cold worker {worker} fell: {told} of {of} attempts came from gateways that knew")));
                    }
                }
                _ => {}
            }
        }
        self.tell(found);
    }
}
