//! The world of a play: stand-ins and gateways, the faults between them, and what was seen of it all.

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

/// All gateways have to be ready by then.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A play whose requests went out so late, at the 99th percentile, says nothing of the gateways.
const MAX_P99_LATENESS_MS: f64 = 20.0;

/// Why there was no play.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    #[error("no world can be built: {0}")]
    System(#[from] io::Error),
    #[error("{program}: {error}")]
    Program { program: PathBuf, error: io::Error },
    #[error("gateway n{gate} does not come up: {why}\n{}", tail.join("\n"))]
    Gate { gate: usize, why: String, tail: Vec<String> },
    #[error("stopped by hand")]
    Stopped,
}

/// What a play is made of.
pub struct Play {
    pub scenario: Scenario,
    pub seed: u64,
    /// The gateway's program.
    pub program: PathBuf,
    /// Where gateways get their folders; what the play puts there goes with it.
    pub root: PathBuf,
}

/// How a play gets on, for whoever shows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Progress {
    pub sent: u64,
    pub planned: u64,
    pub at_s: f64,
}

/// Every link, by what is at its ends.
struct Links {
    workers: Vec<Vec<Arc<Link>>>,
    counter: Vec<Arc<Link>>,
    discovery: Vec<Arc<Link>>,
    front: Vec<Arc<Link>>,
    /// From one gateway to another, `from * gatekeepers + to`; one way each.
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
            // An agent is on the gateway's own machine.
            discovery: gates.clone().map(|g| Link::new(Duration::ZERO, seed("agent", g))).collect(),
            front: near("front").collect(),
            gates: (0..world.gatekeepers * world.gatekeepers).map(between).collect(),
        }
    }

    /// The links of `gate` to those named.
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
            // A way is a link of its own there.
            Peers::Gates(_) => {
                let out = others.iter().filter(|_| way != Direction::In).map(|to| &self.gates[gate * n + to]);
                let into =
                    others.iter().filter(|_| way != Direction::Out).map(|from| &self.gates[from * n + gate]);
                out.chain(into).collect()
            }
        }
    }
}

/// The parts of a world, shared by whoever strikes it.
struct World {
    plan: Arc<Plan>,
    log: Arc<Log>,
    links: Links,
    workers: Vec<Arc<Worker>>,
    counter: Arc<Counter>,
    discovery: Arc<Discovery>,
    /// By gateway, whether its agent is at the first and at the second address.
    agents: Vec<[watch::Sender<bool>; 2]>,
    gates: Vec<Arc<Gate>>,
}

/// Addresses that the runs of one process have in turn: the last part is neither 0 nor 255.
const RUN_ADDRESSES: u8 = 254;

/// An address of this run's own in the loopback range, so that runs side by side do not meet.
fn run_address() -> IpAddr {
    static RUNS: AtomicU8 = AtomicU8::new(0);
    let (pid, run) = (std::process::id(), RUNS.fetch_add(1, Ordering::Relaxed));
    let host = 1 + run % RUN_ADDRESSES;
    IpAddr::V4(Ipv4Addr::new(127, 64 + (pid % 128) as u8, (pid / 128 % 256) as u8, host))
}

/// Ports that gateways get: below those that Linux draws for sockets without one (from 32,768 on), so that no other
/// process is given one of them.
const GATE_PORTS: std::ops::Range<u16> = 20_000..30_000;

/// The ports of one play at its own address, each given out once.
///
/// None is held open until its gateway starts: a listener would stay open in whatever process another thread forks
/// just then, until that has started its program, and its port would be taken.
struct GatePorts {
    ip: IpAddr,
    left: std::ops::Range<u16>,
}

impl GatePorts {
    fn new(ip: IpAddr) -> Self {
        Self { ip, left: GATE_PORTS }
    }

    /// The next port at which nobody listens.
    fn next(&mut self) -> io::Result<SocketAddr> {
        let is_free = |address: &SocketAddr| {
            let socket = Socket::new(Domain::for_address(*address), Type::STREAM, None)?;
            socket.set_reuse_address(true)?;
            socket.bind(&(*address).into())
        };
        for port in &mut self.left {
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

/// Accepts on `port` for good, and serves each connection in a task of its own.
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
                    // An address that can't be taken up again yet: soon.
                    Err(_) => sleep(Duration::from_millis(20)).await,
                },
                Some(_) = conns.join_next() => {}
            }
        }
    });
}

/// Ends all gateways however a play ends.
struct KillOnDrop(Vec<Arc<Gate>>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        self.0.iter().for_each(|gate| gate.kill_now());
    }
}

impl Play {
    /// Plays it through, telling `progress` how it gets on, until the end or until `stop` is set.
    ///
    /// # Errors
    /// There was no play.
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
        // Dropped last, once the gateways have ended.
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
        // As the platform would end them: what they have in hand is theirs to answer.
        world.stop_gates().await;
        let run_delays = run_delays.finish();
        drop(kill_on_drop);
        tasks.shutdown().await;
        let void = (late_ms[1] > MAX_P99_LATENESS_MS).then(|| {
            format!(
                "the lab ran late by {:.1} ms at the 99th percentile, {MAX_P99_LATENESS_MS} ms at most",
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
        // It goes with the world's other tasks.
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
                    // It may have been notified between the look and the wait.
                    let _ = tokio::time::timeout(Duration::from_millis(20), gate.ready.notified()).await;
                }
            };
            let why = tokio::select! {
                up = timeout_at(by, up) => match up {
                    Ok(()) => continue,
                    Err(_) => format!("no answer on /up within {} s", READY_TIMEOUT.as_secs()),
                },
                _ = ended.wait_for(|n| *n > 0) => "it has ended".to_owned(),
            };
            // What it said last may still be on its way.
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
