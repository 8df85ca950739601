//! A small tier of real processes on loopback addresses: three control processes, stores, and gatekeepers.

use crate::{children, http, note};
use std::{
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

pub const FRONTEND: u16 = 8149;
pub const READINESS: u16 = 8141;
pub const CONTROL: u16 = 8144;
const CLAIM: u16 = 7399;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Class {
    Core,
    Storage,
    Edge,
}

impl Class {
    fn name(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::Storage => "storage",
            Self::Edge => "edge",
        }
    }

    fn roles(self) -> &'static [&'static str] {
        match self {
            Self::Core => &["control"],
            Self::Storage => &["store"],
            Self::Edge => &["agent", "proxy"],
        }
    }
}

pub struct Process {
    pub role: &'static str,
    child: Option<Child>,
}

pub struct Machine {
    pub name: String,
    pub class: Class,
    pub ip: Ipv4Addr,
    zone: String,
    bootstrap: bool,
    processes: Vec<Process>,
}

/// A running tier. All of its processes are killed when it is dropped.
pub struct Tier {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    root: PathBuf,
    hosts_lost: u32,
    /// Keeps the loopback network claimed.
    _claim: TcpListener,
}

impl Tier {
    /// Creates the machines and starts all processes. `root` is the root of the repository.
    pub fn start(root: &Path, cores: u8, storages: u8, edges: u8) -> io::Result<Self> {
        let (network, claim) = claim_network()?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut machines = Vec::new();
        for (class, count) in [(Class::Core, cores), (Class::Storage, storages), (Class::Edge, edges)] {
            for number in 1..=count {
                machines.push(Machine {
                    name: format!("{}-{number}", class.name()),
                    class,
                    ip: Ipv4Addr::new(127, network, class as u8 + 1, number),
                    zone: format!("zone-{}", (number - 1) % 3 + 1),
                    bootstrap: true,
                    processes: class.roles().iter().map(|role| Process { role, child: None }).collect(),
                });
            }
        }
        let hosts_lost = if cores >= 3 && storages >= 3 { 1 } else { 0 };
        let root = root.to_owned();
        let mut tier = Self { machines, folder, root, hosts_lost, _claim: claim };
        for index in 0..tier.machines.len() {
            tier.start_machine(index)?;
        }
        Ok(tier)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        self.addresses(Class::Core, CONTROL)
    }

    pub fn frontends(&self) -> Vec<SocketAddr> {
        self.addresses(Class::Edge, FRONTEND)
    }

    fn addresses(&self, class: Class, port: u16) -> Vec<SocketAddr> {
        self.machines.iter().filter(|m| m.class == class).map(|m| (m.ip, port).into()).collect()
    }

    /// Indexes of the machines of a class.
    pub fn of_class(&self, class: Class) -> Vec<usize> {
        (0..self.machines.len()).filter(|index| self.machines[*index].class == class).collect()
    }

    pub fn data_dir(&self, index: usize) -> PathBuf {
        self.folder.join(&self.machines[index].name)
    }

    /// Starts the processes of a machine that do not run.
    pub fn start_machine(&mut self, index: usize) -> io::Result<()> {
        fs::create_dir_all(self.data_dir(index))?;
        for position in 0..self.machines[index].processes.len() {
            if self.machines[index].processes[position].child.is_some() {
                continue;
            }
            let role = self.machines[index].processes[position].role;
            let settings = self.folder.join(format!("{}-{role}.toml", self.machines[index].name));
            fs::write(&settings, self.settings(index, role))?;
            let log = self.folder.join(format!("{}-{role}.log", self.machines[index].name));
            let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
            // The command of deploy/system.toml, started at the root of the repository.
            let child = Command::new(self.root.join("target/tier/opalrun"))
                .arg(role)
                .current_dir(&self.root)
                .env_clear()
                .env("PATH", std::env::var("PATH").unwrap_or_default())
                .env("OPALRUN_CONFIG", &settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            children::started(&child);
            self.machines[index].processes[position].child = Some(child);
        }
        self.machines[index].bootstrap = false;
        Ok(())
    }

    /// Kills the processes of machines with SIGKILL, all before the first one is waited for.
    pub fn kill(&mut self, indexes: &[usize]) {
        let mut killed = Vec::new();
        for index in indexes {
            for process in &mut self.machines[*index].processes {
                if let Some(mut child) = process.child.take() {
                    let _ = child.kill();
                    killed.push(child);
                }
            }
        }
        killed.into_iter().for_each(children::end);
    }

    /// Returns the id of a running process.
    pub fn process_id(&self, index: usize, role: &str) -> Option<u32> {
        let process = self.machines[index].processes.iter().find(|process| process.role == role)?;
        process.child.as_ref().map(Child::id)
    }

    /// Kills the process of one role with SIGKILL.
    pub fn kill_role(&mut self, index: usize, role: &str) {
        for process in self.machines[index].processes.iter_mut().filter(|process| process.role == role) {
            process.child.take().into_iter().for_each(children::end);
        }
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT` to the processes of a machine; `role` limits it to one of them.
    pub fn signal(&self, index: usize, role: Option<&str>, signal: &str) {
        for process in &self.machines[index].processes {
            if role.is_some_and(|role| role != process.role) {
                continue;
            }
            if let Some(child) = &process.child {
                children::signal(child.id(), signal);
            }
        }
    }

    /// Waits until the processes of a machine have ended, and kills those that have not in time.
    pub fn wait_for_end(&mut self, index: usize, limit: Duration) {
        let until = Instant::now() + limit;
        for process in &mut self.machines[index].processes {
            let Some(mut child) = process.child.take() else { continue };
            while Instant::now() < until && !matches!(child.try_wait(), Ok(Some(_))) {
                sleep(Duration::from_millis(20));
            }
            children::end(child);
        }
    }

    fn settings(&self, index: usize, role: &str) -> String {
        let machine = &self.machines[index];
        let seeds: Vec<String> = self.controls().iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let serves = match role {
            "proxy" => "[\"edge\"]",
            "control" => "[\"control\"]",
            "store" => "[\"storage\"]",
            _ => "[]",
        };
        let ip = machine.ip;
        let listen = match role {
            "proxy" => format!("frontend = \"{ip}:{FRONTEND}\"\nreadiness = \"{ip}:{READINESS}\"\n"),
            "control" => format!("control_plane = \"{ip}:{CONTROL}\"\n"),
            _ => String::new(),
        };
        let has_disk = machine.class != Class::Edge;
        let data_dir = if has_disk {
            format!("data_dir = \"{}\"\n", self.data_dir(index).display())
        } else {
            String::new()
        };
        let disk_mb = match machine.class {
            Class::Core => 128,
            Class::Storage => 370,
            Class::Edge => 0,
        };
        format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = {serves}\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"region-1\"\nport_range = [7380, 7395]\nseed_nodes = [{seeds}]\n\
             bootstrap = {bootstrap}\ncounts_for_quorum = {has_disk}\n{data_dir}discovery = \"registration\"\n\
             entry_type = \"anycast\"\nheartbeat_ms = 1200\n\
             guarantees = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"agent\", \"stream\", \"engine\"]\n\
             [zones]\nzone-1 = \"region-1\"\nzone-2 = \"region-1\"\nzone-3 = \"region-1\"\n[listen]\n{listen}\
             [limits]\ncpu_quota = 0.5\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nbandwidth_mbps = 1000.0\n\
             disk_mb = {disk_mb}\n[fault_tolerance]\nhosts_lost = {lost}\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_ms = 250\n\
             skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\ncompletion_s = 10\nsettle_ms = 1000\n",
            name = machine.name,
            class = machine.class.name(),
            zone = machine.zone,
            seeds = seeds.join(", "),
            bootstrap = machine.bootstrap,
            lost = self.hosts_lost,
        )
    }

    /// Sends a configuration to the control processes in turn, as the operator does, until one acknowledges it.
    pub fn configure(&self, if_match: u64, body: &str, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        let if_match = if_match.to_string();
        let headers =
            [("Host", "control"), ("If-Match", if_match.as_str()), ("Content-Type", "application/json")];
        loop {
            for control in self.controls() {
                let second = Duration::from_secs(1);
                let answer = http::call(control, "PUT", "/opalrun/config", &headers, body.as_bytes(), second);
                if let Ok(answer) = answer {
                    if answer.status() == 200 {
                        return Ok(());
                    }
                    if answer.status() < 500 {
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        return Err(io::Error::other(format!(
                            "configuration refused: {} {text}",
                            answer.start
                        )));
                    }
                }
            }
            if Instant::now() > until {
                return Err(io::Error::other("the configuration was not acknowledged in time"));
            }
            sleep(Duration::from_millis(100));
        }
    }

    /// Waits until all gatekeepers call themselves ready.
    pub fn wait_ready(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        for address in self.addresses(Class::Edge, READINESS) {
            loop {
                let answer = http::call(
                    address,
                    "GET",
                    "/opalrun/readyz",
                    &[("Host", "r")],
                    b"",
                    Duration::from_millis(500),
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(io::Error::other(format!("{address} did not become ready in time")));
                }
                sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        let all: Vec<usize> = (0..self.machines.len()).collect();
        self.kill(&all);
        if std::env::var_os("KEEP_LOGS").is_some() {
            note!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Claims a loopback network 127.N.0.0/16 that no other tier uses.
fn claim_network() -> io::Result<(u8, TcpListener)> {
    let first = std::process::id() as u8;
    for step in 0..120_u8 {
        let network = first.wrapping_add(step) % 120 + 130;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(127, network, 0, 1), CLAIM)) {
            return Ok((network, listener));
        }
    }
    Err(io::Error::other("no loopback network is free"))
}
