//! The settings file of a process, which the platform writes: parsed, validated and typed.
//!
//! Field names follow the keys of the operators' pages; a unit in a key (`_ms`, `_s`, `_mb`) is a type here where it can
//! be. Unknown keys are ignored. All values that are missing or wrong are reported at once, each with its key, its value
//! and what is wanted.
#![forbid(unsafe_code)]

mod consistency;
mod error;
mod fields;
mod parse;

pub use error::{Problem, SettingsError};

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// The environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "OPALRUN_CONFIG";

/// The settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The file that they were read from; empty for settings that were made in memory.
    pub path: PathBuf,
    /// The machine's name.
    pub node_name: String,
    /// The role of the process, as the deploy file names it.
    pub role: String,
    /// The class of the machine: `edge`, `core` or `storage`.
    pub machine_class: String,
    /// Who calls the role from outside the tier.
    pub serves: Vec<String>,
    /// The machine's address.
    pub ip: IpAddr,
    /// The machine's zone.
    pub zone: String,
    /// The machine's region.
    pub region: String,
    /// Ports for calls between the processes of the tier, the same on every machine: `port_range`.
    pub ports: PortRange,
    /// Addresses of some control processes, as of the time when the file was written.
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Whether the machine counts towards `fault_tolerance`.
    pub counts_for_quorum: bool,
    /// The directory for data; `None` on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// The approximate period of the heartbeats of workers: `heartbeat_ms`.
    pub heartbeat: Duration,
    /// The names of the guarantees that are in force.
    pub guarantees: Vec<String>,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
    /// Addresses that the role listens on.
    pub listen: Listen,
    /// The loopback address on which metrics are served to scrapers: `figures.listen`. `None` turns them off.
    pub metrics: Option<SocketAddr>,
    /// The resources of the process.
    pub limits: Limits,
    /// What may fail at one time.
    pub fault_tolerance: FaultTolerance,
    /// Bounds that the operators' rules set.
    pub bounds: Bounds,
}

/// The ports for the tier's own protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl PortRange {
    /// The port on which control processes and stores serve calls of other processes.
    #[must_use]
    pub fn peer(self) -> u16 {
        self.first
    }

    /// The port on which control processes and agents serve the change feed.
    #[must_use]
    pub fn feed(self) -> u16 {
        self.first + 1
    }
}

/// Addresses that a role listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listen {
    /// For clients.
    pub frontend: Option<SocketAddr>,
    /// For the platform's readiness probe of a gatekeeper.
    pub readiness: Option<SocketAddr>,
    /// For workers and the operator.
    pub control_plane: Option<SocketAddr>,
}

/// The resources that a machine gives to the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// The share of a core's time that it may use.
    pub cpu_quota: f64,
    /// The speed of a core: a factor.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// File descriptors.
    pub max_fds: u64,
    /// Bandwidth of the machine's link, in megabits a second.
    pub bandwidth_mbps: f64,
    /// Disk, in megabytes; 0 where there is none.
    pub disk_mb: f64,
}

/// What may fail at one time while all rules are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of machines, of those that count for it.
    pub hosts_lost: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
}

/// Bounds that the operators' rules set, one key of the table `bounds` each. A deployment without a rule may leave its
/// value out: the default applies then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// `seed_lag_s`: how far the operator's list of control processes may be behind.
    pub seed_lag: Duration,
    /// `reuse_after_s`: the time after which the address of a worker that ended may be reused by another one.
    pub reuse_after: Duration,
    /// `contact_ms`: the time for which a machine must have been undisturbed to count as in contact.
    pub contact: Duration,
    /// `ack_ms`: the time within which a request to drain is acknowledged.
    pub ack: Duration,
    /// `catch_up_s`: the time for which a machine still counts as failed after it is back.
    pub catch_up: Duration,
    /// `drain_ms`: the time for which a draining worker serves after the acknowledgement.
    pub drain: Duration,
    /// `grace_s`: the time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// `loss_slack_ms`: the time for which a request may be in flight before ending it counts as losing it.
    pub loss_slack: Duration,
    /// `config_apply_ms`: the time within which an acknowledged configuration is applied everywhere.
    pub config_apply: Duration,
    /// `downgrade_ms`: the time for which a gatekeeper may still apply the configuration before the one that it has seen.
    pub downgrade: Duration,
    /// `skew_ms`: the time that an unsteady core adds to the bound of the configuration.
    pub skew: Duration,
    /// `recovery_s`: the time within which requests are served again after the last fault.
    pub recovery: Duration,
    /// `pass_ms`: the time within which an event of a stream must be relayed.
    pub pass: Duration,
    /// `again_s`: not explained in the operators' pages.
    pub again: Duration,
    /// `completion_s`: the time after the end of traffic within which programs must complete.
    pub completion: Duration,
    /// `settle_ms`: the time within which a turn's unused units must be free again.
    pub settle: Duration,
}

impl Settings {
    /// Loads the file that the variable [`PATH_VARIABLE`] of the environment names.
    ///
    /// # Errors
    /// [`SettingsError::NoPath`] where it names none, or as [`Settings::load`].
    pub fn from_environment() -> Result<Self, SettingsError> {
        match std::env::var_os(PATH_VARIABLE) {
            Some(path) if !path.is_empty() => Self::load(Path::new(&path)),
            _ => Err(SettingsError::NoPath),
        }
    }

    /// Reads and validates a file.
    ///
    /// # Errors
    /// [`SettingsError::Read`], [`SettingsError::Syntax`] or [`SettingsError::Invalid`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Self::parse(&text, path)
    }

    /// Parses and validates the text of a settings file; `path` names it in errors.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        parse::parse(text, path)
    }

    /// Loads the file again.
    ///
    /// # Errors
    /// As [`Settings::load`].
    pub fn reload(&self) -> Result<Self, SettingsError> {
        Self::load(&self.path)
    }

    /// The address on which this process serves calls of other processes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.peer())
    }

    /// The address on which this process serves the change feed to other machines.
    #[must_use]
    pub fn feed_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.feed())
    }

    /// The address on which the agent serves the change feed to the proxy beside it: on loopback. A machine whose own address is one of
    /// loopback uses that, so that several such machines can share a host.
    #[must_use]
    pub fn agent_address(&self) -> SocketAddr {
        let ip = if self.ip.is_loopback() { self.ip } else { Ipv4Addr::LOCALHOST.into() };
        SocketAddr::new(ip, self.ports.feed())
    }

    /// The addresses on which the control processes among the seeds serve the change feed.
    #[must_use]
    pub fn seed_feed_addresses(&self) -> Vec<SocketAddr> {
        self.seed_nodes.iter().map(|seed| SocketAddr::new(seed.ip(), self.ports.feed())).collect()
    }

    /// The number of replicas of all replicated state: a majority is left when `hosts_lost` machines have failed.
    #[must_use]
    pub fn replicas(&self) -> usize {
        2 * self.fault_tolerance.hosts_lost + 1
    }

    /// Whether a guarantee is in force.
    #[must_use]
    pub fn has_guarantee(&self, guarantee: &str) -> bool {
        self.guarantees.iter().any(|name| name == guarantee)
    }

    /// The directory for data.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] where the file names none.
    pub fn required_data_dir(&self) -> Result<&Path, SettingsError> {
        self.data_dir.as_deref().ok_or_else(|| self.missing("data_dir", "a folder"))
    }

    /// The address for clients.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] where the file names none.
    pub fn required_frontend(&self) -> Result<SocketAddr, SettingsError> {
        self.listen.frontend.ok_or_else(|| self.missing("listen.frontend", "an address and a port"))
    }

    /// The address for the platform's readiness probe.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] where the file names none.
    pub fn required_readiness(&self) -> Result<SocketAddr, SettingsError> {
        self.listen.readiness.ok_or_else(|| self.missing("listen.readiness", "an address and a port"))
    }

    /// The address for workers and the operator.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] where the file names none.
    pub fn required_control_plane(&self) -> Result<SocketAddr, SettingsError> {
        self.listen.control_plane.ok_or_else(|| self.missing("listen.control_plane", "an address and a port"))
    }

    fn missing(&self, key: &str, wanted: &'static str) -> SettingsError {
        let problem = Problem { key: key.to_owned(), value: None, wanted };
        SettingsError::Invalid { path: self.path.clone(), problems: vec![problem] }
    }
}
