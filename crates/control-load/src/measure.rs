//! One measurement: a size is started, watched while nothing changes, and watched while the configuration changes.

use crate::{
    configuration::configuration,
    error::MeasureError,
    gatekeepers::{Gatekeepers, HEARTBEATS_A_SECOND, Traffic, heartbeat_bytes},
    metrics::{Load, Metrics},
    usage::Usage,
    workers::Workers,
};
use fleetlab::tier::{
    fleet::{Tier, TierSpec},
    operator::Operator,
    settings_file::Class,
};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// How long the processes, the workers and the gatekeepers may take to be there.
const START_LIMIT: Duration = Duration::from_secs(20);
/// How long a change may take to be acknowledged, and to be everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(14);
/// Time after the start until the use is steady.
const SETTLE: Duration = Duration::from_secs(2);

/// What is measured.
#[derive(Debug, Clone)]
pub struct Size {
    /// Simulated gatekeepers; a real one is added.
    pub gatekeepers: usize,
    /// Simulated workers.
    pub workers: usize,
    /// Routes of the configuration.
    pub routes: usize,
    /// Pause between two heartbeats of a worker.
    pub heartbeat: Duration,
    /// How long it is watched while nothing changes.
    pub steady: Duration,
    /// Changes of the configuration after that.
    pub changes: u64,
    /// Time from one change to the next; a change is also not sent before the last one is everywhere.
    pub change_period: Duration,
}

/// The processes that are measured.
struct Watched(Vec<(String, u32)>);

impl Watched {
    fn usages(&self) -> Result<Vec<Usage>, MeasureError> {
        self.0.iter().map(|(_, process)| Usage::of(*process)).collect()
    }
}

/// What was counted at one moment.
struct Reading {
    at: Instant,
    usages: Vec<Usage>,
    traffic: Traffic,
    heartbeats: u64,
}

impl Reading {
    fn take(watched: &Watched, gatekeepers: &Gatekeepers, workers: &Workers) -> Result<Self, MeasureError> {
        Ok(Self {
            at: Instant::now(),
            usages: watched.usages()?,
            traffic: gatekeepers.traffic(),
            heartbeats: workers.acknowledged(),
        })
    }
}

/// How long changes took.
#[derive(Default)]
struct Changes {
    acknowledged_in: Vec<Duration>,
    everywhere_in: Vec<Duration>,
}

/// Measures one size with a build of the program, inside a `LocalSet`.
///
/// # Errors
/// The processes do not come up, or a change is not taken or not everywhere in time.
pub async fn measure(program: &Path, size: &Size) -> Result<Metrics, MeasureError> {
    let (spec, zones) = spec(size);
    let tier = Tier::start(program, spec)?;
    tier.wait_for_control(START_LIMIT).await?;
    let operator = Operator::new(tier.log.clone(), tier.controls.clone(), 0);
    change(&operator, size, 1).await?;
    let workers = Workers::start(size.workers, &tier.controls, &zones, size.heartbeat);
    let gatekeepers = Gatekeepers::start(size.gatekeepers, &feed_addresses(&tier), &zones);
    await_start(&workers, &gatekeepers).await?;
    let watched = Watched(tier.process_ids());
    sleep(SETTLE).await;
    let begun = Reading::take(&watched, &gatekeepers, &workers)?;
    sleep(size.steady).await;
    let steady = Reading::take(&watched, &gatekeepers, &workers)?;
    let changes = change_repeatedly(&operator, size, &gatekeepers).await?;
    let ended = Reading::take(&watched, &gatekeepers, &workers)?;
    Ok(metrics(size, &watched, [&begun, &steady, &ended], changes, workers.failed()))
}

fn spec(size: &Size) -> (TierSpec, Vec<String>) {
    let spec = TierSpec { edges: 1, cores: 3, storages: 0, heartbeat: size.heartbeat, ..TierSpec::default() };
    let zones = spec.zones.clone();
    (spec, zones)
}

/// Where the control processes serve the change feed.
fn feed_addresses(tier: &Tier) -> Vec<SocketAddr> {
    let port = tier.ports.inner.0 + 1;
    let cores = tier.names().into_iter().filter(|name| tier.class(name).is_ok_and(|c| c == Class::Core));
    cores.filter_map(|name| Some(SocketAddr::from((tier.ip(&name).ok()?, port)))).collect()
}

async fn await_start(workers: &Workers, gatekeepers: &Gatekeepers) -> Result<(), MeasureError> {
    if !workers.all_known(START_LIMIT).await {
        return Err(MeasureError::Late { what: "the first heartbeats of all workers".to_owned() });
    }
    if !gatekeepers.all_have(1, START_LIMIT).await {
        let what = format!("the first configuration: only {} have it", gatekeepers.having(1));
        return Err(MeasureError::Late { what });
    }
    Ok(())
}

/// Has a generation taken that builds on the one before it.
async fn change(operator: &Operator, size: &Size, generation: u64) -> Result<(), MeasureError> {
    let body = Arc::new(configuration(size.routes, generation).body());
    let status = operator.configure(&body, generation - 1, true, CHANGE_LIMIT).await;
    if status == 200 { Ok(()) } else { Err(MeasureError::Refused { generation, status }) }
}

async fn change_repeatedly(
    operator: &Operator,
    size: &Size,
    gatekeepers: &Gatekeepers,
) -> Result<Changes, MeasureError> {
    let mut changes = Changes::default();
    for generation in 2..2 + size.changes {
        let sent = Instant::now();
        let acknowledged = async {
            let taken = change(operator, size, generation).await;
            taken.map(|()| sent.elapsed())
        };
        let everywhere = async {
            let has = gatekeepers.all_have(generation, CHANGE_LIMIT).await;
            has.then(|| sent.elapsed())
        };
        let (acknowledged, everywhere) = tokio::join!(acknowledged, everywhere);
        changes.acknowledged_in.push(acknowledged?);
        let Some(everywhere) = everywhere else {
            return Err(MeasureError::Late { what: format!("configuration {generation} everywhere") });
        };
        changes.everywhere_in.push(everywhere);
        sleep_until(sent + size.change_period).await;
    }
    Ok(changes)
}

fn metrics(
    size: &Size,
    watched: &Watched,
    [begun, steady, ended]: [&Reading; 3],
    changes: Changes,
    heartbeats_failed: u64,
) -> Metrics {
    let seconds = (steady.at - begun.at).as_secs_f64();
    let later_seconds = (ended.at - steady.at).as_secs_f64();
    let (gatekeepers, count) = (size.gatekeepers.max(1) as f64, size.changes.max(1) as f64);
    let bytes = (steady.traffic.bytes - begun.traffic.bytes) as f64;
    let later_bytes = (ended.traffic.bytes - steady.traffic.bytes) as f64;
    let beyond_steady = (later_bytes - bytes / seconds * later_seconds).max(0.0);
    let loads = watched.0.iter().enumerate().map(|(place, (name, _))| {
        let [first, second, third] = [begun, steady, ended].map(|reading| reading.usages[place]);
        let steady_cores = second.processor.saturating_sub(first.processor).as_secs_f64() / seconds;
        let later =
            third.processor.saturating_sub(second.processor).as_secs_f64() - steady_cores * later_seconds;
        Load {
            name: name.clone(),
            steady_cores,
            per_change: Duration::from_secs_f64(later.max(0.0) / count),
            steady_bytes: second.resident_bytes,
            peak_bytes: third.peak_bytes,
        }
    });
    Metrics {
        gatekeepers: size.gatekeepers,
        workers: size.workers,
        configuration_bytes: configuration(size.routes, 1).body().len(),
        heartbeats_a_second: (steady.heartbeats - begun.heartbeats) as f64 / seconds,
        heartbeats_failed,
        frames_a_second: (steady.traffic.frames - begun.traffic.frames) as f64 / seconds / gatekeepers,
        bytes_down_a_second: bytes / seconds / gatekeepers,
        bytes_up_a_second: heartbeat_bytes() as f64 * HEARTBEATS_A_SECOND,
        bytes_a_change: beyond_steady / gatekeepers / count,
        acknowledged_in: changes.acknowledged_in,
        everywhere_in: changes.everywhere_in,
        loads: loads.collect(),
    }
}
