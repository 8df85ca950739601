//! Reads the chains of turns from memory and the stores, and writes turns to the stores.

use super::{
    Chain, ChainError, LoadedTurn, TurnMemory, TurnOutput,
    transfer_limit::{LongTransfers, ReadWindow},
};
use opalrun_store_client::{CachedTurns, StoreClient, TurnError};
use opalrun_wire::store::Turn;
use std::{cell::RefCell, future::Future, rc::Rc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, timeout_at},
};

/// Time-out for reading a turn, which begins anew with each part of a long turn that is received.
const TURN_READ_TIMEOUT: Duration = Duration::from_millis(400);
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

    /// Reads a turn; returns `None` when the turn certainly does not exist. `timeout` begins anew with each part of a long
    /// turn that is received, until `deadline`.
    fn get(
        &self,
        id: &str,
        timeout: Duration,
        deadline: Instant,
    ) -> impl Future<Output = Result<Option<Turn>, TurnError>>;
}

impl TurnStore for Rc<StoreClient> {
    async fn put(&self, turn: &Turn, cached: &CachedTurns, timeout: Duration) -> Result<(), TurnError> {
        self.put_turn_with_chain(turn, cached, timeout).await
    }

    async fn get(&self, id: &str, timeout: Duration, deadline: Instant) -> Result<Option<Turn>, TurnError> {
        self.get_turn_until(id, timeout, deadline).await
    }
}

/// Reads and writes retained turns. Runs on one thread, inside a `tokio::task::LocalSet`.
pub struct Turns<S: TurnStore> {
    reader: TurnReader<S>,
    writes: LongTransfers,
}

impl<S: TurnStore> Turns<S> {
    /// Creates the reader and writer, whose turns in memory are in `memory`.
    #[must_use]
    pub fn new(store: S, memory: TurnMemory) -> Self {
        let memory = Rc::new(RefCell::new(memory));
        let reader = TurnReader { store, memory, reads: LongTransfers::default() };
        Self { reader, writes: LongTransfers::default() }
    }

    /// Reads the chain that ends with the turn `previous`, for a turn that continues it, until `deadline`.
    ///
    /// # Errors
    /// The turn does not exist, its chain is unavailable at present, or there is no memory for it.
    pub async fn chain(&self, previous: &str, deadline: Instant) -> Result<Chain, ChainError> {
        if previous.is_empty() || previous.len() > MAX_ID_BYTES {
            return Err(ChainError::Unknown);
        }
        let read = self.read_chain(previous, deadline);
        timeout_at(deadline, read).await.unwrap_or(Err(ChainError::Unavailable)).map(Chain::new)
    }

    /// Stores a turn that was answered completely. The end of the answer may be sent to the client only once this has
    /// succeeded.
    ///
    /// # Errors
    /// The turn may not be stored or its chain not be retained, so the answer must not appear complete to the client.
    pub async fn store(&self, turn: Turn) -> Result<(), TurnError> {
        let put_until = Instant::now() + TURN_WRITE_TIMEOUT;
        let begun = timeout_at(put_until, self.writes.begin(turn.input.len() + turn.output.len())).await;
        let _transfer = begun.map_err(|_| TurnError::Unavailable)?;
        let memory = Rc::clone(&self.reader.memory);
        let cached: CachedTurns = Rc::new(move |id| Some(memory.borrow_mut().get(id)?.to_stored()));
        let time_limit = put_until.saturating_duration_since(Instant::now());
        self.reader.store.put(&turn, &cached, time_limit).await?;
        // Without memory for it the next turn reads this one from the stores.
        let _ = self.reader.memory.borrow_mut().insert(turn);
        Ok(())
    }

    /// Returns an empty output of a turn that is being answered.
    #[must_use]
    pub fn begin_output(&self) -> TurnOutput {
        TurnOutput::new(self.reader.memory.clone())
    }

    /// Returns the turns up to and including `last`, oldest first.
    async fn read_chain(&self, last: &str, deadline: Instant) -> Result<Vec<Rc<LoadedTurn>>, ChainError> {
        let mut window = ReadWindow::default();
        let last = self.reader.load(last, window.expected_turn_bytes(), deadline).await?;
        let last = last.ok_or(ChainError::Unknown)?;
        window.record(&last);
        let mut turns = self.read_ancestors(last.ancestors(), window, deadline).await?;
        turns.push(last);
        Ok(turns)
    }

    /// Returns the turns with these ids. Those that are not in memory are read from the stores, several at a time as far as
    /// `window` allows.
    async fn read_ancestors(
        &self,
        ids: &[String],
        mut window: ReadWindow,
        deadline: Instant,
    ) -> Result<Vec<Rc<LoadedTurn>>, ChainError> {
        let mut turns: Vec<Option<Rc<LoadedTurn>>> = ids.iter().map(|id| self.reader.in_memory(id)).collect();
        turns.iter().flatten().for_each(|turn| window.record(turn));
        let missing: Vec<usize> = (0..ids.len()).filter(|position| turns[*position].is_none()).collect();
        let mut to_read = missing.into_iter();
        let mut reads = JoinSet::new();
        loop {
            for position in to_read.by_ref().take(window.max_reads().saturating_sub(reads.len())) {
                let (reader, id, bytes) =
                    (self.reader.clone(), ids[position].clone(), window.expected_turn_bytes());
                reads.spawn_local(async move { (position, reader.load(&id, bytes, deadline).await) });
            }
            let Some(read) = reads.join_next().await else { break };
            let (position, turn) = read.map_err(|_| ChainError::Unavailable)?;
            turns[position] = turn?;
            turns[position].iter().for_each(|turn| window.record(turn));
        }
        let complete: Option<Vec<_>> = turns.into_iter().collect();
        if complete.is_none() {
            tracing::warn!("a stored turn lacks one of its ancestors in the stores");
        }
        // The turn itself exists, so its client must not receive 404.
        complete.ok_or(ChainError::Unavailable)
    }
}

/// Reads single turns from memory or from the stores.
#[derive(Clone)]
struct TurnReader<S: TurnStore> {
    store: S,
    memory: Rc<RefCell<TurnMemory>>,
    reads: LongTransfers,
}

impl<S: TurnStore> TurnReader<S> {
    fn in_memory(&self, id: &str) -> Option<Rc<LoadedTurn>> {
        self.memory.borrow_mut().get(id)
    }

    /// Returns a turn, which is read from the stores if it is not in memory; `None` if it does not exist. Requests that need
    /// a turn at the same time share one read.
    async fn load(
        &self,
        id: &str,
        expected_bytes: usize,
        deadline: Instant,
    ) -> Result<Option<Rc<LoadedTurn>>, ChainError> {
        if let Some(turn) = self.in_memory(id) {
            return Ok(Some(turn));
        }
        let read = self.memory.borrow_mut().shared_read(id);
        read.get_or_try_init(|| self.read(id, expected_bytes, deadline)).await.cloned()
    }

    async fn read(
        &self,
        id: &str,
        expected_bytes: usize,
        deadline: Instant,
    ) -> Result<Option<Rc<LoadedTurn>>, ChainError> {
        let _transfer = self.reads.begin(expected_bytes).await;
        let found = self.store.get(id, TURN_READ_TIMEOUT, deadline).await;
        let Some(turn) = found.map_err(|_| ChainError::Unavailable)? else { return Ok(None) };
        Ok(Some(self.memory.borrow_mut().insert(turn)?))
    }
}
