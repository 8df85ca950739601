//! The role `control`: starts the parts of a control process, connects them, and ends them in order.

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

/// How long the transfer of owned shards to other processes may take at shutdown.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The fraction of the time between SIGTERM and SIGKILL in which a process may leave its groups.
const LEAVE_FRACTION: f64 = 0.6;
/// How long calls in flight may take at shutdown.
const DRAIN_TIME: Duration = Duration::from_millis(800);

/// Runs the role until SIGTERM.
///
/// # Errors
/// Where the settings lack something, an address can't be listened on, the replicated state can't be opened or the disk
/// fails.
pub async fn run(settings: Settings) -> Result<(), ControlError> {
    let control = Control::start(&settings).await?;
    tokio::select! {
        () = signals::terminated() => {}
        // What is on disk is read again at the next start.
        source = control.process().host().failure() => return Err(ControlError::Disk { source }),
    }
    control.shut_down().await;
    Ok(())
}

/// A control process that serves.
pub struct Control {
    process: Rc<ControlProcess>,
    /// Everything that runs by itself; it ends with this value.
    tasks: JoinSet<()>,
    grace: Duration,
}

impl Control {
    /// Starts a control process, inside a `LocalSet`. When this returns, it listens at all its addresses.
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
        tracing::info!(identity = process.host().identity().0, "the control process serves");
        let mut tasks = JoinSet::new();
        process.start_background_tasks(&mut tasks);
        tasks.spawn_local(feed::serve(Rc::clone(&process), feed_listener));
        tasks.spawn_local(api_server.serve(Rc::clone(&process)));
        Ok(Self { process, tasks, grace: settings.bounds.grace })
    }

    /// The process that serves.
    #[must_use]
    pub fn process(&self) -> &Rc<ControlProcess> {
        &self.process
    }

    /// Leaves the groups if there are more members than needed, transfers the owned shards, sends subscribers to other
    /// processes and lets calls in flight end.
    pub async fn shut_down(mut self) {
        self.process.membership().leave(self.grace.mul_f64(LEAVE_FRACTION)).await;
        let _ = timeout(TRANSFER_TIMEOUT, self.process.host().transfer_leadership()).await;
        self.process.stop();
        sleep(DRAIN_TIME).await;
        self.tasks.shutdown().await;
    }
}

/// Starts the replicated host and the process over it.
///
/// # Errors
/// Where the settings lack something or the replicated state can't be opened.
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

/// The most replicas of anything that may be lost at a time.
///
/// Of the stores' data no more replicas than these lie in the zones, or regions, that may be lost. Of the control processes
/// more may lie there: commits and elections need a majority of them, so the processes that are left decide only if they
/// are a majority, and then one of them has what was committed (`docs/control-safety.md` has the argument).
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
