//! Starts agent programs at a constant rate.

use super::{
    client::Client,
    deployment::Deployment,
    program::{Program, ProgramReport},
};
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
};

/// Time between the starts of two programs.
const START_INTERVAL: Duration = Duration::from_millis(120);
/// One program in this many loops until its budget is exhausted.
const LOOPING_PERIOD: usize = 10;
/// Budget of looping programs, in tokens.
const LOOPING_BUDGET: u64 = 500;

/// Task that starts programs, and the programs in flight.
pub struct Arrivals {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<ProgramReport>>,
}

impl Arrivals {
    /// Starts a program every `START_INTERVAL` from now on.
    #[must_use]
    pub fn start(deployment: &Deployment) -> Self {
        let (stop, mut stopped) = watch::channel(false);
        let source = Arc::new(ProgramSource::new(deployment));
        let task = tokio::spawn(async move {
            let mut programs = JoinSet::new();
            for number in 0.. {
                let source = source.clone();
                programs.spawn(async move { source.run(number).await });
                tokio::select! {
                    () = tokio::time::sleep(START_INTERVAL) => {}
                    _ = stopped.wait_for(|stopped| *stopped) => break,
                }
            }
            programs.join_all().await
        });
        Self { stop, task }
    }

    /// Stops starting programs, waits for those in flight and returns all reports.
    pub async fn end(self) -> Vec<ProgramReport> {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

/// Creates the programs.
struct ProgramSource {
    log: super::observation::Log,
    platform: super::platform::Platform,
    zones: Vec<String>,
    /// One template for each streaming route.
    templates: Vec<Program>,
}

impl ProgramSource {
    fn new(deployment: &Deployment) -> Self {
        let tools = deployment.tools();
        let templates = ["dispute", "trace", "resumable"].map(|route| Program {
            tools: tools.clone(),
            sub_agents: Some((1, 2, 2)),
            ..deployment.program(route, route)
        });
        let tier = &deployment.tier;
        Self {
            log: tier.log.clone(),
            platform: tier.platform.clone(),
            zones: tier.spec.zones.clone(),
            templates: templates.to_vec(),
        }
    }

    async fn run(&self, number: usize) -> ProgramReport {
        let template = self.templates[number % self.templates.len()].clone();
        let loops = number % LOOPING_PERIOD == LOOPING_PERIOD - 1;
        let budget = if loops { LOOPING_BUDGET } else { template.budget };
        let program = Program { name: format!("program-{number}"), loops, budget, ..template };
        let zone = &self.zones[number % self.zones.len()];
        // Numbers that no other client uses.
        let hash = 1_000_000 + number as u64;
        program.run(&Client::new(self.log.clone(), self.platform.clone(), zone, hash)).await
    }
}
