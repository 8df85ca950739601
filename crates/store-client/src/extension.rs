//! Extension of the retention of a conversation's earlier turns, so that they do not expire before a new turn.
//!
//! An extension is acknowledged once a quorum of complete replicas has extended the turns, like a write. A replica that
//! lacks one of them does not count: it would otherwise stand for a copy that does not exist. Such a replica has missed
//! the write of the turn; the turn is written to it again when the others do not form a quorum.

use crate::{StoreClient, TurnError, layout::Layout, quorum::QuorumTracker};
use opalrun_wire::{
    feed::partition_of,
    ids::Partition,
    store::{StoreReply, StoreRequest, Turn},
};
use std::{collections::BTreeMap, pin::pin, rc::Rc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Delay after which turns that a replica lacks are written to it again, if the other replicas form no quorum by then.
const REPAIR_DELAY: Duration = Duration::from_millis(20);

/// Contents of turns that the caller has in memory, by id. A turn that replicas lack is written to them again from here, or
/// from another replica.
pub type CachedTurns = Rc<dyn Fn(&str) -> Option<Turn>>;

/// Turns of one partition whose retention is to be extended.
struct Extension {
    partition: Partition,
    /// Ids of the turns.
    ids: Vec<String>,
    /// Minimum time for which the turns must be kept from now on, in milliseconds.
    retention_ms: u64,
    /// Time at which the extension is given up.
    deadline: Instant,
}

/// Outcome of sending an extension to all replicas of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExtensionOutcome {
    /// A quorum of complete replicas has extended all turns.
    Extended,
    /// No quorum has extended the turns, and a replica lacks at least one of them.
    TurnMissing,
}

/// Neither a replica nor the caller has a turn of the chain any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TurnLost;

impl StoreClient {
    /// Extends the retention of a turn's ancestors to its own, unless they are known to be retained long enough. Returns
    /// once a quorum of each partition has done so.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] if that does not succeed until `deadline`, or if an ancestor is lost.
    pub(crate) async fn extend_chain(
        self: &Rc<Self>,
        turn: &Turn,
        cached: &CachedTurns,
        deadline: Instant,
    ) -> Result<(), TurnError> {
        let now = self.started.elapsed();
        let mut by_partition: BTreeMap<Partition, Vec<String>> = BTreeMap::new();
        for id in self.known_retention.borrow().to_extend(&turn.ancestors, now, turn.retention_ms) {
            by_partition.entry(partition_of(id)).or_default().push(id.clone());
        }
        let mut extensions = JoinSet::new();
        for (partition, ids) in by_partition {
            let extension = Extension { partition, ids, retention_ms: turn.retention_ms, deadline };
            extensions.spawn_local(self.clone().extend(extension, cached.clone()));
        }
        while let Some(extended) = extensions.join_next().await {
            extended.unwrap_or(Err(TurnError::Unavailable))?;
        }
        Ok(())
    }

    /// Extends the retention of turns of one partition, and records it once a quorum has done so.
    async fn extend(self: Rc<Self>, extension: Extension, cached: CachedTurns) -> Result<(), TurnError> {
        let begun = self.started.elapsed();
        let extended = self
            .run_in_layout(extension.partition, extension.deadline, async |layout| {
                while self.extend_in(layout, &extension).await == ExtensionOutcome::TurnMissing {
                    self.write_again(layout, &extension, &cached).await?;
                }
                Ok::<(), TurnLost>(())
            })
            .await;
        if extended != Some(Ok(())) {
            return Err(TurnError::Unavailable);
        }
        for id in &extension.ids {
            self.known_retention.borrow_mut().record_write(id, begun, extension.retention_ms);
        }
        Ok(())
    }

    /// Sends an extension to all replicas in one layout of the partition.
    async fn extend_in(&self, layout: &Layout, extension: &Extension) -> ExtensionOutcome {
        let request = StoreRequest::ExtendTurns {
            epoch: layout.epoch,
            partition: layout.number,
            ids: extension.ids.clone(),
            retention_ms: extension.retention_ms,
        };
        let mut calls = self.calls(extension.deadline);
        let mut quorum = QuorumTracker::new(&layout.partition);
        calls.send_to_all((), &layout.partition, &Rc::new(request));
        let mut repair_delay = pin!(sleep(REPAIR_DELAY));
        while !quorum.is_quorum() {
            tokio::select! {
                replied = calls.next_reply() => match replied.reply {
                    StoreReply::Stored { is_complete } => quorum.record(replied.store, is_complete),
                    _ => self.handle_stale_layout(layout).await,
                },
                () = &mut repair_delay, if quorum.has_refusal() => return ExtensionOutcome::TurnMissing,
            }
        }
        ExtensionOutcome::Extended
    }

    /// Writes turns, which are cached or read from any replica, to all replicas again. Replicas that have a turn keep it
    /// unchanged.
    async fn write_again(
        &self,
        layout: &Layout,
        extension: &Extension,
        cached: &CachedTurns,
    ) -> Result<(), TurnLost> {
        for id in &extension.ids {
            let turn = match cached(id) {
                Some(turn) => Some(turn),
                None => self.get_in(layout, id, extension.deadline).await,
            };
            let Some(turn) = turn else {
                tracing::warn!(turn = id, "a turn of a continued conversation is lost");
                return Err(TurnLost);
            };
            let request = StoreRequest::PutTurn { epoch: layout.epoch, turn };
            self.store_in(layout, Rc::new(request), extension.deadline).await;
        }
        Ok(())
    }
}
