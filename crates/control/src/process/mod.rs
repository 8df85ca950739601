//! The control process. Each of its services is a type that owns its state:
//!
//! - sessions of workers: `worker_sessions`, with the choice of the process that receives a worker's heartbeats in
//!   `heartbeat_target`;
//! - the operator's configuration: `configuration`;
//! - retirement of store machines: `store_retirement`;
//! - membership of the control processes: `membership`, with the failure detector in [`member_failure_detector`];
//! - liveness of stores: `store_liveness`, with the failure detector in [`store_failure_detector`];
//! - health of workers: `worker_health`;
//! - number of gatekeepers: `gatekeeper_count`;
//! - reports of the subscribed gatekeepers: `subscriber_reports`.
//!
//! [`ControlProcess`] connects them. All of them access the replicated shards through `client`. `call_handler`
//! receives the remote calls of other control processes; `owner_tasks` and `periodic_reports` run in the background.

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
use clock::MonotonicClock;
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

/// Options of a control process, derived from its settings.
#[derive(Debug, Clone)]
pub struct ProcessOptions {
    /// Directory entry of this process.
    pub node: ControlNode,
    /// Number of machines that may be lost simultaneously.
    pub hosts_lost: usize,
    /// Number of control processes with which the tier was bootstrapped, by the seed nodes in the settings.
    pub seed_count: usize,
    /// Replication and placement of the stores' partitions.
    pub store_layout: StoreLayout,
    /// Interval at which workers send heartbeats.
    pub heartbeat: Duration,
}

/// A control process. All of its services and tasks run on one thread.
pub struct ControlProcess {
    clock: MonotonicClock,
    client: Rc<ControlClient>,
    quorum_contact: Rc<QuorumContact>,
    /// Written by the connections of the change feed and read by the services, all on one thread.
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
    /// Creates a process on top of a host whose state machines are `shards`.
    #[must_use]
    pub fn new(options: ProcessOptions, host: Rc<Host>, shards: Shards) -> Rc<Self> {
        let min_members = options.seed_count.max(2 * options.hosts_lost + 1);
        let clock = MonotonicClock::start();
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

    /// Registers the handlers for remote calls and join requests at the host.
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
                    // A process that was not admitted repeats its join request.
                    let _ = process.membership.admit(node).await;
                });
            }
        });
    }

    /// Starts the background tasks of the process, which run until `tasks` is dropped or shut down.
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

    /// Returns the state of all shards, as applied at this process.
    #[must_use]
    pub fn shards(&self) -> &Shards {
        self.client.shards()
    }

    /// Returns the replicated host.
    #[must_use]
    pub fn host(&self) -> &Rc<Host> {
        self.client.host()
    }

    /// Returns the subscribers of the change feed at this process.
    #[must_use]
    pub fn subscribers(&self) -> &RefCell<Subscribers> {
        &self.subscribers
    }

    /// Returns the client for the replicated shards.
    pub(crate) fn client(&self) -> &ControlClient {
        &self.client
    }

    /// Returns the service for sessions of workers.
    pub(crate) fn worker_sessions(&self) -> &WorkerSessions {
        &self.worker_sessions
    }

    /// Returns the service for the operator's configuration.
    pub(crate) fn configuration(&self) -> &Rc<ConfigurationService> {
        &self.configuration
    }

    /// Returns the service for the retirement of store machines.
    pub(crate) fn store_retirement(&self) -> &StoreRetirement {
        &self.store_retirement
    }

    /// Returns the service for the membership of the control processes.
    pub(crate) fn membership(&self) -> &ControlMembership {
        &self.membership
    }

    /// Returns the service for the health of workers.
    pub(crate) fn worker_health(&self) -> &WorkerHealth {
        &self.worker_health
    }

    /// Returns the service that counts the gatekeepers in the whole tier.
    pub(crate) fn gatekeeper_count(&self) -> &GatekeeperCount {
        &self.gatekeeper_count
    }

    /// Returns the service that collects reports of subscribed gatekeepers from all control processes.
    pub(crate) fn subscriber_reports(&self) -> &SubscriberReports {
        &self.subscriber_reports
    }

    /// Returns the time of the monotonic clock, since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns whether the applied state of every shard is fresh, see [`Host::is_fresh`]; `false` during the
    /// shutdown.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        !self.is_stopping.get() && all_shards().all(|shard| self.host().is_fresh(shard))
    }

    /// Returns whether the process is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.get()
    }

    /// Marks the process as stopping, so that subscribers are redirected to other control processes.
    pub fn stop(&self) {
        self.is_stopping.set(true);
        self.shards().notify_waiters();
    }
}
