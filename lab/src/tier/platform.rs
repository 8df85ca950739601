//! The simulated platform: selects the gatekeeper for each new connection by readiness.

use super::peer::call;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::task::JoinHandle;

/// Consecutive failed readiness checks after which a gatekeeper still counts as ready.
const MISSES_ALLOWED: u32 = 1;

/// A gatekeeper registered with the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub machine: String,
    pub zone: String,
    pub frontend: SocketAddr,
    pub readiness: SocketAddr,
}

#[derive(Debug)]
struct Watched {
    entry: Entry,
    ready: bool,
    misses: u32,
}

/// The platform's list of gatekeepers.
#[derive(Debug, Clone, Default)]
pub struct Platform(Arc<Mutex<Vec<Watched>>>);

impl Platform {
    /// Creates a platform without gatekeepers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a gatekeeper, which is not ready until its first successful readiness check.
    pub fn add(&self, entry: Entry) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.retain(|w| w.entry.machine != entry.machine);
        all.push(Watched { entry, ready: false, misses: 0 });
    }

    /// Removes a gatekeeper.
    pub fn remove(&self, machine: &str) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).retain(|w| w.entry.machine != machine);
    }

    /// Checks the readiness of all gatekeepers once.
    pub async fn check(&self, limit: Duration) {
        let entries = self.entries();
        let checks = entries.into_iter().map(|entry| {
            tokio::spawn(async move {
                let answer = call(entry.readiness, "GET", "/opalrun/readyz", &[], b"", limit).await;
                (entry.machine, answer.is_ok_and(|a| a.status() == 200))
            })
        });
        let checks: Vec<JoinHandle<(String, bool)>> = checks.collect();
        for check in checks {
            if let Ok((machine, ready)) = check.await {
                self.checked(&machine, ready);
            }
        }
    }

    /// Spawns a task that checks readiness at an interval until it is aborted.
    #[must_use]
    pub fn watch(&self, every: Duration) -> JoinHandle<()> {
        let platform = self.clone();
        tokio::spawn(async move {
            loop {
                platform.check(every).await;
                tokio::time::sleep(every).await;
            }
        })
    }

    fn checked(&self, machine: &str, ready: bool) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(watched) = all.iter_mut().find(|w| w.entry.machine == machine) else { return };
        watched.misses = if ready { 0 } else { watched.misses + 1 };
        watched.ready = ready || (watched.ready && watched.misses <= MISSES_ALLOWED);
    }

    fn entries(&self) -> Vec<Entry> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().map(|w| w.entry.clone()).collect()
    }

    /// Returns the machines of ready gatekeepers.
    #[must_use]
    pub fn ready(&self) -> Vec<String> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().filter(|w| w.ready).map(|w| w.entry.machine.clone()).collect()
    }

    /// Selects the gatekeeper for a new connection from a zone by a hash of the client. If less than half of the zone's
    /// gatekeepers are ready, all of them are used; if none is ready, the ready ones of other zones.
    #[must_use]
    pub fn choose(&self, zone: &str, hash: u64) -> Option<Entry> {
        let all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let of_zone: Vec<&Watched> = all.iter().filter(|w| w.entry.zone == zone).collect();
        let ready: Vec<&Watched> = of_zone.iter().copied().filter(|w| w.ready).collect();
        let elsewhere: Vec<&Watched> = all.iter().filter(|w| w.ready).collect();
        let used = if ready.is_empty() && !elsewhere.is_empty() {
            elsewhere
        } else if ready.len() * 2 < of_zone.len() {
            of_zone
        } else {
            ready
        };
        let at = usize::try_from(hash).unwrap_or_default().checked_rem(used.len())?;
        Some(used[at].entry.clone())
    }
}
