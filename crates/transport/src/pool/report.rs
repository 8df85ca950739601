//! The state of the pools as JSON, for the administration interface.

use super::state::{CloseReason, View};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// Maximum number of pools in a report.
const MAX_REPORTED_POOLS: usize = 512;
/// Characters after which a worker's identifier is cut off in a report.
const MAX_ID_CHARS: usize = 128;

/// Formats the report: the total number of open connections, and the first pools of `views`, which are ordered by their
/// number of connections.
pub fn json(open: usize, views: &[View]) -> String {
    let workers: Vec<PoolReport> = views.iter().take(MAX_REPORTED_POOLS).map(PoolReport::from).collect();
    let report = Report { open, omitted: views.len() - workers.len(), workers };
    serde_json::to_string(&report).unwrap_or_default()
}

#[derive(Serialize)]
struct Report {
    open: usize,
    workers: Vec<PoolReport>,
    /// Number of pools that exceed [`MAX_REPORTED_POOLS`], those with the fewest connections.
    omitted: usize,
}

#[derive(Serialize)]
struct PoolReport {
    id: String,
    addr: SocketAddr,
    wanted: bool,
    suspect: bool,
    idle: usize,
    in_use: u32,
    connecting: u32,
    waiting: usize,
    bound: Option<f64>,
    opened: u64,
    reused: u64,
    refused: u64,
    timed_out: u64,
    stale: u64,
    closed: BTreeMap<&'static str, u64>,
}

impl From<&View> for PoolReport {
    fn from(view: &View) -> Self {
        let closed = CloseReason::ALL.iter().zip(view.counts.closed).filter(|(_, count)| *count > 0);
        Self {
            id: view.worker.chars().take(MAX_ID_CHARS).collect(),
            addr: view.addr,
            wanted: view.wanted,
            suspect: view.suspect,
            idle: view.idle,
            in_use: view.in_use,
            connecting: view.connecting,
            waiting: view.waiting,
            bound: view.bound,
            opened: view.counts.opened,
            reused: view.counts.reused,
            refused: view.counts.refused,
            timed_out: view.counts.timed_out,
            stale: view.counts.stale,
            closed: closed.map(|((_, name), count)| (*name, count)).collect(),
        }
    }
}
