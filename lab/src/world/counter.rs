//! Simulated shared counter: named totals, distributed over shards that each serve a limited number of calls per
//! second in order.

use crate::{
    link::{Connection, FlowDirection},
    record::{Event, Log},
    world::plan::{Plan, mix},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Greatest number of open connections per gateway.
const MAX_CONNECTIONS_OF_GATEWAY: usize = 32;
/// Greatest length of a call.
const MAX_LINE_BYTES: usize = 256;
/// Greatest time until a total expires.
const MAX_EXPIRY_MS: u64 = 60_000;
/// Number of names above which expired ones are removed.
const SWEEP_FROM: usize = 10_000;

/// Effects of the present faults on the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Disturbance {
    /// Factor on the service time of calls.
    pub slower: f64,
    /// Share of the calls answered `busy`.
    pub busy: f64,
    /// Share of the calls lost before the addition.
    pub lose_calls: f64,
    /// Share of the answers lost after the addition.
    pub lose_answers: f64,
}

impl Default for Disturbance {
    fn default() -> Self {
        Self { slower: 1.0, busy: 0.0, lose_calls: 0.0, lose_answers: 0.0 }
    }
}

/// A total and its expiry.
struct Count {
    total: f64,
    expires_at: Instant,
}

/// The counter that all gateways share.
pub struct Counter {
    plan: Arc<Plan>,
    log: Arc<Log>,
    counts: Mutex<HashMap<String, Count>>,
    /// By shard, the time at which its queue will be empty.
    free_at: Mutex<Vec<Instant>>,
    /// Open connections by gateway.
    open_connections: Mutex<Vec<usize>>,
    pub disturbance: Mutex<Disturbance>,
    /// Whether it accepts connections.
    pub up: watch::Sender<bool>,
    rng: Mutex<ChaCha8Rng>,
}

/// A call in the queue of a shard.
struct ScheduledCall {
    /// Time at which it is executed.
    at: Instant,
    /// Name, amount and time to live in milliseconds of the addition; `None` if there is nothing to add.
    call: Option<(String, f64, u64)>,
    /// Answer of a call that adds nothing.
    answer: Option<String>,
    /// Whether the answer is dropped.
    lost: bool,
}

impl Counter {
    pub fn new(plan: Arc<Plan>, log: Arc<Log>) -> Arc<Self> {
        let (parts, gates) = (plan.scenario.counter.parts, plan.scenario.world.gatekeepers);
        let seed = plan.stream("counter");
        Arc::new(Self {
            counts: Mutex::default(),
            free_at: Mutex::new(vec![Instant::now(); parts]),
            open_connections: Mutex::new(vec![0; gates]),
            disturbance: Mutex::default(),
            up: watch::channel(true).0,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            plan,
            log,
        })
    }

    /// Removes all totals.
    pub fn empty(&self) {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Draws a number from 0 to 1.
    fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Adds to a total, which starts at 0 if it is new or expired, and returns it.
    fn add(&self, name: &str, amount: f64, life_ms: u64) -> f64 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if counts.len() > SWEEP_FROM {
            counts.retain(|_, c| c.expires_at > now);
        }
        let expires_at = now + Duration::from_millis(life_ms.min(MAX_EXPIRY_MS));
        let count = counts.entry(name.to_owned()).or_insert(Count { total: 0.0, expires_at });
        if count.expires_at <= now {
            *count = Count { total: 0.0, expires_at };
        }
        count.total += amount;
        count.total
    }

    /// Parses a call and schedules it on its shard.
    fn schedule(&self, line: &str) -> ScheduledCall {
        let now = Instant::now();
        let answered = |answer: &str| ScheduledCall {
            at: now,
            call: None,
            answer: Some(answer.to_owned()),
            lost: false,
        };
        if line == "ping" {
            return answered("pong");
        }
        let arguments: Vec<&str> = line.split(' ').collect();
        let ["bump", name, amount, expiry_ms] = arguments[..] else { return answered("error") };
        let (Ok(amount), Ok(expiry_ms)) = (amount.parse::<f64>(), expiry_ms.parse::<u64>()) else {
            return answered("error");
        };
        if !(1..=64).contains(&name.len()) || !amount.is_finite() || amount.abs() > 1e9 || expiry_ms == 0 {
            return answered("error");
        }
        let (spec, disturbance) =
            (&self.plan.scenario.counter, *self.disturbance.lock().unwrap_or_else(PoisonError::into_inner));
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let shard = name.bytes().fold(0, |n, b| mix(n ^ u64::from(b))) as usize % free_at.len();
        let free = free_at[shard].max(now);
        let is_full = free - now > Duration::from_secs_f64(spec.line_ms / 1e3);
        if is_full || self.draw() < disturbance.busy {
            return answered("busy");
        }
        let served_at =
            free + Duration::from_secs_f64(disturbance.slower * spec.parts as f64 / spec.calls_per_s);
        free_at[shard] = served_at;
        let lost_before = self.draw() < disturbance.lose_calls;
        let lost = lost_before || self.draw() < disturbance.lose_answers;
        let call = (!lost_before).then(|| (name.to_owned(), amount, expiry_ms));
        ScheduledCall { at: served_at + Duration::from_secs_f64(spec.ms / 1e3), call, answer: None, lost }
    }

    /// Serves one connection of a gateway until it ends.
    pub async fn serve(self: Arc<Self>, gate: usize, mut conn: Connection) {
        let open_on_gateway = {
            let mut open_connections = self.open_connections.lock().unwrap_or_else(PoisonError::into_inner);
            open_connections[gate] += 1;
            open_connections[gate]
        };
        let mut up = self.up.subscribe();
        if open_on_gateway <= MAX_CONNECTIONS_OF_GATEWAY {
            tokio::select! {
                () = self.exchange(gate, &mut conn) => {}
                _ = up.wait_for(|up| !up) => conn.reset(),
            }
        } else {
            conn.reset();
        }
        self.open_connections.lock().unwrap_or_else(PoisonError::into_inner)[gate] -= 1;
    }

    /// Reads calls, executes them in order, and writes the answers in the same order.
    async fn exchange(&self, gate: usize, conn: &mut Connection) {
        // Calls in transit on the link, calls that wait for their shard, and answers in transit, each in order. The time
        // of an entry in transit is `None` while the link is partitioned.
        let (mut incoming, mut scheduled, mut outgoing) =
            (VecDeque::new(), VecDeque::<ScheduledCall>::new(), VecDeque::new());
        loop {
            while let Some(end) = conn.buffer().iter().position(|b| *b == b'\n') {
                let bytes: Vec<u8> = conn.buffer().drain(..=end).collect();
                let line = String::from_utf8_lossy(&bytes).trim_end().to_owned();
                // On a partitioned link the call is delayed, and all later ones with it.
                let at = conn.link.arrival(FlowDirection::Out, bytes.len());
                incoming.push_back((at, line));
            }
            if conn.buffer().len() > MAX_LINE_BYTES {
                return;
            }
            if let Some((at @ None, _)) = incoming.front_mut() {
                *at = conn.link.arrival(FlowDirection::Out, 0);
            }
            if let Some((at @ None, _)) = outgoing.front_mut() {
                *at = conn.link.arrival(FlowDirection::In, 0);
            }
            let link = conn.link.clone();
            let poll = async {
                // Polls for the end of a partition, as changes of the link are not signalled here.
                tokio::time::sleep(Duration::from_millis(20)).await;
            };
            let next = |at: Option<Option<Instant>>| async move {
                match at {
                    Some(Some(at)) => sleep_until(at).await,
                    _ => std::future::pending().await,
                }
            };
            let is_delayed =
                matches!(incoming.front(), Some((None, _))) || matches!(outgoing.front(), Some((None, _)));
            tokio::select! {
                n = conn.fill() => if !matches!(n, Ok(1..)) { return },
                () = next(incoming.front().map(|(at, _)| *at)) => {
                    let arrived = incoming.pop_front().map(|(_, text): (Option<Instant>, String)| text);
                    scheduled.push_back(self.schedule(&arrived.unwrap_or_default()));
                }
                () = next(scheduled.front().map(|t| Some(t.at))) => {
                    let Some(call) = scheduled.pop_front() else { continue };
                    let Some(response) = self.execute(gate, call) else {
                        // Answers are matched to calls by their order, so a lost answer makes the connection unusable.
                        return conn.reset();
                    };
                    outgoing.push_back((link.arrival(FlowDirection::In, response.len()), response));
                }
                () = next(outgoing.front().map(|(at, _)| *at)) => {
                    let response: Option<(Option<Instant>, String)> = outgoing.pop_front();
                    if let Some((_, response)) = response && conn.write_without_delay(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
                () = poll, if is_delayed => {}
            }
        }
    }

    /// Executes a call and returns its answer, or `None` if the answer is lost.
    fn execute(&self, gate: usize, scheduled: ScheduledCall) -> Option<String> {
        let ScheduledCall { call, answer, lost, .. } = scheduled;
        let response = match (call, answer) {
            (Some((name, amount, expiry_ms)), _) => {
                let total = self.add(&name, amount, expiry_ms);
                self.log.record(Event::Call { gate, name, amount, total: Some(total) });
                format!("ok {total}")
            }
            (None, Some(answer)) => {
                if answer == "busy" {
                    self.log.record(Event::Call { gate, name: String::new(), amount: 0.0, total: None });
                }
                answer
            }
            (None, None) => String::new(),
        };
        (!lost).then_some(response + "\r\n")
    }
}
