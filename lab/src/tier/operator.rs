//! The simulated operator: sends configurations and requests to retire machines to any control process, and reads the
//! configuration back.

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

/// Time-out of a call, after which another control process is tried.
const CALL_LIMIT: Duration = Duration::from_secs(1);
/// Maximum number of redirections that are followed.
const REDIRECTS: usize = 2;
/// Initial and maximum backoff after a call without a definite response.
const MIN_BACKOFF: Duration = Duration::from_millis(30);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// A client of the control API.
#[derive(Debug, Clone)]
pub struct Operator {
    log: Log,
    controls: ControlAddresses,
    next: Arc<AtomicUsize>,
}

impl Operator {
    /// Creates an operator whose first call goes to the address at index `first`.
    #[must_use]
    pub fn new(log: Log, controls: ControlAddresses, first: usize) -> Self {
        Self { log, controls, next: Arc::new(AtomicUsize::new(first)) }
    }

    /// Sends a configuration until there is a definite response. Returns its status, or 0 after `limit`.
    pub async fn configure(&self, body: &Arc<Vec<u8>>, if_match: u64, valid: bool, limit: Duration) -> u16 {
        let generation = serde_json::from_slice::<Value>(body).ok();
        let generation = generation.and_then(|v| v["generation"].as_u64()).unwrap_or(0);
        self.log.record(Observation::ConfigurationSent { generation, body: body.clone(), valid });
        let headers = [("If-Match", if_match.to_string())];
        let answer = self.call_until_answered("PUT", "/opalrun/config", &headers, body, limit).await;
        let status = answer.map_or(0, |a| a.status());
        self.log.record(Observation::ConfigurationAnswered { generation, body: body.clone(), status });
        status
    }

    /// Sends a configuration once and discards the response, as if the acknowledgement were lost.
    pub async fn configure_and_lose_answer(&self, body: &Arc<Vec<u8>>, if_match: u64) {
        let generation = serde_json::from_slice::<Value>(body).ok();
        let generation = generation.and_then(|v| v["generation"].as_u64()).unwrap_or(0);
        self.log.record(Observation::ConfigurationSent { generation, body: body.clone(), valid: true });
        if let Some(address) = self.choose() {
            let headers = [("If-Match", if_match.to_string())];
            // The response is discarded to simulate its loss.
            let _ = call(address, "PUT", "/opalrun/config", &headers, body, CALL_LIMIT).await;
        }
    }

    /// Reads the current configuration; `None`: no success within `limit`.
    pub async fn read(&self, limit: Duration) -> Option<Vec<u8>> {
        let answer = self.call_until_answered("GET", "/opalrun/config", &[], b"", limit).await;
        let body = answer.filter(|a| a.status() == 200).map(|a| a.body);
        self.log.record(Observation::ConfigurationRead { body: body.clone() });
        body
    }

    /// Requests that the data of a storage machine be moved away so that it can be retired. Returns the status, or 0.
    pub async fn retire(&self, node: &str, limit: Duration) -> u16 {
        let body = json!({"deadline_s": limit.as_secs_f64()}).to_string();
        let path = format!("/opalrun/retire/{node}");
        self.call_until_answered("POST", &path, &[], body.as_bytes(), limit).await.map_or(0, |a| a.status())
    }

    /// Returns the state of a retirement: `active` or `completed`.
    pub async fn retire_state(&self, node: &str, limit: Duration) -> Option<String> {
        let answer =
            self.call_until_answered("GET", &format!("/opalrun/retire/{node}"), &[], b"", limit).await?;
        let body: Value = serde_json::from_slice(&answer.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Polls until a retirement is completed. Returns whether that was within `limit`.
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

    /// Sends a request to one control process after another until one gives a definite response.
    async fn call_until_answered(
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
                Some(address) => self.call_following_redirects(address, method, path, headers, body).await,
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

    async fn call_following_redirects(
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
