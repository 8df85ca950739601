//! The replicated host: runs the groups of all shards in one process, over one link to each other process and one
//! thread for the disk.
//!
//! Everything but the disk runs on the thread of a `LocalSet`. Inputs (calls, frames, ticks, finished writes) change the
//! groups and wake the driver, which then does at once what all groups ask for: one frame for each peer, one job for
//! the disk with one sync, and the entries to apply.
//!
//! Each concern has a type that owns its state: `Groups` the replicas, their state machines and pending requests (no
//! I/O), `JournalWriter` what is on its way to the disk, `Links` the connections to other processes,
//! `PeerContacts` and [`SuspensionDetector`] what freshness depends on, `PendingCalls` the calls in flight.
//! [`Host`] wires them up; the tasks are in `driver` and `links`.

mod addresses;
mod disk;
mod driver;
mod error;
mod frame_handler;
pub mod freshness;
#[cfg(test)]
mod golden_tests;
mod group;
mod groups;
mod identity;
mod journal;
#[cfg(test)]
mod journal_tests;
mod journal_writer;
mod links;
pub(crate) mod members;
mod options;
mod peer_contacts;
mod peer_frame;
mod pending_calls;
mod state_machine;
pub(crate) mod stored_state;
#[cfg(test)]
mod tests;

pub use error::{CallError, HostError, HostFailure, ProposeError};
pub use options::HostOptions;
pub use state_machine::StateMachine;

use addresses::{parse_address, seed_addresses};
use disk::DiskThread;
use freshness::SuspensionDetector;
use group::Group;
use groups::Groups;
use identity::Identity;
use journal::{Journal, RestoredShard};
use journal_writer::JournalWriter;
use links::Links;
use members::{member_id, node_identity};
use opalrun_net::{Listener, reachability::PeerCount};
use opalrun_replication::{LogIndex, Member, Options, Replica, Term};
use opalrun_storage::DataDirectory;
use opalrun_wire::{
    feed::{CONFIGURATION_SHARD, ControlNode},
    ids::{NodeIdentity, Shard},
};
use peer_contacts::PeerContacts;
use pending_calls::PendingCalls;
use snafu::ResultExt;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::{
    sync::{Notify, watch},
    time::{sleep, timeout},
};

/// How long a proposal or a read may take. A caller outside goes to another process after a second.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the transfers of all leaderships at the end may take.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a transfer of leadership is checked, and begun again where it has failed.
const LEADERSHIP_TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A command that is committed and applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    /// Its index in the shard's log.
    pub index: LogIndex,
    /// The reply of the state machine.
    pub reply: Vec<u8>,
}

/// The encoded answer to a call, which may take time.
pub type CallFuture = Pin<Box<dyn Future<Output = Vec<u8>>>>;
type CallHandler = Rc<dyn Fn(Vec<u8>) -> CallFuture>;
type JoinHandler = Rc<dyn Fn(ControlNode)>;

/// What a process knows of a shard's group, to notice when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ShardStatus {
    /// The identity of the owner, if known.
    owner: Option<NodeIdentity>,
    is_fresh: bool,
}

/// Runs the groups of all shards of one process. Its tasks share it on one thread; no borrow lasts across an await.
pub struct Host {
    node: ControlNode,
    seeds: Vec<SocketAddr>,
    started: Instant,
    groups: RefCell<Groups>,
    journal: RefCell<JournalWriter>,
    links: Links,
    pending_calls: PendingCalls,
    contacts: RefCell<PeerContacts>,
    suspensions: Cell<SuspensionDetector>,
    /// Wakes the driver.
    work: Rc<Notify>,
    /// Ends the tasks that wait for other processes when the host is dropped.
    alive: watch::Sender<()>,
    /// Counts the changes that [`Self::applied_changed`] notifies of.
    applied: watch::Sender<u64>,
    /// Why this host can't go on, once it can't.
    failed: watch::Sender<Option<Arc<HostFailure>>>,
    /// The status of each shard as of the last look.
    shard_statuses: RefCell<Vec<ShardStatus>>,
    /// The members that all groups should have.
    desired_members: RefCell<Vec<ControlNode>>,
    /// This process is shutting down and does not send join requests any more.
    is_leaving: Cell<bool>,
    call_handler: RefCell<Option<CallHandler>>,
    join_handler: RefCell<Option<JoinHandler>>,
    next_read_request: Cell<u64>,
}

impl Host {
    /// Opens the state on disk and starts all groups, one for each state machine, in the order of the shards. Runs inside
    /// a `LocalSet`. When this returns, the host accepts links from others.
    ///
    /// # Errors
    /// Where the state can't be read, an address is invalid or can't be listened on.
    pub async fn start(
        options: HostOptions,
        state_machines: Vec<Box<dyn StateMachine>>,
    ) -> Result<Rc<Self>, HostError> {
        let address = parse_address(&options.node.peer_address)?;
        let seeds = seed_addresses(&options)?;
        let directory = DataDirectory::open(&options.data_directory).context(error::StorageSnafu)?;
        let identity = Identity::load_or_create(&directory, &options)?;
        let (journal, shards) = Journal::open(&directory, state_machines.len(), &identity.genesis)?;
        let node = ControlNode { identity: identity.identity, ..options.node.clone() };
        let mut groups = Vec::new();
        for (restored, state_machine) in shards.into_iter().zip(state_machines) {
            groups.push(restore_group(node.identity, options.hosts_lost, restored, state_machine)?);
        }
        let listener = Listener::bind(address).await.context(error::NetSnafu)?;
        let (disk, results) = DiskThread::start(journal).context(error::ThreadSnafu)?;
        let started = Instant::now();
        let host = Rc::new(Self {
            seeds,
            started,
            groups: RefCell::new(Groups::new(groups)),
            journal: RefCell::new(JournalWriter::new(disk)),
            links: Links::new(node.clone()),
            pending_calls: PendingCalls::default(),
            contacts: RefCell::new(PeerContacts::new(started)),
            suspensions: Cell::default(),
            work: Rc::new(Notify::new()),
            alive: watch::Sender::new(()),
            applied: watch::Sender::new(0),
            failed: watch::Sender::new(None),
            shard_statuses: RefCell::default(),
            desired_members: RefCell::default(),
            is_leaving: Cell::new(false),
            call_handler: RefCell::default(),
            join_handler: RefCell::default(),
            next_read_request: Cell::new(1),
            node,
        });
        host.update_links();
        driver::spawn(&host, results);
        links::spawn_listener(&host, listener);
        Ok(host)
    }

    /// This process's identity: stored on its disk, another one after the loss of the disk.
    #[must_use]
    pub fn identity(&self) -> NodeIdentity {
        self.node.identity
    }

    /// Proposes a command and waits until it is applied.
    ///
    /// # Errors
    /// [`ProposeError::NotOwner`]: it is not and will not be applied. [`ProposeError::NoQuorum`]: too much is in flight
    /// already. [`ProposeError::TimedOut`]: it may be applied, now or later.
    pub async fn propose(&self, shard: Shard, command: Vec<u8>) -> Result<Committed, ProposeError> {
        let result = self.with_group(shard, |group| group.propose(command))?;
        self.work.notify_one();
        match timeout(OPERATION_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            _ => Err(ProposeError::TimedOut),
        }
    }

    /// Waits until everything committed before the call is applied here, and this process is known to have owned the
    /// shard after the call began.
    ///
    /// # Errors
    /// [`ProposeError::NotOwner`], or [`ProposeError::NoQuorum`] where no majority answers in time.
    pub async fn read_index(&self, shard: Shard) -> Result<(), ProposeError> {
        let request = self.next_read_request.replace(self.next_read_request.get() + 1);
        let confirmed = self.with_group(shard, |group| group.read(request))?;
        self.work.notify_one();
        match timeout(OPERATION_TIMEOUT, confirmed).await {
            Ok(Ok(true)) => Ok(()),
            Ok(_) => Err(ProposeError::NotOwner(self.owner(shard))),
            Err(_) => Err(ProposeError::NoQuorum),
        }
    }

    /// The identity of the shard's owner, if known.
    #[must_use]
    pub fn owner(&self, shard: Shard) -> Option<NodeIdentity> {
        self.with_group(shard, |group| group.replica.leader().map(node_identity))
    }

    /// Whether this process owns the shard, as far as it knows.
    #[must_use]
    pub fn is_owner(&self, shard: Shard) -> bool {
        self.with_group(shard, |group| group.replica.is_leader())
    }

    /// Whether this process has heard the owner within half a second, was heard by it within a second, and has applied
    /// what the owner had committed; the owner itself: whether it has heard a majority.
    #[must_use]
    pub fn is_fresh(&self, shard: Shard) -> bool {
        let now = self.now();
        self.suspensions.get().is_running(now)
            && self.with_group(shard, |group| freshness::is_fresh(&group.replica, now))
    }

    /// The last entry of the shard that is applied here.
    #[must_use]
    pub fn applied(&self, shard: Shard) -> LogIndex {
        self.with_group(shard, |group| group.applied)
    }

    /// Changes whenever something was applied, and when an owner or the freshness of a shard changes.
    #[must_use]
    pub fn applied_changed(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Calls another control process and returns what its call handler answers.
    ///
    /// # Errors
    /// [`CallError::Unreachable`]: there is no link. [`CallError::TimedOut`]: no answer came in time or the link broke;
    /// the call may have been carried out.
    pub async fn call(
        &self,
        identity: NodeIdentity,
        bytes: Vec<u8>,
        limit: Duration,
    ) -> Result<Vec<u8>, CallError> {
        if identity == self.node.identity {
            return self.answer(bytes).await.ok_or(CallError::Unreachable);
        }
        let mut call = self.pending_calls.begin();
        if !self.links.send_call(identity, call.number, bytes) {
            return Err(CallError::Unreachable);
        }
        timeout(limit, call.answer()).await.unwrap_or(Err(CallError::TimedOut))
    }

    /// Sets what answers the calls of other control processes.
    pub fn set_call_handler(&self, handler: impl Fn(Vec<u8>) -> CallFuture + 'static) {
        *self.call_handler.borrow_mut() = Some(Rc::new(handler));
    }

    /// Sets what handles join requests. A process repeats its request until it is a member.
    pub fn set_join_handler(&self, handler: impl Fn(ControlNode) + 'static) {
        *self.join_handler.borrow_mut() = Some(Rc::new(handler));
    }

    /// Sets the members that all groups should have; each group that this process leads moves towards them.
    pub fn set_desired_members(self: &Rc<Self>, nodes: Vec<ControlNode>) {
        let as_member = |node: &ControlNode| Member {
            identity: member_id(node.identity),
            address: node.peer_address.clone(),
            is_voter: true,
        };
        let members: Vec<Member> = nodes.iter().map(as_member).collect();
        self.groups.borrow_mut().set_desired_members(&members);
        *self.desired_members.borrow_mut() = nodes;
        self.update_links();
    }

    /// Sets whether this process is leaving: then it does not send join requests.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.set(is_leaving);
    }

    /// The voters of a shard that this process owns, if the latest change of them is committed.
    #[must_use]
    pub fn committed_voters(&self, shard: Shard) -> Option<Vec<NodeIdentity>> {
        let voters = self.with_group(shard, |group| group.replica.committed_voters())?;
        Some(voters.into_iter().map(node_identity).collect())
    }

    /// Bytes of the journal of all groups.
    #[must_use]
    pub fn journal_bytes(&self) -> u64 {
        self.journal.borrow().journal_bytes()
    }

    /// The newest term of a shard that is known here.
    #[must_use]
    pub fn term(&self, shard: Shard) -> Term {
        self.with_group(shard, |group| group.replica.term())
    }

    /// A shard's members, as this process's log says.
    #[must_use]
    pub fn members(&self, shard: Shard) -> Vec<Member> {
        self.with_group(shard, |group| group.replica.membership().members.clone())
    }

    /// The identities of a shard's voters, as this process's log says.
    #[must_use]
    pub fn voters(&self, shard: Shard) -> Vec<NodeIdentity> {
        self.with_group(shard, |group| {
            let members = &group.replica.membership().members;
            members
                .iter()
                .filter(|member| member.is_voter)
                .map(|member| node_identity(member.identity))
                .collect()
        })
    }

    /// Identities of the processes that this one keeps links to: members as of its log, and those that have connected
    /// here recently.
    #[must_use]
    pub fn linked_peers(&self) -> Vec<NodeIdentity> {
        self.links.identities()
    }

    /// Other control processes that can't be reached, and attempts to connect to them that failed.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.links.peer_count()
    }

    /// The time since this process last heard another one; before the first time, since its own start.
    #[must_use]
    pub fn since_last_contact(&self, identity: NodeIdentity) -> Duration {
        if identity == self.node.identity {
            return Duration::ZERO;
        }
        self.contacts.borrow().since_last(identity)
    }

    /// Transfers the leadership of all groups that this process leads to other members, as far as there are any. Returns
    /// when that is done, or after a time-out.
    pub async fn transfer_leadership(&self) {
        let began = Instant::now();
        while began.elapsed() < LEADERSHIP_TRANSFER_TIMEOUT {
            if !self.groups.borrow_mut().transfer_leadership() {
                return;
            }
            self.work.notify_one();
            sleep(LEADERSHIP_TRANSFER_POLL_INTERVAL).await;
        }
    }

    /// Waits until the host fails in a way that only a restart can mend, and returns why.
    pub async fn failure(&self) -> Arc<HostFailure> {
        let mut failed = self.failed.subscribe();
        loop {
            if let Some(failure) = failed.borrow_and_update().clone() {
                return failure;
            }
            if failed.changed().await.is_err() {
                // The sender is a field of this host, which is borrowed here.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Milliseconds of the steady clock since the start.
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn record_tick(&self) {
        let mut suspensions = self.suspensions.get();
        suspensions.tick(self.now());
        self.suspensions.set(suspensions);
    }

    /// Returns whether the owner or the freshness of a shard has changed since the last call.
    fn update_shard_statuses(&self) -> bool {
        let shards = self.groups.borrow().shards();
        let status = |shard| ShardStatus { owner: self.owner(shard), is_fresh: self.is_fresh(shard) };
        let statuses: Vec<ShardStatus> = shards.map(status).collect();
        let is_changed = *self.shard_statuses.borrow() != statuses;
        *self.shard_statuses.borrow_mut() = statuses;
        is_changed
    }

    fn with_group<T>(&self, shard: Shard, action: impl FnOnce(&mut Group) -> T) -> T {
        action(self.groups.borrow_mut().of_shard(shard))
    }

    /// The answer of this process to a call; `None` before there is a handler.
    async fn answer(&self, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let handler = self.call_handler.borrow().clone()?;
        Some(handler(bytes).await)
    }

    /// Whether this process is to send join requests.
    fn wants_to_join(&self) -> bool {
        !self.is_leaving.get() && !self.is_member()
    }

    /// Whether this process is a member of the first shard's group, as far as it knows.
    fn is_member(&self) -> bool {
        self.with_group(CONFIGURATION_SHARD, |group| {
            group.replica.membership().get(member_id(self.node.identity)).is_some()
        })
    }

    /// Keeps links to all members, to those that are to become members, and to the seeds while this process is none.
    fn update_links(self: &Rc<Self>) {
        let mut members = self.groups.borrow().member_addresses();
        for node in self.desired_members.borrow().iter() {
            members.insert(node.identity, node.peer_address.clone());
        }
        members.remove(&self.node.identity);
        let seeds = if self.is_member() { &[] } else { &self.seeds[..] };
        links::update(self, &members, seeds);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.work.notify_one();
    }
}

/// A group as it was found on disk.
///
/// # Errors
/// Where the state in the snapshot can't be decoded.
fn restore_group(
    identity: NodeIdentity,
    hosts_lost: usize,
    restored: RestoredShard,
    mut state_machine: Box<dyn StateMachine>,
) -> Result<Group, HostError> {
    if let Some(state) = restored.state {
        state_machine.restore(&state).context(error::UnreadableSnafu { what: "a snapshot" })?;
    }
    let options = Options { identity: member_id(identity), hosts_lost, seed: identity::random_number() };
    Ok(Group::new(Replica::new(options, restored.log, 0), state_machine))
}
