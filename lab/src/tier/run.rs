//! A short run of the tier under steady load with faults: by default the owner of the configuration and a gatekeeper
//! are killed, a worker leaves and the configuration changes. Summarizes what was served and every rule violation.

use super::{
    arrivals::Arrivals,
    deployment::Deployment,
    fault::{FaultSequence, OPERATION_TIMEOUT},
    fleet::{TierError, TierSpec},
    judge::{PrematureRefusal, Violation, premature_refusals},
    observation::{MachineEvent, Observation, Outcome, TimedObservation},
    program::{ProgramOutcome, ProgramReport},
};
use std::{
    collections::BTreeMap,
    fmt,
    path::PathBuf,
    time::{Duration, Instant},
};

/// Violations that a summary lists one by one.
const MAX_VIOLATIONS_SHOWN: usize = 20;
/// Premature refusals that a summary lists one by one.
const MAX_REFUSALS_SHOWN: usize = 5;
/// A run is divided into this many intervals; a fault is injected at the end of each.
const FAULT_INTERVALS: u32 = 12;

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct TierRun {
    /// Path of the executable that runs every role.
    pub program: PathBuf,
    /// How long new agent programs are started.
    pub length: Duration,
    pub tier: TierSpec,
    /// Seed of the random faults; `None` injects the standard sequence.
    pub seed: Option<u64>,
}

/// Results of a run.
#[derive(Debug, Clone)]
pub struct Summary {
    pub machines: usize,
    /// Number of programs by how they ended.
    pub programs: BTreeMap<String, usize>,
    pub turns: usize,
    pub calls: usize,
    /// Number of client requests, retries included, by how they ended.
    pub request_outcomes: BTreeMap<String, usize>,
    /// Latency of successful requests until the end of the response, in milliseconds: at 50%, at 99%, and the maximum.
    pub latency_ms: [u64; 3],
    /// Events of machines, workers and the configuration, with their times in milliseconds since the log began.
    pub events: Vec<(u64, String)>,
    pub violations: Vec<Violation>,
    /// Turns that were answered 402 although the program's budget sufficed for them.
    pub premature_refusals: Vec<PrematureRefusal>,
    /// Processes that exited without having been stopped by the test.
    pub unexpected_exits: Vec<String>,
    /// For each second of the run: requests that succeeded, got an error status, and got no complete response.
    pub seconds: Vec<[usize; 3]>,
    /// Injected faults, in order.
    pub faults: Vec<String>,
    /// Last log lines of all processes; empty if the run passed.
    pub log_tails: String,
}

impl Summary {
    /// Whether there was no violation and no unexpected process exit.
    #[must_use]
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.unexpected_exits.is_empty()
    }

    /// Returns the line that concludes the output of a run.
    #[must_use]
    pub fn line(&self) -> String {
        if self.passed() {
            "PASS".to_owned()
        } else {
            format!(
                "FAIL: {} rule violations, {} processes exited unexpectedly",
                self.violations.len(),
                self.unexpected_exits.len()
            )
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = |counts: &BTreeMap<String, usize>| {
            counts.iter().map(|(name, n)| format!("{name} {n}")).collect::<Vec<_>>().join(", ")
        };
        let [median, p99, max] = self.latency_ms;
        writeln!(f, "{:<28}{}", "machines", self.machines)?;
        writeln!(f, "{:<28}{}", "programs", counts(&self.programs))?;
        writeln!(f, "{:<28}{}, {}", "turns, tool calls", self.turns, self.calls)?;
        writeln!(f, "{:<28}{}", "client requests", counts(&self.request_outcomes))?;
        writeln!(f, "{:<28}{median}, {p99}, {max}", "latency ms (50%, 99%, max)")?;
        for (at_ms, event) in &self.events {
            writeln!(f, "{:<28}{event}", format!("{:.1} s", *at_ms as f64 / 1e3))?;
        }
        writeln!(f, "{:<28}{}", "injected faults", self.faults.join(", "))?;
        writeln!(f, "{:<28}{}", "402 within budget", self.premature_refusals.len())?;
        for stop in self.premature_refusals.iter().take(MAX_REFUSALS_SHOWN) {
            let PrematureRefusal { at_ms, program, spent, max_output_tokens, budget } = stop;
            let at_s = *at_ms as f64 / 1e3;
            writeln!(f, "{:<28}{program} at {at_s:.3} s: {spent} + {max_output_tokens} of {budget}", "")?;
        }
        for exit in &self.unexpected_exits {
            writeln!(f, "{:<28}{exit}", "exited unexpectedly")?;
        }
        for violation in self.violations.iter().take(MAX_VIOLATIONS_SHOWN) {
            writeln!(f, "{:<28}{violation}", "violation")?;
        }
        f.write_str(&self.log_tails)
    }
}

impl TierRun {
    /// Starts a tier, runs programs while faults are injected, and summarizes the result.
    ///
    /// # Errors
    /// The tier does not start or does not recover in time.
    pub async fn run(&self) -> Result<Summary, TierError> {
        let mut deployment = Deployment::start(&self.program, self.tier.clone()).await?;
        let machines = deployment.tier.names().len();
        let from = deployment.tier.log.observations().len();
        let arrivals = Arrivals::start(&deployment);
        let faults = self.inject_faults(&mut deployment).await?;
        let reports = arrivals.end().await;
        deployment.operator.read(OPERATION_TIMEOUT).await;
        let observations = deployment.tier.log.observations();
        let mut summary = summary(
            machines,
            &reports,
            &observations[from..],
            deployment.violations(),
            deployment.tier.unexpected_exits(),
        );
        summary.faults = faults;
        summary.premature_refusals = premature_refusals(&observations, &self.tier.bounds);
        if !summary.passed() {
            summary.log_tails = deployment.tier.log_tails();
        }
        Ok(summary)
    }

    /// Injects faults at even intervals until the run ends; returns them in order.
    async fn inject_faults(&self, deployment: &mut Deployment) -> Result<Vec<String>, TierError> {
        let end = Instant::now() + self.length;
        let mut sequence = self.seed.map_or_else(FaultSequence::standard, FaultSequence::random);
        let interval = self.length / FAULT_INTERVALS;
        let mut injected = Vec::new();
        loop {
            tokio::time::sleep(interval.min(end.saturating_duration_since(Instant::now()))).await;
            if Instant::now() >= end {
                return Ok(injected);
            }
            let Some(fault) = sequence.next(deployment) else { continue };
            injected.push(format!("{fault:?}"));
            fault.inject(deployment).await?;
        }
    }
}

fn summary(
    machines: usize,
    reports: &[ProgramReport],
    observations: &[TimedObservation],
    violations: Vec<Violation>,
    unexpected_exits: Vec<String>,
) -> Summary {
    let mut programs = BTreeMap::new();
    for report in reports {
        let name = match report.outcome {
            ProgramOutcome::Completed => "completed".to_owned(),
            ProgramOutcome::BudgetExhausted => "stopped by budget".to_owned(),
            ProgramOutcome::Failed { status: 0 } => "failed without a response".to_owned(),
            ProgramOutcome::Failed { status } => format!("failed with status {status}"),
        };
        *programs.entry(name).or_insert(0) += 1;
    }
    let mut collected =
        Collected { start_ms: observations.first().map_or(0, |s| s.at_ms), ..Collected::default() };
    for observation in observations {
        collected.add(observation);
    }
    Summary {
        machines,
        programs,
        turns: reports.iter().map(|t| t.turns).sum(),
        calls: reports.iter().map(|t| t.calls).sum(),
        latency_ms: collected.latencies(),
        request_outcomes: collected.request_outcomes,
        events: collected.events,
        seconds: collected.seconds,
        violations,
        unexpected_exits,
        faults: Vec::new(),
        premature_refusals: Vec::new(),
        log_tails: String::new(),
    }
}

/// Statistics collected over the observations of a run.
#[derive(Default)]
struct Collected<'a> {
    start_ms: u64,
    sent: BTreeMap<&'a str, u64>,
    latencies_ms: Vec<u64>,
    request_outcomes: BTreeMap<String, usize>,
    events: Vec<(u64, String)>,
    seconds: Vec<[usize; 3]>,
}

impl<'a> Collected<'a> {
    fn add(&mut self, seen: &'a TimedObservation) {
        match &seen.observation {
            Observation::RequestSent(sent) => {
                self.sent.insert(&sent.request, seen.at_ms);
            }
            Observation::RequestEnded { request, outcome } => self.add_outcome(seen.at_ms, request, outcome),
            Observation::Machine { machine, event } => {
                let name = match event {
                    MachineEvent::Terminated => "stopped by SIGTERM".to_owned(),
                    event => format!("{event:?}").to_lowercase(),
                };
                self.events.push((seen.at_ms, format!("{machine} {name}")));
            }
            Observation::ConfigurationAnswered { generation, status, .. } => {
                self.events
                    .push((seen.at_ms, format!("configuration {generation} answered with status {status}")));
            }
            Observation::DepartureAcknowledged { worker, departure } => {
                self.events.push((seen.at_ms, format!("worker {worker} {departure:?}").to_lowercase()));
            }
            _ => {}
        }
    }

    fn add_outcome(&mut self, at_ms: u64, request: &str, outcome: &Outcome) {
        let (name, kind) = match outcome {
            Outcome::Answered { status: status @ 200..=299, .. } => (status.to_string(), 0),
            Outcome::Answered { status, .. } => (status.to_string(), 1),
            Outcome::Interrupted { .. } => ("interrupted".to_owned(), 2),
            Outcome::Closed { .. } => ("connection closed".to_owned(), 2),
            Outcome::TimedOut => ("timed out".to_owned(), 2),
            Outcome::Malformed => ("unreadable".to_owned(), 2),
        };
        if outcome.is_success()
            && let Some(sent_ms) = self.sent.get(request)
        {
            self.latencies_ms.push(at_ms - sent_ms);
        }
        *self.request_outcomes.entry(name).or_insert(0) += 1;
        let second = usize::try_from((at_ms - self.start_ms) / 1000).unwrap_or_default();
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, [0; 3]);
        }
        self.seconds[second][kind] += 1;
    }

    fn latencies(&mut self) -> [u64; 3] {
        self.latencies_ms.sort_unstable();
        let last = self.latencies_ms.len().saturating_sub(1);
        [last / 2, last * 99 / 100, last].map(|at| self.latencies_ms.get(at).copied().unwrap_or(0))
    }
}
