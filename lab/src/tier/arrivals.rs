//! Programs that come all the time.

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

/// Time between two programs.
const EVERY: Duration = Duration::from_millis(120);
/// One of so many programs goes on without end, until its budget stops it.
const LOOPING: usize = 10;
/// The budget of those.
const LOOPING_BUDGET: u64 = 500;

/// Programs under way.
pub struct Arrivals {
    stop: watch::Sender<bool>,
    task: JoinHandle<Vec<ProgramReport>>,
}

impl Arrivals {
    /// Has programs come from now on.
    #[must_use]
    pub fn start(deployment: &Deployment) -> Self {
        let (stop, mut stopped) = watch::channel(false);
        let source = Arc::new(Source::new(deployment));
        let task = tokio::spawn(async move {
            let mut programs = JoinSet::new();
            for number in 0.. {
                let source = source.clone();
                programs.spawn(async move { source.run(number).await });
                tokio::select! {
                    () = tokio::time::sleep(EVERY) => {}
                    _ = stopped.wait_for(|stopped| *stopped) => break,
                }
            }
            programs.join_all().await
        });
        Self { stop, task }
    }

    /// Has no more come, and waits for those under way.
    pub async fn end(self) -> Vec<ProgramReport> {
        self.stop.send_replace(true);
        self.task.await.unwrap_or_default()
    }
}

/// What programs are made of.
struct Source {
    log: super::observation::Log,
    platform: super::platform::Platform,
    zones: Vec<String>,
    /// One for each route of turns.
    patterns: Vec<Program>,
}

impl Source {
    fn new(deployment: &Deployment) -> Self {
        let tools = deployment.tools();
        let patterns = ["dispute", "trace", "resumable"].map(|route| Program {
            tools: tools.clone(),
            sub_agents: Some((1, 2, 2)),
            ..deployment.program(route, route)
        });
        let tier = &deployment.tier;
        Self {
            log: tier.log.clone(),
            platform: tier.platform.clone(),
            zones: tier.spec.zones.clone(),
            patterns: patterns.to_vec(),
        }
    }

    async fn run(&self, number: usize) -> ProgramReport {
        let pattern = self.patterns[number % self.patterns.len()].clone();
        let loops = number % LOOPING == LOOPING - 1;
        let budget = if loops { LOOPING_BUDGET } else { pattern.budget };
        let program = Program { name: format!("program-{number}"), loops, budget, ..pattern };
        let zone = &self.zones[number % self.zones.len()];
        // Numbers that are no other client's.
        let hash = 1_000_000 + number as u64;
        program.run(&Client::new(self.log.clone(), self.platform.clone(), zone, hash)).await
    }
}
