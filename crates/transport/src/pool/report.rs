//! What is told of the pools, as JSON.

use super::state::{CloseReason, View};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr};

/// Pools that are told of at most.
const MOST_POOLS: usize = 512;
/// Characters of a worker's id at most.
const LONGEST_ID: usize = 128;

/// The report: `open` connections in all, and the pools, those with most connections first.
pub fn json(open: usize, views: &[View]) -> String {
    let workers: Vec<PoolReport> = views.iter().take(MOST_POOLS).map(PoolReport::from).collect();
    let report = Report { open, omitted: views.len() - workers.len(), workers };
    serde_json::to_string(&report).unwrap_or_default()
}

#[derive(Serialize)]
struct Report {
    open: usize,
    workers: Vec<PoolReport>,
    /// Pools that are left out, those with the fewest connections.
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
    fn from(v: &View) -> Self {
        let closed = CloseReason::ALL.iter().zip(v.counts.closed).filter(|(_, n)| *n > 0);
        Self {
            id: v.worker.chars().take(LONGEST_ID).collect(),
            addr: v.addr,
            wanted: v.wanted,
            suspect: v.suspect,
            idle: v.idle,
            in_use: v.in_use,
            connecting: v.connecting,
            waiting: v.waiting,
            bound: v.bound,
            opened: v.counts.opened,
            reused: v.counts.reused,
            refused: v.counts.refused,
            timed_out: v.counts.timed_out,
            stale: v.counts.stale,
            closed: closed.map(|((_, name), n)| (*name, n)).collect(),
        }
    }
}
