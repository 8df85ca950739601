//! Tests of the turn cache, of reading chains and of storing turns, against fake stores in paused time.

use super::{Chain, ChainError, TurnCache, TurnStore, Turns};
use opalrun_store_client::{CachedTurns, TurnError};
use opalrun_wire::store::Turn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const CACHE_BYTES: usize = 1_000_000;
const READ_LATENCY: Duration = Duration::from_millis(3);

/// Fake stores that hold turns by id and count reads.
#[derive(Clone, Default)]
struct FakeTurnStore {
    turns: Rc<RefCell<BTreeMap<String, Turn>>>,
    is_unavailable: Rc<Cell<bool>>,
    reads: Rc<Cell<usize>>,
}

impl TurnStore for FakeTurnStore {
    async fn put(&self, turn: &Turn, _cached: &CachedTurns, timeout: Duration) -> Result<(), TurnError> {
        if self.is_unavailable.get() {
            tokio::time::sleep(timeout).await;
            return Err(TurnError::Unavailable);
        }
        self.turns.borrow_mut().insert(turn.id.clone(), turn.clone());
        Ok(())
    }

    async fn get(&self, id: &str, timeout: Duration) -> Result<Option<Turn>, TurnError> {
        self.reads.set(self.reads.get() + 1);
        if self.is_unavailable.get() {
            tokio::time::sleep(timeout).await;
            return Err(TurnError::Unavailable);
        }
        tokio::time::sleep(READ_LATENCY).await;
        Ok(self.turns.borrow().get(id).cloned())
    }
}

fn turn(id: &str, ancestors: &[&str]) -> Turn {
    Turn {
        id: id.to_owned(),
        ancestors: ancestors.iter().map(|id| (*id).to_owned()).collect(),
        input: format!("in-{id};").into_bytes(),
        output: format!("out-{id}\n").into_bytes(),
        retention_ms: 60_000,
        worker: format!("worker-{id}"),
    }
}

fn no_cache() -> CachedTurns {
    Rc::new(|_| None)
}

/// Creates stores with a chain of three turns, and a fourth turn that branches off the first.
async fn store_with_branch() -> FakeTurnStore {
    let store = FakeTurnStore::default();
    for turn in [turn("a", &[]), turn("b", &["a"]), turn("c", &["a", "b"]), turn("d", &["a"])] {
        store.put(&turn, &no_cache(), READ_LATENCY).await.unwrap();
    }
    store
}

#[tokio::test(start_paused = true)]
async fn a_chain_joins_all_inputs_and_outputs_oldest_first() {
    let turns = Turns::new(store_with_branch().await, CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            let chain = turns.chain("c").await.unwrap();
            assert_eq!(chain.body(b"new"), b"in-a;out-a\nin-b;out-b\nin-c;out-c\nnew");
            assert_eq!(chain.ancestors, ["a", "b", "c"]);
            assert_eq!(chain.worker, "worker-c");
            let branch = turns.chain("d").await.unwrap();
            assert_eq!(branch.bytes, b"in-a;out-a\nin-d;out-d\n");
        })
        .await;
    assert_eq!(Chain::default().body(b"new"), b"new");
}

#[tokio::test(start_paused = true)]
async fn reading_a_chain_takes_two_sequential_reads_and_none_when_cached() {
    let store = store_with_branch().await;
    let turns = Turns::new(store.clone(), CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            let started = tokio::time::Instant::now();
            turns.chain("c").await.unwrap();
            assert_eq!(started.elapsed(), READ_LATENCY * 2);
            assert_eq!(store.reads.get(), 3);
            store.is_unavailable.set(true);
            turns.chain("c").await.unwrap();
            assert_eq!(store.reads.get(), 3);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_unknown_turn_is_distinguished_from_an_unavailable_store() {
    let store = store_with_branch().await;
    let turns = Turns::new(store.clone(), CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            assert_eq!(turns.chain("x").await, Err(ChainError::Unknown));
            assert_eq!(turns.chain("").await, Err(ChainError::Unknown));
            assert_eq!(turns.chain(&"a".repeat(300)).await, Err(ChainError::Unknown));
            store.is_unavailable.set(true);
            let started = tokio::time::Instant::now();
            assert_eq!(turns.chain("a").await, Err(ChainError::Unavailable));
            assert!(started.elapsed() <= Duration::from_millis(450));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_missing_ancestor_of_an_existing_turn_is_unavailable_rather_than_unknown() {
    let store = store_with_branch().await;
    store.turns.borrow_mut().remove("a");
    let turns = Turns::new(store, CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            assert_eq!(turns.chain("c").await, Err(ChainError::Unavailable));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_turn_that_could_not_be_stored_is_not_cached() {
    let store = store_with_branch().await;
    let turns = Turns::new(store.clone(), CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            store.is_unavailable.set(true);
            assert_eq!(turns.store(turn("e", &["a"])).await, Err(TurnError::Unavailable));
            store.is_unavailable.set(false);
            assert_eq!(turns.chain("e").await, Err(ChainError::Unknown));
            turns.store(turn("e", &["a"])).await.unwrap();
            assert_eq!(turns.chain("e").await.unwrap().ancestors, ["a", "e"]);
        })
        .await;
}

#[test]
fn the_cache_evicts_the_least_recently_used_turn_beyond_its_capacity() {
    let size_of_one = {
        let mut cache = TurnCache::new(CACHE_BYTES);
        cache.insert(Rc::new(turn("a", &[])));
        cache.used_bytes()
    };
    let mut cache = TurnCache::new(size_of_one * 2);
    cache.insert(Rc::new(turn("a", &[])));
    cache.insert(Rc::new(turn("b", &[])));
    assert!(cache.get("a").is_some());
    cache.insert(Rc::new(turn("c", &[])));
    assert!(cache.get("a").is_some() && cache.get("c").is_some() && cache.get("b").is_none());
    let mut large = turn("large", &[]);
    large.input = vec![0; size_of_one * 2];
    cache.insert(Rc::new(large));
    assert!(cache.get("large").is_none() && cache.get("a").is_some());
}

#[test]
fn the_cache_never_exceeds_its_capacity_for_random_insertions() {
    bolero::check!().with_type::<Vec<(u8, u16)>>().for_each(|steps| {
        let mut cache = TurnCache::new(10_000);
        for (id, length) in steps {
            let mut turn = turn(&id.to_string(), &["a", "b"]);
            turn.input = vec![0; usize::from(length % 12_000)];
            if cache.get(&turn.id).is_none() {
                cache.insert(Rc::new(turn));
            }
            assert!(cache.used_bytes() <= 10_000);
        }
    });
}
