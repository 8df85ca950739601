//! A small deployment of the project's own programs: processes with the commands of the deploy file, each machine with a
//! loopback address of its own.

use crate::{http, wait_until};
use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

const FRONTEND: u16 = 8149;
const READINESS: u16 = 8141;
const CONTROL: u16 = 8144;
const INNER: (u16, u16) = (7380, 7395);

/// `PR_SET_PDEATHSIG` of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// How many machines of each class, and other settings.
#[derive(Debug, Clone)]
pub struct Options {
    pub cores: u8,
    pub storages: u8,
    pub edges: u8,
    pub hosts_lost: u8,
    pub zones: Vec<String>,
}

impl Default for Options {
    fn default() -> Self {
        let zones = ["pasig-hall", "quezon-hall", "makati-hall"].map(str::to_owned).to_vec();
        Self { cores: 3, storages: 3, edges: 2, hosts_lost: 1, zones }
    }
}

/// A process of a machine.
pub struct Process {
    pub machine: String,
    pub role: &'static str,
    pub ip: Ipv4Addr,
    zone: String,
    child: Option<Child>,
}

impl Process {
    /// Returns the id of the running process.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }
}

/// The deployment. Dropping it ends all processes and removes their folder.
pub struct Tier {
    program: PathBuf,
    folder: PathBuf,
    net: u8,
    options: Options,
    pub processes: Vec<Process>,
}

impl Tier {
    /// Starts all processes of a deployment with empty disks.
    ///
    /// # Errors
    /// Why it can't be started.
    pub fn start(options: Options) -> Result<Self, String> {
        let root = std::env::var("OPALRUN_ROOT").unwrap_or_else(|_| ".".to_owned());
        let program = Path::new(&root).join("target/tier/opalrun");
        if !program.exists() {
            return Err(format!("{} is not built", program.display()));
        }
        let folder = std::env::temp_dir().join(format!("opalrun-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let net = free_net(&options).ok_or("no free loopback addresses")?;
        let mut tier = Self { program, folder, net, options, processes: Vec::new() };
        let options = tier.options.clone();
        for number in 1..=options.cores {
            tier.add("core", number, &["control"], true)?;
        }
        for number in 1..=options.storages {
            tier.add("storage", number, &["store"], true)?;
        }
        for number in 1..=options.edges {
            tier.add("edge", number, &["agent", "proxy"], true)?;
        }
        Ok(tier)
    }

    /// Adds a machine and starts its processes.
    ///
    /// # Errors
    /// Why it can't be started.
    pub fn add(
        &mut self,
        class: &str,
        number: u8,
        roles: &[&'static str],
        bootstrap: bool,
    ) -> Result<(), String> {
        let third = match class {
            "core" => 1,
            "storage" => 2,
            _ => 3,
        };
        let ip = Ipv4Addr::new(127, self.net, third, number);
        let zone = self.options.zones[usize::from(number - 1) % self.options.zones.len()].clone();
        let machine = format!("{class}-{zone}-{number}");
        for role in roles {
            self.processes.push(Process {
                machine: machine.clone(),
                role,
                ip,
                zone: zone.clone(),
                child: None,
            });
            let last = self.processes.len() - 1;
            self.start_process(last, bootstrap)?;
        }
        Ok(())
    }

    /// Starts the process with this position.
    ///
    /// # Errors
    /// Why it can't be started.
    pub fn start_process(&mut self, position: usize, bootstrap: bool) -> Result<(), String> {
        let text = self.settings(position, bootstrap);
        let process = &mut self.processes[position];
        let home = self.folder.join(&process.machine);
        fs::create_dir_all(&home).map_err(|error| error.to_string())?;
        let settings = home.join(format!("{}.toml", process.role));
        fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(home.join(format!("{}.log", process.role)))
            .map_err(|error| error.to_string())?;
        let mut command = Command::new(&self.program);
        command
            .arg(process.role)
            .env("OPALRUN_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        // No process outlives the case, however that ends.
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|error| error.to_string())?;
        process.child = Some(child);
        Ok(())
    }

    fn settings(&self, position: usize, bootstrap: bool) -> String {
        let process = &self.processes[position];
        let ip = process.ip;
        let has_disk = matches!(process.role, "control" | "store");
        let class = process.machine.split('-').next().unwrap_or_default();
        let seeds: Vec<String> = (1..=self.options.cores.min(3))
            .map(|n| format!("\"127.{}.1.{n}:{CONTROL}\"", self.net))
            .collect();
        let serves = match process.role {
            "control" => "[\"control\"]",
            "store" => "[\"storage\"]",
            "proxy" => "[\"edge\"]",
            _ => "[]",
        };
        let mut text = format!(
            "node_name = \"{}\"\nrole = \"{}\"\nmachine_class = \"{class}\"\nserves = {serves}\nip = \"{ip}\"\n\
             zone = \"{}\"\nregion = \"luzon\"\nport_range = [{}, {}]\nseed_nodes = [{}]\nbootstrap = {bootstrap}\n\
             counts_for_quorum = {has_disk}\ndiscovery = \"registration\"\nentry_type = \"anycast\"\nheartbeat_ms = 1200\n\
             guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\"]\n",
            process.machine,
            process.role,
            process.zone,
            INNER.0,
            INNER.1,
            seeds.join(", ")
        );
        if has_disk {
            let data = self.folder.join(&process.machine).join("data");
            text.push_str(&format!("data_dir = \"{}\"\n", data.display()));
        }
        text.push_str("[zones]\n");
        for zone in &self.options.zones {
            text.push_str(&format!("{zone} = \"luzon\"\n"));
        }
        text.push_str("[listen]\n");
        match process.role {
            "proxy" => {
                text.push_str(&format!("frontend = \"{ip}:{FRONTEND}\"\nreadiness = \"{ip}:{READINESS}\"\n"))
            }
            "control" => text.push_str(&format!("control_plane = \"{ip}:{CONTROL}\"\n")),
            _ => {}
        }
        text.push_str(&format!(
            "[limits]\ncpu_quota = 0.5\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nbandwidth_mbps = 1000.0\ndisk_mb = {}\n\
             [fault_tolerance]\nhosts_lost = {}\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.4\n\
             drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\ndowngrade_ms = 250\n\
             skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\ncompletion_s = 10\nsettle_ms = 1000\n",
            if has_disk { 370 } else { 0 },
            self.options.hosts_lost
        ));
        text
    }

    /// Returns the addresses that serve `control`.
    #[must_use]
    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=self.options.cores)
            .map(|n| SocketAddr::new(Ipv4Addr::new(127, self.net, 1, n).into(), CONTROL))
            .collect()
    }

    /// Returns the client address of an `edge` machine, counted from 1.
    #[must_use]
    pub fn frontend(&self, number: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 3, number).into(), FRONTEND)
    }

    /// Returns the readiness address of an `edge` machine, counted from 1.
    #[must_use]
    pub fn readiness(&self, number: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, self.net, 3, number).into(), READINESS)
    }

    /// Returns the address that a worker may listen on.
    #[must_use]
    pub fn worker_ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, 4, number)
    }

    /// Returns the zones.
    #[must_use]
    pub fn zone(&self, number: u8) -> String {
        self.options.zones[usize::from(number) % self.options.zones.len()].clone()
    }

    /// Waits until all `edge` machines say that they are ready.
    #[must_use]
    pub fn wait_ready(&self, limit: Duration) -> bool {
        (1..=self.options.edges).all(|number| {
            let address = self.readiness(number);
            wait_until(limit, || {
                let asked = http::call(address, "GET", "/opalrun/readyz", &[], b"", Duration::from_secs(1));
                asked.is_ok_and(|(status, _)| status == 200)
            })
        })
    }

    /// Sends a signal to the processes of a machine with this role.
    pub fn signal(&self, machine_prefix: &str, role: &str, signal: i32) {
        for process in &self.processes {
            if process.machine.starts_with(machine_prefix)
                && process.role == role
                && let Some(child) = &process.child
            {
                // SAFETY: `kill` takes two integers; the process is a child that has not been waited for.
                unsafe { kill(child.id() as i32, signal) };
            }
        }
    }

    /// Returns the position of a process.
    #[must_use]
    pub fn position(&self, machine_prefix: &str, role: &str) -> Option<usize> {
        self.processes.iter().position(|p| p.machine.starts_with(machine_prefix) && p.role == role)
    }

    /// Returns the position of a process of an `edge` machine, counted from 1.
    #[must_use]
    pub fn edge_position(&self, number: u8, role: &str) -> Option<usize> {
        let ip = Ipv4Addr::new(127, self.net, 3, number);
        self.processes.iter().position(|process| process.ip == ip && process.role == role)
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, position: usize) {
        if let Some(mut child) = self.processes[position].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the names of processes that ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for process in &mut self.processes {
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                ended.push(format!("{} of {} ({status})", process.role, process.machine));
            }
        }
        ended
    }

    /// Returns the folder of the deployment.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }
}

impl Drop for Tier {
    fn drop(&mut self) {
        for position in 0..self.processes.len() {
            self.kill(position);
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Finds a second byte of 127.x.0.0 at whose addresses all ports of the deployment are free.
fn free_net(options: &Options) -> Option<u8> {
    let start = (std::process::id() % 200) as u8;
    (0..200_u8).map(|step| 20 + (start + step) % 200).find(|net| {
        let machines = [(1, options.cores + 1), (2, options.storages + 1), (3, options.edges)];
        machines.into_iter().all(|(third, count)| {
            (1..=count).all(|number| {
                [FRONTEND, READINESS, CONTROL, INNER.0, INNER.0 + 1].into_iter().all(|port| {
                    TcpListener::bind(SocketAddr::new(Ipv4Addr::new(127, *net, third, number).into(), port))
                        .is_ok()
                })
            })
        })
    })
}
