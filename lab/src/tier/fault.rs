//! Faults and operations that are injected into a tier; each ends when everything runs again.

use super::{
    deployment::{Deployment, START_LIMIT},
    fleet::TierError,
    settings_file::Class,
    worker::Fault,
};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use std::{sync::Arc, time::Duration};

/// Downtime of a machine that the standard sequence kills.
const STANDARD_DOWNTIME: Duration = Duration::from_millis(800);
/// Range of random downtimes, in milliseconds.
const RANDOM_DOWNTIME_MS: (u64, u64) = (50, 6000);
/// How long a restarted machine with a disk counts as lost while it catches up; no other may be lost meanwhile.
const CATCH_UP: Duration = Duration::from_millis(4400);
/// Time-out of a request of the operator or of a worker's departure.
pub const OPERATION_TIMEOUT: Duration = Duration::from_secs(6);
/// Log message of the owner of the configuration when it proposes a command.
const OWNER_LOG: &str = "proposing a command as the owner of shard 0";
/// Worker faults from which one is drawn at random.
const WORKER_FAULTS: [Fault; 6] = [
    Fault::LoseAnswer,
    Fault::ResetMidAnswer,
    Fault::SecondAnswer,
    Fault::Garbage,
    Fault::Silence,
    Fault::Failure,
];

/// A fault of the tier, or an operation on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TierFault {
    /// The owner of the configuration is killed and restarted.
    KillOwner,
    /// A machine is killed and restarted after a downtime.
    Kill(String, Duration),
    /// A machine's processes are suspended and resumed after a downtime.
    Pause(String, Duration),
    /// A machine is killed, loses its data and is restarted.
    Wipe(String),
    /// A machine is stopped with SIGTERM and started again.
    Stop(String),
    /// A machine reloads its settings.
    Reload(String),
    /// A machine is removed, and an empty one is added at another address.
    Replace(String),
    /// All machines lose power and restart.
    LosePower,
    ChangeConfiguration,
    InvalidConfiguration,
    /// The acknowledgement of a configuration change is lost, and the change is sent again.
    LoseAcknowledgement,
    /// A worker leaves as planned and another one starts.
    WorkerLeaves,
    /// A worker crashes and another one starts.
    WorkerCrashes,
    /// The next response of every worker has a fault.
    WorkersFail(Fault),
}

/// Faults to inject, one after another.
pub enum FaultSequence {
    /// A fixed list.
    Standard(std::vec::IntoIter<TierFault>),
    /// Random faults without end.
    Random(Box<ChaCha8Rng>),
}

impl FaultSequence {
    /// Returns the fixed sequence of a run without a seed.
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

    /// Returns the random sequence of a seed.
    #[must_use]
    pub fn random(seed: u64) -> Self {
        Self::Random(Box::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// Returns the next fault for the tier in its current state.
    pub fn next(&mut self, deployment: &Deployment) -> Option<TierFault> {
        match self {
            Self::Standard(faults) => faults.next(),
            Self::Random(rng) => Some(random_fault(rng, deployment)),
        }
    }
}

impl TierFault {
    /// Whether the fault makes a machine with a disk temporarily unavailable.
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

    /// Injects the fault, and returns once everything that it stopped runs again and has caught up.
    ///
    /// # Errors
    /// A machine did not recover in time.
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
                deployment.configure(routes, OPERATION_TIMEOUT).await;
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
            tokio::spawn(async move { worker.leave(OPERATION_TIMEOUT).await });
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
    deployment.operator.configure(&Arc::new(change.body()), current, false, OPERATION_TIMEOUT).await;
}

async fn lose_acknowledgement(deployment: &mut Deployment) {
    let current = deployment.configuration.generation;
    let change = deployment.configuration.at(current + 2);
    let body = Arc::new(change.body());
    deployment.operator.configure_and_lose_answer(&body, current).await;
    if deployment.operator.configure(&body, current, true, OPERATION_TIMEOUT).await == 200 {
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
