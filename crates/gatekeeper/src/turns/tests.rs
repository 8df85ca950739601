//! Tests of the cache, of chains and of keeping turns, over a stand-in of the stores in paused time.

use super::{Chain, ChainError, TurnCache, TurnStore, Turns};
use opalrun_store_client::TurnError;
use opalrun_wire::store::Turn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::LocalSet;

const CACHE_BYTES: usize = 1_000_000;
const READ_TIME: Duration = Duration::from_millis(3);

/// The stores: turns by id, with the number of reads.
#[derive(Clone, Default)]
struct StandIn {
    turns: Rc<RefCell<BTreeMap<String, Turn>>>,
    silent: Rc<Cell<bool>>,
    reads: Rc<Cell<usize>>,
}

impl TurnStore for StandIn {
    async fn put(&self, turn: &Turn, limit: Duration) -> Result<(), TurnError> {
        if self.silent.get() {
            tokio::time::sleep(limit).await;
            return Err(TurnError::Unavailable);
        }
        self.turns.borrow_mut().insert(turn.id.clone(), turn.clone());
        Ok(())
    }

    async fn get(&self, id: &str, limit: Duration) -> Result<Option<Turn>, TurnError> {
        self.reads.set(self.reads.get() + 1);
        if self.silent.get() {
            tokio::time::sleep(limit).await;
            return Err(TurnError::Unavailable);
        }
        tokio::time::sleep(READ_TIME).await;
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

/// Stores with a line of three turns, and a branch from the first.
async fn filled() -> StandIn {
    let store = StandIn::default();
    for turn in [turn("a", &[]), turn("b", &["a"]), turn("c", &["a", "b"]), turn("d", &["a"])] {
        store.put(&turn, READ_TIME).await.unwrap();
    }
    store
}

#[tokio::test(start_paused = true)]
async fn a_chain_is_all_inputs_and_outputs_oldest_first() {
    let turns = Turns::new(filled().await, CACHE_BYTES);
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
async fn a_chain_takes_two_reads_one_after_the_other_and_none_from_memory() {
    let store = filled().await;
    let turns = Turns::new(store.clone(), CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            let begun = tokio::time::Instant::now();
            turns.chain("c").await.unwrap();
            assert_eq!(begun.elapsed(), READ_TIME * 2);
            assert_eq!(store.reads.get(), 3);
            store.silent.set(true);
            turns.chain("c").await.unwrap();
            assert_eq!(store.reads.get(), 3);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_unknown_turn_is_told_apart_from_a_silent_store() {
    let store = filled().await;
    let turns = Turns::new(store.clone(), CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            assert_eq!(turns.chain("x").await, Err(ChainError::Unknown));
            assert_eq!(turns.chain("").await, Err(ChainError::Unknown));
            assert_eq!(turns.chain(&"a".repeat(300)).await, Err(ChainError::Unknown));
            store.silent.set(true);
            let begun = tokio::time::Instant::now();
            assert_eq!(turns.chain("a").await, Err(ChainError::Unavailable));
            assert!(begun.elapsed() <= Duration::from_millis(450));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_missing_ancestor_of_a_turn_that_exists_is_no_404() {
    let store = filled().await;
    store.turns.borrow_mut().remove("a");
    let turns = Turns::new(store, CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            assert_eq!(turns.chain("c").await, Err(ChainError::Unavailable));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_turn_that_could_not_be_stored_is_not_remembered() {
    let store = filled().await;
    let turns = Turns::new(store.clone(), CACHE_BYTES);
    LocalSet::new()
        .run_until(async {
            store.silent.set(true);
            assert_eq!(turns.store(turn("e", &["a"])).await, Err(TurnError::Unavailable));
            store.silent.set(false);
            assert_eq!(turns.chain("e").await, Err(ChainError::Unknown));
            turns.store(turn("e", &["a"])).await.unwrap();
            assert_eq!(turns.chain("e").await.unwrap().ancestors, ["a", "e"]);
        })
        .await;
}

#[test]
fn the_cache_keeps_what_was_used_last_within_its_bytes() {
    let bytes_of_one = {
        let mut cache = TurnCache::new(CACHE_BYTES);
        cache.insert(Rc::new(turn("a", &[])));
        cache.used_bytes()
    };
    let mut cache = TurnCache::new(bytes_of_one * 2);
    cache.insert(Rc::new(turn("a", &[])));
    cache.insert(Rc::new(turn("b", &[])));
    assert!(cache.get("a").is_some());
    cache.insert(Rc::new(turn("c", &[])));
    assert!(cache.get("a").is_some() && cache.get("c").is_some() && cache.get("b").is_none());
    let mut large = turn("large", &[]);
    large.input = vec![0; bytes_of_one * 2];
    cache.insert(Rc::new(large));
    assert!(cache.get("large").is_none() && cache.get("a").is_some());
}

#[test]
fn the_cache_stays_within_its_bytes_in_any_order() {
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
