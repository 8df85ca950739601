//! Simulated workers: they send heartbeats and take no requests.

use crate::configuration::service_name;
use fleetlab::tier::worker::registration::{ControlAddresses, Registration, WorkerDescription};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::Notify,
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval_at, timeout},
};

/// Requests that a worker takes at a time.
const CAPACITY: usize = 32;
/// The port that they name; nobody calls them there.
const PORT: u16 = 9000;
/// Addresses in one network of those that they name.
const HOSTS: usize = 250;

/// What became of heartbeats so far.
#[derive(Debug, Default)]
struct Counts {
    acknowledged: Cell<u64>,
    failed: Cell<u64>,
    known: Cell<usize>,
    changed: Notify,
}

/// Simulated workers, which send heartbeats until this is dropped.
pub struct Workers {
    counts: Rc<Counts>,
    tasks: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Starts so many, inside a `LocalSet`. Their first heartbeats are spread over one period.
    #[must_use]
    pub fn start(count: usize, controls: &ControlAddresses, zones: &[String], period: Duration) -> Self {
        let counts = Rc::<Counts>::default();
        let tasks = (0..count).map(|number| {
            let first = period.mul_f64(number as f64 / count as f64);
            let registration = Registration::new(facts(number, zones), controls.clone());
            tokio::task::spawn_local(beat(registration, first, period, counts.clone()))
        });
        Self { tasks: tasks.collect(), counts }
    }

    /// Waits until each was acknowledged once; whether all were in time.
    pub async fn all_known(&self, limit: Duration) -> bool {
        let all = async {
            while self.counts.known.get() < self.tasks.len() {
                self.counts.changed.notified().await;
            }
        };
        timeout(limit, all).await.is_ok()
    }

    /// Heartbeats acknowledged so far.
    #[must_use]
    pub fn acknowledged(&self) -> u64 {
        self.counts.acknowledged.get()
    }

    /// Heartbeats that no control process acknowledged.
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

async fn beat(mut registration: Registration, first: Duration, period: Duration, counts: Rc<Counts>) {
    let mut ticks = interval_at(Instant::now() + first, period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut is_known = false;
    loop {
        ticks.tick().await;
        if !registration.heartbeat(false).await {
            counts.failed.set(counts.failed.get() + 1);
            continue;
        }
        counts.acknowledged.set(counts.acknowledged.get() + 1);
        if !is_known {
            is_known = true;
            counts.known.set(counts.known.get() + 1);
            counts.changed.notify_one();
        }
    }
}
