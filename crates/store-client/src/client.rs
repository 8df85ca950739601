//! The client: the state that all operations share.

use crate::{
    calls::{ReplicaCalls, StoreConnections},
    layout::{Layout, Layouts},
    operation::{Operations, Reverts},
    retention::KnownRetention,
};
use opalrun_net::reachability::PeerCount;
use opalrun_wire::{feed::StoreMap, ids::Partition};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// What a lease was granted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Units that all other holders have taken of the program's budget.
    pub others_taken: u64,
}

/// A gatekeeper's client of the stores. All of it runs on one thread, inside a `tokio::task::LocalSet`.
///
/// It is shared by all operations that are in progress, so its state is in cells; no borrow lasts over an await.
pub struct StoreClient {
    pub(crate) holder: u64,
    pub(crate) zone: String,
    pub(crate) connections: Rc<StoreConnections>,
    pub(crate) layouts: Layouts,
    pub(crate) started: Instant,
    /// The sequence of the last write of an entry, over all programs, so that none is used twice.
    sequence: Cell<u64>,
    pub(crate) operations: Operations,
    pub(crate) reverts: Reverts,
    /// For how long the stores retain the turns that this client has written or read.
    pub(crate) known_retention: RefCell<KnownRetention>,
    /// Writes that run in the background.
    background_writes: Cell<usize>,
    /// Notified when one of them ends.
    background_write_ended: Notify,
}

impl StoreClient {
    /// Stores that can't be reached, and attempts to connect to them that failed.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.connections.peer_count()
    }

    /// A client that writes counts as `holder` (drawn at each start of the gatekeeper's proxy) and reads turns from
    /// stores in `zone` first.
    #[must_use]
    pub fn new(holder: u64, zone: &str) -> Rc<Self> {
        Rc::new(Self {
            holder,
            zone: zone.to_owned(),
            connections: Rc::default(),
            layouts: Layouts::default(),
            started: Instant::now(),
            sequence: Cell::new(0),
            operations: Operations::default(),
            reverts: Reverts::default(),
            known_retention: RefCell::default(),
            background_writes: Cell::new(0),
            background_write_ended: Notify::new(),
        })
    }

    /// The holder's number.
    #[must_use]
    pub fn holder(&self) -> u64 {
        self.holder
    }

    /// Applies a newer store map; an older one is ignored. Operations that wait for it continue.
    pub fn set_map(&self, map: StoreMap) {
        let map = Rc::new(map);
        if map.epoch > self.layouts.map().epoch {
            self.connections.set_stores(&map);
            self.layouts.set(map);
        }
    }

    /// Waits until all writes that run in the background have ended; `false` where that takes longer than `time_limit`.
    pub async fn flush(&self, time_limit: Duration) -> bool {
        let deadline = Instant::now() + time_limit;
        loop {
            let ended = self.background_write_ended.notified();
            if self.background_writes.get() == 0 {
                return true;
            }
            if timeout_at(deadline, ended).await.is_err() {
                return false;
            }
        }
    }

    /// Runs an operation in the newest layout of a partition, and anew in a later one when the partition has moved
    /// meanwhile; `None` at the deadline.
    pub(crate) async fn run_in_layout<T, F>(
        &self,
        partition: Partition,
        deadline: Instant,
        mut operation: F,
    ) -> Option<T>
    where
        F: AsyncFnMut(&Layout) -> T,
    {
        let running = async {
            loop {
                let layout = self.layouts.get(partition).await;
                tokio::select! {
                    biased;
                    () = self.layouts.wait_until_outdated(&layout) => {}
                    done = operation(&layout) => return done,
                }
            }
        };
        timeout_at(deadline, running).await.ok()
    }

    /// Calls of stores that end at `deadline`.
    pub(crate) fn calls<T: Copy + 'static>(&self, deadline: Instant) -> ReplicaCalls<T> {
        ReplicaCalls::new(self.connections.clone(), deadline)
    }

    /// The sequence of the next operation on a count.
    pub(crate) fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    /// Runs a write in the background. The write ends by itself at its deadline; [`flush`](Self::flush) waits for it.
    pub(crate) fn spawn_write(self: &Rc<Self>, write: impl Future<Output = ()> + 'static) {
        let in_progress = BackgroundWrite::begin(self);
        tokio::task::spawn_local(async move {
            write.await;
            drop(in_progress);
        });
    }
}

/// A write that runs in the background; it is counted until this is dropped.
struct BackgroundWrite {
    client: Rc<StoreClient>,
}

impl BackgroundWrite {
    fn begin(client: &Rc<StoreClient>) -> Self {
        client.background_writes.set(client.background_writes.get() + 1);
        Self { client: client.clone() }
    }
}

impl Drop for BackgroundWrite {
    fn drop(&mut self) {
        self.client.background_writes.set(self.client.background_writes.get() - 1);
        self.client.background_write_ended.notify_waiters();
    }
}
