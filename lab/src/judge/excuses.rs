//! Spans in which the lab itself made a gateway unable to answer, so that missing answers are no violations.

use super::{Judge, seconds};
use crate::{
    record::{Event, GateState, Seen},
    scenario::{FaultKind, Peers},
};
use std::collections::HashMap;

/// Seconds after a gateway's return that are excused too, as its clients' connections were reset.
const RECONNECT_ALLOWANCE_S: f64 = 0.3;

impl Judge<'_> {
    /// Returns, by gateway, the excused spans in seconds: while it was killed, paused, or partitioned from the clients
    /// by the lab.
    pub(super) fn excused_spans(&self) -> HashMap<usize, Vec<(f64, f64)>> {
        let mut spans: HashMap<usize, Vec<(f64, f64)>> = HashMap::new();
        let mut since: HashMap<usize, f64> = HashMap::new();
        let zones = &self.scenario.world.zones;
        for Seen { at, event } in &self.recording.seen {
            let at = seconds(*at);
            match event {
                Event::Gate { gate, state } => match state {
                    GateState::Killed | GateState::Paused | GateState::Exited { .. } => {
                        since.entry(*gate).or_insert(at);
                    }
                    GateState::Ready | GateState::Continued => {
                        if let Some(from) = since.remove(gate) {
                            spans.entry(*gate).or_default().push((from, at + RECONNECT_ALLOWANCE_S));
                        }
                    }
                    GateState::Terminated => {}
                },
                Event::Fault { index, on: true, gates, .. } => {
                    let Some(fault) = self.scenario.faults.get(*index) else { continue };
                    let front = matches!(Peers::parse(&fault.peers, zones), Ok(Peers::Front | Peers::All));
                    if delays_answers(fault.what) && front {
                        // Data held back by the fault arrives up to a second after the link has healed.
                        let once = fault.what == FaultKind::Reset;
                        let lasts = if once { 0.0 } else { fault.for_s.unwrap_or(f64::INFINITY) };
                        let until = at + lasts + 1.0;
                        for gate in gates {
                            spans.entry(*gate).or_default().push((at, until));
                        }
                    }
                }
                _ => {}
            }
        }
        for (gate, from) in since {
            spans.entry(gate).or_default().push((from, f64::INFINITY));
        }
        spans
    }
}

/// Whether a fault of this kind on a link delays or loses answers.
fn delays_answers(kind: FaultKind) -> bool {
    matches!(
        kind,
        FaultKind::Cut
            | FaultKind::Delay
            | FaultKind::Lose
            | FaultKind::Reset
            | FaultKind::Refuse
            | FaultKind::HalfOpen
            | FaultKind::Throttle
    )
}
