//! A worker's registration with the control processes: heartbeats, draining, and deregistration.

use crate::tier::peer::call;
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Time-out of a heartbeat's acknowledgement.
const ACKNOWLEDGE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum accepted length of an acknowledgement's body, in bytes.
const MAX_ACKNOWLEDGEMENT_BYTES: usize = 4096;
/// Delay between passes over all control processes.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Addresses of the control processes, shared by their clients.
#[derive(Debug, Clone, Default)]
pub struct ControlAddresses(Arc<Mutex<Vec<SocketAddr>>>);

impl ControlAddresses {
    /// Replaces the list.
    pub fn set(&self, addresses: Vec<SocketAddr>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Returns a copy of the current list.
    #[must_use]
    pub fn get(&self) -> Vec<SocketAddr> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Description of a worker that every heartbeat contains.
#[derive(Debug, Clone)]
pub struct WorkerDescription {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub capacity: usize,
    /// Whether heartbeats list models.
    pub is_model: bool,
}

impl WorkerDescription {
    fn body(&self, draining: bool, sequence: u64) -> Value {
        let mut body = json!({
            "backend": self.service, "address": self.address.to_string(), "zone": self.zone,
            "generation": "v1", "capacity": self.capacity,
            "state": if draining { "draining" } else { "ready" },
            "cold_remaining_ms": 0, "sequence": sequence,
        });
        if self.is_model {
            body["phase"] = json!("both");
            body["models"] = json!([{"name": "m", "generation": 1, "adapters": []}]);
        }
        body
    }
}

/// Registration state of one worker.
#[derive(Debug)]
pub struct Registration {
    description: WorkerDescription,
    controls: ControlAddresses,
    sequence: u64,
    /// Address that the last acknowledgement named for further heartbeats, until a call to it fails.
    heartbeat_address: Option<SocketAddr>,
    /// Index of the control address that is tried next, modulo their number.
    next: usize,
}

impl Registration {
    /// Creates the state of a worker that has not sent a heartbeat yet.
    #[must_use]
    pub fn new(description: WorkerDescription, controls: ControlAddresses) -> Self {
        let next = id_hash(&description.id);
        Self { description, controls, sequence: 0, heartbeat_address: None, next }
    }

    /// Sends one heartbeat, to each control process in turn until one acknowledges it. Returns whether one did.
    pub async fn heartbeat(&mut self, draining: bool) -> bool {
        self.sequence += 1;
        let body = self.description.body(draining, self.sequence).to_string();
        self.send("PUT", body.as_bytes()).await
    }

    /// Deregisters the worker. Returns whether that was acknowledged.
    pub async fn remove(&mut self) -> bool {
        self.send("DELETE", b"").await
    }

    /// Repeats a heartbeat until it is acknowledged. Returns whether that was within `limit`.
    pub async fn heartbeat_until(&mut self, draining: bool, limit: Duration) -> bool {
        let repeated = async {
            while !self.heartbeat(draining).await {
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::time::timeout(limit, repeated).await.is_ok()
    }

    async fn send(&mut self, method: &str, body: &[u8]) -> bool {
        let path = format!("/opalrun/instances/{}", self.description.id);
        let controls = self.controls.get();
        let in_turn = (0..controls.len()).map(|i| controls[(self.next + i) % controls.len()]);
        let addresses: Vec<SocketAddr> = self.heartbeat_address.into_iter().chain(in_turn).collect();
        for address in addresses {
            let answer = call(address, method, &path, &[], body, ACKNOWLEDGE_LIMIT).await;
            match answer {
                Ok(answer)
                    if answer.status() / 100 == 2 && answer.body.len() <= MAX_ACKNOWLEDGEMENT_BYTES =>
                {
                    self.heartbeat_address = named_address(&answer.body).or(self.heartbeat_address);
                    return true;
                }
                _ => {
                    self.heartbeat_address = None;
                    self.next = self.next.wrapping_add(1);
                }
            }
        }
        false
    }
}

/// Parses the address for further heartbeats from an acknowledgement, which contains an address or an HTTP URL.
fn named_address(body: &[u8]) -> Option<SocketAddr> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let named = body["heartbeat_url"].as_str()?;
    let bare = named.trim_start_matches("http://");
    bare.split('/').next()?.parse().ok()
}

/// Hashes a worker id, so that workers start with different control processes.
fn id_hash(id: &str) -> usize {
    id.bytes().fold(0, |sum, byte| (sum * 31 + usize::from(byte)) % 1009)
}
