//! A short day: programs come all the time, an owner of control state and a proxy are killed in the middle, a worker
//! leaves and the configuration changes; then what was served, and every broken rule.

use super::{
    deployment::{Deployment, START_LIMIT},
    fleet::{TierError, TierSpec},
    judge::Broken,
    observation::{MachineEvent, Observation, Outcome, Seen},
    program::{Ended, Program, Told},
};
use std::{
    collections::BTreeMap,
    fmt,
    path::PathBuf,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Time between two programs.
const ARRIVAL_EVERY: Duration = Duration::from_millis(120);
/// How long what was killed stays down.
const DOWN: Duration = Duration::from_millis(800);
/// How long an order may take.
const ORDER_LIMIT: Duration = Duration::from_secs(6);
/// What the owner of the configuration logs once it has decided something.
const OWNER_LOG: &str = "the owner of shard 0 decided";

/// What day to play.
#[derive(Debug, Clone)]
pub struct Day {
    /// The program of all roles.
    pub program: PathBuf,
    /// How long programs come.
    pub length: Duration,
    pub tier: TierSpec,
}

/// What became of a day.
#[derive(Debug, Clone)]
pub struct Summary {
    pub machines: usize,
    /// How programs ended.
    pub programs: BTreeMap<String, usize>,
    pub turns: usize,
    pub calls: usize,
    /// How tries ended.
    pub tries: BTreeMap<String, usize>,
    /// Time to the end of answered tries, in milliseconds: at 50%, 99% and the longest.
    pub latency_ms: [u64; 3],
    /// What befell machines, and when.
    pub events: Vec<(u64, String)>,
    pub broken: Vec<Broken>,
    /// Processes that ended by themselves.
    pub fallen: Vec<String>,
    /// For each second: tries answered by success, refused, and failed.
    pub seconds: Vec<[usize; 3]>,
}

impl Summary {
    /// Whether every rule was kept and every process lived.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.broken.is_empty() && self.fallen.is_empty()
    }

    /// The last line of a play.
    #[must_use]
    pub fn line(&self) -> String {
        if self.passed() {
            "PASS".to_owned()
        } else {
            format!("FAIL: {} broken rules, {} processes ended", self.broken.len(), self.fallen.len())
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = |counts: &BTreeMap<String, usize>| {
            counts.iter().map(|(name, n)| format!("{name} {n}")).collect::<Vec<_>>().join(", ")
        };
        let [half, most, longest] = self.latency_ms;
        writeln!(f, "{:<28}{}", "machines", self.machines)?;
        writeln!(f, "{:<28}{}", "programs", counts(&self.programs))?;
        writeln!(f, "{:<28}{}, {}", "turns, calls of tools", self.turns, self.calls)?;
        writeln!(f, "{:<28}{}", "tries", counts(&self.tries))?;
        writeln!(f, "{:<28}{half}, {most}, {longest}", "answered ms (50, 99%, most)")?;
        for (at_ms, event) in &self.events {
            writeln!(f, "{:<28}{event}", format!("{:.1} s", *at_ms as f64 / 1e3))?;
        }
        for fallen in &self.fallen {
            writeln!(f, "{:<28}{fallen}", "ended by itself")?;
        }
        for broken in &self.broken {
            writeln!(f, "{:<28}{broken}", "broken")?;
        }
        Ok(())
    }
}

impl Day {
    /// Plays it.
    ///
    /// # Errors
    /// The tier does not start or come back in time.
    pub async fn play(&self) -> Result<Summary, TierError> {
        let mut deployment = Deployment::start(&self.program, self.tier.clone()).await?;
        let machines = deployment.tier.names().len();
        let from = deployment.tier.log.seen().len();
        let began = Instant::now();
        let mut programs = JoinSet::new();
        for step in self.steps() {
            self.arrive_until(&mut deployment, &mut programs, began + step.at).await;
            step.what.strike(&mut deployment).await?;
        }
        self.arrive_until(&mut deployment, &mut programs, began + self.length).await;
        let mut told = Vec::new();
        while let Some(program) = programs.join_next().await {
            told.extend(program.ok());
        }
        deployment.operator.read(ORDER_LIMIT).await;
        let seen = deployment.tier.log.seen();
        Ok(summary(machines, &told, &seen[from..], deployment.broken(), deployment.tier.fallen()))
    }

    fn steps(&self) -> Vec<Step> {
        let order = [
            What::KillOwner,
            What::StartOwner,
            What::ChangeConfiguration,
            What::KillProxy,
            What::StartProxy,
            What::WorkerLeaves,
            What::StopProxy,
        ];
        let parts = order.len() as u32 + 2;
        let at = |(i, what): (usize, What)| Step { at: self.length * (i as u32 + 1) / parts, what };
        order.into_iter().enumerate().map(at).collect()
    }

    /// Has programs come until a moment.
    async fn arrive_until(&self, deployment: &mut Deployment, programs: &mut JoinSet<Told>, until: Instant) {
        while Instant::now() < until {
            let number = deployment.clients();
            let route = ["dispute", "trace", "resumable"][number as usize % 3];
            let zone = self.tier.zones[number as usize % self.tier.zones.len()].clone();
            let program = deployment.program(&format!("program-{number}"), route);
            let loops = number.is_multiple_of(10);
            let budget = if loops { 500 } else { program.budget };
            let tools = deployment.tools();
            let program = Program { tools, sub_agents: Some((1, 2, 2)), loops, budget, ..program };
            let client = deployment.client(&zone);
            programs.spawn(async move { program.play(&client).await });
            tokio::time::sleep(ARRIVAL_EVERY).await;
        }
    }
}

struct Step {
    at: Duration,
    what: What,
}

/// What befalls the tier.
#[derive(Debug, Clone, Copy)]
enum What {
    KillOwner,
    StartOwner,
    ChangeConfiguration,
    KillProxy,
    StartProxy,
    WorkerLeaves,
    StopProxy,
}

impl What {
    async fn strike(self, deployment: &mut Deployment) -> Result<(), TierError> {
        let tier = &mut deployment.tier;
        match self {
            Self::KillOwner => {
                let owner = tier.who_logged(OWNER_LOG).unwrap_or_else(|| "core-1".to_owned());
                tier.kill(&owner).await
            }
            Self::KillProxy => tier.kill("edge-1").await,
            Self::StartOwner | Self::StartProxy => {
                tokio::time::sleep(DOWN).await;
                tier.start_idle_machines()
            }
            Self::ChangeConfiguration => {
                let routes = deployment.configuration.routes.clone();
                deployment.configure(routes, ORDER_LIMIT).await;
                Ok(())
            }
            Self::WorkerLeaves => {
                let Some(worker) = deployment.workers.first().cloned() else { return Ok(()) };
                deployment.add_worker(&worker.spec.service)?;
                tokio::spawn(async move { worker.leave(ORDER_LIMIT).await });
                Ok(())
            }
            Self::StopProxy => {
                tier.terminate("edge-2").await?;
                tier.start_machine("edge-2")?;
                tier.gatekeepers_ready(START_LIMIT).await
            }
        }
    }
}

fn summary(
    machines: usize,
    told: &[Told],
    seen: &[Seen],
    broken: Vec<Broken>,
    fallen: Vec<String>,
) -> Summary {
    let mut programs = BTreeMap::new();
    for told in told {
        let name = match told.ended {
            Ended::Completed => "completed".to_owned(),
            Ended::Stopped => "stopped by their budget".to_owned(),
            Ended::Failed { status: 0 } => "failed without an answer".to_owned(),
            Ended::Failed { status } => format!("failed with {status}"),
        };
        *programs.entry(name).or_insert(0) += 1;
    }
    let mut collected = Collected { began_ms: seen.first().map_or(0, |s| s.at_ms), ..Collected::default() };
    seen.iter().for_each(|s| collected.add(s));
    Summary {
        machines,
        programs,
        turns: told.iter().map(|t| t.turns).sum(),
        calls: told.iter().map(|t| t.calls).sum(),
        latency_ms: collected.latencies(),
        tries: collected.tries,
        events: collected.events,
        seconds: collected.seconds,
        broken,
        fallen,
    }
}

/// Counts over the list of observations.
#[derive(Default)]
struct Collected<'a> {
    began_ms: u64,
    sent: BTreeMap<&'a str, u64>,
    took_ms: Vec<u64>,
    tries: BTreeMap<String, usize>,
    events: Vec<(u64, String)>,
    seconds: Vec<[usize; 3]>,
}

impl<'a> Collected<'a> {
    fn add(&mut self, seen: &'a Seen) {
        match &seen.what {
            Observation::TrySent(sent) => {
                self.sent.insert(&sent.request, seen.at_ms);
            }
            Observation::TryEnded { request, outcome } => self.ended(seen.at_ms, request, outcome),
            Observation::Machine { machine, event } => {
                let name = match event {
                    MachineEvent::Terminated => "stopped by SIGTERM".to_owned(),
                    event => format!("{event:?}").to_lowercase(),
                };
                self.events.push((seen.at_ms, format!("{machine} {name}")));
            }
            Observation::ConfigurationAnswered { generation, status, .. } => {
                self.events.push((seen.at_ms, format!("configuration {generation} answered {status}")));
            }
            Observation::LeaveAcknowledged { worker, leave } => {
                self.events.push((seen.at_ms, format!("worker {worker} {leave:?}").to_lowercase()));
            }
            _ => {}
        }
    }

    fn ended(&mut self, at_ms: u64, request: &str, outcome: &Outcome) {
        let (name, kind) = match outcome {
            Outcome::Answered { status: status @ 200..=299, .. } => (status.to_string(), 0),
            Outcome::Answered { status, .. } => (status.to_string(), 1),
            Outcome::BrokenOff { .. } => ("broken off".to_owned(), 2),
            Outcome::Closed { .. } => ("closed".to_owned(), 2),
            Outcome::GivenUp => ("given up".to_owned(), 2),
            Outcome::Unreadable => ("unreadable".to_owned(), 2),
        };
        if outcome.is_success()
            && let Some(sent_ms) = self.sent.get(request)
        {
            self.took_ms.push(at_ms - sent_ms);
        }
        *self.tries.entry(name).or_insert(0) += 1;
        let second = usize::try_from((at_ms - self.began_ms) / 1000).unwrap_or_default();
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, [0; 3]);
        }
        self.seconds[second][kind] += 1;
    }

    fn latencies(&mut self) -> [u64; 3] {
        self.took_ms.sort_unstable();
        let last = self.took_ms.len().saturating_sub(1);
        [last / 2, last * 99 / 100, last].map(|at| self.took_ms.get(at).copied().unwrap_or(0))
    }
}
