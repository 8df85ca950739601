//! Extension of the retention of a conversation's earlier turns, so that they do not expire before a new turn.
//!
//! An extension is acknowledged once a quorum of complete replicas has extended the turns, like a write. A replica that
//! lacks one of them does not count: it would otherwise stand for a copy that does not exist. Such a replica has missed
//! the write of the turn; the turn is written to it again when the others do not form a quorum.

use crate::{StoreClient, layout::Layout, quorum::QuorumTracker};
use opalrun_wire::{
    feed::partition_of,
    ids::Partition,
    store::{StoreReply, StoreRequest, Turn, keep_ms},
};
use std::{collections::BTreeMap, pin::pin, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Upper bound on the time between a store's execution of a write and the arrival of its reply at this client.
const MAX_WRITE_TIME: Duration = Duration::from_secs(5);
/// Time-out of extending the retention of a chain's turns, including retries.
const EXTENSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay after which turns that a replica lacks are written to it again, if the other replicas form no quorum by then.
const REPAIR_DELAY: Duration = Duration::from_millis(20);

/// Outcome of sending an extension to all replicas of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExtensionOutcome {
    /// A quorum of complete replicas has extended all turns.
    Extended,
    /// No quorum has extended the turns, and a replica lacks at least one of them.
    TurnMissing,
}

/// No replica has a turn of the chain any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TurnLost;

impl StoreClient {
    /// Extends the retention of a turn's ancestors in the background, unless they are known to be retained long enough.
    pub(crate) fn extend_chain(self: &Rc<Self>, turn: &Turn) {
        let wanted = self.started.elapsed() + Duration::from_millis(turn.retention_ms);
        let mut by_partition: BTreeMap<Partition, Vec<String>> = BTreeMap::new();
        for id in self.known_retention.borrow().not_retained_until(&turn.ancestors, wanted) {
            by_partition.entry(partition_of(id)).or_default().push(id.clone());
        }
        for (number, ids) in by_partition {
            let (client, retention_ms) = (self.clone(), turn.retention_ms);
            self.spawn_write(async move { client.extend(number, &ids, retention_ms).await });
        }
    }

    /// Extends the retention of turns of one partition, and records it once a quorum has done so.
    async fn extend(&self, partition: Partition, ids: &[String], retention_ms: u64) {
        let deadline = Instant::now() + EXTENSION_TIMEOUT;
        let extended = self
            .run_in_layout(partition, deadline, async |layout| {
                while self.extend_in(layout, ids, retention_ms, deadline).await
                    == ExtensionOutcome::TurnMissing
                {
                    self.write_again(layout, ids, deadline).await?;
                }
                Ok::<(), TurnLost>(())
            })
            .await;
        if extended == Some(Ok(())) {
            for id in ids {
                self.record_retention(id, retention_after_write(retention_ms));
            }
        }
    }

    /// Sends an extension to all replicas in one layout of the partition.
    async fn extend_in(
        &self,
        layout: &Layout,
        ids: &[String],
        retention_ms: u64,
        deadline: Instant,
    ) -> ExtensionOutcome {
        let (epoch, partition) = (layout.epoch, layout.number);
        let request = StoreRequest::ExtendTurns { epoch, partition, ids: ids.to_vec(), retention_ms };
        let mut calls = self.calls(deadline);
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

    /// Reads turns from any replica and writes them to all replicas again. Replicas that have a turn keep it unchanged.
    async fn write_again(&self, layout: &Layout, ids: &[String], deadline: Instant) -> Result<(), TurnLost> {
        for id in ids {
            let Some(turn) = self.get_in(layout, id, deadline).await else {
                tracing::warn!(turn = id, "a turn of a continued conversation is at no replica");
                return Err(TurnLost);
            };
            let request = StoreRequest::PutTurn { epoch: layout.epoch, turn };
            self.store_in(layout, Rc::new(request), deadline).await;
        }
        Ok(())
    }

    /// Records that a quorum retains a turn for at least `remaining` from now.
    pub(crate) fn record_retention(&self, id: &str, remaining: Duration) {
        let now = self.started.elapsed();
        self.known_retention.borrow_mut().record(id, now + remaining, now);
    }
}

/// Returns the minimum time for which stores retain a turn from the moment when this client receives the reply to the
/// write or the extension.
pub(crate) fn retention_after_write(retention_ms: u64) -> Duration {
    Duration::from_millis(keep_ms(retention_ms)).saturating_sub(MAX_WRITE_TIME)
}
