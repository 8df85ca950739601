//! Parses and validates the settings file of a process, which the platform writes.
//!
//! Field names follow the keys in the operators' documentation. Keys with a unit suffix (`_ms`, `_s`) become typed fields
//! where possible. Unknown keys are ignored. All missing or invalid settings are reported at once, each with its key, its
//! value and a description of valid values.
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

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "OPALRUN_CONFIG";

/// The settings of a process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Path of the settings file; empty for settings that were created in memory.
    pub path: PathBuf,
    /// Name of the machine.
    pub node_name: String,
    /// Role of the process, as named in the deploy file.
    pub role: String,
    /// Class of the machine: `edge`, `core` or `storage`.
    pub machine_class: String,
    /// Kinds of callers outside the tier that the role serves.
    pub serves: Vec<String>,
    /// Address of the machine.
    pub ip: IpAddr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of the machine.
    pub region: String,
    /// Ports for calls between processes of the tier, equal on every machine: `port_range`.
    pub ports: PortRange,
    /// Addresses of some control processes, as of the time when the file was written.
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether this is the first start of the whole system, with empty disks.
    pub bootstrap: bool,
    /// Whether the machine counts towards `fault_tolerance`.
    pub counts_for_quorum: bool,
    /// Data directory; `None` on machines without a disk.
    pub data_dir: Option<PathBuf>,
    /// Approximate period of worker heartbeats: `heartbeat_ms`.
    pub heartbeat: Duration,
    /// Names of the guarantees that the tier must provide.
    pub guarantees: Vec<String>,
    /// Region of each zone, by zone name.
    pub zones: BTreeMap<String, String>,
    /// Addresses that the role listens on.
    pub listen: Listen,
    /// Loopback address on which metrics are served to scrapers: `figures.listen`. `None` disables the metrics server.
    pub metrics: Option<SocketAddr>,
    /// Resources available to the process.
    pub limits: Limits,
    /// Number of simultaneous failures that the tier must tolerate.
    pub fault_tolerance: FaultTolerance,
    /// Time bounds from the operators' guarantees.
    pub bounds: Bounds,
}

/// The ports for the protocol between processes of the tier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PortRange {
    /// First port of the range.
    pub first: u16,
    /// Last port of the range.
    pub last: u16,
}

impl PortRange {
    /// Returns the port on which control processes and stores serve calls from other processes.
    #[must_use]
    pub fn peer(self) -> u16 {
        self.first
    }

    /// Returns the port on which control processes and agents serve the change feed.
    #[must_use]
    pub fn feed(self) -> u16 {
        self.first + 1
    }
}

/// Addresses that a role listens on. Each is `None` if the role does not serve these callers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listen {
    /// Address for clients.
    pub frontend: Option<SocketAddr>,
    /// Address for the platform's readiness probe of a gatekeeper.
    pub readiness: Option<SocketAddr>,
    /// Address for workers and the operator.
    pub control_plane: Option<SocketAddr>,
}

/// Resources available to the process.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Share of one core's time that the process may use.
    pub cpu_quota: f64,
    /// Speed of a core, as a factor.
    pub cores: f64,
    /// Memory, in megabytes.
    pub memory_mb: f64,
    /// Maximum number of open file descriptors.
    pub max_fds: u64,
    /// Bandwidth of the machine's network link, in megabits per second.
    pub bandwidth_mbps: f64,
    /// Disk space, in megabytes; 0 if the machine has no disk.
    pub disk_mb: f64,
}

/// Simultaneous failures that the tier must tolerate without violating a guarantee.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Number of failed machines, of those with `counts_for_quorum`.
    pub hosts_lost: usize,
    /// Number of failed zones.
    pub zones: usize,
    /// Number of failed regions.
    pub regions: usize,
}

/// Time bounds from the operators' guarantees. Each is a key of the table `bounds`; a deployment without the guarantee may
/// omit the key, and the default applies.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// `seed_lag_s`: maximum age of the operator's list of control processes.
    pub seed_lag: Duration,
    /// `reuse_after_s`: time after which the address of an ended worker may be reused by another worker.
    pub reuse_after: Duration,
    /// `contact_ms`: time for which a machine must have been without faults to count as in contact.
    pub contact: Duration,
    /// `ack_ms`: maximum time until a request to drain is acknowledged.
    pub ack: Duration,
    /// `catch_up_s`: time for which a machine still counts as failed after its return.
    pub catch_up: Duration,
    /// `drain_ms`: time for which a draining worker still serves after the acknowledgement.
    pub drain: Duration,
    /// `grace_s`: time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// `loss_slack_ms`: time for which a request may be in flight before terminating it counts as losing it.
    pub loss_slack: Duration,
    /// `config_apply_ms`: maximum time until an acknowledged configuration is applied everywhere.
    pub config_apply: Duration,
    /// `downgrade_ms`: time for which a gatekeeper that has seen a configuration may still apply the previous one.
    pub downgrade: Duration,
    /// `skew_ms`: time that is added to the bound of the configuration while a control machine is unstable.
    pub skew: Duration,
    /// `recovery_s`: maximum time from the last fault until requests are served again.
    pub recovery: Duration,
    /// `pass_ms`: maximum time for relaying an event of a stream.
    pub pass: Duration,
    /// `again_s`: not explained in the operators' documentation.
    pub again: Duration,
    /// `completion_s`: maximum time from the end of traffic until programs complete.
    pub completion: Duration,
    /// `settle_ms`: maximum time until a turn's unused units are available again.
    pub settle: Duration,
}

impl Settings {
    /// Loads the file whose path is in the environment variable [`PATH_VARIABLE`].
    ///
    /// # Errors
    /// [`SettingsError::NoPath`] if the variable is not set or empty, and the errors of [`Settings::load`].
    pub fn from_environment() -> Result<Self, SettingsError> {
        match std::env::var_os(PATH_VARIABLE) {
            Some(path) if !path.is_empty() => Self::load(Path::new(&path)),
            _ => Err(SettingsError::NoPath),
        }
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError::Read`], [`SettingsError::Syntax`] or [`SettingsError::Invalid`].
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Read { path: path.to_owned(), source })?;
        Self::parse(&text, path)
    }

    /// Parses and validates the text of a settings file; `path` is used in error messages.
    ///
    /// # Errors
    /// [`SettingsError::Syntax`] or [`SettingsError::Invalid`].
    pub fn parse(text: &str, path: &Path) -> Result<Self, SettingsError> {
        parse::parse(text, path)
    }

    /// Loads the settings again from the same file.
    ///
    /// # Errors
    /// Same as [`Settings::load`].
    pub fn reload(&self) -> Result<Self, SettingsError> {
        Self::load(&self.path)
    }

    /// Returns the address on which this process serves calls from other processes.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.peer())
    }

    /// Returns the address on which this process serves the change feed to other machines.
    #[must_use]
    pub fn feed_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.ports.feed())
    }

    /// Returns the loopback address on which the agent serves the change feed to the proxy of its machine. If the machine's
    /// own address is a loopback address, that one is used, so that several such machines can share a host.
    #[must_use]
    pub fn agent_address(&self) -> SocketAddr {
        let ip = if self.ip.is_loopback() { self.ip } else { Ipv4Addr::LOCALHOST.into() };
        SocketAddr::new(ip, self.ports.feed())
    }

    /// Returns the addresses on which the seed nodes serve the change feed.
    #[must_use]
    pub fn seed_feed_addresses(&self) -> Vec<SocketAddr> {
        self.seed_nodes.iter().map(|seed| SocketAddr::new(seed.ip(), self.ports.feed())).collect()
    }

    /// Returns the number of replicas of all replicated state, such that a majority survives `hosts_lost` failed machines.
    #[must_use]
    pub fn replicas(&self) -> usize {
        2 * self.fault_tolerance.hosts_lost + 1
    }

    /// Returns whether the tier must provide a guarantee.
    #[must_use]
    pub fn has_guarantee(&self, guarantee: &str) -> bool {
        self.guarantees.iter().any(|name| name == guarantee)
    }

    /// Returns the data directory.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] if the setting is missing.
    pub fn required_data_dir(&self) -> Result<&Path, SettingsError> {
        self.data_dir.as_deref().ok_or_else(|| self.missing("data_dir", "a directory"))
    }

    /// Returns the address for clients.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] if the setting is missing.
    pub fn required_frontend(&self) -> Result<SocketAddr, SettingsError> {
        self.listen.frontend.ok_or_else(|| self.missing("listen.frontend", "an address and a port"))
    }

    /// Returns the address for the platform's readiness probe.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] if the setting is missing.
    pub fn required_readiness(&self) -> Result<SocketAddr, SettingsError> {
        self.listen.readiness.ok_or_else(|| self.missing("listen.readiness", "an address and a port"))
    }

    /// Returns the address for workers and the operator.
    ///
    /// # Errors
    /// [`SettingsError::Invalid`] if the setting is missing.
    pub fn required_control_plane(&self) -> Result<SocketAddr, SettingsError> {
        self.listen.control_plane.ok_or_else(|| self.missing("listen.control_plane", "an address and a port"))
    }

    fn missing(&self, key: &str, expected: &'static str) -> SettingsError {
        let problem = Problem { key: key.to_owned(), value: None, expected };
        SettingsError::Invalid { path: self.path.clone(), problems: vec![problem] }
    }
}
