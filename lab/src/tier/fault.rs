//! What befalls the tier during a day, each from its beginning to when everything runs again.

use super::{
    deployment::{Deployment, START_LIMIT},
    fleet::TierError,
    settings_file::Class,
    worker::Fault,
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use std::{sync::Arc, time::Duration};

/// How long what is killed on the usual day stays down.
const STANDARD_DOWNTIME: Duration = Duration::from_millis(800);
/// Bounds of what is drawn for it, in milliseconds.
const RANDOM_DOWNTIME_MS: (u64, u64) = (50, 6000);
/// How long a machine with a disk counts as lost after it is back: no other may be lost meanwhile.
const CATCH_UP: Duration = Duration::from_millis(4400);
/// How long an order may take.
pub const ORDER_LIMIT: Duration = Duration::from_secs(6);
/// What the owner of the configuration logs once it has decided something.
const OWNER_LOG: &str = "proposing a command as the owner of shard 0";
/// Faults of workers, of which one is drawn.
const WORKER_FAULTS: [Fault; 6] = [
    Fault::LoseAnswer,
    Fault::ResetMidAnswer,
    Fault::SecondAnswer,
    Fault::Garbage,
    Fault::Silence,
    Fault::Failure,
];

/// Something that befalls the tier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TierFault {
    /// The owner of the configuration is killed and comes back.
    KillOwner,
    /// A machine is killed and comes back after a time.
    Kill(String, Duration),
    /// A machine freezes and wakes after a time.
    Pause(String, Duration),
    /// A machine loses its disk and comes back empty.
    Wipe(String),
    /// A machine is stopped by SIGTERM and started again.
    Stop(String),
    /// A machine is told that its settings have changed.
    Reload(String),
    /// A machine is taken away and an empty one comes at another address.
    Replace(String),
    /// All machines lose power and come back.
    LosePower,
    ChangeConfiguration,
    InvalidConfiguration,
    /// The acknowledgement of a change is lost, and the change sent again.
    LoseAcknowledgement,
    /// A worker leaves and another one comes.
    WorkerLeaves,
    /// A worker crashes and another one comes.
    WorkerCrashes,
    /// The next answers of all workers go wrong.
    WorkersFail(Fault),
}

/// What befalls the tier, one after the other.
pub enum FaultSequence {
    /// As listed.
    Standard(std::vec::IntoIter<TierFault>),
    /// Drawn, without end.
    Random(Box<ChaCha8Rng>),
}

impl FaultSequence {
    /// Those of the usual day.
    #[must_use]
    pub fn standard() -> Self {
        let (killed, stopped) = ("edge-1".to_owned(), "edge-2".to_owned());
        let faults = vec![
            TierFault::KillOwner,
            TierFault::ChangeConfiguration,
            TierFault::Kill(killed, STANDARD_DOWNTIME),
            TierFault::WorkerLeaves,
            TierFault::Stop(stopped),
        ];
        Self::Standard(faults.into_iter())
    }

    /// Those that a seed gives.
    #[must_use]
    pub fn random(seed: u64) -> Self {
        Self::Random(Box::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// The next one, for the tier as it is now.
    pub fn next(&mut self, deployment: &Deployment) -> Option<TierFault> {
        match self {
            Self::Standard(faults) => faults.next(),
            Self::Random(rng) => Some(random_fault(rng, deployment)),
        }
    }
}

impl TierFault {
    /// Whether a machine with a disk is lost for a while.
    fn affects_disk(&self) -> bool {
        match self {
            Self::KillOwner | Self::LosePower => true,
            Self::Kill(name, _)
            | Self::Pause(name, _)
            | Self::Wipe(name)
            | Self::Stop(name)
            | Self::Replace(name) => !name.starts_with(Class::Edge.name()),
            _ => false,
        }
    }

    /// FaultSequence, and ends once all that was taken runs again and has caught up.
    ///
    /// # Errors
    /// Something did not come back in time.
    pub async fn inject(&self, deployment: &mut Deployment) -> Result<(), TierError> {
        self.inject_and_recover(deployment).await?;
        if self.affects_disk() {
            deployment.tier.wait_for_control(START_LIMIT).await?;
            tokio::time::sleep(CATCH_UP).await;
        }
        Ok(())
    }

    async fn inject_and_recover(&self, deployment: &mut Deployment) -> Result<(), TierError> {
        let tier = &mut deployment.tier;
        match self {
            Self::KillOwner => {
                let owner = tier.machine_that_logged(OWNER_LOG).unwrap_or_else(|| "core-1".to_owned());
                kill(deployment, &owner, STANDARD_DOWNTIME).await
            }
            Self::Kill(name, downtime) => kill(deployment, name, *downtime).await,
            Self::Pause(name, downtime) => {
                tier.pause(name)?;
                tokio::time::sleep(*downtime).await;
                tier.resume(name)
            }
            Self::Wipe(name) => {
                tier.wipe(name).await?;
                tier.start_machine(name)
            }
            Self::Stop(name) => {
                tier.terminate(name).await?;
                tier.start_machine(name)
            }
            Self::Reload(name) => tier.reload(name),
            Self::Replace(name) => replace(deployment, name).await,
            Self::LosePower => tier.lose_power().await,
            Self::ChangeConfiguration => {
                let routes = deployment.configuration.routes.clone();
                deployment.configure(routes, ORDER_LIMIT).await;
                Ok(())
            }
            Self::InvalidConfiguration => {
                invalid_configuration(deployment).await;
                Ok(())
            }
            Self::LoseAcknowledgement => {
                lose_acknowledgement(deployment).await;
                Ok(())
            }
            Self::WorkerLeaves | Self::WorkerCrashes => self.replace_worker(deployment),
            Self::WorkersFail(fault) => {
                deployment.workers.iter().for_each(|w| w.inject_fault(*fault));
                Ok(())
            }
        }
    }

    fn replace_worker(&self, deployment: &mut Deployment) -> Result<(), TierError> {
        if deployment.workers.is_empty() {
            return Ok(());
        }
        let worker = deployment.workers.remove(0);
        deployment.add_worker(&worker.spec.service)?;
        if *self == Self::WorkerLeaves {
            tokio::spawn(async move { worker.leave(ORDER_LIMIT).await });
        } else {
            worker.crash();
        }
        Ok(())
    }
}

async fn kill(deployment: &mut Deployment, name: &str, downtime: Duration) -> Result<(), TierError> {
    deployment.tier.kill(name).await?;
    tokio::time::sleep(downtime).await;
    deployment.tier.start_machine(name)
}

async fn replace(deployment: &mut Deployment, name: &str) -> Result<(), TierError> {
    let tier = &mut deployment.tier;
    let class = tier.class(name)?;
    tier.remove(name).await?;
    let zone = tier.spec.zones[0].clone();
    tier.add(&format!("{name}+"), class, &zone)
}

async fn invalid_configuration(deployment: &Deployment) {
    let current = deployment.configuration.generation;
    let mut change = deployment.configuration.at(current + 1);
    if let Some(route) = change.routes.first_mut() {
        route.timeout = Duration::ZERO;
    }
    deployment.operator.configure(&Arc::new(change.body()), current, false, ORDER_LIMIT).await;
}

async fn lose_acknowledgement(deployment: &mut Deployment) {
    let current = deployment.configuration.generation;
    let change = deployment.configuration.at(current + 2);
    let body = Arc::new(change.body());
    deployment.operator.configure_and_lose_answer(&body, current).await;
    if deployment.operator.configure(&body, current, true, ORDER_LIMIT).await == 200 {
        deployment.configuration = change;
    }
}

fn random_fault(rng: &mut ChaCha8Rng, deployment: &Deployment) -> TierFault {
    let names = deployment.tier.names();
    let any = names.choose(rng).cloned().unwrap_or_default();
    let is_edge = any.starts_with(Class::Edge.name());
    let (min, max) = RANDOM_DOWNTIME_MS;
    let downtime = Duration::from_millis(rng.random_range(min..max));
    match rng.random_range(0..14) {
        0 | 1 => TierFault::Kill(any, downtime),
        2 | 3 => TierFault::Pause(any, downtime),
        4 if !is_edge => TierFault::Wipe(any),
        4 | 5 => TierFault::Stop(any),
        6 => TierFault::Reload(any),
        7 => TierFault::Replace(any),
        8 => TierFault::LosePower,
        9 => TierFault::ChangeConfiguration,
        10 => TierFault::LoseAcknowledgement,
        11 => TierFault::InvalidConfiguration,
        12 if rng.random() => TierFault::WorkerLeaves,
        12 => TierFault::WorkerCrashes,
        _ => TierFault::WorkersFail(WORKER_FAULTS.choose(rng).copied().unwrap_or(Fault::Failure)),
    }
}
