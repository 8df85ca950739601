//! One machine of the tier: its processes with their settings files, a loopback address, and a data folder.

use super::settings_file::Class;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File},
    io,
    net::Ipv4Addr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
    thread,
    time::{Duration, Instant},
};
use tokio::{
    process::{Child, Command},
    time::timeout,
};

/// Environment variable that holds the path of a process's settings file.
const SETTINGS_VARIABLE: &str = "OPALRUN_CONFIG";
/// Maximum wait for the exit of a killed process; far longer than it takes.
const KILL_TIMEOUT: Duration = Duration::from_secs(5);
/// Lines at the end of each log that are shown after a failure.
const LOG_TAIL_LINES: usize = 12;

/// A process of a machine, running or not.
#[derive(Debug)]
struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    /// Length of the log file when the process was last started, in bytes.
    log_start: usize,
    child: Option<Child>,
}

/// A machine of the tier.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub class: Class,
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Whether it starts for the first time together with the whole system, with an empty data folder.
    pub bootstrap: bool,
    program: PathBuf,
    folder: PathBuf,
    processes: Vec<Process>,
}

impl Machine {
    /// Creates a machine with its own folder, without starting its processes.
    ///
    /// # Errors
    /// A folder can't be created or deleted.
    pub fn new(
        name: &str,
        class: Class,
        ip: Ipv4Addr,
        zone: &str,
        program: &Path,
        root: &Path,
    ) -> io::Result<Self> {
        let folder = root.join(name);
        fs::create_dir_all(folder.join("data"))?;
        let processes = class.roles().iter().map(|role| Process {
            role,
            settings: folder.join(format!("{role}.toml")),
            log: folder.join(format!("{role}.log")),
            log_start: 0,
            child: None,
        });
        Ok(Self {
            name: name.to_owned(),
            class,
            ip,
            zone: zone.to_owned(),
            bootstrap: false,
            program: program.to_owned(),
            processes: processes.collect(),
            folder,
        })
    }

    /// Returns the folder in which the machine's processes store their data.
    #[must_use]
    pub fn data_dir(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// Returns the path of a role's settings file.
    #[must_use]
    pub fn settings_path(&self, role: &str) -> PathBuf {
        self.folder.join(format!("{role}.toml"))
    }

    /// Starts every process that is not running.
    ///
    /// # Errors
    /// A process can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        let program = self.program.clone();
        self.processes.iter_mut().filter(|p| p.child.is_none()).try_for_each(|p| p.start(&program))
    }

    /// Starts the process of a role unless it is running.
    ///
    /// # Errors
    /// The process can't be started.
    pub fn start_role(&mut self, role: &str) -> io::Result<()> {
        let program = self.program.clone();
        let idle = self.processes.iter_mut().filter(|p| p.child.is_none() && p.role == role);
        idle.into_iter().try_for_each(|p| p.start(&program))
    }

    /// Kills every process with SIGKILL, as a power loss would end them, and waits until they have exited.
    pub async fn kill(&mut self) {
        self.signal(Signal::KILL);
        for process in &mut self.processes {
            process.reap().await;
        }
    }

    /// Kills the process of one role with SIGKILL and waits until it has exited.
    pub async fn kill_role(&mut self, role: &str) {
        for process in self.processes.iter_mut().filter(|p| p.role == role) {
            process.signal(Signal::KILL);
            process.reap().await;
        }
    }

    /// Sends a signal to every running process.
    pub fn signal(&self, signal: Signal) {
        self.processes.iter().for_each(|p| p.signal(signal));
    }

    /// Waits until every process has exited and kills each that has not within `limit`. Returns whether all exited in time
    /// with status 0.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let mut all_succeeded = true;
        for process in &mut self.processes {
            all_succeeded &= process.wait_for_exit(limit).await.is_some_and(|status| status.success());
        }
        all_succeeded
    }

    /// Deletes the data of a machine that is not running.
    ///
    /// # Errors
    /// A folder can't be created or deleted.
    pub fn wipe(&mut self) -> io::Result<()> {
        fs::remove_dir_all(self.data_dir())?;
        fs::create_dir_all(self.data_dir())
    }

    /// Returns the roles and ids of the running processes.
    #[must_use]
    pub fn process_ids(&self) -> Vec<(&'static str, u32)> {
        let id = |process: &Process| Some((process.role, process.child.as_ref()?.id()?));
        self.processes.iter().filter_map(id).collect()
    }

    /// Describes the processes that have exited without having been stopped.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let mut exits = Vec::new();
        for process in &mut self.processes {
            if let Some(child) = &mut process.child
                && let Ok(Some(status)) = child.try_wait()
            {
                exits.push(format!("{} of {}: {status}", process.role, self.name));
            }
        }
        exits
    }

    /// Whether the log of any of its processes contains `text` since that process was last started.
    #[must_use]
    pub fn has_logged_since_start(&self, text: &str) -> bool {
        self.processes.iter().any(|p| p.logged_since_start().contains(text))
    }

    /// Whether the log of any of its processes contains `text`.
    #[must_use]
    pub fn has_logged(&self, text: &str) -> bool {
        self.processes.iter().any(|p| fs::read_to_string(&p.log).is_ok_and(|log| log.contains(text)))
    }

    /// Returns the last log lines of all its processes.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let tails = self.processes.iter().map(|p| {
            let log = fs::read_to_string(&p.log).unwrap_or_default();
            let lines: Vec<&str> = log.lines().collect();
            let tail = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            format!("-- {} of {}\n{}\n", p.role, self.name, tail.join("\n"))
        });
        tails.collect()
    }
}

impl Drop for Machine {
    /// Kills every process and waits until it has exited, because the next tier may reuse the addresses immediately.
    fn drop(&mut self) {
        self.signal(Signal::KILL);
        for process in &mut self.processes {
            process.wait_for_killed();
        }
    }
}

impl Process {
    fn start(&mut self, program: &Path) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        self.log_start = usize::try_from(log.metadata()?.len()).unwrap_or(usize::MAX);
        let child = Command::new(program)
            .arg(self.role)
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn logged_since_start(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.get(self.log_start..).unwrap_or_default().to_owned()
    }

    fn signal(&self, signal: Signal) {
        let id = self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(id) = id {
            // Fails if the process has exited in the meantime.
            let _ = kill_process(id, signal);
        }
    }

    async fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process was killed, so its exit status does not matter.
            let _ = child.wait().await;
        }
    }

    /// Waits for the exit of a killed process without the async runtime, for at most `KILL_TIMEOUT`.
    fn wait_for_killed(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let deadline = Instant::now() + KILL_TIMEOUT;
        while matches!(child.try_wait(), Ok(None)) && Instant::now() < deadline {
            thread::yield_now();
        }
    }

    /// Waits for the process to exit; `None`: it did not within `limit` and was killed.
    async fn wait_for_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let mut child = self.child.take()?;
        let ended = timeout(limit, child.wait()).await;
        if ended.is_err() {
            // Fails if the process has exited in the meantime.
            let _ = child.kill().await;
        }
        ended.ok()?.ok()
    }
}
