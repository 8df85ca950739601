//! The replicated host: runs the Raft groups of all shards in one process, with one link to each other process and
//! one disk thread.
//!
//! Everything except the disk writes runs on the thread of a `LocalSet`. Inputs (calls, frames, ticks, completed
//! writes) change the groups and wake the driver. The driver then carries out the pending work of all groups in one
//! batch: it sends one frame to each peer, submits one job with one sync to the disk thread, and applies committed
//! entries.
//!
//! Each part has a type that owns its state: `Groups` the replicas, their state machines and pending requests (sans
//! I/O), `JournalWriter` the queued and unfinished disk writes, `Links` the connections to other processes,
//! `PeerContacts` the last contact with each process, [`SuspensionDetector`] the suspensions of this process,
//! `PendingCalls` the remote calls in flight. [`Host`] connects them; the tasks are in `driver` and `links`.

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

/// Time limit of a proposal or a linearizable read. External callers time out after a second and retry at another
/// process.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for the transfer of all leaderships at the shutdown.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which the transfers of leadership are checked, and restarted where they have failed.
const LEADERSHIP_TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The result of a command that is committed and applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Committed {
    /// Index of the command in the shard's log.
    pub index: LogIndex,
    /// Encoded reply of the state machine.
    pub reply: Vec<u8>,
}

/// Future of the encoded answer to a remote call.
pub type CallFuture = Pin<Box<dyn Future<Output = Vec<u8>>>>;
type CallHandler = Rc<dyn Fn(Vec<u8>) -> CallFuture>;
type JoinHandler = Rc<dyn Fn(ControlNode)>;

/// Status of a shard's group at this process, to detect changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ShardStatus {
    /// Identity of the owner, if known.
    owner: Option<NodeIdentity>,
    is_fresh: bool,
}

/// Runs the groups of all shards of one process. Its tasks share it on one thread; no borrow is held across an await.
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
    /// Notified to wake the driver.
    work: Rc<Notify>,
    /// Its receivers are notified when the host is dropped, so that tasks waiting for other processes end.
    alive: watch::Sender<()>,
    /// Number of changes so far that [`Self::applied_changed`] notifies of.
    applied: watch::Sender<u64>,
    /// Why this host can't continue; `None` while it works.
    failed: watch::Sender<Option<Arc<HostFailure>>>,
    /// Status of each shard at the last check for changes.
    shard_statuses: RefCell<Vec<ShardStatus>>,
    /// Desired members of all groups.
    desired_members: RefCell<Vec<ControlNode>>,
    /// Set while this process is leaving the groups before its shutdown; it then sends no join requests.
    is_leaving: Cell<bool>,
    call_handler: RefCell<Option<CallHandler>>,
    join_handler: RefCell<Option<JoinHandler>>,
    next_read_request: Cell<u64>,
}

impl Host {
    /// Reads the stored state and starts all groups, one for each state machine, in the order of the shards. Must be
    /// called inside a `LocalSet`. When this returns, the host accepts connections of other control processes.
    ///
    /// # Errors
    /// Where the stored state can't be read, an address is invalid or can't be bound, or the disk thread can't be
    /// started.
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

    /// Returns this process's identity. It is stored in the data directory; after the loss of the disk the process
    /// gets a new one.
    #[must_use]
    pub fn identity(&self) -> NodeIdentity {
        self.node.identity
    }

    /// Proposes a command and waits until it is applied.
    ///
    /// # Errors
    /// [`ProposeError::NotOwner`]: the command was not applied and never will be. [`ProposeError::NoQuorum`]: too
    /// many proposals are in flight. [`ProposeError::TimedOut`]: the command may have been applied, or may still be.
    pub async fn propose(&self, shard: Shard, command: Vec<u8>) -> Result<Committed, ProposeError> {
        let result = self.with_group(shard, |group| group.propose(command))?;
        self.work.notify_one();
        match timeout(OPERATION_TIMEOUT, result).await {
            Ok(Ok(result)) => result,
            _ => Err(ProposeError::TimedOut),
        }
    }

    /// Waits until all entries committed before the call are applied here, and a majority has confirmed that this
    /// process owned the shard after the start of the call.
    ///
    /// # Errors
    /// [`ProposeError::NotOwner`] if this process does not own the shard, [`ProposeError::NoQuorum`] if no majority
    /// answers in time.
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

    /// Returns the identity of the shard's owner, if known.
    #[must_use]
    pub fn owner(&self, shard: Shard) -> Option<NodeIdentity> {
        self.with_group(shard, |group| group.replica.leader().map(node_identity))
    }

    /// Returns whether this process considers itself the owner of the shard. Another process may have replaced it
    /// meanwhile.
    #[must_use]
    pub fn is_owner(&self, shard: Shard) -> bool {
        self.with_group(shard, |group| group.replica.is_leader())
    }

    /// Returns whether this process received a message of the shard's owner within half a second, the owner received
    /// one of this process within a second, and all entries known to be committed are applied here. At the owner:
    /// whether it was in contact with a majority within half a second.
    #[must_use]
    pub fn is_fresh(&self, shard: Shard) -> bool {
        let now = self.now();
        self.suspensions.get().is_running(now)
            && self.with_group(shard, |group| freshness::is_fresh(&group.replica, now))
    }

    /// Returns the index of the shard's last log entry that is applied here.
    #[must_use]
    pub fn applied(&self, shard: Shard) -> LogIndex {
        self.with_group(shard, |group| group.applied)
    }

    /// Returns a receiver that is notified when an entry or a snapshot was applied, and when the owner or the
    /// freshness of a shard has changed.
    #[must_use]
    pub fn applied_changed(&self) -> watch::Receiver<u64> {
        self.applied.subscribe()
    }

    /// Calls another control process and returns the answer of its call handler.
    ///
    /// # Errors
    /// [`CallError::Unreachable`]: the call was not carried out. [`CallError::TimedOut`]: no answer was received in
    /// time or the connection was lost; the call may have been carried out.
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

    /// Sets the handler that answers the remote calls of other control processes.
    pub fn set_call_handler(&self, handler: impl Fn(Vec<u8>) -> CallFuture + 'static) {
        *self.call_handler.borrow_mut() = Some(Rc::new(handler));
    }

    /// Sets the handler of join requests. A process repeats its request until it is a member.
    pub fn set_join_handler(&self, handler: impl Fn(ControlNode) + 'static) {
        *self.join_handler.borrow_mut() = Some(Rc::new(handler));
    }

    /// Sets the desired members of all groups. The groups that this process leads change their membership towards
    /// them.
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

    /// Sets whether this process is leaving the groups. A leaving process sends no join requests.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.set(is_leaving);
    }

    /// Returns the voters of a shard that this process owns, if the latest membership change is committed.
    #[must_use]
    pub fn committed_voters(&self, shard: Shard) -> Option<Vec<NodeIdentity>> {
        let voters = self.with_group(shard, |group| group.replica.committed_voters())?;
        Some(voters.into_iter().map(node_identity).collect())
    }

    /// Returns the size in bytes of the journal, which all groups share.
    #[must_use]
    pub fn journal_bytes(&self) -> u64 {
        self.journal.borrow().journal_bytes()
    }

    /// Returns the current Raft term of a shard at this process.
    #[must_use]
    pub fn term(&self, shard: Shard) -> Term {
        self.with_group(shard, |group| group.replica.term())
    }

    /// Returns a shard's members by the newest membership in this process's log, committed or not.
    #[must_use]
    pub fn members(&self, shard: Shard) -> Vec<Member> {
        self.with_group(shard, |group| group.replica.membership().members.clone())
    }

    /// Returns the identities of a shard's voters by the newest membership in this process's log, committed or not.
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

    /// Returns the identities of the processes that this one has links to: current and desired members, and processes
    /// that have connected here recently.
    #[must_use]
    pub fn linked_peers(&self) -> Vec<NodeIdentity> {
        self.links.identities()
    }

    /// Returns the number of other control processes that can't be reached, and of failed attempts to connect.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.links.peer_count()
    }

    /// Returns the time since the last message of a control process; before the first message, the time since the
    /// start of this process. Zero for this process itself.
    #[must_use]
    pub fn since_last_contact(&self, identity: NodeIdentity) -> Duration {
        if identity == self.node.identity {
            return Duration::ZERO;
        }
        self.contacts.borrow().since_last(identity)
    }

    /// Transfers the leadership of all groups that this process leads to other voters, where there are any. Returns
    /// when that is done, or after `LEADERSHIP_TRANSFER_TIMEOUT`.
    pub async fn transfer_leadership(&self) {
        let started = Instant::now();
        while started.elapsed() < LEADERSHIP_TRANSFER_TIMEOUT {
            if !self.groups.borrow_mut().transfer_leadership() {
                return;
            }
            self.work.notify_one();
            sleep(LEADERSHIP_TRANSFER_POLL_INTERVAL).await;
        }
    }

    /// Waits for a failure that requires a restart of the process, and returns it.
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

    /// Returns the time of the monotonic clock since the start, in milliseconds.
    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn record_tick(&self) {
        let mut suspensions = self.suspensions.get();
        suspensions.tick(self.now());
        self.suspensions.set(suspensions);
    }

    /// Updates the statuses of all shards. Returns whether the owner or the freshness of a shard has changed since
    /// the last call.
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

    /// Returns this process's answer to a remote call; `None` while no handler is set.
    async fn answer(&self, bytes: Vec<u8>) -> Option<Vec<u8>> {
        let handler = self.call_handler.borrow().clone()?;
        Some(handler(bytes).await)
    }

    /// Returns whether this process should send join requests.
    fn wants_to_join(&self) -> bool {
        !self.is_leaving.get() && !self.is_member()
    }

    /// Returns whether this process is a member of shard 0's group by the newest membership in its log.
    fn is_member(&self) -> bool {
        self.with_group(CONFIGURATION_SHARD, |group| {
            group.replica.membership().get(member_id(self.node.identity)).is_some()
        })
    }

    /// Updates the links: to all current and desired members, and to the seeds while this process is not a member.
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

/// Creates a group from its stored state.
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
