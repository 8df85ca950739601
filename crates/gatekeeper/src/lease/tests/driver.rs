//! Tests of the lease driver against a fake lease store, in paused time.

use crate::lease::{LeaseError, LeaseStore, ProgramLeases, TurnBudget};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const TURN_BUDGET: TurnBudget = TurnBudget { budget: 1_000, max_units: 100 };

/// A lease store in which the other gatekeepers have taken a fixed number of units; with `None` it never answers.
#[derive(Clone, Default)]
struct FakeLeaseStore {
    others_taken: Rc<RefCell<Option<u64>>>,
    /// Values written to this gatekeeper's entry, in order.
    writes: Rc<RefCell<Vec<u64>>>,
}

impl FakeLeaseStore {
    fn with_others(others_taken: u64) -> Self {
        let store = Self::default();
        *store.others_taken.borrow_mut() = Some(others_taken);
        store
    }
}

impl LeaseStore for FakeLeaseStore {
    async fn acquire(&self, _program: &str, _current: u64, requested: u64, timeout: Duration) -> Option<u64> {
        self.writes.borrow_mut().push(requested);
        let others_taken = *self.others_taken.borrow();
        let time = if others_taken.is_some() { Duration::from_millis(5) } else { timeout };
        tokio::time::sleep(time).await;
        others_taken
    }

    fn write(&self, _program: &str, taken: u64) {
        self.writes.borrow_mut().push(taken);
    }

    async fn flush(&self, _timeout: Duration) -> bool {
        true
    }
}

#[tokio::test(start_paused = true)]
async fn unused_units_of_an_ended_turn_are_returned_on_drain() {
    let store = FakeLeaseStore::with_others(0);
    let written = Rc::clone(&store.writes);
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(store, 1);
            let turn = leases.begin("p", TURN_BUDGET).await.unwrap();
            turn.record_units(30);
            drop(turn);
            assert!(leases.drain(Duration::from_secs(1)).await);
        })
        .await;
    assert_eq!(*written.borrow(), [100, 30]);
}

#[tokio::test(start_paused = true)]
async fn idle_units_are_returned_without_further_calls() {
    let store = FakeLeaseStore::with_others(0);
    let written = Rc::clone(&store.writes);
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(store, 1);
            let turn = leases.begin("p", TURN_BUDGET).await.unwrap();
            turn.record_units(30);
            drop(turn);
            tokio::time::advance(Duration::from_millis(300)).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        })
        .await;
    assert_eq!(*written.borrow(), [100, 30]);
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_store_is_reported_as_unavailable_within_the_timeout() {
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(FakeLeaseStore::default(), 1);
            let started = tokio::time::Instant::now();
            let error = leases.begin("p", TURN_BUDGET).await.err();
            assert_eq!(error, Some(LeaseError::Unavailable));
            assert!(started.elapsed() <= Duration::from_millis(450));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_spent_budget_is_reported_as_budget_spent() {
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(FakeLeaseStore::with_others(950), 1);
            assert_eq!(leases.begin("p", TURN_BUDGET).await.err(), Some(LeaseError::BudgetSpent));
            let started = tokio::time::Instant::now();
            assert_eq!(leases.begin("p", TURN_BUDGET).await.err(), Some(LeaseError::BudgetSpent));
            assert!(started.elapsed() <= Duration::from_millis(10));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_turn_abandoned_while_waiting_returns_all_its_units() {
    let store = FakeLeaseStore::with_others(0);
    let written = Rc::clone(&store.writes);
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(store, 1);
            let begin = leases.begin("p", TURN_BUDGET);
            assert!(tokio::time::timeout(Duration::from_millis(2), begin).await.is_err());
            tokio::time::sleep(Duration::from_secs(1)).await;
        })
        .await;
    assert_eq!(*written.borrow(), [100, 0]);
}
