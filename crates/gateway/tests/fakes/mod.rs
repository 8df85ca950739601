//! Fake workers, counter and discovery on loopback sockets, and a runner for the built gateway program. They wait for
//! events, with a time-out far above the duration of any step.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, HashMap},
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::OwnedFd,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, Sender, channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Time-out of every wait for an event.
pub const LIMIT: Duration = Duration::from_secs(30);

/// An HTTP message: start line, headers by lower-case name, body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status line")
    }
    /// Value of the header `name` (in lower case); empty if absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; `None` at the end of the stream or on a read error.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.line.is_empty() {
            message.line = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_lowercase(), value.trim().to_owned());
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("bound");
    (listener, addr)
}

/// Runs `serve` in a separate thread for each connection, with the connection's number, counted from 0.
fn accept(listener: TcpListener, serve: impl Fn(TcpStream, usize) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, socket) in listener.incoming().flatten().enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve(socket, number));
        }
    });
}

// ---- Workers ----

/// How a fake worker handles a request.
#[derive(Clone)]
pub enum Behaviour {
    /// Responds with status 200 and this body.
    Respond(&'static str),
    /// Sends these bytes unchanged and keeps the connection.
    SendRaw(&'static str),
    /// Closes the connection without responding.
    Close,
    /// Responds, then shuts down its write side without `Connection: close`.
    RespondThenShutDownWrite,
    /// Sends these bytes unchanged and closes the connection.
    SendRawThenClose(&'static str),
    /// Responds; once the gate opens, sends a second response without a request.
    RespondThenSendUnsolicited(Arc<Gate>),
    /// Never responds, and keeps the connection until the gateway closes it.
    NeverRespond,
    /// Responds once the gate opens.
    RespondWhenOpened(Arc<Gate>),
    /// Closes the connection once the gate opens.
    CloseWhenOpened(Arc<Gate>),
}

/// A flag that threads wait for; once open it stays open.
#[derive(Default)]
pub struct Gate(Mutex<bool>, Condvar);

impl Gate {
    pub fn open(&self) {
        *self.0.lock().expect("no panic inside") = true;
        self.1.notify_all();
    }
    /// Waits until the gate is open, for [`LIMIT`] at most.
    pub fn wait(&self) {
        let guard = self.0.lock().expect("no panic inside");
        drop(self.1.wait_timeout_while(guard, LIMIT, |open| !*open).expect("no panic inside"));
    }
}

/// An event at a fake worker.
#[derive(Debug)]
pub enum WorkerEvent {
    /// A request, with the number of its connection.
    Request(usize, Message),
    /// The connection of this number has been closed.
    ConnectionClosed(usize),
    /// The worker has shut down the write side of a connection.
    WriteShutDown,
}

/// A fake worker.
pub struct Worker {
    pub addr: SocketAddr,
    pub events: Receiver<WorkerEvent>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Worker {
    pub fn start(behaviour: Behaviour) -> Self {
        let (listener, addr) = listen();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (event_sender, events) = channel();
        let current = behaviour.clone();
        accept(listener, move |socket, number| {
            serve_connection(&socket, number, &current, &event_sender);
            drop(socket);
            let _ = event_sender.send(WorkerEvent::ConnectionClosed(number));
        });
        Self { addr, events, behaviour }
    }

    /// Starts a worker that closes each connection as soon as it is accepted.
    pub fn closing_on_accept() -> Self {
        let (listener, addr) = listen();
        let (event_sender, events) = channel();
        accept(listener, move |socket, number| {
            drop(socket);
            let _ = event_sender.send(WorkerEvent::ConnectionClosed(number));
        });
        Self { addr, events, behaviour: Arc::new(Mutex::new(Behaviour::Close)) }
    }

    /// Changes how the worker handles requests received from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no panic inside") = behaviour;
    }

    /// Waits for the next request; skips other events.
    pub fn next_request(&self) -> (usize, Message) {
        loop {
            if let WorkerEvent::Request(number, message) = self.events.recv_timeout(LIMIT).expect("a request")
            {
                return (number, message);
            }
        }
    }

    /// Waits for an event that satisfies `wanted`; skips all others.
    pub fn wait_for_event(&self, wanted: impl Fn(&WorkerEvent) -> bool) {
        while !wanted(&self.events.recv_timeout(LIMIT).expect("the event")) {}
    }

    /// Returns the requests received and not yet returned by the methods above, without waiting.
    pub fn drain_requests(&self) -> Vec<Message> {
        let message = |event| if let WorkerEvent::Request(_, m) = event { Some(m) } else { None };
        self.events.try_iter().filter_map(message).collect()
    }
}

fn serve_connection(
    mut socket: &TcpStream,
    number: usize,
    behaviour: &Mutex<Behaviour>,
    events: &Sender<WorkerEvent>,
) {
    let mut reader = BufReader::new(socket);
    while let Some(message) = read_message(&mut reader) {
        let current = behaviour.lock().expect("no panic inside").clone();
        let _ = events.send(WorkerEvent::Request(number, message));
        let ok = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let response = match current {
            Behaviour::Respond(body) => ok(body),
            Behaviour::SendRaw(text) => text.to_owned(),
            Behaviour::Close => return,
            Behaviour::RespondThenShutDownWrite => {
                let _ = socket.write_all(ok("last").as_bytes());
                let _ = socket.shutdown(std::net::Shutdown::Write);
                let _ = events.send(WorkerEvent::WriteShutDown);
                let _ = socket.read(&mut [0]);
                return;
            }
            Behaviour::SendRawThenClose(text) => {
                let _ = socket.write_all(text.as_bytes());
                return;
            }
            Behaviour::RespondThenSendUnsolicited(gate) => {
                let _ = socket.write_all(ok("first").as_bytes());
                gate.wait();
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray".to_owned()
            }
            Behaviour::NeverRespond => {
                let _ = reader.read(&mut [0]);
                return;
            }
            Behaviour::RespondWhenOpened(gate) => {
                gate.wait();
                ok("waited")
            }
            Behaviour::CloseWhenOpened(gate) => return gate.wait(),
        };
        if socket.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

// ---- The counter ----

/// How the fake counter answers.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterBehaviour {
    Answer,
    Silent,
    /// Answers every call with "busy".
    Busy,
    /// Answers every call with bytes that are not part of the protocol.
    Garbage,
    /// On the first connection, answers the first call together with the second, in order.
    HoldFirstUntilSecond,
    /// Never answers on the first connection; answers on all others.
    FirstConnectionSilent,
}

/// A fake counter service.
pub struct Counter {
    pub addr: SocketAddr,
    /// Connection number and text line of each call received, pings included.
    pub calls: Receiver<(usize, String)>,
    /// Total by counter name.
    totals: Arc<Mutex<BTreeMap<String, f64>>>,
}

impl Counter {
    pub fn start(behaviour: CounterBehaviour) -> Self {
        Self::starting_at(behaviour, 0.0)
    }

    /// Starts a counter on which the first name called has a total of `first_total` already.
    pub fn starting_at(behaviour: CounterBehaviour, first_total: f64) -> Self {
        let (listener, addr) = listen();
        let (call_sender, calls) = channel();
        let totals = Arc::new(Mutex::new(BTreeMap::new()));
        let shared_totals = totals.clone();
        accept(listener, move |mut socket, number| {
            let reader = BufReader::new(socket.try_clone().expect("a socket"));
            let mut answers: Vec<String> = Vec::new();
            let mut call_count = 0;
            for line in reader.lines().map_while(Result::ok) {
                let fields: Vec<&str> = line.split(' ').collect();
                if fields[0] == "ping" {
                    answers.push("pong".into());
                } else {
                    call_count += 1;
                    let mut totals = shared_totals.lock().expect("no panic inside");
                    let start = if totals.is_empty() { first_total } else { 0.0 };
                    let total = totals.entry(fields[1].to_owned()).or_insert(start);
                    *total += fields[2].parse::<f64>().expect("an amount");
                    assert!(fields[3].parse::<u64>().is_ok_and(|ttl| ttl >= 1), "a lifetime in milliseconds");
                    answers.push(match behaviour {
                        CounterBehaviour::Busy => "busy".into(),
                        CounterBehaviour::Garbage => "\u{1}nonsense".into(),
                        _ => format!("ok {total}"),
                    });
                }
                let _ = call_sender.send((number, line.clone()));
                let silent = match behaviour {
                    CounterBehaviour::Silent => true,
                    CounterBehaviour::FirstConnectionSilent => number == 0,
                    CounterBehaviour::HoldFirstUntilSecond => number == 0 && call_count == 1,
                    _ => false,
                };
                if !silent {
                    let text: String = answers.drain(..).map(|a| a + "\r\n").collect();
                    let _ = socket.write_all(text.as_bytes());
                }
            }
        });
        Self { addr, calls, totals }
    }

    /// Waits for the next call other than a ping; returns connection number and text line.
    pub fn next_call(&self) -> (usize, String) {
        loop {
            let call = self.calls.recv_timeout(LIMIT).expect("a call");
            if call.1 != "ping" {
                return call;
            }
        }
    }

    /// Removes all totals, as after a restart without stored data.
    pub fn clear(&self) {
        self.totals.lock().expect("no panic inside").clear();
    }

    /// Sum of the totals of all names.
    pub fn total(&self) -> f64 {
        self.totals.lock().expect("no panic inside").values().sum()
    }
}

// ---- Discovery ----

/// The server list, and how the fake discovery answers.
#[derive(Default)]
struct DiscoveryState {
    /// Version of the list; incremented by every change.
    version: u64,
    /// Entries, each with the version of its last change.
    entries: Vec<(u64, Value)>,
    /// Responses carry truncated JSON.
    malformed: bool,
    /// Calls are not answered.
    silent: bool,
    /// Calls are answered with status 503.
    unavailable: bool,
}

/// A fake discovery service.
pub struct Discovery {
    pub addr: SocketAddr,
    /// The version that each call asks for changes from; 0 if the call asks for the full list.
    watches: Receiver<u64>,
    state: Arc<(Mutex<DiscoveryState>, Condvar)>,
}

/// A discovery entry in zone "hall-a" for a worker at `addr`.
pub fn discovery_entry(id: &str, addr: SocketAddr, state: &str) -> Value {
    json!({"id": id, "addr": addr.to_string(), "zone": "hall-a", "kind": "k", "cell": 1, "state": state,
        "weight": 1.0, "started_ms": 0})
}

impl Discovery {
    pub fn start(entries: &[Value]) -> Self {
        let (listener, addr) = listen();
        let state = Arc::new((Mutex::new(DiscoveryState::default()), Condvar::new()));
        let (watch_sender, watches) = channel();
        let shared = state.clone();
        accept(listener, move |mut socket, _| {
            let mut reader = BufReader::new(socket.try_clone().expect("a socket"));
            while let Some(message) = read_message(&mut reader) {
                let from = message.line.split_once("from=").map(|(_, rest)| {
                    rest.split(['&', ' ']).next().and_then(|v| v.parse::<u64>().ok()).expect("a version")
                });
                let _ = watch_sender.send(from.unwrap_or(0));
                let (state, changed) = &*shared;
                let guard = state.lock().expect("no panic inside");
                // Waits 1 s at most: the protocol allows a shorter wait than the call asks for.
                let wait = |state: &mut DiscoveryState| {
                    state.silent || (!state.malformed && !state.unavailable && from == Some(state.version))
                };
                let (state, _) =
                    changed.wait_timeout_while(guard, Duration::from_secs(1), wait).expect("no panic inside");
                if state.silent {
                    drop(state);
                    let _ = reader.read(&mut [0]);
                    return;
                }
                if state.unavailable {
                    drop(state);
                    let _ =
                        socket.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                let newer = state.entries.iter().filter(|(v, _)| from.is_none_or(|from| *v > from));
                let servers: Vec<&Value> = newer.map(|(_, e)| e).collect();
                let list = json!({"version": state.version, "full": from.is_none(), "servers": servers});
                let body = if state.malformed { "{\"version\":".to_owned() } else { list.to_string() };
                drop(state);
                let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                let _ = socket.write_all(response.as_bytes());
            }
        });
        let discovery = Self { addr, watches, state };
        for entry in entries {
            discovery.upsert(entry.clone());
        }
        discovery
    }

    fn modify(&self, change: impl FnOnce(&mut DiscoveryState)) {
        change(&mut self.state.0.lock().expect("no panic inside"));
        self.state.1.notify_all();
    }

    /// Inserts or replaces an entry; returns the list's new version.
    pub fn upsert(&self, entry: Value) -> u64 {
        let mut version = 0;
        self.modify(|state| {
            state.version += 1;
            version = state.version;
            state.entries.retain(|(_, e)| e["id"] != entry["id"]);
            state.entries.push((version, entry));
        });
        version
    }

    /// Whether calls are answered with truncated JSON.
    pub fn set_malformed(&self, on: bool) {
        self.modify(|state| state.malformed = on);
    }

    /// Whether calls stay unanswered.
    pub fn set_silent(&self, on: bool) {
        self.modify(|state| state.silent = on);
    }

    /// Whether calls are answered with status 503.
    pub fn set_unavailable(&self, on: bool) {
        self.modify(|state| state.unavailable = on);
    }

    /// Waits for a call that asks for changes from `version` or later: the gateway has then applied the list up to
    /// that version.
    pub fn wait_for_watch_from(&self, version: u64) {
        while self.watches.recv_timeout(LIMIT).expect("a watch") < version {}
    }

    /// Waits for the next call; returns the version it asks for changes from, 0 for the full list.
    pub fn next_watch(&self) -> u64 {
        self.watches.recv_timeout(LIMIT).expect("a call")
    }
}

// ---- The program ----

/// Settings with an idempotent class, an at-most-once class, a plan without a quota, and the plan "pieni" with a quota
/// of 0.01 units/s and a burst of 8.
pub fn settings() -> Value {
    json!({
        "Classes": [
            {"Name": "check-answer", "Effect": "idempotent", "Group": "all", "Slo": 20.0, "Deadline": 30.0},
            {"Name": "submit", "Effect": "at_most_once", "Group": "all", "Slo": 20.0, "Deadline": 30.0},
        ],
        "Dcs": ["hall-a"], "Discovery": "push", "Locality": 0, "Me": 0, "PeersTotal": 2, "Step": 0.002,
        "Domain": {"HasCounter": true, "CountLimit": 0.05, "MaxUnits": 1, "PostPaid": false},
        "Limits": {"Cancelling": true, "ConnIdle": 30.0, "ConnectTimeout": 0.25, "SendCap": 4,
            "SecondCopies": true, "RetryAfter": true, "MaxRetryAfter": 1.0, "MayProbe": true, "OpenCap": 1000},
        "Plans": [
            {"Name": "free", "QuotaRate": 0.0, "Depth": 0.0},
            {"Name": "pieni", "QuotaRate": 0.01, "Depth": 8.0, "OverrunCost": 1.2},
        ],
        "Rules": {"Cold": 16.0, "ColdFrom": 0.25, "Fall": 1.0, "FallMultiple": 4.0},
    })
}

/// Number of the next temporary file.
static NEXT_FILE: AtomicU64 = AtomicU64::new(1);

fn config_file() -> PathBuf {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!("opalrun-gateway-test-{}-{number}.json", std::process::id()))
}

/// Creates an empty temporary folder with a unique name.
pub fn create_temp_folder() -> PathBuf {
    let folder = config_file().with_extension("d");
    std::fs::create_dir(&folder).expect("a writable folder for temporary files");
    folder
}

/// Starts the gateway with `config` as its configuration.
pub fn spawn_gateway(config: &str) -> Child {
    spawn_gateway_with_file(&config_file(), config)
}

fn spawn_gateway_with_file(path: &Path, config: &str) -> Child {
    std::fs::write(path, config).expect("a writable folder for temporary files");
    Command::new(env!("CARGO_BIN_EXE_opalrun-gateway"))
        .env("NODE_CONFIG", path)
        .stdin(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

/// A running gateway process; killed when dropped.
pub struct Node {
    pub addr: SocketAddr,
    /// Address of the admin API; port 0 if it is off.
    pub admin_addr: SocketAddr,
    pub child: Child,
    /// Lines of the process's log.
    pub log: Receiver<String>,
    config: PathBuf,
}

/// The configuration that a node is started with; [`NodeSetup::new`] sets what most tests need.
pub struct NodeSetup {
    pub name: String,
    pub settings: Value,
    /// The server list in the configuration file (its key `known`).
    pub initial_servers: Vec<Value>,
    /// Version of that list.
    pub initial_version: u64,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    /// The configured limit of open descriptors.
    pub max_sockets: usize,
    /// Whether the admin API listens, on an address of its own.
    pub has_admin_api: bool,
    /// Trial period of configuration changes; `None` if they have none.
    pub trial: Option<Value>,
    /// Folder of the journal and of the last good configuration.
    pub state_folder: Option<PathBuf>,
    /// Format and level of the log.
    pub log: Option<Value>,
    /// The fleet's other gateways and this one's place among them.
    pub fleet: Option<Value>,
}

impl NodeSetup {
    /// A setup with `workers` as `w0`, `w1` and so on, both in the initial list and in the returned discovery.
    pub fn new(workers: &[&Worker]) -> (Self, Discovery) {
        let entries: Vec<Value> = workers
            .iter()
            .enumerate()
            .map(|(i, w)| discovery_entry(&format!("w{i}"), w.addr, "SERVING"))
            .collect();
        let discovery = Discovery::start(&entries);
        let addr = discovery.addr;
        (
            Self {
                name: "n0".into(),
                settings: settings(),
                initial_servers: entries,
                initial_version: 0,
                discovery: addr,
                counter: None,
                max_sockets: 256,
                has_admin_api: false,
                trial: None,
                state_folder: None,
                log: None,
                fleet: None,
            },
            discovery,
        )
    }

    /// The configuration file's content.
    pub fn config(&self) -> Value {
        let admin = self.has_admin_api.then_some("127.0.0.1:0");
        let mut config = json!({
            "name": self.name, "admin": admin, "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": "8c1f30d27a5be964", "counter": self.counter.map(|c| c.to_string()),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.max_sockets},
            "known": {"version": self.initial_version, "full": true, "servers": self.initial_servers},
            "settings": self.settings,
        });
        let state = self.state_folder.as_ref().map(|s| json!(s));
        let (log, fleet) = (self.log.clone(), self.fleet.clone());
        let extra = [("trial", self.trial.clone()), ("state", state), ("log", log), ("fleet", fleet)];
        for (key, value) in extra.into_iter().filter_map(|(key, value)| Some((key, value?))) {
            config[key] = value;
        }
        config
    }

    /// Writes `text` to a configuration file; returns the command to start with it, and the file.
    fn command(text: &str, state: &Path) -> (Command, PathBuf) {
        let config = config_file();
        std::fs::write(&config, text).expect("a writable folder for temporary files");
        let mut command = Command::new(env!("CARGO_BIN_EXE_opalrun-gateway"));
        command.env("NODE_CONFIG", &config).env("NODE_STATE", state);
        command.stdin(Stdio::null()).stderr(Stdio::piped());
        (command, config)
    }

    /// Starts the gateway with `text` as its configuration file and `state` as its state folder.
    pub fn start_with_config_text(&self, text: &str, state: &Path) -> Node {
        let (mut command, config) = Self::command(text, state);
        let child = command.spawn().expect("the program starts");
        self.node(child, config)
    }

    /// Starts the gateway as [`NodeSetup::start_with_config_text`] does and waits for it to exit; panics if it
    /// is still running after [`LIMIT`].
    pub fn run_with_config_text(&self, text: &str, state: &Path) -> std::process::Output {
        let mut child =
            Self::command(text, state).0.stdout(Stdio::piped()).spawn().expect("the program starts");
        let start = Instant::now();
        while child.try_wait().expect("its own child").is_none() {
            if start.elapsed() > LIMIT {
                child.kill().expect("its own child");
                panic!("the gateway serves instead of exiting");
            }
            thread::sleep(Duration::from_millis(5));
        }
        child.wait_with_output().expect("its own child")
    }

    pub fn start(&self) -> Node {
        let config = config_file();
        let child = spawn_gateway_with_file(&config, &self.config().to_string());
        self.node(child, config)
    }

    /// Starts the gateway under a system limit of `limit` descriptors, whatever limit its configuration sets.
    pub fn start_with_descriptor_limit(&self, limit: usize) -> Node {
        let config = config_file();
        std::fs::write(&config, self.config().to_string()).expect("a writable folder for temporary files");
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {limit}; exec \"$0\""), env!("CARGO_BIN_EXE_opalrun-gateway")])
            .env("NODE_CONFIG", &config)
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        self.node(child, config)
    }

    /// Starts the gateway with `listener` as its inherited descriptor 4 and `folder` as its `$TMPDIR`.
    pub fn start_on_listener(&self, listener: &TcpListener, folder: &Path) -> Node {
        let config = config_file();
        std::fs::write(&config, self.config().to_string()).expect("a writable folder for temporary files");
        let listener = listener.try_clone().expect("a descriptor");
        let child = Command::new("sh")
            .args(["-c", "exec \"$0\" 4<&0 </dev/null", env!("CARGO_BIN_EXE_opalrun-gateway")])
            .env("NODE_CONFIG", &config)
            .env("NODE_LISTEN_FD", "4")
            .env("TMPDIR", folder)
            .stdin(OwnedFd::from(listener))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        self.node(child, config)
    }

    /// Waits until the process logs the addresses it listens on.
    fn node(&self, mut child: Child, config: PathBuf) -> Node {
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let (lines, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).for_each(|line| drop(lines.send(line))));
        let unset = "127.0.0.1:0".parse().expect("an address");
        let mut node = Node { addr: unset, admin_addr: unset, child, log, config };
        // The address is the last word of the message, which a JSON log ends with a quote and a brace.
        let address_in = |line: String| {
            let last = line.trim_end_matches(['"', '}']).rsplit(' ').next();
            last.and_then(|a| a.parse().ok()).expect("an address")
        };
        if self.has_admin_api {
            node.admin_addr = address_in(node.wait_for_log("serves the admin API on "));
        }
        let line = node.wait_for_log("listens on ");
        node.addr = address_in(line);
        node
    }
}

impl Node {
    /// Waits for a log line that contains `text`; discards the lines before it.
    pub fn wait_for_log(&self, text: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LIMIT).expect("the line");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Stops the process with SIGSTOP and waits until it has stopped. It handles whatever happens until
    /// [`Node::resume`] at once.
    pub fn pause(&self) {
        self.signal("-STOP");
        let start = Instant::now();
        let stat = || std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("a process");
        while !stat().rsplit(") ").next().is_some_and(|rest| rest.starts_with('T')) {
            assert!(start.elapsed() < LIMIT, "the process does not stop");
            thread::yield_now();
        }
    }

    pub fn resume(&self) {
        self.signal("-CONT");
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and signals the process to reload it.
    pub fn reload(&self, config: &str) {
        self.replace_config(config);
        self.send_sighup();
    }

    /// Replaces the configuration file atomically, by writing a new file and renaming it.
    pub fn replace_config(&self, config: &str) {
        let new_file = self.config.with_extension("new");
        std::fs::write(&new_file, config).expect("a writable folder for temporary files");
        std::fs::rename(&new_file, &self.config).expect("the file the gateway was started with");
    }

    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    pub fn config_path(&self) -> &Path {
        &self.config
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(start.elapsed() < LIMIT, "the process does not exit");
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Opens a client connection.
    pub fn connect(&self) -> Client {
        Client::connect(self.addr)
    }

    /// Calls the admin API with `line` (method and path); returns the response's status.
    pub fn admin_status(&self, line: &str) -> u16 {
        self.admin_call(line).status()
    }

    /// Calls the admin API with `line` (method and path); returns the response.
    pub fn admin_call(&self, line: &str) -> Message {
        let mut socket = TcpStream::connect(self.admin_addr).expect("the admin API listens");
        socket.set_read_timeout(Some(LIMIT)).expect("a socket");
        write!(socket, "{line} HTTP/1.1\r\nHost: n0\r\n\r\n").expect("a socket");
        read_message(&mut BufReader::new(socket)).expect("an answer")
    }

    /// The JSON response of `GET /control/{name}`.
    pub fn report(&self, name: &str) -> Value {
        serde_json::from_slice(&self.admin_call(&format!("GET /control/{name}")).body).expect("JSON")
    }

    /// Polls [`Node::report`] until the report satisfies `condition`, and returns it.
    pub fn wait_for_report(&self, name: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let start = Instant::now();
        loop {
            let report = self.report(name);
            if condition(&report) {
                return report;
            }
            assert!(start.elapsed() < LIMIT, "still {report}");
            thread::yield_now();
        }
    }

    /// Polls the report of the connection pool of the worker `id` until it satisfies `condition`, and returns it.
    pub fn wait_for_pool(&self, id: &str, condition: impl Fn(&Value) -> bool) -> Value {
        let find = |report: &Value| {
            let pools = report["workers"].as_array().expect("a list");
            pools.iter().find(|p| p["id"] == id).filter(|p| condition(p)).cloned()
        };
        find(&self.wait_for_report("pools", |report| find(report).is_some()))
            .expect("the pool was just found")
    }

    /// Number of open descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("a process").count()
    }

    /// Sends one request on a new connection and returns the response.
    pub fn request(&self, request: &ClientRequest) -> Message {
        self.connect().request(request)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client connection to a gateway.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

/// A client's HTTP request.
#[derive(Clone)]
pub struct ClientRequest {
    /// Request line.
    pub line: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl ClientRequest {
    /// A valid request of the idempotent class, without a body.
    pub fn new(txn: &str) -> Self {
        let headers = vec![
            ("Host", "backend.local".to_owned()),
            ("X-Txn", txn.to_owned()),
            ("X-Lane", "check-answer".to_owned()),
            ("X-Plan", "free".to_owned()),
            ("X-Customer", "00000000b4d65521".to_owned()),
            ("X-Remaining", "25.0".to_owned()),
            ("X-Quota", "units=1,spread=2,first=0".to_owned()),
        ];
        Self { line: "GET /check-answer HTTP/1.1".into(), headers, body: Vec::new() }
    }

    /// A valid request of the at-most-once class, with a body.
    pub fn submit(txn: &str) -> Self {
        let mut request = Self::new(txn).with_header("X-Lane", "submit");
        request.line = "POST /submit HTTP/1.1".into();
        request.body = b"answer".to_vec();
        request
    }

    /// Adds the header, or replaces its value.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(n, _)| *n != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn without_header(mut self, name: &str) -> Self {
        self.headers.retain(|(n, _)| *n != name);
        self
    }

    /// The request as sent, with a `Content-Length` for its body unless its headers frame it already.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.line);
        self.headers.iter().for_each(|(n, v)| text += &format!("{n}: {v}\r\n"));
        let framed = self.headers.iter().any(|(n, _)| *n == "Transfer-Encoding" || *n == "Content-Length");
        if !self.body.is_empty() && !framed {
            text += &format!("Content-Length: {}\r\n", self.body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

impl Client {
    pub fn connect(addr: SocketAddr) -> Self {
        let socket = TcpStream::connect(addr).expect("the gateway listens");
        socket.set_read_timeout(Some(LIMIT)).expect("a socket");
        Self { reader: BufReader::new(socket) }
    }

    pub fn send(&mut self, request: &ClientRequest) {
        // Ignores write errors: the gateway may respond and close before it has read a request that is too long.
        let _ = self.reader.get_mut().write_all(&request.bytes());
    }

    /// Reads one response; `None` if the connection ends before it is complete.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Sends one request and returns the response.
    pub fn request(&mut self, request: &ClientRequest) -> Message {
        self.send(request);
        self.read_response().expect("a complete response")
    }
}
