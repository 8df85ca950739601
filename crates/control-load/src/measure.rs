//! Runs one measurement: starts the processes, measures a steady phase without changes and then a phase of configuration
//! changes.

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

/// Time limit for the start of the processes, the workers and the gatekeepers, each.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time limit for a change to be acknowledged, and for it to reach all gatekeepers.
const CHANGE_LIMIT: Duration = Duration::from_secs(14);
/// Delay between the start and the first reading, so that the load of the start does not count.
const WARM_UP: Duration = Duration::from_secs(2);

/// Parameters of a measurement.
#[derive(Debug, Clone)]
pub struct Size {
    /// Number of simulated gatekeepers, in addition to a real one.
    pub gatekeepers: usize,
    /// Number of simulated workers.
    pub workers: usize,
    /// Number of routes in the configuration.
    pub routes: usize,
    /// Period of worker heartbeats.
    pub heartbeat: Duration,
    /// Duration of the steady phase, without changes.
    pub steady: Duration,
    /// Number of configuration changes after the steady phase.
    pub changes: u64,
    /// Minimum time from one change to the next. A change is sent only after the previous one has reached all gatekeepers.
    pub change_period: Duration,
}

/// Names and ids of the measured processes.
struct MeasuredProcesses(Vec<(String, u32)>);

impl MeasuredProcesses {
    fn usages(&self) -> Result<Vec<Usage>, MeasureError> {
        self.0.iter().map(|(_, process)| Usage::of(*process)).collect()
    }
}

/// Cumulative counters at one point in time.
struct Reading {
    at: Instant,
    /// Resource usage of each measured process.
    usages: Vec<Usage>,
    /// Updates received by the simulated gatekeepers.
    traffic: Traffic,
    /// Number of acknowledged worker heartbeats.
    heartbeats: u64,
}

impl Reading {
    fn take(
        processes: &MeasuredProcesses,
        gatekeepers: &Gatekeepers,
        workers: &Workers,
    ) -> Result<Self, MeasureError> {
        Ok(Self {
            at: Instant::now(),
            usages: processes.usages()?,
            traffic: gatekeepers.traffic(),
            heartbeats: workers.acknowledged(),
        })
    }
}

/// Latencies of the configuration changes.
#[derive(Default)]
struct Changes {
    /// Time from sending each change until its acknowledgement.
    acknowledged_in: Vec<Duration>,
    /// Time from sending each change until all gatekeepers have received it.
    everywhere_in: Vec<Duration>,
}

/// Runs one measurement with the given program. Must be called inside a `LocalSet`.
///
/// # Errors
/// The processes do not become ready, a change is rejected, or it does not reach all gatekeepers in time.
pub async fn measure(program: &Path, size: &Size) -> Result<Metrics, MeasureError> {
    let (spec, zones) = spec(size);
    let tier = Tier::start(program, spec)?;
    tier.wait_for_control(START_LIMIT).await?;
    let operator = Operator::new(tier.log.clone(), tier.controls.clone(), 0);
    change(&operator, size, 1).await?;
    let workers = Workers::start(size.workers, &tier.controls, &zones, size.heartbeat);
    let gatekeepers = Gatekeepers::start(size.gatekeepers, &feed_addresses(&tier), &zones);
    await_start(&workers, &gatekeepers).await?;
    let processes = MeasuredProcesses(tier.process_ids());
    sleep(WARM_UP).await;
    let begun = Reading::take(&processes, &gatekeepers, &workers)?;
    sleep(size.steady).await;
    let steady = Reading::take(&processes, &gatekeepers, &workers)?;
    let changes = change_repeatedly(&operator, size, &gatekeepers).await?;
    let ended = Reading::take(&processes, &gatekeepers, &workers)?;
    Ok(metrics(size, &processes, [&begun, &steady, &ended], changes, workers.failed()))
}

fn spec(size: &Size) -> (TierSpec, Vec<String>) {
    let spec = TierSpec { edges: 1, cores: 3, storages: 0, heartbeat: size.heartbeat, ..TierSpec::default() };
    let zones = spec.zones.clone();
    (spec, zones)
}

/// Returns the addresses on which the control processes serve the change feed.
fn feed_addresses(tier: &Tier) -> Vec<SocketAddr> {
    let port = tier.ports.inner.0 + 1;
    let cores = tier.names().into_iter().filter(|name| tier.class(name).is_ok_and(|c| c == Class::Core));
    cores.filter_map(|name| Some(SocketAddr::from((tier.ip(&name).ok()?, port)))).collect()
}

async fn await_start(workers: &Workers, gatekeepers: &Gatekeepers) -> Result<(), MeasureError> {
    if !workers.wait_until_registered(START_LIMIT).await {
        return Err(MeasureError::TimedOut { condition: "the first heartbeats of all workers".to_owned() });
    }
    if !gatekeepers.wait_for_generation(1, START_LIMIT).await {
        let condition = format!(
            "the first configuration: only {} gatekeepers have received it",
            gatekeepers.count_with_generation(1)
        );
        return Err(MeasureError::TimedOut { condition });
    }
    Ok(())
}

/// Sends a configuration that replaces the previous generation, and waits for its acknowledgement.
async fn change(operator: &Operator, size: &Size, generation: u64) -> Result<(), MeasureError> {
    let body = Arc::new(configuration(size.routes, generation).body());
    let status = operator.configure(&body, generation - 1, true, CHANGE_LIMIT).await;
    if status == 200 { Ok(()) } else { Err(MeasureError::Rejected { generation, status }) }
}

/// Sends the configuration changes one after another and measures their latencies.
async fn change_repeatedly(
    operator: &Operator,
    size: &Size,
    gatekeepers: &Gatekeepers,
) -> Result<Changes, MeasureError> {
    let mut changes = Changes::default();
    for generation in 2..2 + size.changes {
        let sent = Instant::now();
        let acknowledged = async {
            let accepted = change(operator, size, generation).await;
            accepted.map(|()| sent.elapsed())
        };
        let everywhere = async {
            let is_everywhere = gatekeepers.wait_for_generation(generation, CHANGE_LIMIT).await;
            is_everywhere.then(|| sent.elapsed())
        };
        let (acknowledged, everywhere) = tokio::join!(acknowledged, everywhere);
        changes.acknowledged_in.push(acknowledged?);
        let Some(everywhere) = everywhere else {
            return Err(MeasureError::TimedOut {
                condition: format!("configuration {generation} everywhere"),
            });
        };
        changes.everywhere_in.push(everywhere);
        sleep_until(sent + size.change_period).await;
    }
    Ok(changes)
}

/// Computes the metrics from the readings at the start and end of the steady phase and after the changes.
fn metrics(
    size: &Size,
    processes: &MeasuredProcesses,
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
    let loads = processes.0.iter().enumerate().map(|(index, (name, _))| {
        let [first, second, third] = [begun, steady, ended].map(|reading| reading.usages[index]);
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
