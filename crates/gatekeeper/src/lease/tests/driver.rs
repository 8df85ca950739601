//! The leases over a fake of the count, in paused time.

use crate::lease::{LeaseError, LeaseStore, ProgramLeases, TurnBudget};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const TURN_BUDGET: TurnBudget = TurnBudget { budget: 1_000, max_units: 100 };

/// A count of which the other holders have taken a fixed number of units; `None`: it does not answer.
#[derive(Clone, Default)]
struct FakeLeaseStore {
    others_taken: Rc<RefCell<Option<u64>>>,
    writes: Rc<RefCell<Vec<u64>>>,
}

impl FakeLeaseStore {
    fn with_others(others_taken: u64) -> Self {
        let count = Self::default();
        *count.others_taken.borrow_mut() = Some(others_taken);
        count
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
async fn a_turn_is_covered_relayed_and_ended() {
    let count = FakeLeaseStore::with_others(0);
    let written = Rc::clone(&count.writes);
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(count, 1);
            let turn = leases.begin("p", TURN_BUDGET).await.unwrap();
            turn.record_units(30);
            drop(turn);
            assert!(leases.drain(Duration::from_secs(1)).await);
        })
        .await;
    assert_eq!(*written.borrow(), [100, 30]);
}

#[tokio::test(start_paused = true)]
async fn idle_units_go_back_by_themselves() {
    let count = FakeLeaseStore::with_others(0);
    let written = Rc::clone(&count.writes);
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(count, 1);
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
async fn a_count_that_does_not_answer_is_reported_as_unavailable_in_time() {
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
async fn a_spent_budget_is_reported_as_such() {
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
async fn a_turn_whose_client_leaves_while_it_waits_takes_nothing() {
    let count = FakeLeaseStore::with_others(0);
    let written = Rc::clone(&count.writes);
    LocalSet::new()
        .run_until(async {
            let leases = ProgramLeases::new(count, 1);
            let begin = leases.begin("p", TURN_BUDGET);
            assert!(tokio::time::timeout(Duration::from_millis(2), begin).await.is_err());
            tokio::time::sleep(Duration::from_secs(1)).await;
        })
        .await;
    assert_eq!(*written.borrow(), [100, 0]);
}
