//! The driver of the leases: does the input and output that the state machine [`Leases`] asks for, and calls it in
//! time.

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

/// How long the count may take for an acquisition before the turns that wait for it are given up.
const ACQUISITION_TIMEOUT: Duration = Duration::from_millis(400);

/// The stores' count of units taken of each program, as the leases use it.
pub trait LeaseStore: Clone + 'static {
    /// Raises this gatekeeper's entry from `current` to `requested` and returns the units of all other
    /// holders; `None` when no quorum has answered within the timeout.
    fn acquire(
        &self,
        program: &str,
        current: u64,
        requested: u64,
        timeout: Duration,
    ) -> impl Future<Output = Option<u64>>;

    /// Writes the entry in the background.
    fn write(&self, program: &str, taken: u64);

    /// Waits for such writes; `false` when it took longer than the timeout.
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

/// The leases of a gatekeeper's programs. Runs on one thread, inside a `tokio::task::LocalSet`.
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
    changed: Notify,
    started: Instant,
    metrics: AcquisitionMetrics,
}

impl<C: LeaseStore> ProgramLeases<C> {
    /// No leases. The seed is that of the backoffs between acquisitions.
    #[must_use]
    pub fn new(store: C, seed: u64) -> Self {
        let shared = Rc::new(Shared {
            store,
            leases: RefCell::new(Leases::new(seed)),
            pending_decisions: RefCell::default(),
            changed: Notify::new(),
            started: Instant::now(),
            metrics: AcquisitionMetrics::default(),
        });
        let timer_task = tokio::task::spawn_local(run_timer(Rc::clone(&shared)));
        Self { shared, timer_task }
    }

    /// Reserves a turn's maximum. The turn may be sent to a worker only once this has succeeded. Dropping the future
    /// gives the turn up.
    ///
    /// # Errors
    /// [`LeaseError::BudgetSpent`] when the budget does not hold the turn; [`LeaseError::Unavailable`] when no quorum
    /// of the stores has answered in time, or too many programs are known.
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

    /// What is counted for scrapers.
    #[must_use]
    pub fn metrics(&self) -> &AcquisitionMetrics {
        &self.shared.metrics
    }

    /// For an orderly end: gives back what no turn under way needs, now and from now on, and waits until that is
    /// written. To be called when the process is told to end, and again when its last turn has ended.
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

    /// Carries out the actions that the leases have decided.
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
                        // Nobody receives it when the turn was given up just now: its lease has been dropped, too.
                        let _ = sender.send(decision);
                    }
                }
            }
        }
        self.changed.notify_one();
    }

    async fn acquire(self: Rc<Self>, program: Rc<str>, current: u64, requested: u64) {
        let began = self.now();
        let answer = self.store.acquire(&program, current, requested, ACQUISITION_TIMEOUT).await;
        let now = self.now();
        self.metrics.record(now.saturating_sub(began), answer.is_some());
        match answer {
            Some(others_taken) => self.leases.borrow_mut().granted(&program, others_taken, now),
            None => self.leases.borrow_mut().unavailable(&program, now),
        }
        self.run_actions();
    }
}

/// Calls the leases when they want to be.
async fn run_timer<C: LeaseStore>(shared: Rc<Shared<C>>) {
    loop {
        let wake = shared.leases.borrow().next_wake();
        let Some(wake) = wake else {
            shared.changed.notified().await;
            continue;
        };
        tokio::select! {
            () = shared.changed.notified() => {}
            () = tokio::time::sleep_until(shared.started + wake) => {
                let now = shared.now();
                shared.leases.borrow_mut().tick(now);
                shared.run_actions();
            }
        }
    }
}

/// The units reserved for a turn. Dropping it ends the turn and gives back what it did not use.
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
