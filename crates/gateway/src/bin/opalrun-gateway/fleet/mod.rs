//! The fleet: exchanges spending and worker failures with the other gateways of the deployment by UDP gossip. Off unless
//! the configuration has `fleet`.
//!
//! This module owns the socket and the clock and limits the work spent on datagrams. [`membership`] knows which gateways
//! are alive, [`views`] what they have spent and seen. The fleet makes no decisions: the driver queries it, and failures
//! of workers that other gateways report arrive by a channel.

pub mod membership;
pub mod views;
mod wire;

use fnv::FnvHashMap;
use membership::{Id, MemberReport, Membership, MembershipEvent, Output};
use opalrun_gateway::Time;
use opalrun_transport::clock::Clock;
use serde::{Deserialize, Serialize};
use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{Instant, sleep, sleep_until},
};
use tracing::{info, warn};
use views::{Spending, Views, WorkerSummary};
use wire::{FrameError, Kind};

/// Interval at which updates are sent to other members.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of datagrams with updates sent at each interval, each to a random member.
const GOSSIP_FANOUT: usize = 3;
/// Token bucket for reading datagrams: rate per second and burst. The system drops what arrives beyond it.
const READ_LIMIT: (f64, f64) = (3000.0, 300.0);
/// Largest number of datagrams read before other tasks run.
const READ_BATCH: usize = 16;
/// Largest number of members listed in a report.
const MAX_REPORTED_MEMBERS: usize = 512;
/// Delay before the socket is bound again after a failure.
const BIND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Shortest time in seconds between two warnings about rejected datagrams.
const WARN_INTERVAL_S: f64 = 10.0;

/// Settings of the fleet: `fleet` in the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Whether this gateway takes part; `false` has the effect of leaving `fleet` out.
    #[serde(default = "enabled")]
    pub on: bool,
    /// Address to bind.
    pub listen: SocketAddr,
    /// Address at which the other gateways reach this one; `None`: the bound address.
    pub advertise: Option<SocketAddr>,
    /// Members that are contacted to join the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Name of the deployment; datagrams of other deployments are rejected.
    pub name: String,
}

/// Default of [`FleetSettings::on`].
fn enabled() -> bool {
    true
}

/// The gateway that takes part in the fleet.
pub trait Site {
    /// This gateway's number, a seed for random choices, and rate and burst of each plan.
    fn parameters(&self) -> (u32, u64, Vec<(f64, f64)>);
    /// Sets or removes the fleet that the gateway reports to and queries.
    fn set_fleet(&self, fleet: Option<Rc<Fleet>>);
    /// Other gateways have reported failures of a worker.
    fn worker_failed_elsewhere(&self, worker: &str);
}

/// Takes part in the fleet while the settings say so, and follows their changes. Returns only when the settings can't
/// change any more.
pub async fn participate(
    site: impl Site,
    clock: Clock,
    mut settings: watch::Receiver<Option<FleetSettings>>,
) {
    loop {
        let present = settings.borrow_and_update().clone().filter(|s| s.on);
        let Some(present) = present else {
            if settings.changed().await.is_err() {
                return;
            }
            continue;
        };
        let (me, seed, plans) = site.parameters();
        match Fleet::open(&present, me, seed, plans, clock).await {
            Ok((fleet, mut failed_workers)) => {
                info!("fleet: gateway {me} joins the fleet at {}", fleet.membership.borrow().own().addr);
                site.set_fleet(Some(fleet.clone()));
                let forward_failures = async {
                    while let Some(worker) = failed_workers.recv().await {
                        site.worker_failed_elsewhere(&worker);
                    }
                };
                let settings_change = async {
                    // A reload that leaves the fleet's settings as they are does not interrupt it.
                    while settings.changed().await.is_ok()
                        && settings.borrow_and_update().as_ref() == Some(&present)
                    {}
                };
                tokio::select! {
                    () = fleet.clone().run() => {}
                    () = forward_failures => {}
                    () = settings_change => {}
                }
                fleet.leave();
                site.set_fleet(None);
                info!("fleet: gateway {me} has left the fleet");
            }
            Err(error) => {
                // Such as when the process that this one takes over from still has the address.
                warn!("fleet: can't bind {}: {error}", present.listen);
                tokio::select! {
                    () = sleep(BIND_RETRY_DELAY) => {}
                    _ = settings.changed() => {}
                }
            }
        }
    }
}

/// Datagrams and bytes since this gateway joined the fleet.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct Traffic {
    sent: u64,
    sent_bytes: u64,
    received: u64,
    received_bytes: u64,
    /// Received datagrams that are malformed or have a wrong checksum.
    damaged: u64,
    /// Received datagrams of another protocol version.
    other_version: u64,
    /// Received datagrams of another deployment.
    strangers: u64,
    /// Received datagrams with a valid frame whose body or sender was rejected.
    unheard: u64,
}

/// Answer to `GET /control/fleet`.
#[derive(Serialize)]
struct Report {
    /// Number of this gateway.
    me: u32,
    /// Incarnation of this gateway.
    start: u64,
    /// Number of other members that are alive.
    members: usize,
    /// All known members, at most `MAX_REPORTED_MEMBERS`.
    known: Vec<MemberReport>,
    /// Number of customers with known spending.
    customers: usize,
    /// Number of workers with recent attempts.
    workers: usize,
    /// Updates that are queued for sending.
    waiting: usize,
    /// Customers evicted to bound the memory used.
    forgotten: u64,
    /// Seconds since the last update of another member; null if there was none.
    age_s: Option<f64>,
    traffic: Traffic,
}

/// This gateway's membership in the fleet.
pub struct Fleet {
    socket: UdpSocket,
    clock: Clock,
    /// Number of the deployment in datagrams.
    deployment: u32,
    membership: RefCell<Membership>,
    views: RefCell<Views>,
    traffic: Cell<Traffic>,
    /// Time of the last warning about a rejected datagram.
    last_warning: Cell<Time>,
    /// Names of the workers in this gateway's list, by the keys that stand for them in datagrams.
    worker_names: RefCell<FnvHashMap<u64, Rc<str>>>,
    /// Sends the names of workers whose failures other members have reported.
    failed_workers: mpsc::UnboundedSender<Rc<str>>,
    /// Wakes the membership timers, as a datagram may have set an earlier one.
    wake: Notify,
    rng: RefCell<fastrand::Rng>,
}

impl Fleet {
    /// Binds the socket. Nothing is sent or received before [`Fleet::run`].
    ///
    /// # Errors
    /// The address can't be bound, such as when an earlier process of this gateway still has it.
    async fn open(
        settings: &FleetSettings,
        me: u32,
        seed: u64,
        plans: Vec<(f64, f64)>,
        clock: Clock,
    ) -> io::Result<(Rc<Self>, mpsc::UnboundedReceiver<Rc<str>>)> {
        let socket = UdpSocket::bind(settings.listen).await?;
        let addr = settings.advertise.map_or_else(|| socket.local_addr(), Ok)?;
        let now = clock.now();
        let own = Id { addr, me, start: (now.max(0.0) * 1e3) as u64 };
        let (failed_workers, failures) = mpsc::unbounded_channel();
        let fleet = Rc::new(Self {
            socket,
            clock,
            deployment: wire::deployment(&settings.name),
            views: RefCell::new(Views::new(&own, plans)),
            membership: RefCell::new(Membership::new(own, settings.seeds.clone(), seed)),
            traffic: Cell::default(),
            last_warning: Cell::new(f64::NEG_INFINITY),
            worker_names: RefCell::default(),
            failed_workers,
            wake: Notify::new(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
        });
        Ok((fleet, failures))
    }

    // ---- Interface for the gateway ----

    /// Changes rate and burst of the plans.
    pub fn set_plans(&self, plans: Vec<(f64, f64)>) {
        self.views.borrow_mut().set_plans(plans);
    }

    /// Records the name of a listed worker, so that its key in datagrams can be resolved.
    pub fn register_worker(&self, worker: &str) {
        self.worker_names.borrow_mut().entry(views::key(worker)).or_insert_with(|| worker.into());
    }

    /// Records the units of a request whose first attempt is sent.
    pub fn record_spending(&self, customer: &str, plan: usize, units: f64) {
        if let Ok(plan) = u8::try_from(plan) {
            self.views.borrow_mut().record_spending(self.clock.now(), views::key(customer), plan, units);
        }
    }

    /// Records that a worker has answered or failed an attempt of this gateway.
    pub fn record_attempt(&self, worker: &str, answered: bool) {
        self.views.borrow_mut().record_attempt(self.clock.now(), views::key(worker), answered);
        if !answered {
            // After a failure the timers are checked at once.
            self.wake.notify_one();
        }
    }

    /// What the fleet's spending leaves of a customer's quota; `None`: no spending is known.
    pub fn spending(&self, customer: &str) -> Option<Spending> {
        self.views.borrow().spending(self.clock.now(), views::key(customer))
    }

    /// Answers and failures of a worker at all members in the last second.
    pub fn worker_summary(&self, worker: &str) -> WorkerSummary {
        self.views.borrow().worker_summary(self.clock.now(), views::key(worker))
    }

    /// Number of other members that are alive.
    pub fn members(&self) -> usize {
        self.membership.borrow().len()
    }

    /// State of the fleet as this gateway knows it, as JSON.
    pub fn report(&self) -> String {
        let (membership, views) = (self.membership.borrow(), self.views.borrow());
        let (customers, workers, waiting) = views.sizes();
        let (own, age) = (membership.own(), views.age(self.clock.now()));
        let mut known = membership.report();
        known.sort_by_key(|m| m.me);
        known.truncate(MAX_REPORTED_MEMBERS);
        let report = Report {
            me: own.me,
            start: own.start,
            members: membership.len(),
            known,
            customers,
            workers,
            waiting,
            forgotten: views.evicted_customers,
            age_s: age.is_finite().then_some(age),
            traffic: self.traffic.get(),
        };
        // Numbers and strings only, which can always be serialized.
        serde_json::to_string(&report).unwrap_or_default()
    }

    // ---- The socket ----

    /// Updates the traffic counters.
    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }

    fn send(&self, kind: Kind, to: SocketAddr, body: &[u8]) {
        let datagram = wire::encode(kind, self.deployment, body);
        // The protocol tolerates lost datagrams, so one that can't be sent now is dropped.
        if self.socket.try_send_to(&datagram, to).is_ok() {
            self.count(|t| {
                t.sent += 1;
                t.sent_bytes += datagram.len() as u64;
            });
        }
    }

    /// Sends the datagrams and logs the events that the membership protocol has produced.
    fn apply_output(&self, output: Output) {
        for (to, body) in &output.sends {
            self.send(Kind::Membership, *to, body);
        }
        for event in output.events {
            let members = self.members();
            match event {
                MembershipEvent::Joined(id) => {
                    self.warn_of_duplicate_number(&id);
                    info!("fleet: gateway {} at {} has joined, other members: {members}", id.me, id.addr);
                }
                MembershipEvent::Lost(id) => {
                    info!("fleet: gateway {} at {} is down, other members: {members}", id.me, id.addr);
                }
                MembershipEvent::Restarted(id) => {
                    info!("fleet: gateway {} at {} has restarted", id.me, id.addr);
                }
                MembershipEvent::Rejoined => {
                    self.views.borrow_mut().set_identity(self.membership.borrow().own());
                    info!("fleet: the other members considered this gateway down; it has rejoined");
                }
                MembershipEvent::Alone => info!("fleet: no other member is alive"),
            }
        }
    }

    fn warn_of_duplicate_number(&self, new: &Id) {
        let membership = self.membership.borrow();
        let is_duplicate = |id: &&Id| id.me == new.me && id.addr != new.addr;
        if let Some(other) = membership.others().chain([membership.own()]).find(is_duplicate) {
            warn!("fleet: two gateways have the number {}: {} and {}", new.me, other.addr, new.addr);
        }
    }

    /// Handles a datagram.
    fn received(&self, from: SocketAddr, bytes: &[u8]) {
        self.count(|t| {
            t.received += 1;
            t.received_bytes += bytes.len() as u64;
        });
        let now = self.clock.now();
        match wire::decode(bytes, self.deployment) {
            Ok((Kind::Membership, body)) => {
                let mut output = Output::default();
                let own = self.membership.borrow().own().clone();
                let accepted = self.membership.borrow_mut().receive(now, from, body, &mut output);
                if *self.membership.borrow().own() != own {
                    self.views.borrow_mut().set_identity(self.membership.borrow().own());
                }
                if !accepted {
                    self.count(|t| t.unheard += 1);
                }
                self.apply_output(output);
            }
            Ok((Kind::Views, body)) => {
                // Accepted from members only: spending that others report reduces what customers may use.
                let is_member = self.membership.borrow().others().any(|id| id.addr == from);
                let mut failed = Vec::new();
                if !is_member || !self.views.borrow_mut().receive(now, body, &mut failed) {
                    return self.count(|t| t.unheard += 1);
                }
                let names = self.worker_names.borrow();
                for worker in failed.iter().filter_map(|key| names.get(key)) {
                    // Sending can't fail: the receiver lives as long as the fleet runs.
                    let _ = self.failed_workers.send(worker.clone());
                }
            }
            Err(error) => {
                self.count(|t| match error {
                    FrameError::Damaged => t.damaged += 1,
                    FrameError::Version(_) => t.other_version += 1,
                    FrameError::Stranger => t.strangers += 1,
                });
                if now - self.last_warning.get() >= WARN_INTERVAL_S {
                    self.last_warning.set(now);
                    warn!("fleet: rejected a datagram from {from}: {error}");
                }
            }
        }
    }

    /// Takes part in the fleet; never returns.
    async fn run(self: Rc<Self>) {
        tokio::join!(self.receive_datagrams(), self.run_membership_timers(), self.send_updates());
    }

    /// Reads datagrams within `READ_LIMIT`, so that a flood of them takes a bounded part of the event loop.
    async fn receive_datagrams(&self) {
        let mut buffer = vec![0; wire::MAX_DATAGRAM_BYTES + 1];
        let (mut level, mut at) = (READ_LIMIT.1, Instant::now());
        loop {
            let now = Instant::now();
            level = (level + READ_LIMIT.0 * (now - at).as_secs_f64()).min(READ_LIMIT.1);
            at = now;
            if level < 1.0 {
                sleep(Duration::from_secs_f64(READ_BATCH as f64 / READ_LIMIT.0)).await;
                continue;
            }
            if self.socket.readable().await.is_err() {
                sleep(GOSSIP_INTERVAL).await;
                continue;
            }
            for _ in 0..READ_BATCH {
                match self.socket.try_recv_from(&mut buffer) {
                    Ok((n, from)) => {
                        level -= 1.0;
                        self.received(from, &buffer[..n]);
                        self.wake.notify_one();
                    }
                    // The socket is drained, or it reports that an earlier datagram could not be delivered.
                    Err(_) => break,
                }
            }
            // Lets requests be handled between two batches.
            tokio::task::yield_now().await;
        }
    }

    /// Fires the timers of the membership protocol, and at least once a second.
    async fn run_membership_timers(&self) {
        loop {
            let mut output = Output::default();
            self.membership.borrow_mut().tick(self.clock.now(), &mut output);
            self.apply_output(output);
            let next = self.membership.borrow().next().unwrap_or(f64::MAX).min(self.clock.now() + 1.0);
            tokio::select! {
                () = sleep_until(self.clock.instant(next).into()) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Sends queued updates to random members at regular intervals.
    async fn send_updates(&self) {
        loop {
            sleep(GOSSIP_INTERVAL).await;
            let others: Vec<SocketAddr> = self.membership.borrow().others().map(|id| id.addr).collect();
            if others.is_empty() {
                continue;
            }
            for _ in 0..GOSSIP_FANOUT.min(others.len()) {
                let Some(body) = self.views.borrow_mut().next_body() else { break };
                let to = others[self.rng.borrow_mut().usize(..others.len())];
                self.send(Kind::Views, to, &body);
            }
        }
    }

    /// Announces to the other members that this gateway leaves.
    pub fn leave(&self) {
        let mut output = Output::default();
        self.membership.borrow_mut().leave(self.clock.now(), &mut output);
        self.apply_output(output);
    }
}
