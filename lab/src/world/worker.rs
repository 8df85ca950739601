//! Simulated worker: cores behind a queue, with a warm-up after each start. It crashes if overloaded during the warm-up,
//! and faults may slow it down, make it fail or stop it from answering.

use crate::{
    http,
    link::{Connection, FlowDirection},
    record::{Ending, Event, Log, Micros, WorkerState},
    scenario::Scenario,
    world::plan::{ExpectedRequest, Plan},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::sync::{Semaphore, SemaphorePermit, watch};

/// Effects of the present faults on a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Disturbance {
    /// Factor on the time that requests take.
    pub slower: f64,
    /// Share of the requests that get an error immediately.
    pub errors: f64,
    /// Whether it accepts requests and never answers them.
    pub is_unresponsive: bool,
    /// Share of the answers that are malformed.
    pub spoil: f64,
    /// Share of the answers that stop half way, with the connection left open.
    pub stall: f64,
    /// Share of the answers that are truncated half way by a reset.
    pub break_off: f64,
    /// Whether it rejects all requests, as it is about to end.
    pub draining: bool,
}

impl Default for Disturbance {
    fn default() -> Self {
        let [errors, spoil, stall, break_off] = [0.0; 4];
        Self { slower: 1.0, errors, is_unresponsive: false, spoil, stall, break_off, draining: false }
    }
}

/// The warm-up after the worker's latest start.
struct Startup {
    /// Time of the latest start; `None` if it has run since before the load began and is fully warmed up.
    started: Option<Instant>,
    /// Work received in the overload window during the warm-up: time, and seconds on a nominal core.
    received: VecDeque<(Instant, f64)>,
}

/// One worker, which serves all gateways.
pub struct Worker {
    pub index: usize,
    /// Speed of its cores relative to a nominal core.
    pub speed: f64,
    scenario: Arc<Scenario>,
    plan: Arc<Plan>,
    log: Arc<Log>,
    cores: Semaphore,
    /// Requests in its queue.
    waiting: AtomicUsize,
    /// Open connections.
    connections: AtomicUsize,
    /// Requests served.
    served: AtomicU64,
    startup: Mutex<Startup>,
    disturbance: Mutex<Disturbance>,
    /// Whether it runs and accepts connections.
    pub up: watch::Sender<bool>,
    /// Number of times that it has died; connections of an earlier incarnation are reset.
    pub incarnations: watch::Sender<u64>,
    rng: Mutex<ChaCha8Rng>,
    /// Notified when it has crashed by overload and must be started again.
    pub fell: tokio::sync::Notify,
}

impl Worker {
    pub fn new(index: usize, speed: f64, plan: Arc<Plan>, log: Arc<Log>) -> Arc<Self> {
        let scenario = plan.scenario.clone();
        let random_seed = plan.stream(&format!("worker {index}"));
        Arc::new(Self {
            index,
            speed,
            cores: Semaphore::new(scenario.world.cores),
            scenario,
            plan,
            log,
            waiting: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            served: AtomicU64::new(0),
            startup: Mutex::new(Startup { started: None, received: VecDeque::new() }),
            disturbance: Mutex::default(),
            up: watch::channel(true).0,
            incarnations: watch::channel(0).0,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(random_seed)),
            fell: tokio::sync::Notify::new(),
        })
    }

    /// Draws a number from 0 to 1.
    fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Returns the effects of the present faults.
    pub fn disturbance(&self) -> Disturbance {
        *self.disturbance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the effects of the present faults.
    pub fn set(&self, change: impl FnOnce(&mut Disturbance)) {
        change(&mut self.disturbance.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Ends the worker: open connections are reset and new ones refused. `state` is recorded as the reason.
    pub fn die(&self, state: WorkerState) {
        if self.up.send_replace(false) {
            self.incarnations.send_modify(|n| *n += 1);
            self.log.record(Event::Worker { worker: self.index, state });
        }
    }

    /// Starts the worker again, with a warm-up.
    pub fn start(&self) {
        let mut startup = self.startup.lock().unwrap_or_else(PoisonError::into_inner);
        *startup = Startup { started: Some(Instant::now()), received: VecDeque::new() };
        drop(startup);
        self.set(|disturbance| disturbance.draining = false);
        self.log.record(Event::Worker { worker: self.index, state: WorkerState::Started });
        self.up.send_replace(true);
    }

    /// Returns its present capacity as a share of the full one, which rises linearly during the warm-up.
    fn capacity_share(&self, started: Option<Instant>, now: Instant) -> f64 {
        let world = &self.scenario.world;
        let Some(started) = started else { return 1.0 };
        let age = now.saturating_duration_since(started).as_secs_f64();
        if age >= world.cold_s { 1.0 } else { world.cold_from + (1.0 - world.cold_from) * age / world.cold_s }
    }

    /// Registers received work, in seconds on a nominal core. Returns its present capacity as a share, and whether the
    /// work received in the overload window exceeds what it withstands during the warm-up.
    fn is_overloaded(&self, work: f64) -> (f64, bool) {
        let (world, now) = (&self.scenario.world, Instant::now());
        let mut startup = self.startup.lock().unwrap_or_else(PoisonError::into_inner);
        let capacity_share = self.capacity_share(startup.started, now);
        if capacity_share >= 1.0 {
            startup.received.clear();
            return (1.0, false);
        }
        let window = Duration::from_secs_f64(world.fall_s);
        while startup.received.front().is_some_and(|(at, _)| now.duration_since(*at) > window) {
            startup.received.pop_front();
        }
        startup.received.push_back((now, work));
        let sent: f64 = startup.received.iter().map(|(_, w)| w).sum();
        let overload_limit =
            world.fall_multiple * capacity_share * world.cores as f64 * self.speed * world.fall_s;
        // Allowance for chance: a few long requests in a row are not the gateways' fault.
        let slack = 4.0 * self.plan.mean_work;
        (capacity_share, sent > overload_limit + slack)
    }

    /// Returns the header line with its load report, or nothing if reports are disabled.
    fn report(&self) -> String {
        if !self.scenario.world.reports {
            return String::new();
        }
        let busy = self.scenario.world.cores - self.cores.available_permits();
        let (waiting, served) = (self.waiting.load(Ordering::Relaxed), self.served.load(Ordering::Relaxed));
        format!("X-Pressure: TEXT inflight={}, queue={waiting}, served={served}\r\n", busy + waiting)
    }

    /// Serves one connection of a gateway until it ends.
    pub async fn serve(self: Arc<Self>, gate: usize, mut conn: Connection) {
        let open_connections = self.connections.fetch_add(1, Ordering::Relaxed);
        let mut incarnations = self.incarnations.subscribe();
        incarnations.borrow_and_update();
        tokio::select! {
            () = self.exchange(gate, &mut conn, open_connections) => {}
            _ = incarnations.changed() => conn.reset(),
        }
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Serves the requests of one connection; `open_connections` is the number of connections open before it.
    async fn exchange(&self, gate: usize, conn: &mut Connection, open_connections: usize) {
        let world = &self.scenario.world;
        if open_connections >= world.connections {
            return conn.reset();
        }
        self.log.record(Event::Handshake { gate, worker: self.index });
        let mut first = true;
        loop {
            // A malformed message or an error ends the connection.
            let Ok(Some(message)) = http::read(conn).await else { return };
            let mut handshake = Duration::ZERO;
            if std::mem::take(&mut first) {
                handshake += Duration::from_secs_f64(world.handshake_ms / 1e3);
            }
            let left_gateway = Instant::now();
            conn.link.wait_for_transit(FlowDirection::Out, message.body.len() + 200).await;
            tokio::time::sleep(handshake).await;
            let link_delay = left_gateway.elapsed().as_micros() as Micros;
            let closes = message.closes();
            let Some(response) = self.request(gate, conn, &message, link_delay).await else { return };
            if conn.write(FlowDirection::In, &response).await.is_err() || closes {
                return;
            }
        }
    }

    /// Serves one request and returns the response; `None` if the gateway closed the connection or gets no response.
    async fn request(
        &self,
        gate: usize,
        conn: &mut Connection,
        message: &http::Message,
        link_delay: Micros,
    ) -> Option<Vec<u8>> {
        let (method, path) = message.target();
        if method == "GET" && (path == "/alive" || path == "/metrics/load") {
            self.log.record(Event::Probe { gate, worker: self.index });
            return Some(http::answer(200, &self.report(), b""));
        }
        let txn = message.header("x-txn").and_then(|t| u64::from_str_radix(t, 16).ok());
        let Some((txn, expected)) = txn.and_then(|t| Some((t, self.plan.sent(t)?))) else {
            self.log.record(Event::Stranger { gate, worker: self.index });
            return Some(http::answer(400, "", b""));
        };
        let intact = expected.matches(message);
        self.log.record(Event::Attempt { txn, gate, worker: self.index, intact, link_delay });
        let work =
            AttemptRecord { worker: self, txn, queued: 0.0, worked: 0.0, begun: false, is_logged: false };
        self.attempt(conn, &expected, work).await
    }

    /// Executes one attempt and returns the response, subject to the present faults.
    async fn attempt(
        &self,
        conn: &mut Connection,
        expected: &ExpectedRequest,
        mut work: AttemptRecord<'_>,
    ) -> Option<Vec<u8>> {
        let disturbance = self.disturbance();
        if disturbance.draining {
            return Some(self.reject(work));
        }
        if disturbance.is_unresponsive {
            // Never answers: waits until the gateway gives the attempt up or the worker dies.
            wait_for_close(conn).await;
            work.end(Ending::Silent);
            return None;
        }
        if self.fails_at_once(disturbance.errors) {
            work.end(Ending::Error);
            return Some(http::answer(500, &self.report(), b"failed"));
        }
        let (capacity_share, is_overloaded) = self.is_overloaded(expected.work);
        if is_overloaded {
            self.die(WorkerState::Fell);
            self.fell.notify_one();
            return None;
        }
        if self.is_full() {
            return Some(self.reject(work));
        }
        let _core = self.wait_for_core(conn, &mut work).await?;
        let takes = expected.work * disturbance.slower / (self.speed * capacity_share);
        self.work_for(conn, &mut work, takes).await?;
        self.answer(conn, &expected.answer(work.txn), &disturbance, work).await
    }

    /// Draws whether a request gets an error immediately.
    fn fails_at_once(&self, errors: f64) -> bool {
        errors > 0.0 && self.draw() < errors || self.draw() < self.scenario.world.errors
    }

    /// Whether all cores are busy and the queue is full.
    fn is_full(&self) -> bool {
        self.cores.available_permits() == 0
            && self.waiting.load(Ordering::Relaxed) >= self.scenario.world.queue
    }

    /// Rejects a request that has not begun to run, and returns the response.
    fn reject(&self, mut work: AttemptRecord<'_>) -> Vec<u8> {
        work.end(Ending::TurnedAway);
        http::answer(503, &format!("X-Turned-Away: 1\r\n{}", self.report()), b"")
    }

    /// Waits in the queue for a free core; `None` if the gateway gives the attempt up before.
    async fn wait_for_core(
        &self,
        conn: &mut Connection,
        work: &mut AttemptRecord<'_>,
    ) -> Option<SemaphorePermit<'_>> {
        let since = Instant::now();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let core = tokio::select! {
            core = self.cores.acquire() => Some(core),
            () = wait_for_close(conn) => None,
        };
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let Some(core) = core else {
            work.end(Ending::Cancelled { begun: false });
            return None;
        };
        work.queued = since.elapsed().as_secs_f64();
        work.begun = true;
        // The semaphore is never closed.
        core.ok()
    }

    /// Occupies the core for so many seconds; `None` if the gateway gives the attempt up before.
    async fn work_for(
        &self,
        conn: &mut Connection,
        work: &mut AttemptRecord<'_>,
        seconds: f64,
    ) -> Option<()> {
        let begun = Instant::now();
        tokio::select! {
            () = tokio::time::sleep(Duration::from_secs_f64(seconds)) => {}
            () = wait_for_close(conn) => {
                work.worked = begun.elapsed().as_secs_f64();
                work.end(Ending::Cancelled { begun: true });
                return None;
            }
        }
        work.worked = seconds;
        Some(())
    }

    /// Returns the response to an attempt whose work is done, or sends half of it and returns `None` if a fault stops it
    /// half way.
    async fn answer(
        &self,
        conn: &mut Connection,
        body: &str,
        disturbance: &Disturbance,
        mut work: AttemptRecord<'_>,
    ) -> Option<Vec<u8>> {
        let draw = self.draw();
        if draw < disturbance.stall + disturbance.break_off {
            work.end(Ending::HalfWay);
            answer_half(conn, body, draw < disturbance.stall).await;
            return None;
        }
        work.end(Ending::Served);
        self.served.fetch_add(1, Ordering::Relaxed);
        if disturbance.spoil > 0.0 && self.draw() < disturbance.spoil {
            return Some(b"HTTP/1.1 200 OK\r\nContent-Length: nonsense\r\n\r\n".to_vec());
        }
        Some(http::answer(200, &self.report(), body.as_bytes()))
    }
}

/// Sends the first half of an answer and resets the connection: immediately, or if the answer stalls, once the gateway
/// has given the attempt up.
async fn answer_half(conn: &mut Connection, body: &str, stalls: bool) {
    let half =
        if stalls { http::first_chunk(&body.as_bytes()[..body.len() / 2]) } else { http::first_half(body) };
    if conn.write(FlowDirection::In, &half).await.is_ok() && stalls {
        wait_for_close(conn).await;
    }
    conn.reset();
}

/// An attempt at this worker, whose end is recorded exactly once.
struct AttemptRecord<'a> {
    worker: &'a Worker,
    txn: u64,
    /// Seconds in the queue.
    queued: f64,
    /// Seconds on a core.
    worked: f64,
    /// Whether it has been given a core.
    begun: bool,
    /// Whether its end has been recorded.
    is_logged: bool,
}

impl AttemptRecord<'_> {
    /// Records its end.
    fn end(&mut self, how: Ending) {
        self.is_logged = true;
        let (txn, worker) = (self.txn, self.worker.index);
        self.worker.log.record(Event::Ended { txn, worker, how, queued: self.queued, worked: self.worked });
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        // Dropped without an end only if the worker died.
        if !self.is_logged {
            self.end(Ending::Died);
        }
    }
}

/// Waits until the gateway closes the connection or its sending half, by which it gives the attempt up.
async fn wait_for_close(conn: &mut Connection) {
    // Data received before the end stays in the buffer.
    while let Ok(1..) = conn.fill().await {}
    let link = conn.link.clone();
    link.wait_for_transit(FlowDirection::Out, 0).await;
}
