//! A whole tier: its machines, and the faults and operations that can be applied to them.

use super::{
    judge::Bounds,
    machine::Machine,
    observation::{Log, MachineEvent, Observation},
    peer::call,
    platform::{Entry, Platform},
    settings_file::{Class, Ports, SettingsFile},
    worker::registration::ControlAddresses,
};
use rustix::process::Signal;
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    time::Duration,
};
use tempfile::TempDir;
use thiserror::Error;
use tokio::time::Instant;

/// Delay between two polls of a starting process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of one poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of seed nodes in a settings file.
const MAX_SEEDS: usize = 3;
/// Number of loopback /16 networks; each tier uses one.
const NETWORKS: u8 = 125;
/// Port that a tier listens on to claim its network; no process of the tier uses it.
const CLAIM_PORT: u16 = 7399;

/// Size and time bounds of a tier.
#[derive(Debug, Clone)]
pub struct TierSpec {
    pub edges: usize,
    pub cores: usize,
    pub storages: usize,
    pub zones: Vec<String>,
    /// Number of hosts whose simultaneous loss the tier must tolerate.
    pub hosts_lost: usize,
    pub heartbeat: Duration,
    pub bounds: Bounds,
}

impl Default for TierSpec {
    fn default() -> Self {
        let zones = ["zone-1", "zone-2", "zone-3"].map(str::to_owned).to_vec();
        let (edges, cores, storages, hosts_lost) = (2, 3, 3, 1);
        let (heartbeat, bounds) = (Duration::from_millis(400), Bounds::default());
        Self { edges, cores, storages, zones, hosts_lost, heartbeat, bounds }
    }
}

/// Why an operation on a tier failed.
#[derive(Debug, Error)]
pub enum TierError {
    #[error("tier file or process error: {0}")]
    Io(#[from] io::Error),
    #[error("no machine is named {0:?}")]
    NoMachine(String),
    #[error("{description} within {limit:?}; last log lines of its processes:\n{log_tails}")]
    Timeout { description: String, limit: Duration, log_tails: String },
}

/// A running tier.
pub struct Tier {
    pub spec: TierSpec,
    pub log: Log,
    pub controls: ControlAddresses,
    pub platform: Platform,
    pub ports: Ports,
    machines: Vec<Machine>,
    program: PathBuf,
    /// Second octet of all addresses of the tier.
    network: u8,
    /// Listener that claims the network for the lifetime of the tier.
    _claim: TcpListener,
    seeds: Vec<SocketAddr>,
    next_host: u8,
    folder: TempDir,
}

impl Tier {
    /// Creates all machines of a tier and starts them.
    ///
    /// # Errors
    /// Files can't be written or processes can't be started.
    pub fn start(program: &Path, spec: TierSpec) -> Result<Self, TierError> {
        let folder = tempfile::Builder::new().prefix("opalrun-tier-").tempdir()?;
        let (network, claim) = claim_network()?;
        let mut tier = Self {
            log: Log::default(),
            controls: ControlAddresses::default(),
            platform: Platform::new(),
            ports: Ports::default(),
            machines: Vec::new(),
            program: program.to_owned(),
            network,
            _claim: claim,
            seeds: Vec::new(),
            next_host: 1,
            folder,
            spec,
        };
        let counts = [(Class::Core, tier.spec.cores), (Class::Storage, tier.spec.storages)];
        for (class, count) in counts.into_iter().chain([(Class::Edge, tier.spec.edges)]) {
            for number in 1..=count {
                let zone = tier.spec.zones[(number - 1) % tier.spec.zones.len()].clone();
                tier.create_machine(&format!("{}-{number}", class.name()), class, &zone, true)?;
            }
        }
        tier.seeds = tier.control_addresses().into_iter().take(MAX_SEEDS).collect();
        tier.controls.set(tier.control_addresses());
        let names = tier.names();
        for name in names {
            tier.start_machine(&name)?;
        }
        Ok(tier)
    }

    fn create_machine(
        &mut self,
        name: &str,
        class: Class,
        zone: &str,
        bootstrap: bool,
    ) -> Result<(), TierError> {
        let ip = Ipv4Addr::new(127, self.network, class as u8 + 1, self.next_host);
        self.next_host += 1;
        let mut machine = Machine::new(name, class, ip, zone, &self.program, self.folder.path())?;
        machine.bootstrap = bootstrap;
        self.machines.push(machine);
        Ok(())
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        let cores = self.machines.iter().filter(|m| m.class == Class::Core);
        cores.map(|m| SocketAddr::from((m.ip, self.ports.control))).collect()
    }

    /// Returns the names of all machines.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        self.machines.iter().map(|m| m.name.clone()).collect()
    }

    /// Returns the address of a machine.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn ip(&self, name: &str) -> Result<Ipv4Addr, TierError> {
        let machine = self.machines.iter().find(|m| m.name == name);
        machine.map(|m| m.ip).ok_or_else(|| TierError::NoMachine(name.to_owned()))
    }

    /// Returns the folder in which a machine's processes store their data.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn data_dir(&self, name: &str) -> Result<PathBuf, TierError> {
        let machine = self.machines.iter().find(|m| m.name == name);
        machine.map(Machine::data_dir).ok_or_else(|| TierError::NoMachine(name.to_owned()))
    }

    /// Returns the class of a machine.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn class(&self, name: &str) -> Result<Class, TierError> {
        let machine = self.machines.iter().find(|m| m.name == name);
        machine.map(|m| m.class).ok_or_else(|| TierError::NoMachine(name.to_owned()))
    }

    fn machine(&mut self, name: &str) -> Result<&mut Machine, TierError> {
        let machine = self.machines.iter_mut().find(|m| m.name == name);
        machine.ok_or_else(|| TierError::NoMachine(name.to_owned()))
    }

    fn record(&self, machine: &str, event: MachineEvent) {
        self.log.record(Observation::Machine { machine: machine.to_owned(), event });
    }

    fn write_settings(&self, machine: &Machine) -> io::Result<()> {
        for role in machine.class.roles() {
            let settings = SettingsFile {
                machine: &machine.name,
                class: machine.class,
                role,
                ip: machine.ip,
                zone: &machine.zone,
                zones: &self.spec.zones,
                ports: self.ports,
                seeds: &self.seeds,
                bootstrap: machine.bootstrap,
                data_dir: &machine.data_dir(),
                hosts_lost: self.spec.hosts_lost,
                heartbeat_ms: self.spec.heartbeat.as_millis() as u64,
                bounds: self.spec.bounds,
            };
            fs::write(machine.settings_path(role), settings.text())?;
        }
        Ok(())
    }

    /// Starts the processes of a machine that is not running.
    ///
    /// # Errors
    /// There is no such machine, or its processes can't be started.
    pub fn start_machine(&mut self, name: &str) -> Result<(), TierError> {
        self.machine(name)?;
        if let Some(machine) = self.machines.iter().find(|m| m.name == name) {
            self.write_settings(machine)?;
        }
        self.record(name, MachineEvent::Started);
        let machine = self.machine(name)?;
        machine.start()?;
        // Later starts must not bootstrap the system again.
        machine.bootstrap = false;
        self.await_readiness(name)
    }

    /// Registers a gatekeeper that has just started with the platform, which routes connections to it once it is ready.
    fn await_readiness(&mut self, name: &str) -> Result<(), TierError> {
        let (frontend, readiness) = (self.ports.frontend, self.ports.readiness);
        let machine = self.machine(name)?;
        if machine.class == Class::Edge {
            let entry = Entry {
                machine: name.to_owned(),
                zone: machine.zone.clone(),
                frontend: (machine.ip, frontend).into(),
                readiness: (machine.ip, readiness).into(),
            };
            self.platform.add(entry);
        }
        Ok(())
    }

    /// Kills all processes of a machine.
    ///
    /// # Errors
    /// There is no such machine.
    pub async fn kill(&mut self, name: &str) -> Result<(), TierError> {
        self.record(name, MachineEvent::Killed);
        self.machine(name)?.kill().await;
        Ok(())
    }

    /// Kills one process of a machine and starts it again.
    ///
    /// # Errors
    /// There is no such machine, or the process can't be started.
    pub async fn restart_role(&mut self, name: &str, role: &str) -> Result<(), TierError> {
        self.kill_role(name, role).await?;
        self.start_role(name, role)
    }

    /// Kills one process of a machine without starting it again.
    ///
    /// # Errors
    /// There is no such machine.
    pub async fn kill_role(&mut self, name: &str, role: &str) -> Result<(), TierError> {
        self.record(name, MachineEvent::Killed);
        self.machine(name)?.kill_role(role).await;
        Ok(())
    }

    /// Starts one process of a machine after it was killed.
    ///
    /// # Errors
    /// There is no such machine, or the process can't be started.
    pub fn start_role(&mut self, name: &str, role: &str) -> Result<(), TierError> {
        self.machine(name)?.start_role(role)?;
        self.record(name, MachineEvent::Started);
        self.await_readiness(name)
    }

    /// Kills every process at the same moment, and starts all again with their stored data.
    ///
    /// # Errors
    /// A process can't be started.
    pub async fn lose_power(&mut self) -> Result<(), TierError> {
        for machine in &self.machines {
            self.record(&machine.name, MachineEvent::Killed);
            machine.signal(Signal::KILL);
        }
        let names = self.names();
        for name in &names {
            self.machine(name)?.kill().await;
        }
        for name in &names {
            self.start_machine(name)?;
        }
        Ok(())
    }

    /// Suspends a machine's processes with SIGSTOP.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn pause(&mut self, name: &str) -> Result<(), TierError> {
        self.record(name, MachineEvent::Paused);
        self.machine(name)?.signal(Signal::STOP);
        Ok(())
    }

    /// Resumes a machine's processes with SIGCONT.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn resume(&mut self, name: &str) -> Result<(), TierError> {
        self.machine(name)?.signal(Signal::CONT);
        self.record(name, MachineEvent::Resumed);
        Ok(())
    }

    /// Makes a machine's processes reload their settings, with SIGHUP.
    ///
    /// # Errors
    /// There is no such machine.
    pub fn reload(&mut self, name: &str) -> Result<(), TierError> {
        self.record(name, MachineEvent::Reloaded);
        self.machine(name)?.signal(Signal::HUP);
        Ok(())
    }

    /// Stops a machine with SIGTERM. Returns whether all its processes exited successfully within the grace period.
    ///
    /// # Errors
    /// There is no such machine.
    pub async fn terminate(&mut self, name: &str) -> Result<bool, TierError> {
        self.record(name, MachineEvent::Terminated);
        let grace = Duration::from_millis(self.spec.bounds.grace_ms);
        let machine = self.machine(name)?;
        machine.signal(Signal::TERM);
        Ok(machine.wait_for_exit(grace).await)
    }

    /// Kills a machine and deletes its data; it can be started again at its address.
    ///
    /// # Errors
    /// There is no such machine, or its data can't be deleted.
    pub async fn wipe(&mut self, name: &str) -> Result<(), TierError> {
        self.kill(name).await?;
        self.machine(name)?.wipe()?;
        self.record(name, MachineEvent::DiskLost);
        Ok(())
    }

    /// Creates a machine without data and starts it.
    ///
    /// # Errors
    /// It can't be created or started.
    pub fn add(&mut self, name: &str, class: Class, zone: &str) -> Result<(), TierError> {
        self.create_machine(name, class, zone, false)?;
        self.start_machine(name)?;
        self.controls.set(self.control_addresses());
        Ok(())
    }

    /// Kills a machine and removes it permanently.
    ///
    /// # Errors
    /// There is no such machine.
    pub async fn remove(&mut self, name: &str) -> Result<(), TierError> {
        self.kill(name).await?;
        self.record(name, MachineEvent::Removed);
        self.machines.retain(|m| m.name != name);
        self.platform.remove(name);
        self.controls.set(self.control_addresses());
        Ok(())
    }

    /// Waits until every control process answers a request for the configuration with a status from 200 to 499, not 5xx.
    ///
    /// # Errors
    /// One of them did not in time.
    pub async fn wait_for_control(&self, limit: Duration) -> Result<(), TierError> {
        let until = Instant::now() + limit;
        for address in self.control_addresses() {
            loop {
                let answer = call(address, "GET", "/opalrun/config", &[], b"", POLL_TIMEOUT).await;
                if answer.is_ok_and(|a| (200..500).contains(&a.status())) {
                    break;
                }
                if Instant::now() > until {
                    return Err(self.timeout_error(format!("control at {address} does not answer"), limit));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every gatekeeper reports that it is ready.
    ///
    /// # Errors
    /// One of them did not in time.
    pub async fn wait_for_gatekeepers(&self, limit: Duration) -> Result<(), TierError> {
        let edges = self.machines.iter().filter(|m| m.class == Class::Edge);
        for machine in edges {
            self.wait_for_gatekeeper(&machine.name, limit).await?;
        }
        Ok(())
    }

    /// Waits until one gatekeeper reports that it is ready.
    ///
    /// # Errors
    /// It did not in time.
    pub async fn wait_for_gatekeeper(&self, name: &str, limit: Duration) -> Result<(), TierError> {
        let until = Instant::now() + limit;
        loop {
            self.platform.check(POLL_TIMEOUT).await;
            if self.platform.ready().iter().any(|ready| ready == name) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(self.timeout_error(format!("{name} is not ready"), limit));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the log of one of a machine's processes contains `text`.
    ///
    /// # Errors
    /// There is no such machine, or the text was not logged in time.
    pub async fn wait_for_log(&self, name: &str, text: &str, limit: Duration) -> Result<(), TierError> {
        self.wait_for_machine(name, limit, text, |machine| machine.has_logged(text)).await
    }

    /// Waits until the log of one of a machine's processes contains `text` since that process was last started.
    ///
    /// # Errors
    /// As [`Tier::wait_for_log`].
    pub async fn wait_for_log_since_start(
        &self,
        name: &str,
        text: &str,
        limit: Duration,
    ) -> Result<(), TierError> {
        self.wait_for_machine(name, limit, text, |machine| machine.has_logged_since_start(text)).await
    }

    async fn wait_for_machine(
        &self,
        name: &str,
        limit: Duration,
        text: &str,
        is_met: impl Fn(&Machine) -> bool,
    ) -> Result<(), TierError> {
        let machine = self.machines.iter().find(|m| m.name == name);
        let machine = machine.ok_or_else(|| TierError::NoMachine(name.to_owned()))?;
        let until = Instant::now() + limit;
        while !is_met(machine) {
            if Instant::now() > until {
                return Err(self.timeout_error(format!("{name} does not log {text:?}"), limit));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the first machine with a process whose log contains `text`.
    #[must_use]
    pub fn machine_that_logged(&self, text: &str) -> Option<String> {
        self.machines.iter().find(|m| m.has_logged(text)).map(|m| m.name.clone())
    }

    /// Returns the running processes: role and machine, and process id.
    #[must_use]
    pub fn process_ids(&self) -> Vec<(String, u32)> {
        let of = |machine: &Machine| {
            let name = machine.name.clone();
            machine.process_ids().into_iter().map(move |(role, id)| (format!("{role} {name}"), id))
        };
        self.machines.iter().flat_map(of).collect()
    }

    /// Describes the processes that have exited without having been stopped.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        self.machines.iter_mut().flat_map(Machine::unexpected_exits).collect()
    }

    /// Returns the last log lines of all processes.
    #[must_use]
    pub fn log_tails(&self) -> String {
        self.machines.iter().map(Machine::log_tail).collect()
    }

    pub(super) fn timeout_error(&self, description: String, limit: Duration) -> TierError {
        TierError::Timeout { description, limit, log_tails: self.log_tails() }
    }
}

/// Returns the second octet of a tier's addresses, and the listener that reserves it among all tiers on this computer.
fn claim_network() -> io::Result<(u8, TcpListener)> {
    let first = (std::process::id() % u32::from(NETWORKS)) as u8;
    for step in 0..NETWORKS {
        let number = 1 + (first + step) % NETWORKS;
        let claimed = TcpListener::bind((Ipv4Addr::new(127, number, 0, 1), CLAIM_PORT));
        if let Ok(listener) = claimed {
            return Ok((number, listener));
        }
    }
    Err(io::Error::other("no loopback network is free for another tier"))
}
