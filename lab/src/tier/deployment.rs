//! A small standard deployment: two services, the routes of an agent program, workers, clients and an operator.

use super::{
    client::Client,
    configuration::{Configuration, EngineDescription, Route, Service},
    fleet::{Tier, TierError, TierSpec},
    judge::{Violation, judge},
    observation::{Observation, Outcome, RouteKind},
    operator::Operator,
    program::{Program, ProgramOutcome},
    worker::{Work, Worker, WorkerSpec, engine::EngineSpec},
};
use std::{net::Ipv4Addr, path::Path, sync::Arc, time::Duration};
use tokio::task::JoinHandle;

/// Name of the service of model workers.
pub const MODELS: &str = "models";
/// Name of the service of plain workers.
pub const RECORDS: &str = "records";
/// Interval of the platform's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);
/// Time-out for a start or restart.
pub const START_LIMIT: Duration = Duration::from_secs(8);
/// Delay between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of recent outcomes in a message.
const OUTCOMES_SHOWN: usize = 3;
/// Address of all workers, outside the tier's network.
const WORKERS_IP: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// Engine of the deployment's model workers, fast enough that a turn takes some tens of milliseconds.
const ENGINE: EngineSpec = EngineSpec {
    capacity: 8,
    queue: 8,
    kv_capacity: 20_000,
    chunk_tokens: 3,
    step: Duration::from_millis(2),
    step_per_running: Duration::from_micros(200),
    prefill_per_step: 400,
};

/// A tier with its simulated workers, clients, operator and platform.
pub struct Deployment {
    pub tier: Tier,
    pub operator: Operator,
    pub configuration: Configuration,
    pub workers: Vec<Arc<Worker>>,
    watch: JoinHandle<()>,
    next_worker: usize,
    next_client: u64,
}

impl Deployment {
    /// Starts a tier with the first configuration and two workers of each service, and waits until it serves requests.
    ///
    /// # Errors
    /// It does not become ready in time.
    pub async fn start(program: &Path, spec: TierSpec) -> Result<Self, TierError> {
        let tier = Tier::start(program, spec)?;
        tier.wait_for_control(START_LIMIT).await?;
        let operator = Operator::new(tier.log.clone(), tier.controls.clone(), 0);
        let watch = tier.platform.watch(READINESS_INTERVAL);
        let configuration = first_configuration();
        let (workers, next_worker, next_client) = (Vec::new(), 0, 1);
        let mut deployment = Self { tier, operator, configuration, workers, watch, next_worker, next_client };
        deployment.configure_first().await?;
        for _ in 0..2 {
            deployment.add_worker(MODELS)?;
            deployment.add_worker(RECORDS)?;
        }
        deployment.tier.wait_for_gatekeepers(START_LIMIT).await?;
        deployment.wait_until_serving().await?;
        Ok(deployment)
    }

    async fn configure_first(&self) -> Result<(), TierError> {
        let body = Arc::new(self.configuration.body());
        match self.operator.configure(&body, 0, true, START_LIMIT).await {
            200 => Ok(()),
            status => Err(self.tier.timeout_error(
                format!("the first configuration was not accepted: status {status}"),
                START_LIMIT,
            )),
        }
    }

    /// Waits until one request on each route has succeeded, so the gatekeepers know the configuration and the workers.
    ///
    /// # Errors
    /// A route was not served in time.
    pub async fn wait_until_serving(&mut self) -> Result<(), TierError> {
        let until = tokio::time::Instant::now() + START_LIMIT;
        for route in self.configuration.routes.clone() {
            let client = self.client("zone-1");
            loop {
                let report = self.warm_up(&route).run(&client).await;
                if report.outcome == ProgramOutcome::Completed {
                    break;
                }
                if tokio::time::Instant::now() > until {
                    let description =
                        format!("{} is not served: {report:?}, {}", route.name, self.last_outcomes());
                    return Err(self.tier.timeout_error(description, START_LIMIT));
                }
            }
        }
        Ok(())
    }

    /// Returns a program that sends one request to a route.
    fn warm_up(&self, route: &Route) -> Program {
        let name = format!("warm-up-{}-{}", route.name, self.next_client);
        let program = Program { turns: 1, ..self.program(&name, &route.name) };
        match route.kind {
            RouteKind::Streaming { .. } => program,
            _ => Program { turns: 0, tools: vec![route.clone()], ..program },
        }
    }

    /// Starts another worker of a service.
    ///
    /// # Errors
    /// The worker's socket can't be opened.
    pub fn add_worker(&mut self, service: &str) -> Result<Arc<Worker>, TierError> {
        let number = self.next_worker;
        let work = match service {
            MODELS => Work::Model(ENGINE),
            _ => Work::Plain { capacity: 6, queue: 6, work: Duration::from_millis(15), answer_bytes: 800 },
        };
        let spec = WorkerSpec {
            service: service.to_owned(),
            zone: self.tier.spec.zones[number % self.tier.spec.zones.len()].clone(),
            address: (WORKERS_IP, 0).into(),
            work,
            max_connections: 96,
            heartbeat: self.tier.spec.heartbeat,
            drain: Duration::from_millis(self.tier.spec.bounds.drain_ms),
        };
        self.start_worker(spec)
    }

    /// Starts a worker with the given specification.
    ///
    /// # Errors
    /// The worker's socket can't be opened at its address.
    pub fn start_worker(&mut self, spec: WorkerSpec) -> Result<Arc<Worker>, TierError> {
        self.next_worker += 1;
        let id = format!("i-{}", self.next_worker);
        let worker = Worker::start(&id, spec, self.tier.controls.clone(), self.tier.log.clone())?;
        self.workers.push(worker.clone());
        Ok(worker)
    }

    /// Returns a new client in a zone.
    pub fn client(&mut self, zone: &str) -> Client {
        let hash = self.next_client;
        self.next_client += 1;
        Client::new(self.tier.log.clone(), self.tier.platform.clone(), zone, hash)
    }

    /// Returns a program of four turns on a route, without tools.
    ///
    /// # Panics
    /// The configuration has no such route.
    #[must_use]
    pub fn program(&self, name: &str, route: &str) -> Program {
        let turns_route = self.configuration.route(route).expect("a route of the deployment").clone();
        Program {
            name: name.to_owned(),
            turns_route,
            tools: Vec::new(),
            turns: 4,
            sub_agents: None,
            budget: 10_000,
            max_output_tokens: 30,
            chunk_tokens: ENGINE.chunk_tokens,
            deadline: Duration::from_secs(4),
            loops: false,
        }
    }

    /// Returns the routes that programs call as tools.
    #[must_use]
    pub fn tools(&self) -> Vec<Route> {
        let tools =
            self.configuration.routes.iter().filter(|r| !matches!(r.kind, RouteKind::Streaming { .. }));
        tools.cloned().collect()
    }

    /// Sends the current configuration with other routes and a higher generation, and stores it if it was accepted.
    /// Returns the status.
    pub async fn configure(&mut self, routes: Vec<Route>, limit: Duration) -> u16 {
        let current = self.configuration.generation;
        let next = Configuration { generation: current + 3, routes, ..self.configuration.clone() };
        let status = self.operator.configure(&Arc::new(next.body()), current, true, limit).await;
        if status == 200 {
            self.configuration = next;
        }
        status
    }

    /// Sends the current configuration under a new generation, which must be accepted.
    ///
    /// # Panics
    /// It was not accepted in time.
    pub async fn reconfigure(&mut self, limit: Duration) {
        let status = self.configure(self.configuration.routes.clone(), limit).await;
        assert_eq!(status, 200, "the configuration change was not accepted\n{}", self.tier.log_tails());
    }

    /// Starts a worker at an address that another one has just released, retrying until the address is free.
    ///
    /// # Panics
    /// The address is not free in time.
    pub async fn take_over(&mut self, spec: WorkerSpec) -> Arc<Worker> {
        let until = tokio::time::Instant::now() + START_LIMIT;
        loop {
            match self.start_worker(spec.clone()) {
                Ok(worker) => return worker,
                Err(error) => assert!(tokio::time::Instant::now() < until, "{error}"),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Describes the outcomes of the most recent requests.
    #[must_use]
    pub fn last_outcomes(&self) -> String {
        let seen = self.tier.log.observations();
        let ended = seen.iter().rev().filter_map(|s| match &s.observation {
            Observation::RequestEnded {
                request,
                outcome: Outcome::Answered { status, body, retry_after, .. },
            } => Some(format!("{request}: {status} {retry_after:?} {}", String::from_utf8_lossy(body))),
            Observation::RequestEnded { request, outcome } => Some(format!("{request}: {outcome:?}")),
            _ => None,
        });
        ended.take(OUTCOMES_SHOWN).collect::<Vec<_>>().join("; ")
    }

    /// Returns every rule violation so far.
    #[must_use]
    pub fn violations(&self) -> Vec<Violation> {
        judge(&self.tier.log.observations(), &self.tier.spec.bounds)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.watch.abort();
    }
}

/// Returns the first configuration: a route with stored conversations, streams with and without resumption, and a safe
/// and an unsafe route for tools.
#[must_use]
pub fn first_configuration() -> Configuration {
    let streaming = |resumable| RouteKind::Streaming { resumable };
    let engine = EngineDescription {
        capacity: ENGINE.capacity,
        kv_capacity: ENGINE.kv_capacity,
        chunk_tokens: ENGINE.chunk_tokens,
    };
    let service = |name: &str, engine| Service { name: name.to_owned(), max_connections: 96, engine };
    Configuration {
        generation: 1,
        routes: vec![
            Route::new("dispute", "/dispute/", streaming(false), MODELS).retained(Duration::from_secs(60)),
            Route::new("trace", "/trace/", streaming(false), MODELS),
            Route::new("resumable", "/resumable/", streaming(true), MODELS),
            Route::new("lookup", "/lookup/", RouteKind::Safe, RECORDS),
            Route::new("redact", "/redact/", RouteKind::Unsafe, RECORDS),
        ],
        services: vec![service(MODELS, Some(engine)), service(RECORDS, None)],
    }
}
