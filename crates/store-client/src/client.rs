//! The client: what all operations share.

use crate::{
    calls::{Calls, Links},
    counts::{Operations, TakeBacks},
    layout::{Layout, Layouts},
    retention::KeptTurns,
};
use opalrun_wire::feed::StoreMap;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// What a raised entry was granted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// Units that all other holders have taken from the program's budget.
    pub others_taken: u64,
}

/// A gatekeeper's client of the stores. All of it runs on one thread, inside a `tokio::task::LocalSet`.
pub struct StoreClient {
    pub(crate) holder: u64,
    pub(crate) zone: String,
    pub(crate) links: Rc<Links>,
    pub(crate) layouts: Layouts,
    pub(crate) started: Instant,
    /// The sequence of the last write of an entry, over all programs, so that none is used twice.
    pub(crate) sequence: Cell<u64>,
    pub(crate) operations: Operations,
    pub(crate) take_backs: TakeBacks,
    pub(crate) kept: RefCell<KeptTurns>,
    /// Writes that go on in the background.
    pub(crate) background: Cell<usize>,
    pub(crate) background_done: Notify,
}

impl StoreClient {
    /// A client that writes counts as `holder` (drawn at each start of the gatekeeper's proxy) and reads turns from
    /// stores in `zone` first.
    #[must_use]
    pub fn new(holder: u64, zone: &str) -> Rc<Self> {
        Rc::new(Self {
            holder,
            zone: zone.to_owned(),
            links: Rc::default(),
            layouts: Layouts::default(),
            started: Instant::now(),
            sequence: Cell::new(0),
            operations: Operations::default(),
            take_backs: TakeBacks::default(),
            kept: RefCell::default(),
            background: Cell::new(0),
            background_done: Notify::new(),
        })
    }

    /// The holder's number.
    #[must_use]
    pub fn holder(&self) -> u64 {
        self.holder
    }

    /// Takes a newer store map; an older one is ignored. Operations that wait for it go on.
    pub fn set_map(&self, map: StoreMap) {
        let map = Rc::new(map);
        if map.epoch > self.layouts.map().epoch {
            self.links.set_stores(&map);
            self.layouts.set(map);
        }
    }

    /// Waits until all writes that go on in the background are done; `false` where that took longer than `limit`.
    pub async fn flush(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        loop {
            let done = self.background_done.notified();
            if self.background.get() == 0 {
                return true;
            }
            if timeout_at(deadline, done).await.is_err() {
                return false;
            }
        }
    }

    /// Runs an operation in the newest layout of a partition, and anew in a later one when the partition has moved
    /// meanwhile; `None` at the deadline.
    pub(crate) async fn in_layout<T, F>(&self, number: u16, deadline: Instant, mut operation: F) -> Option<T>
    where
        F: AsyncFnMut(&Layout) -> T,
    {
        let running = async {
            loop {
                let layout = self.layouts.get(number).await;
                tokio::select! {
                    biased;
                    () = self.layouts.outdated(&layout) => {}
                    done = operation(&layout) => return done,
                }
            }
        };
        timeout_at(deadline, running).await.ok()
    }

    /// Calls of stores that end at `deadline`.
    pub(crate) fn calls<T: Copy + 'static>(&self, deadline: Instant) -> Calls<T> {
        Calls::new(self.links.clone(), deadline)
    }

    /// Runs a write in the background.
    pub(crate) fn spawn_write(self: &Rc<Self>, write: impl Future<Output = ()> + 'static) {
        self.background.set(self.background.get() + 1);
        let client = self.clone();
        tokio::task::spawn_local(async move {
            write.await;
            client.background.set(client.background.get() - 1);
            client.background_done.notify_waiters();
        });
    }
}
