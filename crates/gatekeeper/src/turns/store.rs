//! Reads the chains of turns from the cache and the stores, and writes turns to the stores.

use super::{Chain, ChainError, TurnCache};
use opalrun_store_client::{CachedTurns, StoreClient, TurnError};
use opalrun_wire::store::Turn;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Time-out for reading a complete chain.
const CHAIN_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// Time-out for storing a turn. The client has received all events by then and waits only for the end of the answer.
const TURN_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a turn's id; no stored turn has a longer one.
const MAX_ID_BYTES: usize = 256;

/// Access to the turns in the stores.
pub trait TurnStore: Clone + 'static {
    /// Stores a turn and extends the retention of its ancestors to the turn's own. Returns once the turn is durable and its
    /// ancestors are retained. Those that the stores lack are stored again, from `cached` if it has them. Idempotent.
    fn put(
        &self,
        turn: &Turn,
        cached: &CachedTurns,
        timeout: Duration,
    ) -> impl Future<Output = Result<(), TurnError>>;

    /// Reads a turn; returns `None` when the turn certainly does not exist.
    fn get(&self, id: &str, timeout: Duration) -> impl Future<Output = Result<Option<Turn>, TurnError>>;
}

impl TurnStore for Rc<StoreClient> {
    async fn put(&self, turn: &Turn, cached: &CachedTurns, timeout: Duration) -> Result<(), TurnError> {
        self.put_turn_with_chain(turn, cached, timeout).await
    }

    async fn get(&self, id: &str, timeout: Duration) -> Result<Option<Turn>, TurnError> {
        self.get_turn(id, timeout).await
    }
}

/// Reads and writes retained turns through a cache. Runs on one thread, inside a `tokio::task::LocalSet`.
pub struct Turns<S: TurnStore> {
    store: S,
    cache: Rc<RefCell<TurnCache>>,
}

impl<S: TurnStore> Turns<S> {
    /// Creates the reader and writer with a cache of at most `cache_bytes`.
    #[must_use]
    pub fn new(store: S, cache_bytes: usize) -> Self {
        Self { store, cache: Rc::new(RefCell::new(TurnCache::new(cache_bytes))) }
    }

    /// Reads the chain that ends with the turn `previous`, for a turn that continues it.
    ///
    /// # Errors
    /// The turn does not exist, or its chain is unavailable at present.
    pub async fn chain(&self, previous: &str) -> Result<Chain, ChainError> {
        if previous.is_empty() || previous.len() > MAX_ID_BYTES {
            return Err(ChainError::Unknown);
        }
        let read = self.read_chain(previous);
        let turns =
            tokio::time::timeout(CHAIN_READ_TIMEOUT, read).await.unwrap_or(Err(ChainError::Unavailable))?;
        Ok(Chain::from_turns(&turns))
    }

    /// Stores a turn that was answered completely. The end of the answer may be sent to the client only once this has
    /// succeeded.
    ///
    /// # Errors
    /// The turn may not be stored or its chain not be retained, so the answer must not appear complete to the client.
    pub async fn store(&self, turn: Turn) -> Result<(), TurnError> {
        let cache = Rc::clone(&self.cache);
        let cached: CachedTurns = Rc::new(move |id| cache.borrow_mut().get(id));
        self.store.put(&turn, &cached, TURN_WRITE_TIMEOUT).await?;
        self.cache.borrow_mut().insert(Rc::new(turn));
        Ok(())
    }

    /// Returns the turns up to and including `last`, oldest first.
    async fn read_chain(&self, last: &str) -> Result<Vec<Rc<Turn>>, ChainError> {
        let last = match self.cached(last) {
            Some(turn) => turn,
            None => self.fetch(last.to_owned()).await?.ok_or(ChainError::Unknown)?,
        };
        let mut turns = self.read_ancestors(&last.ancestors).await?;
        turns.push(last);
        Ok(turns)
    }

    /// Returns the turns with these ids; those that are not cached are read from the stores in parallel.
    async fn read_ancestors(&self, ids: &[String]) -> Result<Vec<Rc<Turn>>, ChainError> {
        let mut turns: Vec<Option<Rc<Turn>>> = ids.iter().map(|id| self.cached(id)).collect();
        let mut reads = JoinSet::new();
        for (position, id) in ids.iter().enumerate().filter(|(position, _)| turns[*position].is_none()) {
            let read = self.fetch(id.clone());
            reads.spawn_local(async move { (position, read.await) });
        }
        while let Some(read) = reads.join_next().await {
            let (position, turn) = read.map_err(|_| ChainError::Unavailable)?;
            turns[position] = turn?;
        }
        let complete: Option<Vec<_>> = turns.into_iter().collect();
        if complete.is_none() {
            tracing::warn!("a stored turn lacks one of its ancestors in the stores");
        }
        // The turn itself exists, so its client must not receive 404.
        complete.ok_or(ChainError::Unavailable)
    }

    fn cached(&self, id: &str) -> Option<Rc<Turn>> {
        self.cache.borrow_mut().get(id)
    }

    fn fetch(&self, id: String) -> impl Future<Output = Result<Option<Rc<Turn>>, ChainError>> + use<S> {
        let store = self.store.clone();
        let cache = Rc::clone(&self.cache);
        async move {
            let found = store.get(&id, CHAIN_READ_TIMEOUT).await.map_err(|_| ChainError::Unavailable)?;
            let turn = found.map(Rc::new);
            if let Some(turn) = &turn {
                cache.borrow_mut().insert(Rc::clone(turn));
            }
            Ok(turn)
        }
    }
}
