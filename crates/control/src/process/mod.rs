//! The control process. Each concern has a type that owns its state:
//!
//! - sessions of workers: `worker_sessions`, with the choice of a process for a worker's heartbeats in
//!   `heartbeat_target`;
//! - the operator's configuration: `configuration`;
//! - retirement of store machines: `store_retirement`;
//! - membership of control: `membership`, with the failure detector in [`member_failure_detector`];
//! - liveness of stores: `store_liveness`, with the failure detector in [`store_failure_detector`];
//! - health of workers: `worker_health`;
//! - number of gatekeepers: `gatekeeper_count`.
//!
//! [`ControlProcess`] wires them up. All of them reach the replicated shards through `client`; calls of other control
//! processes come in at `call_handler`, and `owner_tasks` and `periodic_reports` run in the background.

mod answer_deadline;
mod call_handler;
mod client;
mod clock;
mod configuration;
mod gatekeeper_count;
mod heartbeat_target;
pub mod member_failure_detector;
mod membership;
mod owner_tasks;
mod periodic_reports;
mod quorum_contact;
pub mod store_failure_detector;
mod store_liveness;
mod store_retirement;
mod subscriber_reports;
mod worker_health;
mod worker_sessions;

pub use client::Unavailable;
pub use configuration::ConfigurationAnswer;
pub use owner_tasks::OWNER_DECISION_MESSAGE;
pub use store_retirement::RetireAnswer;
pub use subscriber_reports::SubscriberReport;

use crate::{
    feed::subscribers::Subscribers,
    host::Host,
    shards::{Shards, all_shards},
};
use call_handler::CallHandler;
use client::ControlClient;
use clock::SteadyClock;
use configuration::ConfigurationService;
use gatekeeper_count::GatekeeperCount;
use membership::ControlMembership;
use opalrun_wire::feed::ControlNode;
use owner_tasks::OwnerTasks;
use periodic_reports::PeriodicReports;
use quorum_contact::QuorumContact;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use store_failure_detector::StoreLayout;
use store_liveness::StoreLiveness;
use store_retirement::StoreRetirement;
use subscriber_reports::SubscriberReports;
use tokio::task::JoinSet;
use worker_health::WorkerHealth;
use worker_sessions::WorkerSessions;

/// What a process takes from its settings.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// This process.
    pub node: ControlNode,
    /// Machines that may be lost at a time.
    pub hosts_lost: usize,
    /// Number of control processes that the tier began with, as far as is known.
    pub seed_count: usize,
    /// How the partitions of the stores' data are laid out.
    pub store_layout: StoreLayout,
    /// How often workers send a heartbeat.
    pub heartbeat: Duration,
}

/// A control process. Everything in it runs on one thread.
pub struct ControlProcess {
    clock: SteadyClock,
    client: Rc<ControlClient>,
    quorum_contact: Rc<QuorumContact>,
    /// The connections of the feed write it, the concerns read it; all run on one thread.
    subscribers: Rc<RefCell<Subscribers>>,
    worker_sessions: Rc<WorkerSessions>,
    configuration: Rc<ConfigurationService>,
    store_retirement: StoreRetirement,
    membership: Rc<ControlMembership>,
    store_liveness: Rc<StoreLiveness>,
    worker_health: Rc<WorkerHealth>,
    gatekeeper_count: Rc<GatekeeperCount>,
    subscriber_reports: Rc<SubscriberReports>,
    call_handler: CallHandler,
    is_stopping: Cell<bool>,
}

impl ControlProcess {
    /// A process over a host that runs `shards`.
    #[must_use]
    pub fn new(options: ProcessOptions, host: Rc<Host>, shards: Shards) -> Rc<Self> {
        let min_members = options.seed_count.max(2 * options.hosts_lost + 1);
        let clock = SteadyClock::start();
        let subscribers: Rc<RefCell<Subscribers>> = Rc::default();
        let client = ControlClient::new(Rc::clone(&host), shards);
        let quorum_contact = QuorumContact::new(host, clock);
        let worker_sessions =
            WorkerSessions::new(Rc::clone(&client), Rc::clone(&quorum_contact), clock, options.heartbeat);
        let membership = ControlMembership::new(
            Rc::clone(&client),
            Rc::clone(&quorum_contact),
            options.node,
            options.seed_count,
            min_members,
        );
        let configuration = ConfigurationService::new(Rc::clone(&client), Rc::clone(&subscribers), clock);
        let store_liveness =
            StoreLiveness::new(Rc::clone(&client), Rc::clone(&subscribers), clock, options.store_layout);
        let worker_health = WorkerHealth::new(Rc::clone(&client), clock);
        let gatekeeper_count = GatekeeperCount::new(Rc::clone(&client), Rc::clone(&subscribers), clock);
        let subscriber_reports =
            Rc::new(SubscriberReports::new(Rc::clone(&client), Rc::clone(&subscribers), clock));
        let call_handler = CallHandler {
            client: Rc::clone(&client),
            worker_sessions: Rc::clone(&worker_sessions),
            configuration: Rc::clone(&configuration),
            membership: Rc::clone(&membership),
            store_liveness: Rc::clone(&store_liveness),
            gatekeeper_count: Rc::clone(&gatekeeper_count),
            worker_health: Rc::clone(&worker_health),
            subscriber_reports: Rc::clone(&subscriber_reports),
        };
        Rc::new(Self {
            clock,
            store_retirement: StoreRetirement::new(Rc::clone(&client)),
            client,
            quorum_contact,
            subscribers,
            worker_sessions,
            configuration,
            membership,
            store_liveness,
            worker_health,
            gatekeeper_count,
            subscriber_reports,
            call_handler,
            is_stopping: Cell::new(false),
        })
    }

    /// Lets the host bring the calls of other control processes.
    pub fn register_handlers(self: &Rc<Self>) {
        let process = Rc::downgrade(self);
        self.host().set_call_handler(move |bytes| {
            let process = process.upgrade();
            Box::pin(async move {
                match process {
                    Some(process) => process.call_handler.answer_bytes(&bytes).await,
                    None => Vec::new(),
                }
            })
        });
        let process = Rc::downgrade(self);
        self.host().set_join_handler(move |node| {
            if let Some(process) = process.upgrade() {
                tokio::task::spawn_local(async move {
                    // A process that is not admitted sends its join request again.
                    let _ = process.membership.admit(node).await;
                });
            }
        });
    }

    /// Starts the background tasks of the process, which run until `tasks` is dropped.
    pub fn start_background_tasks(&self, tasks: &mut JoinSet<()>) {
        let owner_tasks = OwnerTasks {
            client: Rc::clone(&self.client),
            clock: self.clock,
            quorum_contact: Rc::clone(&self.quorum_contact),
            membership: Rc::clone(&self.membership),
            store_liveness: Rc::clone(&self.store_liveness),
            worker_sessions: Rc::clone(&self.worker_sessions),
        };
        let reports = PeriodicReports {
            worker_sessions: Rc::clone(&self.worker_sessions),
            store_liveness: Rc::clone(&self.store_liveness),
            gatekeeper_count: Rc::clone(&self.gatekeeper_count),
            worker_health: Rc::clone(&self.worker_health),
        };
        tasks.spawn_local(Rc::clone(&self.membership).follow_directory());
        tasks.spawn_local(owner_tasks.run());
        tasks.spawn_local(reports.run());
        tasks.spawn_local(Rc::clone(&self.membership).keep_joined());
    }

    /// The state of all shards.
    #[must_use]
    pub fn shards(&self) -> &Shards {
        self.client.shards()
    }

    /// The replicated host.
    #[must_use]
    pub fn host(&self) -> &Rc<Host> {
        self.client.host()
    }

    /// The subscribers of the feed at this process.
    #[must_use]
    pub fn subscribers(&self) -> &RefCell<Subscribers> {
        &self.subscribers
    }

    /// Access to the replicated shards.
    pub(crate) fn client(&self) -> &ControlClient {
        &self.client
    }

    /// The sessions of workers.
    pub(crate) fn worker_sessions(&self) -> &WorkerSessions {
        &self.worker_sessions
    }

    /// The operator's configuration.
    pub(crate) fn configuration(&self) -> &Rc<ConfigurationService> {
        &self.configuration
    }

    /// The retirement of store machines.
    pub(crate) fn store_retirement(&self) -> &StoreRetirement {
        &self.store_retirement
    }

    /// The membership of control.
    pub(crate) fn membership(&self) -> &ControlMembership {
        &self.membership
    }

    /// The health of workers.
    pub(crate) fn worker_health(&self) -> &WorkerHealth {
        &self.worker_health
    }

    /// The number of gatekeepers over the whole tier.
    pub(crate) fn gatekeeper_count(&self) -> &GatekeeperCount {
        &self.gatekeeper_count
    }

    /// The reports of all control processes on their subscribers.
    pub(crate) fn subscriber_reports(&self) -> &SubscriberReports {
        &self.subscriber_reports
    }

    /// The steady clock: the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Whether what this process knows of every shard is fresh.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        !self.is_stopping.get() && all_shards().all(|shard| self.host().is_fresh(shard))
    }

    /// Whether the process is about to end.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// From now on subscribers are sent to other control processes.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.shards().notify_waiters();
    }
}
