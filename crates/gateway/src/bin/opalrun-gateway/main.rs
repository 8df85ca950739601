//! opalrun-gateway: the gateway on real sockets. Reads the configuration, wires the parts and ends in good order.
#![deny(unsafe_code)]

mod admin;
mod clients;
mod config;
mod counter;
mod discovery;
mod driver;
mod events;
mod fleet;
#[cfg(test)]
#[path = "../../../../wire/tests/support/golden.rs"]
mod golden;
mod handover;
mod handover_message;
mod recovery;
mod worker_list;
mod workers;

use admin::Admin;
use clap::{Parser, Subcommand};
use clients::Clients;
use config::{
    Config, Problems,
    owner::{Configuration, Start, check_files, told},
};
use driver::Driver;
use opalrun_gateway::SettingsError;
use recovery::{Recovery, StateError, tool};
use std::{
    fmt, io,
    os::fd::FromRawFd,
    path::{Path, PathBuf},
    process::ExitCode,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::TcpListener,
    runtime::LocalOptions,
    signal::unix::{Signal, SignalKind, signal},
    time::{Instant, sleep, sleep_until, timeout_at},
};
use tracing::{error, info, warn};

/// After SIGTERM connections still come for up to 0.4 s.
const SERVE_ON: Duration = Duration::from_millis(500);
/// A connection accepted last has this long to bring its request.
const LAST_REQUESTS: Duration = Duration::from_millis(650);
/// SIGKILL comes so many seconds after the longest deadline, of which this much counts at most.
const KILL: (f64, f64) = (0.7, 3.0);
/// Seconds before that at which everything in hand gets its final answer: at least, as a share of the deadline, and at
/// most. The process ends half way from there.
const BEFORE_KILL: (f64, f64, f64) = (0.08, 0.11, 0.4);
/// One that has handed over stays so long after its last client.
const LAST_CALLS: Duration = Duration::from_millis(100);
/// Between looks for idle connections that are due, and at a trial.
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors beside clients and workers: the standard three, runtime, signals, listener, discovery, counter.
const PROCESS_DESCRIPTORS: usize = 24 + counter::LINES;
/// And those of a second address.
const ADMIN_DESCRIPTORS: usize = 1 + admin::SEATS;

#[derive(Debug)]
enum NodeError {
    Config(Problems),
    Settings(SettingsError),
    Listen(io::Error),
    System(io::Error),
    State(StateError),
    /// The named part has failed.
    Part(&'static str),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(e) => e.fmt(f),
            Self::Settings(e) => write!(f, "the configuration's settings: {e}"),
            Self::Listen(e) => write!(f, "can't listen: {e}"),
            Self::System(e) => write!(f, "can't start: {e}"),
            Self::State(e) => e.fmt(f),
            Self::Part(name) => write!(f, "the part that minds {name} has failed"),
        }
    }
}

/// The clients' listening socket: the platform's, where `NODE_LISTEN_FD` names its descriptor, else a new one.
async fn listen(config: &Config) -> io::Result<(TcpListener, bool)> {
    let Some(fd) = std::env::var_os("NODE_LISTEN_FD").filter(|fd| !fd.is_empty()) else {
        return Ok((TcpListener::bind(config.listen).await?, false));
    };
    // The standard three are not the platform's to give for this.
    let fd = fd.to_str().and_then(|fd| fd.parse().ok()).filter(|fd: &i32| *fd > 2);
    let fd = fd.ok_or_else(|| io::Error::other("NODE_LISTEN_FD is no descriptor"))?;
    // SAFETY: the platform opened it for this process alone to own. This runs once, and nothing else knows it.
    #[allow(unsafe_code)]
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    listener.set_nonblocking(true)?;
    Ok((TcpListener::from_std(listener)?, true))
}

async fn run(start: Start) -> Result<(), NodeError> {
    let config = start.config.clone();
    let mut term = signal(SignalKind::terminate()).map_err(NodeError::System)?;
    let mut int = signal(SignalKind::interrupt()).map_err(NodeError::System)?;
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::System)?;
    let (listener, inherited) = listen(&config).await.map_err(NodeError::Listen)?;
    let bound = listener.local_addr().map_err(NodeError::Listen)?;
    let name = config.name.clone();
    let share = config.sockets - PROCESS_DESCRIPTORS - config.admin.map_or(0, |_| ADMIN_DESCRIPTORS);
    let admin = match config.admin {
        Some(addr) => Some(TcpListener::bind(addr).await.map_err(NodeError::Listen)?),
        None => None,
    };
    let driver = Driver::new(&config, share).map_err(NodeError::Settings)?;
    driver.start_counter();
    let (configuration, discovery_at) = Configuration::new(start, driver.clone());
    tokio::task::spawn_local(fleet::keep(driver.clone(), driver.clock(), configuration.fleet()));
    let reloads = tokio::task::spawn_local(reload(hangup, configuration.clone()));
    let timers = tokio::task::spawn_local(driver.clone().run_timers());
    let sweeps = tokio::task::spawn_local(sweep(driver.clone(), configuration.clone()));
    // An attempt may be out for each client, so both get the same.
    let clients = clients::new(driver.clone(), share / 2);
    let place = handover::place(inherited);
    let link = match &place {
        Some(place) => handover::take_over(place, &driver, &clients, &configuration).await,
        None => None,
    };
    if let Some(folder) = configuration.state() {
        recover(&folder, &name, &driver, link.is_some()).map_err(NodeError::State)?;
    }
    // After what is to hear of the list is there.
    let listed = driver.clone();
    let discovery = tokio::task::spawn_local(discovery::follow(
        discovery_at,
        move |list| listed.discovery_listed(list),
        config.known_version,
        fastrand::Rng::with_seed(config.seed),
    ));
    if let Some(place) = &place {
        if let Some(link) = link {
            info!("{name} takes over from the process before it");
            tokio::task::spawn_local(link.follow(driver.clone(), clients.clone()));
        }
        tokio::task::spawn_local(handover::offer(
            place.clone(),
            driver.clone(),
            clients.clone(),
            configuration.clone(),
        ));
    }
    if let Some(listener) = admin {
        if let Ok(at) = listener.local_addr() {
            info!("{name} takes the operators' calls on {at}");
        }
        tokio::task::spawn_local(
            Admin::new(driver.clone(), clients.clone(), configuration.clone()).serve(listener),
        );
    }
    info!("{name} listens on {bound}");
    tokio::select! {
        () = clients.accept(&listener) => {}
        _ = term.recv() => {}
        _ = int.recv() => {}
        // What the counter was told last has gone out by then.
        () = clients.all_left(LAST_CALLS) => {
            info!("{name} has handed over and leaves");
            return Ok(());
        }
        // These end by a panic only; without one of them, being started anew is better than going on.
        _ = discovery => return Err(NodeError::Part("discovery")),
        _ = timers => return Err(NodeError::Part("timers")),
        _ = sweeps => return Err(NodeError::Part("idle connections")),
        _ = reloads => return Err(NodeError::Part("the configuration")),
    }
    info!("{name} stops with {} in hand", driver.in_hand());
    drain(&driver, &clients, listener).await;
    if let Some(recovery) = driver.recovery() {
        recovery.finish(&driver).await;
    }
    info!("{name} has stopped");
    Ok(())
}

/// Goes on from what is on disk, before any client is served; from then on what is spent is written down there.
fn recover(folder: &Path, name: &str, driver: &Rc<Driver>, heir: bool) -> Result<(), StateError> {
    let plans = driver.options().plans.clone();
    let (recovery, kept) = Recovery::begin(folder, name, &plans, driver.clock(), heir)?;
    driver.set_recovery(recovery.clone(), kept);
    tokio::task::spawn_local(recovery.clone().keep(driver.clone()));
    tokio::task::spawn_local(recovery.follow_start(driver.clone()));
    Ok(())
}

/// The way out: serve on while connections still come, then take no more, answer what is in hand, end.
async fn drain(driver: &Rc<Driver>, clients: &Rc<Clients>, listener: TcpListener) {
    let start = Instant::now();
    clients.stop();
    driver.fleet().iter().for_each(|fleet| fleet.leave());
    let _ = timeout_at(start + SERVE_ON, clients.accept(&listener)).await;
    drop(listener);
    sleep_until(start + LAST_REQUESTS).await;
    clients.close();
    // No request comes any more: what is idle goes now, what is in use as it ends.
    driver.pools().keep_none(true);
    let answered = async {
        while clients.connections() > 0 {
            clients.one_ended().await;
        }
    };
    let mut answered = std::pin::pin!(answered);
    let (answer_by, end_by) = way_out(driver.options().max_deadline);
    if timeout_at(start + answer_by, answered.as_mut()).await.is_err() {
        driver.fail_all();
        let _ = timeout_at(start + end_by, answered).await;
    }
}

/// How long after SIGTERM everything in hand has its final answer, and the process has ended, where clients wait for
/// `longest` seconds at most.
fn way_out(longest: f64) -> (Duration, Duration) {
    let longest = longest.clamp(0.0, KILL.1);
    let (kill, spare) = (longest + KILL.0, (BEFORE_KILL.0 + BEFORE_KILL.1 * longest).min(BEFORE_KILL.2));
    (Duration::from_secs_f64(kill - spare), Duration::from_secs_f64(kill - spare / 2.0))
}

/// At each SIGHUP takes the configuration's file as it stands, whole or not at all.
async fn reload(mut hangup: Signal, configuration: Rc<Configuration>) {
    while hangup.recv().await.is_some() {
        configuration.reread();
    }
}

async fn sweep(driver: Rc<Driver>, configuration: Rc<Configuration>) {
    loop {
        sleep(SWEEP).await;
        driver.sweep();
        configuration.look_after_trials();
    }
}

fn start() -> Result<(), NodeError> {
    let start = config::owner::start().map_err(NodeError::Config)?;
    // Not a LocalSet on a runtime: there each wake of a task from a task costs a write to the event loop's
    // own descriptor and a turn of the loop to read it.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(NodeError::System)?.block_on(run(start))
}

/// A gateway that holds customers to quotas shared by many gateways.
///
/// Without arguments it serves, by the configuration that NODE_CONFIG names, until SIGTERM; SIGHUP has it read
/// that anew. Other variables: NODE_ADMIN, NODE_LISTEN_FD, NODE_LOG, NODE_STATE; see docs/on-call.md.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Says what a gateway would make of FILE, as JSON, and ends: status 0, or 1 where it would not be taken.
    #[arg(long, value_name = "FILE")]
    check: Option<PathBuf>,
    /// The configuration that holds: says what --check's FILE would change.
    #[arg(long, value_name = "FILE", requires = "check")]
    against: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    #[command(subcommand)]
    State(tool::State),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    if let Some(Command::State(call)) = &cli.command {
        return tool::run(call);
    }
    if let Some(file) = &cli.check {
        let checked = check_files(file, cli.against.as_deref());
        let good = checked.is_ok();
        println!("{}", told(checked));
        return if good { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    if let Err(why) = events::begin() {
        warn!("NODE_LOG {why}");
    }
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("{error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Whoever holds the clock is the platform, and it tells the longest deadline only.
    #[test]
    fn the_way_out_ends_before_the_kill_whatever_the_deadlines_are() {
        for longest in [0.0, 0.04, 0.3, 1.0, 2.0, 3.0, 12.0] {
            let kill = Duration::from_secs_f64(f64::min(longest, 3.0) + 0.7);
            let (answer_by, end_by) = way_out(longest);
            assert!(answer_by < end_by && end_by + Duration::from_millis(35) <= kill, "{longest}");
            // What came last before clients stayed away has had nearly all of its time.
            assert!(answer_by + Duration::from_millis(80) + kill / 11 >= kill, "{longest}");
        }
        assert_eq!(way_out(4.0), (Duration::from_millis(3300), Duration::from_millis(3500)));
    }
}
