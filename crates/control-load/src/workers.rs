//! Simulated workers, which send heartbeats but accept no requests.

use crate::configuration::service_name;
use fleetlab::tier::worker::registration::{ControlAddresses, Registration, WorkerDescription};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval_at, timeout},
};

/// Number of concurrent requests that each worker announces.
const CAPACITY: usize = 32;
/// Port that the workers announce; nothing connects to it.
const PORT: u16 = 9000;
/// Number of announced addresses in one /24 network.
const HOSTS: usize = 250;

/// Counts of heartbeats since the start.
#[derive(Debug, Default)]
struct Counts {
    /// Number of acknowledged heartbeats.
    acknowledged: Cell<u64>,
    /// Number of heartbeats that no control process acknowledged.
    failed: Cell<u64>,
    /// Number of workers with at least one acknowledged heartbeat.
    registered: Cell<usize>,
    /// Notified when `registered` changes.
    changed: Notify,
}

/// Simulated workers, which send heartbeats until this is dropped.
pub struct Workers {
    counts: Rc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Starts `count` simulated workers. Must be called inside a `LocalSet`. The first heartbeats are spread over one period.
    #[must_use]
    pub fn start(count: usize, controls: &ControlAddresses, zones: &[String], period: Duration) -> Self {
        let counts = Rc::<Counts>::default();
        let tasks = (0..count).map(|number| {
            let first = period.mul_f64(number as f64 / count as f64);
            let registration = Registration::new(facts(number, zones), controls.clone());
            tokio::task::spawn_local(send_heartbeats(registration, first, period, counts.clone()))
        });
        Self { tasks: tasks.collect(), counts }
    }

    /// Waits until a heartbeat of each worker was acknowledged. Returns whether this happened within `limit`.
    pub async fn wait_until_registered(&self, limit: Duration) -> bool {
        let all = async {
            while self.counts.registered.get() < self.tasks.len() {
                self.counts.changed.notified().await;
            }
        };
        timeout(limit, all).await.is_ok()
    }

    /// Returns the number of heartbeats acknowledged so far.
    #[must_use]
    pub fn acknowledged(&self) -> u64 {
        self.counts.acknowledged.get()
    }

    /// Returns the number of heartbeats so far that no control process acknowledged.
    #[must_use]
    pub fn failed(&self) -> u64 {
        self.counts.failed.get()
    }
}

impl Drop for Workers {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn facts(number: usize, zones: &[String]) -> WorkerDescription {
    let host = format!("10.128.{}.{}:{PORT}", number / HOSTS, 1 + number % HOSTS);
    WorkerDescription {
        id: format!("i-simulated-{number:04}"),
        service: service_name(number),
        address: host.parse().unwrap_or_else(|_| SocketAddr::from(([10, 128, 0, 1], PORT))),
        zone: zones[number % zones.len()].clone(),
        capacity: CAPACITY,
        is_model: true,
    }
}

async fn send_heartbeats(
    mut registration: Registration,
    first: Duration,
    period: Duration,
    counts: Rc<Counts>,
) {
    let mut ticks = interval_at(Instant::now() + first, period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_registered = false;
    loop {
        ticks.tick().await;
        if !registration.heartbeat(false).await {
            counts.failed.set(counts.failed.get() + 1);
            continue;
        }
        counts.acknowledged.set(counts.acknowledged.get() + 1);
        if !is_registered {
            is_registered = true;
            counts.registered.set(counts.registered.get() + 1);
            counts.changed.notify_one();
        }
    }
}
