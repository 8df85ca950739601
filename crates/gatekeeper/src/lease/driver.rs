//! Driver of the lease state machine: carries out the input and output that [`Leases`] requests, and calls
//! [`Leases::tick`] when it is due.

use super::{Action, LeaseError, Leases, TurnBudget, TurnId, metrics::AcquisitionMetrics};
use fnv::FnvHashMap;
use opalrun_store_client::StoreClient;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Time-out of an acquisition from the stores; the turns that it included are then refused as unavailable.
const ACQUISITION_TIMEOUT: Duration = Duration::from_millis(400);

/// Access to the counts of units taken from each program's budget, which the stores hold.
pub trait LeaseStore: Clone + 'static {
    /// Raises this gatekeeper's entry from `current` to `requested` and returns the units in the entries of all other
    /// gatekeepers; `None` when no quorum has answered within the time-out.
    fn acquire(
        &self,
        program: &str,
        current: u64,
        requested: u64,
        timeout: Duration,
    ) -> impl Future<Output = Option<u64>>;

    /// Writes this gatekeeper's entry in the background.
    fn write(&self, program: &str, taken: u64);

    /// Waits until all background writes are stored; returns `false` when the time-out passed first.
    fn flush(&self, timeout: Duration) -> impl Future<Output = bool>;
}

impl LeaseStore for Rc<StoreClient> {
    async fn acquire(&self, program: &str, current: u64, requested: u64, timeout: Duration) -> Option<u64> {
        let granted = StoreClient::acquire_lease(self, program, current, requested, timeout).await;
        granted.ok().map(|granted| granted.others_taken)
    }

    fn write(&self, program: &str, taken: u64) {
        self.reduce_lease(program, taken);
    }

    async fn flush(&self, timeout: Duration) -> bool {
        StoreClient::flush(self, timeout).await
    }
}

/// The leases of all programs at one gatekeeper. Runs on one thread, inside a `tokio::task::LocalSet`.
pub struct ProgramLeases<C: LeaseStore> {
    shared: Rc<Shared<C>>,
    timer_task: JoinHandle<()>,
}

impl<C: LeaseStore> Drop for ProgramLeases<C> {
    fn drop(&mut self) {
        self.timer_task.abort();
    }
}

struct Shared<C> {
    store: C,
    leases: RefCell<Leases>,
    pending_decisions: RefCell<FnvHashMap<TurnId, oneshot::Sender<Result<(), LeaseError>>>>,
    /// Notified when the time of the next tick may have changed.
    next_wake_changed: Notify,
    started: Instant,
    metrics: AcquisitionMetrics,
}

impl<C: LeaseStore> ProgramLeases<C> {
    /// Starts without any leases. `seed` seeds the jitter of the retry backoff.
    #[must_use]
    pub fn new(store: C, seed: u64) -> Self {
        let shared = Rc::new(Shared {
            store,
            leases: RefCell::new(Leases::new(seed)),
            pending_decisions: RefCell::default(),
            next_wake_changed: Notify::new(),
            started: Instant::now(),
            metrics: AcquisitionMetrics::default(),
        });
        let timer_task = tokio::task::spawn_local(run_timer(Rc::clone(&shared)));
        Self { shared, timer_task }
    }

    /// Reserves a turn's maximum. The turn may be sent to a worker only once this has succeeded. Dropping the future
    /// abandons the turn.
    ///
    /// # Errors
    /// [`LeaseError::BudgetSpent`] when the remaining budget is smaller than the turn's maximum;
    /// [`LeaseError::Unavailable`] when no quorum of the stores has answered in time, or too many programs are known.
    pub async fn begin(&self, program: &str, turn_budget: TurnBudget) -> Result<TurnLease<C>, LeaseError> {
        let shared = &self.shared;
        let turn = shared.leases.borrow_mut().begin(program, turn_budget, shared.now());
        let lease = TurnLease { shared: Rc::clone(shared), turn };
        let (sender, receiver) = oneshot::channel();
        shared.pending_decisions.borrow_mut().insert(turn, sender);
        shared.run_actions();
        receiver.await.unwrap_or(Err(LeaseError::Unavailable))?;
        Ok(lease)
    }

    /// Returns the metrics of acquisitions.
    #[must_use]
    pub fn metrics(&self) -> &AcquisitionMetrics {
        &self.shared.metrics
    }

    /// Returns all units that no turn in flight needs, now and from now on, and waits up to `timeout` until that is
    /// written; returns `false` when the time-out passed first. Call it when the process is asked to terminate, and
    /// again when the last turn has ended.
    pub async fn drain(&self, timeout: Duration) -> bool {
        self.shared.leases.borrow_mut().drain();
        self.shared.run_actions();
        self.shared.store.flush(timeout).await
    }
}

impl<C: LeaseStore> Shared<C> {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Carries out the actions that the state machine has requested.
    fn run_actions(self: &Rc<Self>) {
        let actions = self.leases.borrow_mut().take_actions();
        for action in actions {
            match action {
                Action::Acquire { program, current, requested } => {
                    tokio::task::spawn_local(Rc::clone(self).acquire(program, current, requested));
                }
                Action::Write { program, taken } => self.store.write(&program, taken),
                Action::Decide { turn, decision } => {
                    if let Some(sender) = self.pending_decisions.borrow_mut().remove(&turn) {
                        // The receiver is gone when the turn was abandoned; its `TurnLease` has then been dropped, too.
                        let _ = sender.send(decision);
                    }
                }
            }
        }
        self.next_wake_changed.notify_one();
    }

    async fn acquire(self: Rc<Self>, program: Rc<str>, current: u64, requested: u64) {
        let started_at = self.now();
        let answer = self.store.acquire(&program, current, requested, ACQUISITION_TIMEOUT).await;
        let now = self.now();
        self.metrics.record(now.saturating_sub(started_at), answer.is_some());
        match answer {
            Some(others_taken) => self.leases.borrow_mut().granted(&program, others_taken, now),
            None => self.leases.borrow_mut().unavailable(&program, now),
        }
        self.run_actions();
    }
}

/// Calls [`Leases::tick`] whenever it is due.
async fn run_timer<C: LeaseStore>(shared: Rc<Shared<C>>) {
    loop {
        let wake = shared.leases.borrow().next_wake();
        let Some(wake) = wake else {
            shared.next_wake_changed.notified().await;
            continue;
        };
        tokio::select! {
            () = shared.next_wake_changed.notified() => {}
            () = tokio::time::sleep_until(shared.started + wake) => {
                let now = shared.now();
                shared.leases.borrow_mut().tick(now);
                shared.run_actions();
            }
        }
    }
}

/// The units reserved for a turn. Dropping it ends the turn and releases the units that were not relayed.
pub struct TurnLease<C: LeaseStore> {
    shared: Rc<Shared<C>>,
    turn: TurnId,
}

impl<C: LeaseStore> TurnLease<C> {
    /// Counts units that are about to be relayed to the client.
    pub fn record_units(&self, units: u64) {
        let now = self.shared.now();
        self.shared.leases.borrow_mut().record_units(self.turn, units, now);
    }
}

impl<C: LeaseStore> Drop for TurnLease<C> {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.pending_decisions.borrow_mut().remove(&self.turn);
        self.shared.leases.borrow_mut().end(self.turn, now);
        self.shared.run_actions();
    }
}
