//! Faults: what goes wrong, when, and where.

use super::defaults::{all, one, one_tenth, two};
use serde::{Deserialize, Serialize};

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    // On links, between `gates` and `peers`.
    /// Nothing passes, nothing is said.
    Cut,
    /// `ms` later, and up to `jitter_ms` more.
    Delay,
    /// `share` of the messages is lost: on TCP that is a time-out of its retransmission.
    Lose,
    /// Connections are reset, once.
    Reset,
    /// New connections are refused.
    Refuse,
    /// The connections there are fall silent for good; new ones work.
    HalfOpen,
    /// `bytes_per_s` at most.
    Throttle,
    /// `share` of the datagrams come twice.
    Duplicate,
    /// `share` of the datagrams come after later ones.
    Reorder,
    // On gateways.
    /// Killed at once; back after `for_s`, where that is given.
    Kill,
    /// Stopped, and continued after `for_s`.
    Pause,
    /// Stopped with SIGTERM and started again, `step` of them at a time, evenly over `for_s`.
    Roll,
    /// A new configuration and SIGHUP.
    Reload,
    // On clients.
    /// `share` of those that wait for an answer of `gates` close their connections, once.
    Leave,
    // On workers.
    /// Dead, and back and cold after `for_s`.
    Crash,
    /// `times` slower.
    Slow,
    /// `share` of the requests get an error at once.
    Errors,
    /// Requests are taken and never answered.
    Silent,
    /// `share` of the answers can't be read.
    Spoil,
    /// `share` of the answers, then in chunks, stop half way: neither the rest comes nor an end.
    Stall,
    /// `share` of the answers break off half way: the connection is reset.
    BreakOff,
    /// Listed as draining, gone after the time to finish, and back and cold after `for_s`.
    Replace,
    // On the counter.
    /// Refuses connections.
    CounterDown,
    /// Forgets all counts, once.
    CounterEmpty,
    /// `share` of the calls get `busy`.
    CounterBusy,
    /// `times` slower.
    CounterSlow,
    /// `share` of the calls are lost before anything is added.
    CounterLoseCalls,
    /// `share` of the answers are lost, after the addition.
    CounterLoseAnswers,
    // On discovery.
    DiscoveryDown,
    /// News come `s` later.
    DiscoveryLate,
    /// Calls get an error.
    DiscoveryOverbooked,
    /// The agents of `gates` are at another address, told by a new configuration and SIGHUP; the old one closes soon
    /// after. Back after `for_s`.
    DiscoveryMove,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub what: FaultKind,
    pub at_s: f64,
    /// Until the end where it is missing.
    pub for_s: Option<f64>,
    /// Which gateways: `all`, `2`, `0..3`, `30%` or `zone=NAME`.
    #[serde(default = "all")]
    pub gates: String,
    /// The other end of the links: `workers`, `workers:zone=NAME`, `workers:30%`, `workers:0..3`, `counter`,
    /// `discovery`, `front`, `gates` or `gates:0..3` (datagrams) or `all`.
    #[serde(default = "all")]
    pub peers: String,
    /// Which workers, as for gateways.
    #[serde(default = "all")]
    pub workers: String,
    /// Which way: `both`, `out` of the gateway or `in`.
    #[serde(default)]
    pub way: Direction,
    #[serde(default)]
    pub ms: f64,
    #[serde(default)]
    pub jitter_ms: f64,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default = "two")]
    pub times: f64,
    #[serde(default)]
    pub bytes_per_s: f64,
    /// Starts are spread over so long.
    #[serde(default)]
    pub over_s: f64,
    /// Share of those struck that never comes back.
    #[serde(default)]
    pub never: f64,
    /// What becomes of the gateway's folder.
    #[serde(default)]
    pub disk: Disk,
    #[serde(default = "one_tenth")]
    pub step: f64,
}

/// The direction of traffic that a fault on a link strikes, seen from the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Direction {
    /// Both directions.
    #[default]
    Both,
    /// From the gateway.
    Out,
    /// To the gateway.
    In,
}

/// What a gateway finds in its folder after a kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    /// What it wrote.
    #[default]
    Kept,
    /// Nothing.
    Empty,
    /// What was there some seconds before: the last writes are lost.
    Stale,
    /// The file written last ends in the middle.
    Torn,
}
