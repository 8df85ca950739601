//! Tests of the turn cache, of reading chains and of storing turns, against fake stores in paused time.

use super::{Chain, ChainError, LoadedTurn, TurnCache, TurnMemory, TurnStore, Turns};
use crate::memory::{BudgetExhausted, MemoryBudget};
use bytes::Bytes;
use opalrun_store_client::{CachedTurns, TurnError};
use opalrun_wire::store::Turn;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::{
    task::{JoinSet, LocalSet, spawn_local},
    time::Instant,
};

const CACHE_BYTES: usize = 1_000_000;
const MEMORY_BYTES: usize = 4_000_000;
const READ_LATENCY: Duration = Duration::from_millis(3);

/// Fake stores that hold turns by id and count reads.
#[derive(Clone)]
struct FakeTurnStore {
    /// Latency of a read.
    latency: Duration,
    turns: Rc<RefCell<BTreeMap<String, Turn>>>,
    is_unavailable: Rc<Cell<bool>>,
    reads: Rc<Cell<usize>>,
}

impl Default for FakeTurnStore {
    fn default() -> Self {
        Self {
            latency: READ_LATENCY,
            turns: Rc::default(),
            is_unavailable: Rc::default(),
            reads: Rc::default(),
        }
    }
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

    async fn get(&self, id: &str, timeout: Duration, _deadline: Instant) -> Result<Option<Turn>, TurnError> {
        self.reads.set(self.reads.get() + 1);
        if self.is_unavailable.get() {
            tokio::time::sleep(timeout).await;
            return Err(TurnError::Unavailable);
        }
        tokio::time::sleep(self.latency).await;
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

/// A deadline that no read reaches.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

fn memory() -> TurnMemory {
    TurnMemory::new(MEMORY_BYTES, CACHE_BYTES)
}

/// Returns the turn in memory that no budget limits.
fn loaded(turn: Turn) -> Rc<LoadedTurn> {
    Rc::new(LoadedTurn::new(turn, &MemoryBudget::new(usize::MAX)).unwrap())
}

/// Returns the body that a worker receives for a new turn with this input.
fn body_after(chain: &Chain, input: &'static [u8]) -> Vec<u8> {
    chain.body(&Bytes::from_static(input).into()).to_vec()
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
    let turns = Turns::new(store_with_branch().await, memory());
    LocalSet::new()
        .run_until(async {
            let chain = turns.chain("c", deadline()).await.unwrap();
            assert_eq!(body_after(&chain, b"new"), b"in-a;out-a\nin-b;out-b\nin-c;out-c\nnew");
            assert_eq!(chain.ancestors(), ["a", "b", "c"]);
            assert_eq!(chain.worker(), Some("worker-c"));
            let branch = turns.chain("d", deadline()).await.unwrap();
            assert_eq!(body_after(&branch, b""), b"in-a;out-a\nin-d;out-d\n");
        })
        .await;
    assert_eq!(body_after(&Chain::default(), b"new"), b"new");
}

#[tokio::test(start_paused = true)]
async fn reading_a_chain_takes_two_sequential_reads_and_none_when_cached() {
    let store = store_with_branch().await;
    let turns = Turns::new(store.clone(), memory());
    LocalSet::new()
        .run_until(async {
            let started = Instant::now();
            turns.chain("c", deadline()).await.unwrap();
            assert_eq!(started.elapsed(), READ_LATENCY * 2);
            assert_eq!(store.reads.get(), 3);
            store.is_unavailable.set(true);
            turns.chain("c", deadline()).await.unwrap();
            assert_eq!(store.reads.get(), 3);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn an_unknown_turn_is_distinguished_from_an_unavailable_store() {
    let store = store_with_branch().await;
    let turns = Turns::new(store.clone(), memory());
    LocalSet::new()
        .run_until(async {
            assert_eq!(turns.chain("x", deadline()).await.err(), Some(ChainError::Unknown));
            assert_eq!(turns.chain("", deadline()).await.err(), Some(ChainError::Unknown));
            assert_eq!(turns.chain(&"a".repeat(300), deadline()).await.err(), Some(ChainError::Unknown));
            store.is_unavailable.set(true);
            let started = Instant::now();
            assert_eq!(turns.chain("a", deadline()).await.err(), Some(ChainError::Unavailable));
            assert!(started.elapsed() <= Duration::from_millis(450));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_missing_ancestor_of_an_existing_turn_is_unavailable_rather_than_unknown() {
    let store = store_with_branch().await;
    store.turns.borrow_mut().remove("a");
    let turns = Turns::new(store, memory());
    LocalSet::new()
        .run_until(async {
            assert_eq!(turns.chain("c", deadline()).await.err(), Some(ChainError::Unavailable));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_turn_that_could_not_be_stored_is_not_cached() {
    let store = store_with_branch().await;
    let turns = Turns::new(store.clone(), memory());
    LocalSet::new()
        .run_until(async {
            store.is_unavailable.set(true);
            assert_eq!(turns.store(turn("e", &["a"])).await, Err(TurnError::Unavailable));
            store.is_unavailable.set(false);
            assert_eq!(turns.chain("e", deadline()).await.err(), Some(ChainError::Unknown));
            turns.store(turn("e", &["a"])).await.unwrap();
            assert_eq!(turns.chain("e", deadline()).await.unwrap().ancestors(), ["a", "e"]);
        })
        .await;
}

#[test]
fn the_cache_evicts_the_least_recently_used_turn_beyond_its_capacity() {
    let size_of_one = {
        let mut cache = TurnCache::new(CACHE_BYTES);
        cache.insert(loaded(turn("a", &[])));
        cache.used_bytes()
    };
    let mut cache = TurnCache::new(size_of_one * 2);
    cache.insert(loaded(turn("a", &[])));
    cache.insert(loaded(turn("b", &[])));
    assert!(cache.get("a").is_some());
    cache.insert(loaded(turn("c", &[])));
    assert!(cache.get("a").is_some() && cache.get("c").is_some() && cache.get("b").is_none());
    let mut large = turn("large", &[]);
    large.input = vec![0; size_of_one * 2];
    cache.insert(loaded(large));
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
                cache.insert(loaded(turn));
            }
            assert!(cache.used_bytes() <= 10_000);
        }
    });
}

/// Length of the input of each turn of a long conversation, in bytes.
const LONG_INPUT_BYTES: usize = 600_000;

/// Stores a conversation of `length` turns with long inputs. Returns the id of its last turn.
async fn store_long_conversation(store: &FakeTurnStore, name: &str, length: usize) -> String {
    let ids: Vec<String> = (0..length).map(|number| format!("{name}-{number}")).collect();
    for number in 0..length {
        let ancestors: Vec<&str> = ids[..number].iter().map(String::as_str).collect();
        let input = vec![b'a'; LONG_INPUT_BYTES];
        store
            .put(&Turn { input, ..turn(&ids[number], &ancestors) }, &no_cache(), READ_LATENCY)
            .await
            .unwrap();
    }
    ids[length - 1].clone()
}

/// Guards against a process that exceeds its memory when many users continue one long conversation: each had copies of its
/// own.
#[tokio::test(start_paused = true)]
async fn requests_that_continue_one_conversation_share_its_turns_in_memory() {
    let store = FakeTurnStore::default();
    let last = store_long_conversation(&store, "a", 6).await;
    // Neither two copies of the conversation fit into the memory, nor one turn into the cache.
    let turns =
        Rc::new(Turns::new(store.clone(), TurnMemory::new(7 * LONG_INPUT_BYTES, LONG_INPUT_BYTES / 2)));
    LocalSet::new()
        .run_until(async {
            let mut requests = JoinSet::new();
            for _ in 0..9 {
                let (turns, last) = (turns.clone(), last.clone());
                requests.spawn_local(async move { turns.chain(&last, deadline()).await });
            }
            let chains = requests.join_all().await;
            assert_eq!(store.reads.get(), 6, "each turn is read once");
            let mut bodies = chains
                .iter()
                .map(|chain| chain.as_ref().expect("a chain").body(&Bytes::from_static(b"new").into()));
            let mut first = bodies.next().unwrap();
            assert_eq!(first.len(), 6 * (LONG_INPUT_BYTES + 8) + 3);
            let first = first.next_frame().unwrap();
            assert!(
                bodies.all(|mut body| body.next_frame().unwrap().as_ptr() == first.as_ptr()),
                "no copies"
            );
        })
        .await;
}

/// Guards against a process that exceeds its memory by long conversations of which none was bounded.
#[tokio::test(start_paused = true)]
async fn a_chain_for_which_no_memory_is_left_is_rejected_until_another_one_ends() {
    let store = FakeTurnStore::default();
    let first_last = store_long_conversation(&store, "a", 4).await;
    let second_last = store_long_conversation(&store, "b", 4).await;
    // The cache may take as much as the memory, so recently used turns have to give way.
    let turns = Turns::new(store, TurnMemory::new(6 * LONG_INPUT_BYTES, 6 * LONG_INPUT_BYTES));
    LocalSet::new()
        .run_until(async {
            for _ in 0..3 {
                let first = turns.chain(&first_last, deadline()).await.expect("memory for one chain");
                assert_eq!(turns.chain(&second_last, deadline()).await.err(), Some(ChainError::NoMemory));
                drop(first);
                turns.chain(&second_last, deadline()).await.expect("memory for the other chain");
            }
        })
        .await;
}

/// Guards against running turns that are cut off since the chains of others take all memory.
#[tokio::test(start_paused = true)]
async fn chains_leave_memory_for_the_outputs_of_turns_in_progress() {
    let store = FakeTurnStore::default();
    let mut chains = Vec::new();
    let turns = Turns::new(store.clone(), TurnMemory::new(8 * LONG_INPUT_BYTES, 0));
    LocalSet::new()
        .run_until(async {
            for number in 0..6 {
                let last = store_long_conversation(&store, &format!("c{number}"), 1).await;
                chains.push(turns.chain(&last, deadline()).await.expect("memory for a chain"));
            }
            let last = store_long_conversation(&store, "rejected", 1).await;
            assert_eq!(turns.chain(&last, deadline()).await.err(), Some(ChainError::NoMemory));
            let mut output = turns.begin_output();
            output.add(|data| data.resize(LONG_INPUT_BYTES, 0)).expect("memory for an output");
            let exhausting = output.add(|data| data.resize(3 * LONG_INPUT_BYTES, 0));
            assert_eq!(exhausting, Err(BudgetExhausted));
        })
        .await;
}

/// Guards against a chain of long turns that is read at once, so that its replies exceed a store's send queue.
#[tokio::test(start_paused = true)]
async fn long_turns_of_a_chain_are_read_one_after_the_other_and_short_ones_at_once() {
    let store = store_with_branch().await;
    let last = store_long_conversation(&store, "long", 5).await;
    let turns = Turns::new(store, TurnMemory::new(10 * LONG_INPUT_BYTES, CACHE_BYTES));
    LocalSet::new()
        .run_until(async {
            let started = Instant::now();
            turns.chain("c", deadline()).await.unwrap();
            assert_eq!(started.elapsed(), READ_LATENCY * 2);
            let started = Instant::now();
            turns.chain(&last, deadline()).await.unwrap();
            assert_eq!(started.elapsed(), READ_LATENCY * 5);
        })
        .await;
}

/// The time-out of a read applies to each turn, so a conversation of many long turns is read as long as turns arrive.
#[tokio::test(start_paused = true)]
async fn a_long_conversation_is_read_until_the_deadline_of_its_request() {
    let store = FakeTurnStore { latency: Duration::from_millis(300), ..FakeTurnStore::default() };
    let last = store_long_conversation(&store, "a", 4).await;
    let turns = Turns::new(store, TurnMemory::new(10 * LONG_INPUT_BYTES, 0));
    LocalSet::new()
        .run_until(async {
            assert!(turns.chain(&last, Instant::now() + Duration::from_millis(1300)).await.is_ok());
            let too_early = Instant::now() + Duration::from_millis(1100);
            assert_eq!(turns.chain(&last, too_early).await.err(), Some(ChainError::Unavailable));
        })
        .await;
}

/// A request whose client leaves does not take the read with it that others wait for.
#[tokio::test(start_paused = true)]
async fn a_read_goes_on_for_others_when_the_request_that_began_it_ends() {
    let store = store_with_branch().await;
    let turns = Rc::new(Turns::new(store, memory()));
    LocalSet::new()
        .run_until(async {
            let (leaving, staying) = (turns.clone(), turns.clone());
            let leaving = spawn_local(async move { leaving.chain("c", deadline()).await });
            let staying = spawn_local(async move { staying.chain("c", deadline()).await });
            tokio::task::yield_now().await;
            leaving.abort();
            assert_eq!(staying.await.unwrap().unwrap().ancestors(), ["a", "b", "c"]);
        })
        .await;
}

#[test]
fn the_memory_forgets_turns_that_nobody_uses() {
    let mut memory = TurnMemory::new(MEMORY_BYTES, 0);
    let available = memory.available_bytes();
    for number in 0..1000 {
        let turn = memory.insert(turn(&number.to_string(), &[])).unwrap();
        assert!(Rc::ptr_eq(&memory.get(turn.id()).unwrap(), &turn));
    }
    assert_eq!(memory.available_bytes(), available);
    assert!(memory.get("0").is_none());
}
