//! Gateway processes: each runs the built program with its own resource limits, directory and log.

use crate::{
    link::{Connection, FlowDirection, Link},
    record::{Event, GateState, Log},
    scenario::Disk,
    world::plan::Plan,
};
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Stdio,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, BufReader},
    net::TcpStream,
    process::{Child, Command},
    sync::{Notify, watch},
    time::sleep,
};

/// Number of last log lines of a gateway that are kept for error messages.
const LOG_TAIL_LINES: usize = 30;
/// Interval between readiness checks on `/up`.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time after SIGTERM at which a gateway that still runs is killed.
const STOP_TIMEOUT: Duration = Duration::from_millis(4500);

/// Addresses of a gateway and its peers.
pub struct Endpoints {
    /// Address at which it accepts client requests.
    pub listen: SocketAddr,
    /// Link to the clients' load balancer.
    pub front: Arc<Link>,
    /// Address of its discovery agent, and the one to which the agent may move.
    pub discovery: [SocketAddr; 2],
    /// Address of the shared counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Addresses for datagrams between gateways, if enabled.
    pub fleet: Option<FleetAddresses>,
}

/// Addresses for datagrams between gateways.
pub struct FleetAddresses {
    /// Address at which this gateway receives datagrams.
    pub listen: SocketAddr,
    /// By gateway, the relay's address under which the others reach it.
    pub relay: Vec<SocketAddr>,
}

/// Number of fleet members that a gateway contacts first.
const SEED_MEMBERS: usize = 3;

/// One gateway and its process.
pub struct Gate {
    pub index: usize,
    pub addr: SocketAddr,
    plan: Arc<Plan>,
    log: Arc<Log>,
    program: PathBuf,
    folder: PathBuf,
    endpoints: Endpoints,
    pub front: Arc<Link>,
    /// Whether clients send it requests.
    pub admitted: AtomicBool,
    running: Mutex<Option<Pid>>,
    /// Whether the lab has ended its process, so that an exit is expected.
    wanted: AtomicBool,
    /// Number of times that it was started.
    starts: AtomicU64,
    /// Last lines of its log.
    tail: Mutex<VecDeque<String>>,
    /// Number of times that its process has exited.
    pub ended: watch::Sender<u64>,
    /// Notified when it has become ready.
    pub ready: Notify,
    /// Greatest processor time of one of its processes in seconds, and peak resident memory in MB.
    used: Mutex<(f64, f64)>,
    /// Configuration of its latest start, for reloads.
    config: Mutex<Option<Value>>,
    /// Whether its discovery agent is at the second address.
    moved: AtomicBool,
    /// Number of the latest burst of disconnecting clients, and the share of clients that disconnects in it.
    pub leave: watch::Sender<(u64, f64)>,
    /// Files of its data directory at the last snapshot, to restore after a kill that loses writes.
    disk_snapshot: Mutex<Vec<(PathBuf, Vec<u8>)>>,
}

impl Gate {
    /// Returns a gateway that has not been started, with a directory of its own below `root`.
    ///
    /// # Errors
    /// The directory can't be created.
    pub fn new(
        index: usize,
        plan: Arc<Plan>,
        log: Arc<Log>,
        program: &Path,
        root: &Path,
        endpoints: Endpoints,
    ) -> io::Result<Arc<Self>> {
        let folder = root.join(format!("n{index}"));
        fs::create_dir_all(folder.join("state"))?;
        Ok(Arc::new(Self {
            index,
            addr: endpoints.listen,
            plan,
            log,
            program: program.to_owned(),
            folder,
            front: endpoints.front.clone(),
            endpoints,
            admitted: AtomicBool::new(false),
            running: Mutex::default(),
            wanted: AtomicBool::new(false),
            starts: AtomicU64::new(0),
            tail: Mutex::default(),
            ended: watch::channel(0).0,
            ready: Notify::new(),
            used: Mutex::default(),
            config: Mutex::default(),
            moved: AtomicBool::new(false),
            leave: watch::channel((0, 0.0)).0,
            disk_snapshot: Mutex::default(),
        }))
    }

    fn pid(&self) -> Option<Pid> {
        *self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id of its process, if one runs.
    pub fn process_id(&self) -> Option<u32> {
        self.pid().map(|pid| pid.as_raw_nonzero().get() as u32)
    }

    /// Returns the last lines of its log.
    pub fn tail(&self) -> Vec<String> {
        self.tail.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect()
    }

    fn record(&self, state: GateState) {
        self.log.record(Event::Gate { gate: self.index, state });
    }

    /// Returns the present address of its discovery agent.
    fn agent(&self) -> SocketAddr {
        self.endpoints.discovery[usize::from(self.moved.load(Ordering::Relaxed))]
    }

    /// Replaces its configuration file atomically, and returns the path.
    fn write_config(&self, config: &Value) -> io::Result<PathBuf> {
        let (temporary, path) = (self.folder.join("config.new"), self.folder.join("config.json"));
        fs::write(&temporary, config.to_string())?;
        fs::rename(&temporary, &path)?;
        Ok(path)
    }

    /// Starts its process with the list of workers `known`, unless one runs already.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn start(self: &Arc<Self>, known: &Value) -> io::Result<()> {
        if self.pid().is_some() {
            return Ok(());
        }
        let world = &self.plan.scenario.world;
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let seed = self.plan.stream(&format!("gate {} start {start}", self.index));
        let mut config = json!({
            "name": format!("n{}", self.index), "listen": self.addr.to_string(),
            "discovery": self.agent().to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": world.memory_mb, "sockets": world.sockets},
            "known": known, "settings": settings(&self.plan, self.index),
        });
        if let Some(counter) = self.endpoints.counter {
            config["counter"] = json!(counter.to_string());
        }
        if let Some(member) = &self.endpoints.fleet {
            let seeds: Vec<String> =
                member.relay.iter().take(SEED_MEMBERS).map(SocketAddr::to_string).collect();
            config["fleet"] = json!({"listen": member.listen.to_string(), "name": "lab", "seeds": seeds,
                "advertise": member.relay[self.index].to_string()});
        }
        let path = self.write_config(&config)?;
        *self.config.lock().unwrap_or_else(PoisonError::into_inner) = Some(config);
        let mut command = Command::new(&self.program);
        command.env_clear().env("NODE_CONFIG", path).env("TMPDIR", &self.folder);
        if world.events {
            command.env("NODE_LOG", "json:debug");
        }
        if world.disk {
            command.env("NODE_STATE", self.folder.join("state"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        if let Some(pid) = pid {
            // If the process has exited already, `wait_for_exit` reports it.
            let limit = |n: u64| Rlimit { current: Some(n), maximum: Some(n) };
            let _ = prlimit(Some(pid), Resource::Nofile, limit(world.sockets));
            let _ = prlimit(Some(pid), Resource::Data, limit(world.memory_mb << 20));
        }
        *self.running.lock().unwrap_or_else(PoisonError::into_inner) = pid;
        self.wanted.store(false, Ordering::Relaxed);
        if let Some(stderr) = child.stderr.take() {
            let gate = self.clone();
            tokio::spawn(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    gate.handle_log_line(line);
                }
            });
        }
        tokio::spawn(self.clone().wait_for_exit(child));
        tokio::spawn(self.clone().admit(start + 1));
        Ok(())
    }

    /// Records the cause that a log line gives for a request, or keeps the line for error messages.
    fn handle_log_line(&self, line: String) {
        if let Some(event) = reason(self.index, &line) {
            return self.log.record(event);
        }
        let mut tail = self.tail.lock().unwrap_or_else(PoisonError::into_inner);
        if tail.len() == LOG_TAIL_LINES {
            tail.pop_front();
        }
        tail.push_back(line);
    }

    /// Waits for its process to exit, sampling its resource usage, and records the exit.
    async fn wait_for_exit(self: Arc<Self>, mut child: Child) {
        let pid = child.id();
        let status = loop {
            tokio::select! {
                status = child.wait() => break status,
                () = sleep(Duration::from_millis(200)) => self.sample_usage(pid),
            }
        };
        self.running.lock().unwrap_or_else(PoisonError::into_inner).take();
        let wanted = self.wanted.load(Ordering::Relaxed);
        let status = status.map_or_else(|e| e.to_string(), |s| s.to_string());
        self.record(GateState::Exited { wanted, status });
        self.ended.send_modify(|n| *n += 1);
        // Clients stop using the gateway only after the configured delay.
        let (starts, notice) = (self.starts.load(Ordering::Relaxed), self.plan.scenario.clients.notice_s);
        sleep(Duration::from_secs_f64(notice)).await;
        if self.starts.load(Ordering::Relaxed) == starts {
            self.admitted.store(false, Ordering::Relaxed);
        }
    }

    /// Updates processor time and peak memory from `/proc`.
    fn sample_usage(&self, pid: Option<u32>) {
        let Some(pid) = pid else { return };
        let read = |what: &str| fs::read_to_string(format!("/proc/{pid}/{what}")).unwrap_or_default();
        let field = |text: &str, name: &str| {
            text.lines().find_map(|l| l.strip_prefix(name)?.split_whitespace().next()?.parse::<f64>().ok())
        };
        let peak = field(&read("status"), "VmHWM:").unwrap_or(0.0) / 1024.0;
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.1 = used.1.max(peak);
        // The first field is the time on a processor in nanoseconds.
        if let Some(ns) = read("schedstat").split_whitespace().next().and_then(|n| n.parse::<f64>().ok()) {
            used.0 = used.0.max(ns / 1e9);
        }
    }

    /// Returns its processor time in seconds and peak resident memory in MB.
    pub fn used(&self) -> (f64, f64) {
        self.sample_usage(self.process_id());
        *self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits it to the clients' choice once it answers `/up`, unless it is restarted meanwhile.
    async fn admit(self: Arc<Self>, start: u64) {
        while self.starts.load(Ordering::Relaxed) == start && self.pid().is_some() {
            if self.up().await {
                self.admitted.store(true, Ordering::Relaxed);
                self.record(GateState::Ready);
                self.ready.notify_waiters();
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Whether it answers `/up` with status 200 within one second.
    async fn up(&self) -> bool {
        if self.front.state().inbound.partitioned || self.front.state().refuse {
            return false;
        }
        let ask = async {
            let socket = TcpStream::connect(self.addr).await?;
            let mut conn = Connection::new(socket, self.front.clone());
            conn.write(FlowDirection::In, b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                .await?;
            crate::http::read(&mut conn).await
        };
        let answer = tokio::time::timeout(Duration::from_secs(1), ask).await;
        matches!(answer, Ok(Ok(Some(message))) if message.status() == 200)
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            // Fails only if the process has just exited.
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it, waits for the exit, and changes its data directory as `disk` demands.
    pub async fn kill(&self, disk: Disk, seed: u64) {
        if self.pid().is_none() {
            return;
        }
        self.wanted.store(true, Ordering::Relaxed);
        self.record(GateState::Killed);
        let mut ended = self.ended.subscribe();
        ended.borrow_and_update();
        self.signal(Signal::KILL);
        let _ = ended.changed().await;
        if let Err(error) = self.damage_disk(disk, seed) {
            // An error of the lab, not of the gateway: it is only added to the kept log lines.
            self.tail.lock().unwrap_or_else(PoisonError::into_inner).push_back(format!("lab: {error}"));
        }
    }

    /// Returns the files of its data directory.
    fn files(&self) -> io::Result<Vec<PathBuf>> {
        let mut files = Vec::new();
        for entry in fs::read_dir(self.folder.join("state"))? {
            let entry = entry?;
            if entry.metadata()?.is_file() {
                files.push(entry.path());
            }
        }
        files.sort();
        Ok(files)
    }

    /// Takes a snapshot of its data directory, which a later kill with stale contents restores.
    pub fn snapshot_disk(&self) {
        let files = self.files().unwrap_or_default();
        let read = |path: PathBuf| Some((path.clone(), fs::read(path).ok()?));
        *self.disk_snapshot.lock().unwrap_or_else(PoisonError::into_inner) =
            files.into_iter().filter_map(read).collect();
    }

    /// Changes the data directory as `disk` demands; a torn file is truncated at a length derived from `seed`.
    fn damage_disk(&self, disk: Disk, seed: u64) -> io::Result<()> {
        match disk {
            Disk::Kept => {}
            Disk::Empty => {
                for path in self.files()? {
                    fs::remove_file(path)?;
                }
            }
            Disk::Stale => {
                for path in self.files()? {
                    fs::remove_file(path)?;
                }
                for (path, bytes) in self.disk_snapshot.lock().unwrap_or_else(PoisonError::into_inner).iter()
                {
                    fs::write(path, bytes)?;
                }
            }
            Disk::Torn => {
                let modified = |path: &PathBuf| fs::metadata(path).and_then(|m| m.modified()).ok();
                if let Some(path) = self.files()?.into_iter().max_by_key(modified) {
                    let bytes = fs::read(&path)?;
                    fs::write(&path, &bytes[..seed as usize % bytes.len().max(1)])?;
                }
            }
        }
        Ok(())
    }

    /// Stops its process with SIGSTOP.
    pub fn pause(&self) {
        self.record(GateState::Paused);
        self.signal(Signal::STOP);
    }

    /// Continues its process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
        self.record(GateState::Continued);
    }

    /// Stops it with SIGTERM, or with SIGKILL if it does not exit in time. Returns once it has exited.
    pub async fn stop(&self) {
        if self.pid().is_none() {
            return;
        }
        self.wanted.store(true, Ordering::Relaxed);
        self.record(GateState::Terminated);
        let mut ended = self.ended.subscribe();
        ended.borrow_and_update();
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        // As in the protocol, clients stop using it shortly after SIGTERM.
        sleep(Duration::from_millis(300)).await;
        self.admitted.store(false, Ordering::Relaxed);
        if tokio::time::timeout(STOP_TIMEOUT, ended.changed()).await.is_err() {
            self.signal(Signal::KILL);
            let _ = ended.changed().await;
        }
    }

    /// Kills it without waiting for the exit, at the end of a run.
    pub fn kill_now(&self) {
        self.wanted.store(true, Ordering::Relaxed);
        self.signal(Signal::KILL);
    }

    /// Points it to its agent's second address, or to the first again, and reloads its configuration.
    ///
    /// # Errors
    /// The configuration file can't be written.
    pub fn move_agent(&self, second: bool) -> io::Result<()> {
        self.moved.store(second, Ordering::Relaxed);
        if let Some(config) = self.config.lock().unwrap_or_else(PoisonError::into_inner).as_mut() {
            config["discovery"] = json!(self.agent().to_string());
        }
        self.reload()
    }

    /// Writes its configuration file and sends SIGHUP.
    ///
    /// # Errors
    /// The configuration file can't be written.
    pub fn reload(&self) -> io::Result<()> {
        let config = self.config.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(config) = config {
            self.write_config(&config)?;
            self.signal(Signal::HUP);
        }
        Ok(())
    }
}

/// Parses a gateway's log line that gives the cause of a decision on a request; `None` for all other lines.
fn reason(gate: usize, line: &str) -> Option<Event> {
    if !line.starts_with('{') {
        return None;
    }
    let value: Value = serde_json::from_str(line).ok()?;
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let txn = u64::from_str_radix(text("txn")?, 16).ok()?;
    Some(Event::Reason { gate, txn, what: text("message")?.to_owned(), why: text("why")?.to_owned() })
}

/// Builds the settings object in a gateway's configuration, as the platform would write it.
fn settings(plan: &Plan, me: usize) -> Value {
    let (scenario, world) = (&plan.scenario, &plan.scenario.world);
    let class = |c: &crate::scenario::ClassSpec| {
        let (effect, group) = match c.effect {
            crate::scenario::Effect::Safe => ("idempotent", "all"),
            crate::scenario::Effect::Keyed => ("deduplicated", "zone"),
            crate::scenario::Effect::Unsafe => ("at_most_once", "all"),
        };
        json!({
            "Name": c.name, "Effect": effect, "Group": group, "Window": c.window_s, "Slo": c.aim_ms / 1e3,
            "Deadline": c.deadline_ms / 1e3, "Worth": c.worth, "LateWorth": c.late_worth, "Streamed": false,
        })
    };
    let plans = |p: &crate::scenario::PlanSpec| {
        json!({
            "Name": p.name, "QuotaRate": p.rate, "Depth": p.burst, "Open": p.open, "Pays": p.pays,
            "ExcessWorth": 0.0, "OverrunCost": 0.8, "CeilingRate": p.ceiling_rate,
            "CeilingBurst": p.ceiling_burst, "HardSlack": p.slack,
        })
    };
    json!({
        "Classes": scenario.classes.iter().map(class).collect::<Vec<_>>(),
        "Plans": scenario.plans.iter().map(plans).collect::<Vec<_>>(),
        "Clients": {"MarksRetry": true}, "Dcs": world.zones, "Discovery": "push", "DomainType": "gate",
        "Domain": {"HasCounter": scenario.counter.on, "CallPrice": 0.005, "MaxUnits": 1, "PostPaid": false,
            "CountLimit": scenario.counter.timeout_ms / 1e3},
        "Limits": {"Cancelling": true, "ConnIdle": 30.0, "ConnectTimeout": 0.25, "MayProbe": true,
            "OpenCap": 30000, "Peers": false, "RetryAfter": true, "SecondCopies": true,
            "MaxRetryAfter": scenario.clients.max_retry_after_ms / 1e3, "SendCap": world.max_attempts},
        "Locality": plan.gate_zones[me], "Me": me, "PeersTotal": world.gatekeepers, "Step": 0.002,
        "Rules": {"Cold": world.cold_s, "ColdFrom": world.cold_from, "Fall": world.fall_s,
            "FallMultiple": world.fall_multiple, "StopSendingWithin": world.drain_grace_s, "AnswerSlack": 0.008},
        "Weights": "none",
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_log_lines_with_request_and_cause_are_reasons() {
        let line = r#"{"level":"DEBUG","message":"refused","txn":"00000000000000ff","why":"even share"}"#;
        let want = Event::Reason { gate: 3, txn: 255, what: "refused".into(), why: "even share".into() };
        assert_eq!(reason(3, line), Some(want));
        for other in ["opalrun-gateway: n0 listens on 127.0.0.1:80", "{\"message\":\"x\"}", "{broken", ""] {
            assert_eq!(reason(3, other), None, "{other}");
        }
    }
}
