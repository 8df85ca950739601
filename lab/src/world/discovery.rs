//! Simulated discovery: one list of workers, whose changes reach the agent beside each gateway with a delay.

use crate::{
    http,
    link::{Connection, FlowDirection},
    record::{Event, Log},
    world::plan::Plan,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// A worker as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub worker: usize,
    /// State in the protocol: `SERVING`, `DRAINING` or `DELETED`.
    pub state: &'static str,
    /// Time of its latest start in milliseconds since the Unix epoch; 0: before the run.
    pub started_ms: u64,
    /// Version of the list in which it last changed.
    version: u64,
}

/// The list as an agent knows it.
#[derive(Debug, Clone, Default)]
struct Known {
    version: u64,
    entries: Vec<Entry>,
}

/// Effects of the present faults on discovery.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Disturbance {
    /// Agents do not answer.
    pub down: bool,
    /// Agents answer with status 503.
    pub overbooked: bool,
    /// Additional delay of updates, in seconds.
    pub later: f64,
}

/// The discovery agent of one gateway.
pub struct Agent {
    gate: usize,
    /// By worker, the address at which this gateway reaches it.
    pub addrs: Vec<SocketAddr>,
    known: watch::Sender<Known>,
    rng: Mutex<ChaCha8Rng>,
    /// Time at which the latest update arrives; no later update arrives before it.
    last: Mutex<Option<Instant>>,
}

/// The list of workers and all agents.
pub struct Discovery {
    plan: Arc<Plan>,
    log: Arc<Log>,
    pub agents: Vec<Arc<Agent>>,
    version: Mutex<u64>,
    pub disturbance: watch::Sender<Disturbance>,
}

/// Returns the name of a worker, which is the same at every gateway.
#[must_use]
pub fn name(worker: usize) -> String {
    format!("w-{worker}")
}

impl Discovery {
    /// Lists all workers as serving. `addrs` holds, by gateway and worker, the address at which it reaches the worker.
    pub fn new(plan: Arc<Plan>, log: Arc<Log>, addrs: Vec<Vec<SocketAddr>>) -> Arc<Self> {
        let workers = plan.scenario.world.workers;
        let entry = |worker| Entry { worker, state: "SERVING", started_ms: 0, version: 1 };
        let known = Known { version: 1, entries: (0..workers).map(entry).collect() };
        let agent = |(gate, addrs)| {
            let seed = plan.stream(&format!("agent {gate}"));
            Arc::new(Agent {
                gate,
                addrs,
                known: watch::channel(known.clone()).0,
                rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
                last: Mutex::default(),
            })
        };
        let agents = addrs.into_iter().enumerate().map(agent).collect();
        Arc::new(Self {
            plan,
            log,
            agents,
            version: Mutex::new(1),
            disturbance: watch::channel(Disturbance::default()).0,
        })
    }

    /// Returns the seconds after which a worker that crashed by overload starts again.
    pub fn back_s(&self) -> f64 {
        self.plan.scenario.world.back_s
    }

    /// Publishes a change, which reaches each agent after a random delay.
    pub fn publish(self: &Arc<Self>, worker: usize, state: &'static str, started_ms: u64) {
        let version = {
            let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
            *version += 1;
            *version
        };
        let entry = Entry { worker, state, started_ms, version };
        let [min_delay, max_delay] = self.plan.scenario.discovery.late_s;
        for agent in &self.agents {
            let draw: f64 = agent.rng.lock().unwrap_or_else(PoisonError::into_inner).random();
            let delay = min_delay + (max_delay - min_delay) * draw + self.disturbance.borrow().later;
            let mut previous = agent.last.lock().unwrap_or_else(PoisonError::into_inner);
            let at = Instant::now() + Duration::from_secs_f64(delay);
            let at = previous.map_or(at, |previous| previous.max(at));
            *previous = Some(at);
            let (agent, entry) = (agent.clone(), entry.clone());
            tokio::spawn(async move {
                sleep_until(at).await;
                agent.known.send_modify(|known| {
                    // Updates due at the same moment may be applied in either order.
                    if known.entries.iter().any(|e| e.worker == entry.worker && e.version > entry.version) {
                        return;
                    }
                    known.version = known.version.max(entry.version);
                    known.entries.retain(|e| e.worker != entry.worker);
                    known.entries.push(entry);
                });
            });
        }
    }

    /// Returns the complete list as the agent of `gate` knows it, for the gateway's configuration.
    pub fn known(&self, gate: usize) -> Value {
        let known = self.agents[gate].known.borrow();
        self.list(&self.agents[gate], &known, None)
    }

    /// Encodes the changes after version `from`, or the complete list if it is `None`.
    fn list(&self, agent: &Agent, known: &Known, from: Option<u64>) -> Value {
        let zones = &self.plan.scenario.world.zones;
        let wanted = |e: &&Entry| match from {
            Some(version) => e.version > version,
            None => e.state != "DELETED",
        };
        let line = |e: &Entry| {
            json!({
                "id": name(e.worker), "addr": agent.addrs[e.worker].to_string(),
                "zone": zones[self.plan.worker_zones[e.worker]], "kind": "k", "cell": e.worker / 4,
                "state": e.state, "weight": 1.0, "started_ms": e.started_ms,
            })
        };
        let servers: Vec<Value> = known.entries.iter().filter(wanted).map(line).collect();
        json!({"version": known.version, "full": from.is_none(), "servers": servers})
    }

    /// Serves one connection of a gateway until it ends.
    pub async fn serve(self: Arc<Self>, gate: usize, mut conn: Connection) {
        let agent = self.agents[gate].clone();
        loop {
            let Ok(Some(message)) = http::read(&mut conn).await else { return };
            conn.link.wait_for_transit(FlowDirection::Out, 100).await;
            let response = tokio::select! {
                response = self.answer(&agent, &message) => response,
                _ = conn.fill() => return,
            };
            if conn.write(FlowDirection::In, &response).await.is_err() {
                return;
            }
        }
    }

    /// Answers a call, which may be a long poll for changes after a version.
    async fn answer(&self, agent: &Agent, message: &http::Message) -> Vec<u8> {
        let (_, path) = message.target();
        let number = |key: &str| {
            let (_, rest) = path.split_once(key)?;
            rest.split('&').next()?.parse::<u64>().ok()
        };
        let (from, hold) =
            (number("from="), Duration::from_millis(number("hold_ms=").unwrap_or(0).min(60_000)));
        let disturbance = *self.disturbance.borrow();
        if disturbance.down {
            // Does not answer until the fault ends; the caller will have timed out by then.
            let mut changes = self.disturbance.subscribe();
            let _ = changes.wait_for(|t| !t.down).await;
        }
        if disturbance.overbooked {
            return http::answer(503, "", b"");
        }
        let mut updates = agent.known.subscribe();
        if let Some(from) = from {
            let newer = updates.wait_for(|k| k.version > from);
            // If nothing changes in time, the answer is an empty list of changes.
            let _ = tokio::time::timeout(hold, newer).await;
        }
        let known = agent.known.borrow().clone();
        let list = self.list(agent, &known, from);
        self.log_published(agent, &known, from);
        http::answer(200, "", list.to_string().as_bytes())
    }

    /// Records the changes of workers that an answer reports to the gateway.
    fn log_published(&self, agent: &Agent, known: &Known, from: Option<u64>) {
        for entry in known.entries.iter().filter(|e| e.version > from.unwrap_or(0) && e.version > 1) {
            let wanted = entry.state == "SERVING";
            self.log.record(Event::Told { gate: agent.gate, worker: entry.worker, wanted });
        }
    }
}
