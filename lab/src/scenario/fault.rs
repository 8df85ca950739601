//! Faults that a scenario injects: their kinds, times and targets.

use super::defaults::{all, one, tenth, two};
use serde::{Deserialize, Serialize};

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    // On links, between `gates` and `peers`.
    /// Network partition: nothing passes, and neither end gets an error.
    Cut,
    /// Messages arrive `ms` later, plus a random delay of up to `jitter_ms`.
    Delay,
    /// A share of `share` of the messages is lost; on TCP each loss delays data by a retransmission time-out.
    Lose,
    /// All open connections are reset once.
    Reset,
    /// New connections are refused.
    Refuse,
    /// Open connections never transfer any data again, without an error; new connections work.
    HalfOpen,
    /// The link is limited to `bytes_per_s`.
    Throttle,
    /// A share of `share` of the datagrams arrives twice.
    Duplicate,
    /// A share of `share` of the datagrams arrives after later ones.
    Reorder,
    // On gateways.
    /// Gateways are killed with SIGKILL, and started again after `for_s` if that is set.
    Kill,
    /// Gateways are stopped with SIGSTOP and continued after `for_s`.
    Pause,
    /// Rolling restart: gateways are stopped with SIGTERM and started again, a share of `step` at a time, evenly over
    /// `for_s`.
    Roll,
    /// Gateways get their configuration file written anew and SIGHUP.
    Reload,
    // On clients.
    /// A share of `share` of the clients that wait for an answer from `gates` closes its connections once.
    Leave,
    // On workers.
    /// Workers die, and start again after `for_s` with a warm-up.
    Crash,
    /// Workers are slower by the factor `times`.
    Slow,
    /// A share of `share` of the requests gets an error immediately.
    Errors,
    /// Workers accept requests and never answer them.
    Silent,
    /// A share of `share` of the answers is malformed.
    Spoil,
    /// A share of `share` of the answers is sent in chunks and stops half way: neither the rest nor an end follows.
    Stall,
    /// A share of `share` of the answers is truncated half way by a reset of the connection.
    BreakOff,
    /// Workers are listed as draining, removed after the draining period, and start again after `for_s` with a warm-up.
    Replace,
    // On the shared counter.
    /// The counter refuses connections.
    CounterDown,
    /// The counter loses all counts once.
    CounterEmpty,
    /// A share of `share` of the calls is answered `busy`.
    CounterBusy,
    /// Calls take `times` as long.
    CounterSlow,
    /// A share of `share` of the calls is lost before the addition.
    CounterLoseCalls,
    /// A share of `share` of the answers is lost after the addition.
    CounterLoseAnswers,
    // On discovery.
    /// Agents do not answer.
    DiscoveryDown,
    /// Updates reach the agents `ms` later.
    DiscoveryLate,
    /// Agents answer calls with an error.
    DiscoveryOverbooked,
    /// The agents of `gates` move to another address, announced by a new configuration and SIGHUP; the old address
    /// closes shortly after. They move back after `for_s`.
    DiscoveryMove,
}

/// One fault of a scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub what: FaultKind,
    /// Start, in seconds since the load began.
    pub at_s: f64,
    /// Duration in seconds; `None`: until the end of the run.
    pub for_s: Option<f64>,
    /// Affected gateways: `all`, `2`, `0..3`, `30%` or `zone=NAME`.
    #[serde(default = "all")]
    pub gates: String,
    /// Far end of the affected links: `workers`, `workers:zone=NAME`, `workers:30%`, `workers:0..3`, `counter`,
    /// `discovery`, `front`, `gates` or `gates:0..3` (datagrams) or `all`.
    #[serde(default = "all")]
    pub peers: String,
    /// Affected workers, selected as gateways are.
    #[serde(default = "all")]
    pub workers: String,
    /// Affected direction: `both`, `out` of the gateway or `in`.
    #[serde(default)]
    pub way: Direction,
    /// Additional delay in milliseconds.
    #[serde(default)]
    pub ms: f64,
    /// Greatest random delay on top of `ms`, in milliseconds.
    #[serde(default)]
    pub jitter_ms: f64,
    /// Share of messages, requests, answers, calls or clients that is affected.
    #[serde(default = "one")]
    pub share: f64,
    /// Factor by which workers or the counter are slower.
    #[serde(default = "two")]
    pub times: f64,
    /// Bandwidth of a throttled link.
    #[serde(default)]
    pub bytes_per_s: f64,
    /// Restarts after the fault are spread at random over so many seconds.
    #[serde(default)]
    pub over_s: f64,
    /// Probability that an affected gateway or worker is never started again.
    #[serde(default)]
    pub never: f64,
    /// State of the gateway's data directory after a kill.
    #[serde(default)]
    pub disk: Disk,
    /// Share of the gateways that a rolling restart stops at a time.
    #[serde(default = "tenth")]
    pub step: f64,
}

/// Direction of traffic that a fault on a link affects, seen from the gateway.
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

/// State of a gateway's data directory after a kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    /// All writes are kept.
    #[default]
    Kept,
    /// All files are removed.
    Empty,
    /// The files are as they were 1.5 seconds before the kill: later writes are lost.
    Stale,
    /// The file written last is truncated at a random length.
    Torn,
}
