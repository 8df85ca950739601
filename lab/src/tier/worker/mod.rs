//! Simulated workers: connections, registration, and what plain and model workers have in common.

pub mod engine;
mod fault;
mod model;
mod plain;
pub mod registration;

use super::{
    observation::{Departure, Log, Observation},
    peer::Peer,
};
use crate::http::{self, Message};
use engine::EngineSpec;
pub use fault::Fault;
use fault::Faults;
use registration::{ControlAddresses, Registration, WorkerDescription};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpSocket},
    sync::{Mutex, watch},
    task::JoinHandle,
};

/// Length of the listener's backlog.
const BACKLOG: u32 = 1024;

/// Kind of a worker, with its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// Serves unary requests, `capacity` of them concurrently.
    Plain { capacity: usize, queue: usize, work: Duration, answer_bytes: usize },
    /// Serves token streams from a batching engine.
    Model(EngineSpec),
}

impl Work {
    fn capacity(&self) -> usize {
        match self {
            Self::Plain { capacity, .. } => *capacity,
            Self::Model(spec) => spec.capacity,
        }
    }
}

/// Specification of a worker.
#[derive(Debug, Clone)]
pub struct WorkerSpec {
    pub service: String,
    pub zone: String,
    /// Address on which it listens; port 0 selects a free port.
    pub address: SocketAddr,
    pub work: Work,
    pub max_connections: usize,
    pub heartbeat: Duration,
    /// How long it continues to serve after the tier has acknowledged that it is draining.
    pub drain: Duration,
}

enum Kind {
    Plain(plain::Plain),
    Model(Box<model::Model>),
}

/// What to do with a connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionAction {
    KeepOpen,
    Close,
    Reset,
}

/// One incarnation of a simulated worker.
pub struct Worker {
    /// Instance id, new for each start.
    pub id: String,
    pub address: SocketAddr,
    pub spec: WorkerSpec,
    log: Log,
    kind: Kind,
    faults: Faults,
    registration: Mutex<Registration>,
    draining: AtomicBool,
    connections: AtomicUsize,
    answers: AtomicU64,
    /// False once the worker has ended, which ends its tasks.
    alive: watch::Sender<bool>,
}

impl Worker {
    /// Starts a worker, which registers itself with the tier.
    ///
    /// # Errors
    /// It can't listen on its address.
    pub fn start(id: &str, spec: WorkerSpec, controls: ControlAddresses, log: Log) -> io::Result<Arc<Self>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(spec.address)?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let kind = match spec.work {
            Work::Plain { capacity, queue, work, answer_bytes } => {
                Kind::Plain(plain::Plain::new(capacity, queue, work, answer_bytes))
            }
            Work::Model(engine) => Kind::Model(Box::new(model::Model::new(engine))),
        };
        let description = WorkerDescription {
            id: id.to_owned(),
            service: spec.service.clone(),
            address,
            zone: spec.zone.clone(),
            capacity: spec.work.capacity(),
            is_model: matches!(kind, Kind::Model(_)),
        };
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            spec,
            log,
            kind,
            faults: Faults::default(),
            registration: Mutex::new(Registration::new(description, controls)),
            draining: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            answers: AtomicU64::new(0),
            alive: watch::channel(true).0,
        });
        worker.clone().spawn_while_alive(worker.clone().accept(listener));
        worker.clone().spawn_while_alive(worker.clone().keep_registered());
        if let Kind::Model(_) = worker.kind {
            worker.clone().spawn_while_alive(worker.clone().drive_engine());
        }
        Ok(worker)
    }

    /// Spawns a task that is cancelled when the worker ends.
    fn spawn_while_alive(self: Arc<Self>, task: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let mut alive = self.alive.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                _ = alive.wait_for(|alive| !alive) => {}
            }
        })
    }

    /// Injects a fault into the response of the next request that runs without one.
    pub fn inject_fault(&self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Ends the worker immediately without deregistering it, as a crash would.
    pub fn crash(&self) {
        self.log.record(Observation::WorkerCrashed { worker: self.id.clone() });
        self.alive.send_replace(false);
    }

    /// Reports that the worker is draining. Returns whether that was acknowledged within `limit`.
    pub async fn drain(&self, limit: Duration) -> bool {
        self.draining.store(true, Ordering::Relaxed);
        let acknowledged = self.registration.lock().await.heartbeat_until(true, limit).await;
        if acknowledged {
            let (worker, departure) = (self.id.clone(), Departure::Draining);
            self.log.record(Observation::DepartureAcknowledged { worker, departure });
        }
        acknowledged
    }

    /// Ends the worker as planned: reports draining, serves on for the drain time, deregisters, and stops. Returns whether
    /// both reports were acknowledged.
    pub async fn leave(&self, limit: Duration) -> bool {
        let mut acknowledged = self.drain(limit).await;
        tokio::time::sleep(self.spec.drain).await;
        if self.registration.lock().await.remove().await {
            let (worker, departure) = (self.id.clone(), Departure::Deregistered);
            self.log.record(Observation::DepartureAcknowledged { worker, departure });
        } else {
            acknowledged = false;
        }
        self.alive.send_replace(false);
        acknowledged
    }

    async fn keep_registered(self: Arc<Self>) {
        loop {
            let draining = self.draining.load(Ordering::Relaxed);
            let acknowledged = self.registration.lock().await.heartbeat(draining).await;
            // Retries sooner after a heartbeat without an acknowledgement.
            let interval = if acknowledged { self.spec.heartbeat } else { self.spec.heartbeat / 4 };
            tokio::time::sleep(interval).await;
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let open_connections = self.connections.fetch_add(1, Ordering::Relaxed);
            let (worker, peer) = (self.clone(), Peer::new(stream));
            self.clone().spawn_while_alive(async move {
                if open_connections >= worker.spec.max_connections {
                    peer.reset();
                } else {
                    worker.serve(peer).await;
                }
                worker.connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Serves one connection until it ends.
    async fn serve(&self, mut peer: Peer) {
        loop {
            // A malformed request or an I/O error ends the connection.
            let Ok(Some(message)) = peer.read_message().await else { return };
            match self.answer(&mut peer, &message).await {
                Ok(ConnectionAction::KeepOpen) if !message.closes() => {}
                Ok(ConnectionAction::Reset) => return peer.reset(),
                _ => return,
            }
        }
    }

    async fn answer(&self, peer: &mut Peer, message: &Message) -> io::Result<ConnectionAction> {
        match message.target() {
            ("GET", "/healthz") => self.write(peer, self.health_status(), "", b"").await,
            ("GET", "/opalrun/report") => {
                let report = self.report();
                self.write(peer, 200, "Content-Type: application/json\r\n", report.as_bytes()).await
            }
            _ => self.answer_request(peer, message).await,
        }
    }

    async fn answer_request(&self, peer: &mut Peer, message: &Message) -> io::Result<ConnectionAction> {
        if message.header("expect-instance").is_some_and(|id| id != self.id) {
            return self.write(peer, 421, "Not-Executed: 1\r\n", b"").await;
        }
        let Some(request) = message.header("request-id").map(str::to_owned) else {
            return self.write(peer, 400, "Not-Executed: 1\r\n", b"").await;
        };
        self.log.record(Observation::Reached { request: request.clone(), worker: self.id.clone() });
        match &self.kind {
            Kind::Plain(plain) => plain.answer(self, peer, message, &request).await,
            Kind::Model(model) => model.answer(self, peer, message, &request).await,
        }
    }

    /// Rejects a request that has not run.
    async fn reject(&self, peer: &mut Peer, request: &str) -> io::Result<ConnectionAction> {
        let headers = format!("Not-Executed: 1\r\nRequest-Id: {request}\r\n");
        self.write(peer, 503, &headers, b"").await
    }

    async fn write(
        &self,
        peer: &mut Peer,
        status: u16,
        headers: &str,
        body: &[u8],
    ) -> io::Result<ConnectionAction> {
        let all = format!("{headers}Instance-Id: {}\r\nServer-Load: {}\r\n", self.id, self.server_load());
        peer.write(&http::answer(status, &all, body)).await?;
        Ok(ConnectionAction::KeepOpen)
    }

    fn health_status(&self) -> u16 {
        if self.draining.load(Ordering::Relaxed) { 503 } else { 200 }
    }

    fn server_load(&self) -> String {
        let (running, waiting) = match &self.kind {
            Kind::Plain(plain) => plain.load(),
            Kind::Model(model) => model.load(),
        };
        format!("{running},{waiting},{}", self.spec.work.capacity())
    }

    fn report(&self) -> String {
        match &self.kind {
            Kind::Plain(_) => "{}".to_owned(),
            Kind::Model(model) => model.report(),
        }
    }

    async fn drive_engine(self: Arc<Self>) {
        if let Kind::Model(model) = &self.kind {
            model.drive().await;
        }
    }

    /// Returns a signature that is unique among all responses of all workers.
    fn signature(&self) -> String {
        format!("{}.{:x}", self.id, self.answers.fetch_add(1, Ordering::Relaxed))
    }

    fn log_run(&self, message: &Message, request: &str) {
        let (method, path) = message.target();
        self.log.record(Observation::Ran {
            request: request.to_owned(),
            worker: self.id.clone(),
            service: self.spec.service.clone(),
            method: method.to_owned(),
            host: message.header("host").unwrap_or_default().to_owned(),
            path: path.to_owned(),
            body: message.body.clone(),
        });
    }

    fn log_answer(&self, request: &str, status: u16, signature: &str, body: &[u8], is_complete: bool) {
        self.log.record(Observation::WorkerAnswered {
            request: request.to_owned(),
            worker: self.id.clone(),
            status,
            signature: signature.to_owned(),
            body: body.to_vec(),
            is_complete,
        });
    }
}
