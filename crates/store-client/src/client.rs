//! The client, with the state that all operations share.

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

/// Result of a successful lease acquisition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Units of the program's budget that all other holders together have taken.
    pub others_taken: u64,
}

/// Client of the stores for one gatekeeper. It runs on one thread, inside a `tokio::task::LocalSet`.
///
/// It is shared by all operations in progress, so its state is in cells; no borrow is held across an await.
pub struct StoreClient {
    pub(crate) holder: u64,
    pub(crate) zone: String,
    pub(crate) connections: Rc<StoreConnections>,
    pub(crate) layouts: Layouts,
    pub(crate) started: Instant,
    /// Sequence number of the last operation on a count. It is shared by all programs, so no number is used twice.
    sequence: Cell<u64>,
    pub(crate) operations: Operations,
    pub(crate) reverts: Reverts,
    /// Times until which the stores retain the turns that this client has written or extended.
    pub(crate) known_retention: RefCell<KnownRetention>,
    /// Number of writes that run in the background.
    background_writes: Cell<usize>,
    /// Notified when a background write ends.
    background_write_ended: Notify,
}

impl StoreClient {
    /// Returns the number of stores that can't be reached, and of failed attempts to connect to stores.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.connections.peer_count()
    }

    /// Creates a client that writes counts as `holder`, a number drawn at each start of the gatekeeper's proxy. It prefers
    /// stores in `zone` for reading turns.
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

    /// Returns the number of the holder as which this client writes counts.
    #[must_use]
    pub fn holder(&self) -> u64 {
        self.holder
    }

    /// Applies a store map if it is newer than the current one. Operations that wait for a newer map continue.
    pub fn set_map(&self, map: StoreMap) {
        let map = Rc::new(map);
        if map.epoch > self.layouts.map().epoch {
            self.connections.set_stores(&map);
            self.layouts.set(map);
        }
    }

    /// Waits until all background writes have ended; returns false if that takes longer than `time_limit`.
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

    /// Runs an operation in the current layout of a partition. When the layout becomes outdated, the operation is dropped
    /// and restarted in the new layout. Returns `None` at the deadline.
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

    /// Creates a set of calls to stores, which are retried until `deadline`.
    pub(crate) fn calls<T: Copy + 'static>(&self, deadline: Instant) -> ReplicaCalls<T> {
        ReplicaCalls::new(self.connections.clone(), deadline)
    }

    /// Returns the sequence number for the next operation on a count.
    pub(crate) fn next_sequence(&self) -> u64 {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        sequence
    }

    /// Runs a write in the background. The write must end by itself at its deadline; [`flush`](Self::flush) waits for it.
    pub(crate) fn spawn_write(self: &Rc<Self>, write: impl Future<Output = ()> + 'static) {
        let in_progress = BackgroundWrite::begin(self);
        tokio::task::spawn_local(async move {
            write.await;
            drop(in_progress);
        });
    }
}

/// Guard that counts a background write for as long as it exists.
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
