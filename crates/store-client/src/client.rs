//! The client: it keeps a connection to each store and runs the operations.

use crate::{CountError, TurnError};
use opalrun_wire::{feed::StoreMap, store::Turn};
use std::{rc::Rc, time::Duration};

/// What a raised entry was granted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// Units that all other holders have taken from the program's budget.
    pub others_taken: u64,
}

/// A gatekeeper's client of the stores. All of it runs on one thread, inside a `tokio::task::LocalSet`.
pub struct StoreClient {
    holder: u64,
}

impl StoreClient {
    /// A client that writes counts as `holder` (drawn at each start of the gatekeeper's proxy) and reads turns from
    /// stores in `zone` first.
    #[must_use]
    pub fn new(holder: u64, _zone: &str) -> Rc<Self> {
        Rc::new(Self { holder })
    }

    /// The holder's number.
    #[must_use]
    pub fn holder(&self) -> u64 {
        self.holder
    }

    /// Takes a newer store map; an older one is ignored. Operations that wait for it go on.
    pub fn set_map(&self, _map: StoreMap) {}

    /// Writes that this holder has taken `wanted` units of the program's budget in all, and reads what all others have
    /// taken. The caller may use `wanted` units only where `wanted + others_taken` is within the budget; what does not
    /// fit it gives back by [`lower`](Self::lower). On a failure the entry goes back to `held` by itself, and the
    /// caller still has `held` units and no more.
    ///
    /// One operation on a program at a time: a later one of the same program ends this one with
    /// [`CountError::Superseded`].
    ///
    /// # Errors
    /// [`CountError::Unavailable`] at the end of `limit`, with nothing granted.
    pub async fn raise(
        self: &Rc<Self>,
        _program: &str,
        _held: u64,
        _wanted: u64,
        _limit: Duration,
    ) -> Result<Granted, CountError> {
        Err(CountError::Unavailable)
    }

    /// Writes that this holder has `taken` units only: the others were given back and are not used any more. Goes on in
    /// the background, with retries.
    pub fn lower(self: &Rc<Self>, _program: &str, _taken: u64) {}

    /// Waits until all lowered entries are written; `false` where that took longer than `limit`.
    pub async fn flush(&self, _limit: Duration) -> bool {
        true
    }

    /// Stores a turn; done when a quorum of whole replicas has it on disk. To do it again is harmless.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] at the end of `limit`: it may or may not be kept.
    pub async fn put_turn(self: &Rc<Self>, _turn: &Turn, _limit: Duration) -> Result<(), TurnError> {
        Err(TurnError::Unavailable)
    }

    /// Reads a turn. `None` is certain: a quorum of whole replicas lacks it.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] where neither is certain at the end of `limit`.
    pub async fn get_turn(self: &Rc<Self>, _id: &str, _limit: Duration) -> Result<Option<Turn>, TurnError> {
        Err(TurnError::Unavailable)
    }
}
