//! Runs a scenario: starts real gateway processes among simulated workers, clients, discovery and counter, injects
//! faults on the links between them, and records all events.

pub mod counter;
pub mod discovery;
mod faults;
pub mod front;
pub mod gates;
pub mod plan;
mod run_delay_monitor;
pub mod worker;

use crate::{
    link::{Link, LinkListener, Relay},
    record::{FORMAT_VERSION, Header, Log, Meter, Recording},
    scenario::{Direction, Peers, Scenario},
};
use counter::Counter;
use discovery::Discovery;
use front::Front;
use gates::{Endpoints, FleetAddresses, Gate};
use plan::{Plan, mix};
use run_delay_monitor::RunDelayMonitor;
use socket2::{Domain, Socket, Type};
use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout_at},
};
use worker::Worker;

/// Time within which all gateways must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Greatest 99th percentile of the lab's own send delay; beyond it the run is void, as it tells nothing about the
/// gateways.
const MAX_P99_LATENESS_MS: f64 = 20.0;

/// Reason why a run could not be completed.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    #[error("the environment can't be set up: {0}")]
    System(#[from] io::Error),
    #[error("can't start {program}: {error}")]
    Program { program: PathBuf, error: io::Error },
    #[error("gateway n{gate} is not ready: {why}\n{}", tail.join("\n"))]
    Gate { gate: usize, why: String, tail: Vec<String> },
    #[error("interrupted by the user")]
    Stopped,
}

/// Inputs of a run.
pub struct Play {
    pub scenario: Scenario,
    pub seed: u64,
    /// Executable of the gateway.
    pub program: PathBuf,
    /// Directory for the gateways' temporary directories, which are removed after the run.
    pub root: PathBuf,
}

/// Progress of a run, for display.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    /// First tries sent so far.
    pub sent: u64,
    /// First tries planned for the whole run.
    pub planned: u64,
    /// Seconds since the load began.
    pub at_s: f64,
}

/// All links of a run, by the kind of their far end; the first index is the gateway.
struct Links {
    workers: Vec<Vec<Arc<Link>>>,
    counter: Vec<Arc<Link>>,
    discovery: Vec<Arc<Link>>,
    front: Vec<Arc<Link>>,
    /// One-way links between gateways, at index `from * gatekeepers + to`.
    gates: Vec<Arc<Link>>,
}

impl Links {
    fn new(plan: &Plan) -> Self {
        let world = &plan.scenario.world;
        let ms = |ms: f64| Duration::from_secs_f64(ms / 1e3);
        let seed = |what: &str, gate: usize| plan.stream(&format!("link {what} {gate}"));
        let gates = 0..world.gatekeepers;
        let near = |what: &'static str| {
            gates.clone().map(move |g| Link::new(ms(world.near_ms), mix(g as u64 ^ seed(what, g))))
        };
        let workers = |gate: usize| {
            let to = |worker: usize| {
                let far = plan.gate_zones[gate] != plan.worker_zones[worker];
                let delay = if far { world.far_ms } else { world.near_ms };
                Link::new(ms(delay), mix(seed("worker", gate) ^ worker as u64))
            };
            (0..world.workers).map(to).collect()
        };
        let between = |i: usize| {
            let (from, to) = (i / world.gatekeepers, i % world.gatekeepers);
            let far = plan.gate_zones[from] != plan.gate_zones[to];
            let delay = if far { world.far_ms } else { world.near_ms };
            Link::new(ms(delay), mix(seed("gate", from) ^ to as u64))
        };
        Self {
            workers: gates.clone().map(workers).collect(),
            counter: near("counter").collect(),
            // The discovery agent runs on the gateway's own machine, so the link has no delay.
            discovery: gates.clone().map(|g| Link::new(Duration::ZERO, seed("agent", g))).collect(),
            front: near("front").collect(),
            gates: (0..world.gatekeepers * world.gatekeepers).map(between).collect(),
        }
    }

    /// Returns the links of `gate` to `peers`; `others` are the indices of the selected workers or gateways, and `way`
    /// is the direction between gateways.
    fn of(&self, gate: usize, peers: &Peers, others: &[usize], way: Direction) -> Vec<&Arc<Link>> {
        let (workers, n) = (others, self.front.len());
        let to_workers = || workers.iter().map(|w| &self.workers[gate][*w]);
        match peers {
            Peers::Workers(_) => to_workers().collect(),
            Peers::Counter => vec![&self.counter[gate]],
            Peers::Discovery => vec![&self.discovery[gate]],
            Peers::Front => vec![&self.front[gate]],
            Peers::All => {
                let rest = [&self.counter[gate], &self.discovery[gate], &self.front[gate]];
                self.workers[gate].iter().chain(rest).collect()
            }
            // Between gateways each direction is a link of its own.
            Peers::Gates(_) => {
                let out = others.iter().filter(|_| way != Direction::In).map(|to| &self.gates[gate * n + to]);
                let into =
                    others.iter().filter(|_| way != Direction::Out).map(|from| &self.gates[from * n + gate]);
                out.chain(into).collect()
            }
        }
    }
}

/// All parts of a running scenario, shared with the tasks that inject faults.
struct World {
    plan: Arc<Plan>,
    log: Arc<Log>,
    links: Links,
    workers: Vec<Arc<Worker>>,
    counter: Arc<Counter>,
    discovery: Arc<Discovery>,
    /// By gateway, whether its discovery agent accepts connections at its first and at its second address.
    agents: Vec<[watch::Sender<bool>; 2]>,
    gates: Vec<Arc<Gate>>,
}

/// Number of addresses that the runs of one process use in turn; the last octet is neither 0 nor 255.
const RUN_ADDRESSES: u8 = 254;

/// Returns a loopback address for one run, so that concurrent runs do not share ports.
fn run_address() -> IpAddr {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let (pid, run) = (std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
    let host = 1 + run % RUN_ADDRESSES;
    IpAddr::V4(Ipv4Addr::new(127, 64 + (pid % 128) as u8, (pid / 128 % 256) as u8, host))
}

/// Ports for gateways: below Linux's ephemeral ports (from 32,768 on), so that the kernel assigns none of them to
/// another process.
const GATE_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// Allocates the gateway ports of one run at its own address, each once.
///
/// The ports are not kept open until their gateways start: a process forked by another thread at that moment would
/// inherit the listener until it executes its program, and the port would be in use.
struct GatePorts {
    ip: IpAddr,
    remaining: std::ops::Range<u16>,
}

impl GatePorts {
    fn new(ip: IpAddr) -> Self {
        Self { ip, remaining: GATE_PORTS }
    }

    /// Returns the address with the next port on which no process listens.
    fn next(&mut self) -> io::Result<SocketAddr> {
        let is_free = |address: &SocketAddr| {
            let socket = Socket::new(Domain::for_address(*address), Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.bind(&(*address).into())
        };
        for port in &mut self.remaining {
            let address = SocketAddr::new(self.ip, port);
            match is_free(&address) {
                Ok(()) => return Ok(address),
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
                Err(error) => return Err(error),
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }
}

/// Accepts connections on `port` whenever `up` is true, and serves each in a task of its own.
fn serve<F>(
    tasks: &mut JoinSet<()>,
    mut port: LinkListener,
    up: &watch::Sender<bool>,
    serve: impl Fn(crate::link::Connection) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut up = up.subscribe();
    tasks.spawn(async move {
        let mut conns = JoinSet::new();
        loop {
            tokio::select! {
                conn = port.accept(&mut up) => match conn {
                    Ok(conn) => drop(conns.spawn(serve(conn))),
                    // The address can't be bound again yet: retries shortly.
                    Err(_) => sleep(Duration::from_millis(20)).await,
                },
                Some(_) = conns.join_next() => {}
            }
        }
    });
}

/// Kills all gateways when dropped, so that none outlives its run.
struct KillOnDrop(Vec<Arc<Gate>>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.iter().for_each(|gate| gate.kill_now());
    }
}

impl Play {
    /// Runs the scenario to its end, or until `stop` is set, and reports to `progress` meanwhile.
    ///
    /// # Errors
    /// The run could not be completed.
    pub async fn run(
        self,
        progress: watch::Sender<Progress>,
        mut stop: watch::Receiver<bool>,
    ) -> Result<Recording, WorldError> {
        tokio::select! {
            recording = self.run_to_end(progress) => recording,
            _ = stop.wait_for(|stop| *stop) => Err(WorldError::Stopped),
        }
    }

    async fn run_to_end(self, progress: watch::Sender<Progress>) -> Result<Recording, WorldError> {
        let plan = Arc::new(Plan::new(self.scenario, self.seed));
        let log = Arc::new(Log::new());
        // Declared first so that it is dropped last, after the gateways have exited.
        let folder = tempfile::Builder::new().prefix("fleetlab-").tempdir_in(&self.root)?;
        let mut tasks = JoinSet::new();
        let world = Arc::new(
            World::build(plan.clone(), log.clone(), &self.program, folder.path(), &mut tasks).await?,
        );
        let kill_on_drop = KillOnDrop(world.gates.clone());
        world.start_gates(&self.program).await?;
        let start = Instant::from_std(log.start());
        let run_delays = RunDelayMonitor::start(world.gates.clone(), log.start());
        let front = Front::new(plan.clone(), log.clone(), world.gates.clone());
        let mut faults = world.clone().inject_all(start);
        let planned = plan.arrivals.len() as u64;
        let mut load = tokio::spawn(front.clone().run());
        loop {
            tokio::select! {
                _ = &mut load => break,
                () = sleep(Duration::from_millis(100)) => {
                    let sent = front.sent.load(Ordering::Relaxed);
                    progress.send_replace(Progress { sent, planned, at_s: start.elapsed().as_secs_f64() });
                }
            }
        }
        faults.shutdown().await;
        let used: Vec<(f64, f64)> = world.gates.iter().map(|g| g.used()).collect();
        let late_ms = front.lateness();
        // Stops them as the platform would, so that they answer their requests in flight.
        world.stop_gates().await;
        let run_delays = run_delays.finish();
        drop(kill_on_drop);
        tasks.shutdown().await;
        let void = (late_ms[1] > MAX_P99_LATENESS_MS).then(|| {
            format!(
                "the lab sent requests {:.1} ms late at the 99th percentile, must be at most {MAX_P99_LATENESS_MS} ms",
                late_ms[1]
            )
        });
        let meter = Meter {
            late_ms,
            cpu_s: used.iter().map(|u| u.0).sum(),
            rss_mb: used.iter().map(|u| u.1).fold(0.0, f64::max),
            void,
            run_delays,
        };
        let header = Header {
            form: FORMAT_VERSION,
            scenario: (*plan.scenario).clone(),
            seed: self.seed,
            build: self.program.display().to_string(),
            gate_zones: plan.gate_zones.clone(),
            worker_zones: plan.worker_zones.clone(),
            speeds: plan.speeds.clone(),
            rate: plan.rate,
            work_ms: plan.mean_work * 1e3,
        };
        Ok(Recording { header, meter, seen: log.take() })
    }
}

impl World {
    async fn build(
        plan: Arc<Plan>,
        log: Arc<Log>,
        program: &Path,
        root: &Path,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<Self> {
        let (ip, spec) = (run_address(), &plan.scenario.world);
        let links = Links::new(&plan);
        let worker = |(i, speed): (usize, &f64)| Worker::new(i, *speed, plan.clone(), log.clone());
        let workers: Vec<Arc<Worker>> = plan.speeds.iter().enumerate().map(worker).collect();
        let counter = Counter::new(plan.clone(), log.clone());
        let mut addrs = Vec::new();
        for gate in 0..spec.gatekeepers {
            let mut row = Vec::new();
            for worker in &workers {
                let port = LinkListener::open(ip, links.workers[gate][worker.index].clone())?;
                row.push(port.addr);
                let of = worker.clone();
                serve(tasks, port, &worker.up, move |conn| of.clone().serve(gate, conn));
            }
            addrs.push(row);
        }
        let discovery = Discovery::new(plan.clone(), log.clone(), addrs);
        let (mut gates, mut members, mut gate_ports) = (Vec::new(), Vec::new(), GatePorts::new(ip));
        for _ in (0..spec.gatekeepers).filter(|_| spec.fleet) {
            members.push(gate_ports.next()?);
        }
        let relay = Arc::new(Relay::new(ip, members.clone(), links.gates.clone()).await?);
        let mut relay_tasks = relay.clone().run();
        // Ends together with the other tasks of the run.
        tasks.spawn(async move { while relay_tasks.join_next().await.is_some() {} });
        let mut agents = Vec::new();
        for gate in 0..spec.gatekeepers {
            let up = [watch::channel(true).0, watch::channel(false).0];
            let ports = [
                LinkListener::open(ip, links.discovery[gate].clone())?,
                LinkListener::open(ip, links.discovery[gate].clone())?,
            ];
            let agent = [ports[0].addr, ports[1].addr];
            for (port, up) in ports.into_iter().zip(&up) {
                let of = discovery.clone();
                serve(tasks, port, up, move |conn| of.clone().serve(gate, conn));
            }
            agents.push(up);
            let port = LinkListener::open(ip, links.counter[gate].clone())?;
            let counter_at = plan.scenario.counter.on.then_some(port.addr);
            let of = counter.clone();
            serve(tasks, port, &counter.up, move |conn| of.clone().serve(gate, conn));
            let listen = gate_ports.next()?;
            let front = links.front[gate].clone();
            let fleet =
                members.get(gate).map(|own| FleetAddresses { listen: *own, relay: relay.addrs.clone() });
            let endpoints = Endpoints { listen, front, discovery: agent, counter: counter_at, fleet };
            gates.push(Gate::new(gate, plan.clone(), log.clone(), program, root, endpoints)?);
        }
        for worker in &workers {
            tasks.spawn(faults::restart_after_overload(worker.clone(), discovery.clone()));
        }
        Ok(Self { plan, log, links, workers, counter, discovery, agents, gates })
    }

    async fn start_gates(&self, program: &Path) -> Result<(), WorldError> {
        let by = Instant::now() + READY_TIMEOUT;
        for gate in &self.gates {
            gate.start(&self.discovery.known(gate.index))
                .map_err(|error| WorldError::Program { program: program.to_owned(), error })?;
        }
        for gate in &self.gates {
            let mut ended = gate.ended.subscribe();
            let up = async {
                while !gate.admitted.load(Ordering::Relaxed) {
                    // The notification may come between the check and the wait, hence the time-out.
                    let _ = tokio::time::timeout(Duration::from_millis(20), gate.ready.notified()).await;
                }
            };
            let why = tokio::select! {
                up = timeout_at(by, up) => match up {
                    Ok(()) => continue,
                    Err(_) => format!("no answer on /up within {} s", READY_TIMEOUT.as_secs()),
                },
                _ = ended.wait_for(|n| *n > 0) => "its process has exited".to_owned(),
            };
            // Gives the reader of its log time to receive the last lines.
            sleep(Duration::from_millis(100)).await;
            return Err(WorldError::Gate { gate: gate.index, why, tail: gate.tail() });
        }
        Ok(())
    }

    async fn stop_gates(&self) {
        let mut stops = JoinSet::new();
        for gate in &self.gates {
            let gate = gate.clone();
            stops.spawn(async move { gate.stop().await });
        }
        while stops.join_next().await.is_some() {}
    }
}

#[cfg(test)]
mod tests;
