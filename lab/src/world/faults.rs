//! Injects a scenario's faults at their times, and ends them.

use super::{
    World, discovery,
    plan::Plan,
    worker::{Disturbance, Worker},
};
use crate::{
    link::LinkFault,
    record::{Event, GateState, WorkerState},
    scenario::{Direction, Disk, Fault, FaultKind, Peers, Selection},
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::{
    sync::{Arc, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time for which a worker that is replaced is listed as draining; it rejects requests in the second half.
const DRAIN: Duration = Duration::from_secs(4);
/// Time after a discovery agent's move for which its old address still accepts calls.
const OLD_AGENT_GRACE: Duration = Duration::from_millis(500);
/// Span before a kill whose writes are lost on a disk with stale contents.
const LOST_WRITE_WINDOW: Duration = Duration::from_millis(1500);

/// For converting scenario keys in milliseconds.
const MILLISECONDS_PER_SECOND: f64 = 1e3;

/// Indices of the gateways and workers that a fault affects.
#[derive(Clone)]
struct Targets {
    gates: Vec<usize>,
    workers: Vec<usize>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Starts a worker again each time that it has crashed by overload, after the scenario's delay.
pub async fn restart_after_overload(worker: Arc<Worker>, discovery: Arc<discovery::Discovery>) {
    loop {
        worker.fell.notified().await;
        sleep(Duration::from_secs_f64(discovery.back_s())).await;
        worker.start();
        discovery.publish(worker.index, "SERVING", unix_ms());
    }
}

/// Returns the indices selected by a fault's text.
fn chosen(text: &str, plan: &Plan, zones: &[usize], rng: &mut ChaCha8Rng) -> Vec<usize> {
    // Parsing can't fail, as the scenario has been validated.
    let pick = Selection::parse(text, &plan.scenario.world.zones).unwrap_or(Selection::Range(0, 0));
    pick.of(zones, |n| rng.random_range(0..n))
}

impl World {
    /// Spawns a task for each fault, which begins at its time after `start`.
    pub fn inject_all(self: Arc<Self>, start: Instant) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for (index, fault) in self.plan.scenario.faults.iter().cloned().enumerate() {
            let world = self.clone();
            tasks.spawn(async move { world.inject(index, fault, start).await });
        }
        tasks
    }

    /// Injects one fault at its time, and ends it.
    async fn inject(self: Arc<Self>, index: usize, fault: Fault, start: Instant) {
        let mut rng = self.plan.rng(&format!("fault {index}"));
        let targets = Targets {
            gates: chosen(&fault.gates, &self.plan, &self.plan.gate_zones, &mut rng),
            workers: chosen(&fault.workers, &self.plan, &self.plan.worker_zones, &mut rng),
        };
        let at = start + Duration::from_secs_f64(fault.at_s);
        if fault.disk == Disk::Stale {
            sleep_until(at.checked_sub(LOST_WRITE_WINDOW).unwrap_or(at)).await;
            targets.gates.iter().for_each(|gate| self.gates[*gate].snapshot_disk());
        }
        sleep_until(at).await;
        self.log_fault(index, true, &targets);
        let until = fault.for_s.map(|s| at + Duration::from_secs_f64(s));
        self.carry_out(index, &fault, &targets, until, &mut rng).await;
        self.log_fault(index, false, &targets);
    }

    fn log_fault(&self, index: usize, on: bool, targets: &Targets) {
        let Targets { gates, workers } = targets.clone();
        self.log.record(Event::Fault { index, on, gates, workers });
    }

    /// Begins a fault, waits for its end and reverts its effects.
    async fn carry_out(
        &self,
        index: usize,
        fault: &Fault,
        Targets { gates, workers }: &Targets,
        until: Option<Instant>,
        rng: &mut ChaCha8Rng,
    ) {
        match fault.what {
            FaultKind::Cut
            | FaultKind::Delay
            | FaultKind::Lose
            | FaultKind::Reset
            | FaultKind::Refuse
            | FaultKind::HalfOpen
            | FaultKind::Throttle
            | FaultKind::Duplicate
            | FaultKind::Reorder => self.disturb_links(index, fault, gates, until, rng).await,
            FaultKind::Kill => self.kill(fault, gates, until, rng).await,
            FaultKind::Pause => self.pause(gates, until).await,
            FaultKind::Roll => self.roll(fault, gates).await,
            FaultKind::Reload => self.reload(gates),
            FaultKind::Leave => self.disconnect_clients(fault, gates),
            FaultKind::Crash => self.crash(fault, workers, rng).await,
            FaultKind::Replace => self.replace(fault, workers).await,
            FaultKind::Slow
            | FaultKind::Errors
            | FaultKind::Silent
            | FaultKind::Spoil
            | FaultKind::Stall
            | FaultKind::BreakOff => self.disturb_workers(fault, workers, until).await,
            FaultKind::CounterEmpty => self.counter.empty(),
            FaultKind::CounterDown => self.stop_counter(until).await,
            FaultKind::CounterBusy
            | FaultKind::CounterSlow
            | FaultKind::CounterLoseCalls
            | FaultKind::CounterLoseAnswers => self.disturb_counter(fault, until).await,
            FaultKind::DiscoveryMove => {
                self.move_agents(gates, true).await;
                wait(until).await;
                self.move_agents(gates, false).await;
            }
            FaultKind::DiscoveryDown | FaultKind::DiscoveryLate | FaultKind::DiscoveryOverbooked => {
                self.disturb_discovery(fault, until).await;
            }
        }
    }

    /// Stops the processes of gateways with SIGSTOP, and continues them at `until`.
    async fn pause(&self, gates: &[usize], until: Option<Instant>) {
        for gate in gates {
            self.gates[*gate].pause();
        }
        wait(until).await;
        for gate in gates {
            self.gates[*gate].resume();
        }
    }

    fn reload(&self, gates: &[usize]) {
        for gate in gates {
            // If the lab can't write the file, the gateway keeps its present configuration.
            let _ = self.gates[*gate].reload();
        }
    }

    /// Makes a share of the clients that wait at the gateways disconnect.
    fn disconnect_clients(&self, fault: &Fault, gates: &[usize]) {
        for gate in gates {
            self.gates[*gate].leave.send_modify(|leave| *leave = (leave.0 + 1, fault.share));
        }
    }

    async fn disturb_workers(&self, fault: &Fault, workers: &[usize], until: Option<Instant>) {
        let set = |on: bool| {
            for worker in workers {
                self.workers[*worker].set(|disturbance| disturb_worker(disturbance, fault, on));
            }
        };
        set(true);
        wait(until).await;
        set(false);
    }

    async fn stop_counter(&self, until: Option<Instant>) {
        self.counter.up.send_replace(false);
        wait(until).await;
        self.counter.up.send_replace(true);
    }

    async fn disturb_counter(&self, fault: &Fault, until: Option<Instant>) {
        let set = |share: f64, slower: f64| {
            let mut disturbance = self.counter.disturbance.lock().unwrap_or_else(PoisonError::into_inner);
            match fault.what {
                FaultKind::CounterBusy => disturbance.busy = share,
                FaultKind::CounterSlow => disturbance.slower = slower,
                FaultKind::CounterLoseCalls => disturbance.lose_calls = share,
                _ => disturbance.lose_answers = share,
            }
        };
        set(fault.share, fault.times);
        wait(until).await;
        set(0.0, 1.0);
    }

    async fn disturb_discovery(&self, fault: &Fault, until: Option<Instant>) {
        let set = |on: bool| {
            self.discovery.disturbance.send_modify(|disturbance| match fault.what {
                FaultKind::DiscoveryDown => disturbance.down = on,
                FaultKind::DiscoveryOverbooked => disturbance.overbooked = on,
                _ => disturbance.later = if on { fault.ms / MILLISECONDS_PER_SECOND } else { 0.0 },
            });
        };
        set(true);
        wait(until).await;
        set(false);
    }

    /// Moves the discovery agents of `gates` to their second address, or back to the first.
    async fn move_agents(&self, gates: &[usize], second: bool) {
        let (to, from) = (usize::from(second), usize::from(!second));
        for gate in gates {
            self.agents[*gate][to].send_replace(true);
            // If the lab can't write the file, the gateway loses its agent and gets no more updates.
            let _ = self.gates[*gate].move_agent(second);
        }
        sleep(OLD_AGENT_GRACE).await;
        for gate in gates {
            self.agents[*gate][from].send_replace(false);
        }
    }

    async fn disturb_links(
        &self,
        index: usize,
        fault: &Fault,
        gates: &[usize],
        until: Option<Instant>,
        rng: &mut ChaCha8Rng,
    ) {
        let zones = &self.plan.scenario.world.zones;
        let peers = Peers::parse(&fault.peers, zones).unwrap_or(Peers::Gates(Selection::Range(0, 0)));
        let workers = match &peers {
            Peers::Workers(pick) => pick.of(&self.plan.worker_zones, |n| rng.random_range(0..n)),
            Peers::Gates(pick) => pick.of(&self.plan.gate_zones, |n| rng.random_range(0..n)),
            _ => Vec::new(),
        };
        let link_fault = LinkFault {
            kind: fault.what,
            // Between gateways each direction is a link of its own, so the fault affects the selected links entirely.
            direction: if matches!(peers, Peers::Gates(_)) { Direction::Both } else { fault.way },
            delay: Duration::from_secs_f64(fault.ms / MILLISECONDS_PER_SECOND),
            jitter: Duration::from_secs_f64(fault.jitter_ms / MILLISECONDS_PER_SECOND),
            share: fault.share,
            bytes_per_s: fault.bytes_per_s,
        };
        let set = |on: bool| {
            for link in gates.iter().flat_map(|g| self.links.of(*g, &peers, &workers, fault.way)) {
                if on { link.begin_fault(index, link_fault) } else { link.end_fault(index) }
            }
        };
        set(true);
        if !matches!(fault.what, FaultKind::Reset | FaultKind::HalfOpen) {
            wait(until).await;
            set(false);
        }
    }

    /// Kills gateways and starts them again from `until` on, spread over `over_s`; a share of them never.
    async fn kill(&self, fault: &Fault, gates: &[usize], until: Option<Instant>, rng: &mut ChaCha8Rng) {
        let mut kills = JoinSet::new();
        for gate in gates {
            let (gate, seed, disk) = (self.gates[*gate].clone(), rng.random(), fault.disk);
            kills.spawn(async move { gate.kill(disk, seed).await });
        }
        while kills.join_next().await.is_some() {}
        let Some(until) = until else { return };
        for (at, gate) in restart_times(fault, gates, until, rng) {
            sleep_until(at).await;
            self.restart(gate);
        }
    }

    fn restart(&self, gate: usize) {
        let known = self.discovery.known(gate);
        if self.gates[gate].start(&known).is_err() {
            // The program could be started at the beginning of the run; the recording shows the missing gateway.
            self.log.record(Event::Gate {
                gate,
                state: GateState::Exited { wanted: false, status: "can't be started".into() },
            });
        }
    }

    /// Restarts gateways in groups, evenly over the fault's duration.
    async fn roll(&self, fault: &Fault, gates: &[usize]) {
        let size = ((gates.len() as f64 * fault.step).round() as usize).max(1);
        let steps = gates.len().div_ceil(size);
        let each = Duration::from_secs_f64(fault.for_s.unwrap_or(0.0) / steps.max(1) as f64);
        for step in gates.chunks(size) {
            let next = Instant::now() + each;
            let mut stopping = JoinSet::new();
            for gate in step {
                let gate = self.gates[*gate].clone();
                stopping.spawn(async move { gate.stop().await });
            }
            while stopping.join_next().await.is_some() {}
            for gate in step {
                self.restart(*gate);
            }
            sleep_until(next).await;
        }
    }

    async fn crash(&self, fault: &Fault, workers: &[usize], rng: &mut ChaCha8Rng) {
        for worker in workers {
            self.workers[*worker].die(WorkerState::Died);
        }
        let Some(for_s) = fault.for_s else { return };
        let until = Instant::now() + Duration::from_secs_f64(for_s);
        for (at, worker) in restart_times(fault, workers, until, rng) {
            sleep_until(at).await;
            self.workers[worker].start();
            self.discovery.publish(worker, "SERVING", unix_ms());
        }
    }

    /// Drains workers, ends them, and starts them again.
    async fn replace(&self, fault: &Fault, workers: &[usize]) {
        for worker in workers {
            self.discovery.publish(*worker, "DRAINING", 0);
        }
        sleep(DRAIN / 2).await;
        for worker in workers {
            self.workers[*worker].set(|disturbance| disturbance.draining = true);
        }
        sleep(DRAIN / 2).await;
        for worker in workers {
            self.discovery.publish(*worker, "DELETED", 0);
            self.workers[*worker].die(WorkerState::Died);
        }
        let Some(for_s) = fault.for_s else { return };
        sleep(Duration::from_secs_f64(for_s)).await;
        for worker in workers {
            self.workers[*worker].start();
            self.discovery.publish(*worker, "SERVING", unix_ms());
        }
    }
}

/// Applies the effect of a fault to a worker, or reverts it.
fn disturb_worker(disturbance: &mut Disturbance, fault: &Fault, on: bool) {
    let share = if on { fault.share } else { 0.0 };
    match fault.what {
        FaultKind::Slow if on => disturbance.slower *= fault.times,
        FaultKind::Slow => disturbance.slower /= fault.times,
        FaultKind::Errors => disturbance.errors = share,
        FaultKind::Silent => disturbance.is_unresponsive = on,
        FaultKind::Stall => disturbance.stall = share,
        FaultKind::BreakOff => disturbance.break_off = share,
        _ => disturbance.spoil = share,
    }
}

/// Draws when the affected gateways or workers start again, spread over `over_s` from `until` on, and returns times and
/// indices in order of time; each is left out with the probability `never`.
fn restart_times(
    fault: &Fault,
    affected: &[usize],
    until: Instant,
    rng: &mut ChaCha8Rng,
) -> Vec<(Instant, usize)> {
    let mut back = Vec::new();
    for one in affected {
        let (never, later): (f64, f64) = (rng.random(), rng.random());
        if never >= fault.never {
            back.push((until + Duration::from_secs_f64(fault.over_s * later), *one));
        }
    }
    back.sort();
    back
}

/// Waits until the fault's end, or forever if it has none.
async fn wait(until: Option<Instant>) {
    match until {
        Some(until) => sleep_until(until).await,
        None => std::future::pending().await,
    }
}
