//! A small deployment of the usual kind: two services, the routes of an agent program, workers, clients, an operator.

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

/// The service of model workers.
pub const MODELS: &str = "models";
/// The service of plain workers.
pub const RECORDS: &str = "records";
/// How often the platform asks gatekeepers whether they are ready.
const READINESS_EVERY: Duration = Duration::from_millis(250);
/// How long a start may take.
pub const START_LIMIT: Duration = Duration::from_secs(8);
/// Pause between two looks at something that changes.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Tries that a message shows.
const OUTCOMES_SHOWN: usize = 3;
/// The address of workers, outside the tier's own.
const WORKERS_IP: Ipv4Addr = Ipv4Addr::LOCALHOST;

/// The engine of the deployment's model workers: quick, so that a turn takes some tens of milliseconds.
const ENGINE: EngineSpec = EngineSpec {
    capacity: 8,
    queue: 8,
    kv_capacity: 20_000,
    chunk_tokens: 3,
    step: Duration::from_millis(2),
    step_per_running: Duration::from_micros(200),
    prefill_per_step: 400,
};

/// A tier among its stand-ins.
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
    /// Starts a tier with the first configuration and workers of both services, and waits until it serves.
    ///
    /// # Errors
    /// It does not come up in time.
    pub async fn start(program: &Path, spec: TierSpec) -> Result<Self, TierError> {
        let tier = Tier::start(program, spec)?;
        tier.wait_for_control(START_LIMIT).await?;
        let operator = Operator::new(tier.log.clone(), tier.controls.clone(), 0);
        let watch = tier.platform.watch(READINESS_EVERY);
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
                format!("the first configuration was answered {status}, not taken"),
                START_LIMIT,
            )),
        }
    }

    /// Waits until one request of each kind was served: the gatekeepers know the configuration and the workers.
    ///
    /// # Errors
    /// None was in time.
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

    /// A program that asks one route once.
    fn warm_up(&self, route: &Route) -> Program {
        let name = format!("warm-up-{}-{}", route.name, self.next_client);
        let program = Program { turns: 1, ..self.program(&name, &route.name) };
        match route.kind {
            RouteKind::Streaming { .. } => program,
            _ => Program { turns: 0, tools: vec![route.clone()], ..program },
        }
    }

    /// Starts one more worker of a service.
    ///
    /// # Errors
    /// No address is free.
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

    /// Starts a worker as it is described.
    ///
    /// # Errors
    /// Its address is not free.
    pub fn start_worker(&mut self, spec: WorkerSpec) -> Result<Arc<Worker>, TierError> {
        self.next_worker += 1;
        let id = format!("i-{}", self.next_worker);
        let worker = Worker::start(&id, spec, self.tier.controls.clone(), self.tier.log.clone())?;
        self.workers.push(worker.clone());
        Ok(worker)
    }

    /// A client of a zone, another one each time.
    pub fn client(&mut self, zone: &str) -> Client {
        let hash = self.next_client;
        self.next_client += 1;
        Client::new(self.tier.log.clone(), self.tier.platform.clone(), zone, hash)
    }

    /// A program of four turns on a route, without tools.
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

    /// The routes that programs call as tools.
    #[must_use]
    pub fn tools(&self) -> Vec<Route> {
        let tools =
            self.configuration.routes.iter().filter(|r| !matches!(r.kind, RouteKind::Streaming { .. }));
        tools.cloned().collect()
    }

    /// Sends a new configuration on top of the present one, which it becomes once it was taken; the status.
    pub async fn configure(&mut self, routes: Vec<Route>, limit: Duration) -> u16 {
        let current = self.configuration.generation;
        let next = Configuration { generation: current + 3, routes, ..self.configuration.clone() };
        let status = self.operator.configure(&Arc::new(next.body()), current, true, limit).await;
        if status == 200 {
            self.configuration = next;
        }
        status
    }

    /// Sends the present configuration under a new generation, which must be taken.
    ///
    /// # Panics
    /// It was not taken in time.
    pub async fn reconfigure(&mut self, limit: Duration) {
        let status = self.configure(self.configuration.routes.clone(), limit).await;
        assert_eq!(status, 200, "a change of the configuration\n{}", self.tier.log_tails());
    }

    /// Starts a worker at an address that another one has just left: listening there may take a moment.
    ///
    /// # Panics
    /// The address stays taken.
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

    /// How the last tries ended, for a message.
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

    /// Every rule that was broken so far.
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

/// The first configuration: a kept conversation, streams with and without resumption, and two kinds of tools.
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
