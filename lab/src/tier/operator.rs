//! The operator: sends configurations and orders to any process that serves control, and reads back.

use super::{
    observation::{Log, Observation},
    peer::call,
    worker::registration::ControlAddresses,
};
use crate::http::Message;
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// A process that is silent for longer is left for another one.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Times that a redirection is followed.
const REDIRECTS: usize = 2;
/// The first pause after a round without an answer, and the longest.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// An operator.
#[derive(Debug, Clone)]
pub struct Operator {
    log: Log,
    controls: ControlAddresses,
    next: Arc<AtomicUsize>,
}

impl Operator {
    /// An operator that begins with a certain process of the list.
    #[must_use]
    pub fn new(log: Log, controls: ControlAddresses, first: usize) -> Self {
        Self { log, controls, next: Arc::new(AtomicUsize::new(first)) }
    }

    /// Sends a configuration until there is a clear answer; its status, or 0 when the time is over.
    pub async fn configure(&self, body: &Arc<Vec<u8>>, if_match: u64, valid: bool, limit: Duration) -> u16 {
        let generation = serde_json::from_slice::<Value>(body).ok();
        let generation = generation.and_then(|v| v["generation"].as_u64()).unwrap_or(0);
        self.log.record(Observation::ConfigurationSent { generation, body: body.clone(), valid });
        let headers = [("If-Match", if_match.to_string())];
        let answer = self.order("PUT", "/opalrun/config", &headers, body, limit).await;
        let status = answer.map_or(0, |a| a.status());
        self.log.record(Observation::ConfigurationAnswered { generation, body: body.clone(), status });
        status
    }

    /// Sends a configuration once and does not wait for the answer: its acknowledgement is lost on the way.
    pub async fn configure_and_lose_answer(&self, body: &Arc<Vec<u8>>, if_match: u64) {
        let generation = serde_json::from_slice::<Value>(body).ok();
        let generation = generation.and_then(|v| v["generation"].as_u64()).unwrap_or(0);
        self.log.record(Observation::ConfigurationSent { generation, body: body.clone(), valid: true });
        if let Some(address) = self.choose() {
            let headers = [("If-Match", if_match.to_string())];
            // Whatever comes back is what gets lost.
            let _ = call(address, "PUT", "/opalrun/config", &headers, body, CALL_LIMIT).await;
        }
    }

    /// Reads the newest configuration back.
    pub async fn read(&self, limit: Duration) -> Option<Vec<u8>> {
        let answer = self.order("GET", "/opalrun/config", &[], b"", limit).await;
        let body = answer.filter(|a| a.status() == 200).map(|a| a.body);
        self.log.record(Observation::ConfigurationRead { body: body.clone() });
        body
    }

    /// Asks that a storage machine be emptied; the status.
    pub async fn retire(&self, node: &str, limit: Duration) -> u16 {
        let body = json!({"deadline_s": limit.as_secs_f64()}).to_string();
        let path = format!("/opalrun/retire/{node}");
        self.order("POST", &path, &[], body.as_bytes(), limit).await.map_or(0, |a| a.status())
    }

    /// What has become of that: `active` or `completed`.
    pub async fn retire_state(&self, node: &str, limit: Duration) -> Option<String> {
        let answer = self.order("GET", &format!("/opalrun/retire/{node}"), &[], b"", limit).await?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Asks until the machine is empty; whether it is in time.
    pub async fn wait_until_retired(&self, node: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.retire_state(node, limit).await.as_deref() == Some("completed") {
                return true;
            }
            tokio::time::sleep(MIN_BACKOFF).await;
        }
        false
    }

    fn choose(&self) -> Option<SocketAddr> {
        let controls = self.controls.get();
        let at = self.next.load(Ordering::Relaxed).checked_rem(controls.len())?;
        Some(controls[at])
    }

    /// Sends an order to one process after the other until one answers it clearly.
    async fn order(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
    ) -> Option<Message> {
        let until = Instant::now() + limit;
        let mut backoff = MIN_BACKOFF;
        while Instant::now() < until {
            let answer = match self.choose() {
                Some(address) => self.follow(address, method, path, headers, body).await,
                None => None,
            };
            if let Some(answer) = answer
                && !matches!(answer.status(), 0 | 307 | 408 | 429 | 500..)
            {
                return Some(answer);
            }
            self.next.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        None
    }

    async fn follow(
        &self,
        first: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> Option<Message> {
        let (mut address, mut path) = (first, path.to_owned());
        for _ in 0..=REDIRECTS {
            let answer = call(address, method, &path, headers, body, CALL_LIMIT).await.ok()?;
            if answer.status() != 307 {
                return Some(answer);
            }
            let location = answer.header("location")?.strip_prefix("http://")?;
            let (host, rest) = location.split_once('/')?;
            (address, path) = (host.parse().ok()?, format!("/{rest}"));
        }
        None
    }
}
