//! The `control` role: starts the parts of a control process, connects them, and shuts them down in order.

use crate::{
    api,
    error::{ControlError, FeedSnafu, HostSnafu, ListenSnafu, MissingSnafu},
    feed,
    host::{Host, HostOptions, StateMachine},
    metrics,
    process::{ControlProcess, ProcessOptions, store_failure_detector::StoreLayout},
    shards::{ShardMachine, Shards, all_shards},
    store_map::Spread,
};
use opalrun_net::{Listener, signals};
use opalrun_settings::Settings;
use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use snafu::{OptionExt, ResultExt};
use std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time limit at shutdown for transferring the owned shards to other processes.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Fraction of the grace period between SIGTERM and SIGKILL that a process may spend on leaving its groups.
const LEAVE_FRACTION: f64 = 0.6;
/// Time at shutdown during which calls in flight are still answered.
const DRAIN_TIME: Duration = Duration::from_millis(800);

/// Runs the control role until SIGTERM, then shuts it down.
///
/// # Errors
/// Where the settings lack a required key, an address can't be bound, the replicated state can't be opened or the
/// host fails at runtime.
pub async fn run(settings: Settings) -> Result<(), ControlError> {
    let control = Control::start(&settings).await?;
    tokio::select! {
        () = signals::terminated() => {}
        // The next start reads the state from the disk again.
        source = control.process().host().failure() => return Err(ControlError::Disk { source }),
    }
    control.shut_down().await;
    Ok(())
}

/// A running control process.
pub struct Control {
    process: Rc<ControlProcess>,
    /// Background tasks and servers; dropping this value aborts them.
    tasks: JoinSet<()>,
    /// Time between SIGTERM and SIGKILL.
    grace: Duration,
}

impl Control {
    /// Starts a control process, inside a `LocalSet`. When this returns, the process listens on all its addresses.
    ///
    /// # Errors
    /// As [`run`].
    pub async fn start(settings: &Settings) -> Result<Self, ControlError> {
        let api_address =
            settings.listen.control_plane.context(MissingSnafu { key: "listen.control_plane" })?;
        let feed_address = SocketAddr::new(settings.ip, settings.ports.feed());
        let api_server = api::bind(api_address).await.context(ListenSnafu { address: api_address })?;
        let feed_listener = Listener::bind(feed_address).await.context(FeedSnafu)?;
        let process = start_process(settings, api_address).await?;
        let scraped = Rc::clone(&process);
        opalrun_metrics::start(settings.metrics, move |scrape| metrics::scrape(&scraped, scrape));
        tracing::info!(identity = process.host().identity().0, "control process started");
        let mut tasks = JoinSet::new();
        process.start_background_tasks(&mut tasks);
        tasks.spawn_local(feed::serve(Rc::clone(&process), feed_listener));
        tasks.spawn_local(api_server.serve(Rc::clone(&process)));
        Ok(Self { process, tasks, grace: settings.bounds.grace })
    }

    /// Returns the state of the process, which its servers and tasks share.
    #[must_use]
    pub fn process(&self) -> &Rc<ControlProcess> {
        &self.process
    }

    /// Shuts the process down: leaves the groups if there are more members than the tier requires, transfers the
    /// owned shards, redirects subscribers to other processes and waits for calls in flight.
    pub async fn shut_down(mut self) {
        self.process.membership().leave(self.grace.mul_f64(LEAVE_FRACTION)).await;
        let _ = timeout(TRANSFER_TIMEOUT, self.process.host().transfer_leadership()).await;
        self.process.stop();
        sleep(DRAIN_TIME).await;
        self.tasks.shutdown().await;
    }
}

/// Starts the replicated host and creates the process on top of it.
///
/// # Errors
/// Where the settings lack a required key or the replicated state can't be opened.
async fn start_process(
    settings: &Settings,
    api_address: SocketAddr,
) -> Result<Rc<ControlProcess>, ControlError> {
    let shards = Shards::new();
    let host =
        Host::start(host_options(settings, api_address)?, machines(&shards)).await.context(HostSnafu)?;
    let node = ControlNode { identity: host.identity(), ..control_node(settings, api_address) };
    let max_losses = max_simultaneous_losses(settings);
    let options = ProcessOptions {
        node,
        hosts_lost: max_losses,
        seed_count: settings.seed_nodes.iter().collect::<BTreeSet<_>>().len(),
        store_layout: store_layout(settings),
        heartbeat: settings.heartbeat,
    };
    let process = ControlProcess::new(options, host, shards);
    process.register_handlers();
    Ok(process)
}

/// Returns the maximum number of replicas that the configured fault tolerance allows to be lost simultaneously.
///
/// Replicas of the stores' data are placed so that no more than this number is in the zones or regions that may be
/// lost. More control processes than this may be there: commits and elections need a majority, so the remaining
/// processes decide only if they are a majority, and then at least one of them has every committed entry (see
/// `docs/control-safety.md`).
fn max_simultaneous_losses(settings: &Settings) -> usize {
    let tolerance = &settings.fault_tolerance;
    tolerance.hosts_lost.max(tolerance.zones).max(tolerance.regions)
}

fn store_layout(settings: &Settings) -> StoreLayout {
    let tolerance = &settings.fault_tolerance;
    let max_losses = max_simultaneous_losses(settings) as u16;
    let spread = if tolerance.regions > 0 {
        let regions = settings.zones.iter().map(|(zone, region)| (zone.clone(), region.clone())).collect();
        Spread::over_regions(regions, tolerance.regions as u16, max_losses)
    } else if tolerance.zones > 0 {
        Spread::over_zones(tolerance.zones as u16, max_losses)
    } else {
        Spread::over_machines()
    };
    StoreLayout { replicas: 2 * max_losses + 1, spread }
}

fn control_node(settings: &Settings, api_address: SocketAddr) -> ControlNode {
    ControlNode {
        identity: NodeIdentity(0),
        node_name: settings.node_name.clone(),
        peer_address: SocketAddr::new(settings.ip, settings.ports.peer()).to_string(),
        control_address: api_address.to_string(),
        zone: settings.zone.clone(),
    }
}

fn host_options(settings: &Settings, api_address: SocketAddr) -> Result<HostOptions, ControlError> {
    let data_directory = settings.data_dir.clone().context(MissingSnafu { key: "data_dir" })?;
    Ok(HostOptions {
        node: control_node(settings, api_address),
        bootstrap: settings.bootstrap,
        seeds: settings.seed_nodes.iter().map(ToString::to_string).collect(),
        peer_port: settings.ports.peer(),
        hosts_lost: max_simultaneous_losses(settings),
        data_directory,
    })
}

fn machines(shards: &Shards) -> Vec<Box<dyn StateMachine>> {
    let machine = |shard| Box::new(ShardMachine::new(shards.clone(), shard)) as Box<dyn StateMachine>;
    all_shards().map(machine).collect()
}
