//! opalrun-gateway: the gateway as a program. Reads the configuration, connects its parts, serves clients until SIGTERM
//! and shuts down in order.
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
    owner::{Configuration, InitialConfiguration, check_files, check_result_json},
};
use driver::Driver;
use opalrun_gateway::SettingsError;
use recovery::{FolderInUse, Recovery, tool};
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

/// Time after SIGTERM during which connections are accepted; new ones arrive for up to 0.4 s.
const ACCEPT_TIME: Duration = Duration::from_millis(500);
/// Time after SIGTERM until which the connections accepted last can send their requests.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(650);
/// The platform sends SIGKILL when the longest client deadline after SIGTERM and the first of these, in seconds, have
/// passed. A deadline counts up to the second, in seconds.
const KILL: (f64, f64) = (0.7, 3.0);
/// How long before SIGKILL all open requests are failed: a minimum in seconds, to which a share of the longest deadline is
/// added, and a maximum in seconds. The process ends at half of this time before SIGKILL.
const KILL_MARGIN: (f64, f64, f64) = (0.08, 0.11, 0.4);
/// Time that a process which has handed over stays after its last client, so that its last calls to the counter are sent.
const HANDOVER_LINGER: Duration = Duration::from_millis(100);
/// Interval at which idle connections are closed and the trial of a configuration is judged.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// File descriptors besides those for clients and workers: standard streams, runtime, signals, listener, discovery, counter.
const PROCESS_DESCRIPTORS: usize = 24 + counter::MAX_CONNECTIONS;
/// File descriptors of the admin API: its listener and its connections.
const ADMIN_DESCRIPTORS: usize = 1 + admin::MAX_CONNECTIONS;

/// Why the program ends with a failure.
#[derive(Debug)]
enum NodeError {
    Config(Problems),
    Settings(SettingsError),
    Listen(io::Error),
    System(io::Error),
    State(FolderInUse),
    /// The background task of this name has panicked.
    Task(&'static str),
}

impl fmt::Display for NodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(e) => e.fmt(f),
            Self::Settings(e) => write!(f, "invalid settings in the configuration: {e}"),
            Self::Listen(e) => write!(f, "can't listen: {e}"),
            Self::System(e) => write!(f, "can't start: {e}"),
            Self::State(e) => e.fmt(f),
            Self::Task(name) => write!(f, "the task for {name} has failed"),
        }
    }
}

/// Opens the socket for clients: the one that the platform passes by its descriptor in `NODE_LISTEN_FD`, else a new one.
/// Also returns whether it was passed.
async fn listen(config: &Config) -> io::Result<(TcpListener, bool)> {
    let Some(fd) = std::env::var_os("NODE_LISTEN_FD").filter(|fd| !fd.is_empty()) else {
        return Ok((TcpListener::bind(config.listen).await?, false));
    };
    // Descriptors 0 to 2 are the standard streams.
    let fd = fd.to_str().and_then(|fd| fd.parse().ok()).filter(|fd: &i32| *fd > 2);
    let fd = fd.ok_or_else(|| io::Error::other("NODE_LISTEN_FD is not a file descriptor above 2"))?;
    // SAFETY: the platform opened the descriptor for this process to own. This runs once, and nothing else uses it.
    #[allow(unsafe_code)]
    let listener = unsafe { std::net::TcpListener::from_raw_fd(fd) };
    listener.set_nonblocking(true)?;
    Ok((TcpListener::from_std(listener)?, true))
}

/// Serves clients until SIGTERM or SIGINT, or until another process has taken over.
async fn run(start: InitialConfiguration) -> Result<(), NodeError> {
    let config = start.config.clone();
    let mut term = signal(SignalKind::terminate()).map_err(NodeError::System)?;
    let mut int = signal(SignalKind::interrupt()).map_err(NodeError::System)?;
    let hangup = signal(SignalKind::hangup()).map_err(NodeError::System)?;
    let (listener, inherited) = listen(&config).await.map_err(NodeError::Listen)?;
    let bound = listener.local_addr().map_err(NodeError::Listen)?;
    let name = config.name.clone();
    let connection_descriptors =
        config.sockets - PROCESS_DESCRIPTORS - config.admin.map_or(0, |_| ADMIN_DESCRIPTORS);
    let admin = match config.admin {
        Some(addr) => Some(TcpListener::bind(addr).await.map_err(NodeError::Listen)?),
        None => None,
    };
    let driver = Driver::new(&config, connection_descriptors).map_err(NodeError::Settings)?;
    driver.start_counter();
    let (configuration, discovery_at) = Configuration::new(start, driver.clone());
    tokio::task::spawn_local(fleet::participate(driver.clone(), driver.clock(), configuration.fleet()));
    let reloads = tokio::task::spawn_local(reload(hangup, configuration.clone()));
    let timers = tokio::task::spawn_local(driver.clone().run_timers());
    let sweeps = tokio::task::spawn_local(sweep(driver.clone(), configuration.clone()));
    // Each client may have an attempt in flight, so clients and workers get half of the descriptors each.
    let clients = clients::new(driver.clone(), connection_descriptors / 2);
    let handover_socket = handover::socket_path(inherited);
    let link = match &handover_socket {
        Some(path) => handover::take_over(path, &driver, &clients, &configuration).await,
        None => None,
    };
    if let Some(folder) = configuration.state() {
        recover(&folder, &name, &driver, link.is_some()).map_err(NodeError::State)?;
    }
    // Discovery starts after recovery and handover, which have to see its lists.
    let listed = driver.clone();
    let discovery = tokio::task::spawn_local(discovery::follow(
        discovery_at,
        move |list| listed.apply_discovery_list(list),
        config.known_version,
        fastrand::Rng::with_seed(config.seed),
    ));
    if let Some(path) = &handover_socket {
        if let Some(link) = link {
            info!("{name} takes over from the process before it");
            tokio::task::spawn_local(link.run_until_exit(driver.clone(), clients.clone()));
        }
        tokio::task::spawn_local(handover::offer_handover(
            path.clone(),
            driver.clone(),
            clients.clone(),
            configuration.clone(),
        ));
    }
    if let Some(listener) = admin {
        if let Ok(at) = listener.local_addr() {
            info!("{name} serves the admin API on {at}");
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
        // By then the last calls to the counter are sent.
        () = clients.drained(HANDOVER_LINGER) => {
            info!("{name} has handed over and ends");
            return Ok(());
        }
        // These tasks end by a panic only. The process can't serve without them and is to be restarted.
        _ = discovery => return Err(NodeError::Task("discovery")),
        _ = timers => return Err(NodeError::Task("timers")),
        _ = sweeps => return Err(NodeError::Task("idle connections")),
        _ = reloads => return Err(NodeError::Task("the configuration")),
    }
    info!("{name} shuts down with {} open requests", driver.waiting_requests());
    drain(&driver, &clients, listener).await;
    if let Some(recovery) = driver.recovery() {
        recovery.write_final_records(&driver).await;
    }
    info!("{name} has stopped");
    Ok(())
}

/// Restores the state on disk before any client is served, and has spending recorded there from now on. `takes_over`:
/// another process has handed its state over to this one.
fn recover(folder: &Path, name: &str, driver: &Rc<Driver>, takes_over: bool) -> Result<(), FolderInUse> {
    let plans = driver.options().plans.clone();
    let (recovery, saved) = Recovery::start(folder, name, &plans, driver.clock(), takes_over)?;
    driver.set_recovery(recovery.clone(), saved);
    tokio::task::spawn_local(recovery.clone().run_journal(driver.clone()));
    tokio::task::spawn_local(recovery.track_startup(driver.clone()));
    Ok(())
}

/// Shuts down: serves on while new connections arrive, then closes the listener and waits for the open requests.
async fn drain(driver: &Rc<Driver>, clients: &Rc<Clients>, listener: TcpListener) {
    let start = Instant::now();
    clients.stop();
    driver.fleet().iter().for_each(|fleet| fleet.leave());
    let _ = timeout_at(start + ACCEPT_TIME, clients.accept(&listener)).await;
    drop(listener);
    sleep_until(start + LAST_REQUEST_TIME).await;
    clients.close();
    // No more requests arrive: idle connections to workers are closed now, the others when their attempts end.
    driver.pools().set_idle_disabled(true);
    let answered = async {
        while clients.connections() > 0 {
            clients.connection_closed().await;
        }
    };
    let mut answered = std::pin::pin!(answered);
    let (answer_by, end_by) = shutdown_times(driver.options().max_deadline);
    if timeout_at(start + answer_by, answered.as_mut()).await.is_err() {
        driver.fail_all();
        let _ = timeout_at(start + end_by, answered).await;
    }
}

/// How long after SIGTERM open requests are failed, and the process ends, if clients wait for at most `longest` seconds.
fn shutdown_times(longest: f64) -> (Duration, Duration) {
    let longest = longest.clamp(0.0, KILL.1);
    let (kill, margin) = (longest + KILL.0, (KILL_MARGIN.0 + KILL_MARGIN.1 * longest).min(KILL_MARGIN.2));
    (Duration::from_secs_f64(kill - margin), Duration::from_secs_f64(kill - margin / 2.0))
}

/// Reloads the configuration file at each SIGHUP.
async fn reload(mut hangup: Signal, configuration: Rc<Configuration>) {
    while hangup.recv().await.is_some() {
        configuration.reload();
    }
}

/// Closes idle connections and judges the trial of a configuration, at regular intervals.
async fn sweep(driver: Rc<Driver>, configuration: Rc<Configuration>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        driver.sweep();
        configuration.check_trials();
    }
}

/// Reads the configuration and runs the gateway on a single-threaded runtime.
fn start() -> Result<(), NodeError> {
    let start = config::owner::start().map_err(NodeError::Config)?;
    // A local runtime instead of a `LocalSet`: there, each wake-up of one task by another costs a write to the event
    // loop's own descriptor and an iteration of the loop to read it.
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.map_err(NodeError::System)?.block_on(run(start))
}

/// A gateway that holds customers to quotas shared by many gateways.
///
/// Without arguments it serves until SIGTERM, with the configuration file that NODE_CONFIG names; SIGHUP reloads
/// the file. Other variables: NODE_ADMIN, NODE_LISTEN_FD, NODE_LOG, NODE_STATE; see docs/on-call.md.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Validates FILE, prints the result as JSON and exits with status 0, or 1 if it is invalid.
    #[arg(long, value_name = "FILE")]
    check: Option<PathBuf>,
    /// Configuration in force, against which --check's FILE is compared.
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
        let is_valid = checked.is_ok();
        println!("{}", check_result_json(checked));
        return if is_valid { ExitCode::SUCCESS } else { ExitCode::FAILURE };
    }
    if let Err(reason) = events::init() {
        warn!("NODE_LOG {reason}");
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

    /// The platform sends SIGKILL at a time that depends on the longest deadline; the process has to end before.
    #[test]
    fn shutdown_ends_before_the_kill_for_all_deadlines() {
        for longest in [0.0, 0.04, 0.3, 1.0, 2.0, 3.0, 12.0] {
            let kill = Duration::from_secs_f64(f64::min(longest, 3.0) + 0.7);
            let (answer_by, end_by) = shutdown_times(longest);
            assert!(answer_by < end_by && end_by + Duration::from_millis(35) <= kill, "{longest}");
            // The requests that arrived last have nearly all of their time until the answers.
            assert!(answer_by + Duration::from_millis(80) + kill / 11 >= kill, "{longest}");
        }
        assert_eq!(shutdown_times(4.0), (Duration::from_millis(3300), Duration::from_millis(3500)));
    }
}
