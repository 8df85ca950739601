//! Operations on retained turns.

use crate::{StoreClient, TurnError, layout::Layout, quorum::QuorumTracker};
use opalrun_wire::{
    feed::partition_of,
    ids::{NodeIdentity, Partition},
    store::{StoreReply, StoreRequest, Turn, keep_ms},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// After this time without a reply of the nearest replica the others are asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(6);
/// Longest time for which a write may be in flight before its reply arrives here.
const MAX_WRITE_TIME: Duration = Duration::from_secs(5);
/// Time-out of the extension of a chain's turns, retries included.
const EXTENSION_TIMEOUT: Duration = Duration::from_secs(5);

/// A turn that was read.
struct FoundTurn {
    turn: Turn,
    /// For how long the store that replied still retains it.
    remaining: Duration,
}

/// The stores to read from.
struct ReadOrder {
    /// Asked first. Without replicas it is 0, which is no store's identity.
    nearest: NodeIdentity,
    /// Asked when the nearest one has not replied in time, or lacks the turn.
    others: Vec<NodeIdentity>,
}

impl StoreClient {
    /// Writes a turn; returns when a quorum of complete replicas has it on disk. It is idempotent. The turns that it builds
    /// on are retained as long as it.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] where no quorum has replied within `time_limit`: the turn may or may not be stored.
    pub async fn put_turn(self: &Rc<Self>, turn: &Turn, time_limit: Duration) -> Result<(), TurnError> {
        let deadline = Instant::now() + time_limit;
        self.extend_chain(turn);
        let stored = self
            .run_in_layout(partition_of(&turn.id), deadline, async |layout| {
                let request = StoreRequest::PutTurn { epoch: layout.epoch, turn: turn.clone() };
                self.store_in(layout, Rc::new(request), deadline).await;
            })
            .await;
        stored.ok_or(TurnError::Unavailable)?;
        self.record_retention(&turn.id, retention_after_write(turn.retention_ms));
        Ok(())
    }

    /// Reads a turn. `None` is certain: a quorum of complete replicas lacks it.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] where neither is certain within `time_limit`.
    pub async fn get_turn(
        self: &Rc<Self>,
        id: &str,
        time_limit: Duration,
    ) -> Result<Option<Turn>, TurnError> {
        let deadline = Instant::now() + time_limit;
        let read = self
            .run_in_layout(partition_of(id), deadline, async |layout| self.get_in(layout, id, deadline).await)
            .await;
        let found = read.ok_or(TurnError::Unavailable)?;
        if let Some(found) = &found {
            self.record_retention(id, found.remaining);
        }
        Ok(found.map(|found| found.turn))
    }

    /// Reads a turn in one layout of its partition: first at the nearest replica, soon at all of them.
    async fn get_in(&self, layout: &Layout, id: &str, deadline: Instant) -> Option<FoundTurn> {
        let request = Rc::new(StoreRequest::GetTurn { epoch: layout.epoch, id: id.to_owned() });
        let mut calls = self.calls(deadline);
        let mut quorum = QuorumTracker::new(&layout.partition);
        let order = self.read_order(layout);
        calls.send((), order.nearest, &request);
        let mut hedge = std::pin::pin!(sleep(HEDGE_DELAY));
        let mut others_asked = false;
        while !quorum.is_quorum() {
            let ask_others = tokio::select! {
                replied = calls.next_reply() => match replied.reply {
                    StoreReply::Turn { turn: Some(turn), left_ms, .. } => {
                        return Some(FoundTurn { turn, remaining: Duration::from_millis(left_ms) });
                    }
                    StoreReply::Turn { is_complete, turn: None, .. } => {
                        quorum.record(replied.store, is_complete);
                        true
                    }
                    _ => {
                        self.handle_stale_layout(layout).await;
                        true
                    }
                },
                () = &mut hedge, if !others_asked => true,
            };
            if ask_others && !others_asked {
                others_asked = true;
                order.others.iter().for_each(|store| calls.send((), *store, &request));
            }
        }
        None
    }

    /// The order in which replicas are read: complete ones first, of these the ones in this zone first.
    fn read_order(&self, layout: &Layout) -> ReadOrder {
        let mut replicas = layout.partition.replicas.clone();
        fastrand::shuffle(&mut replicas);
        replicas.sort_by_key(|replica| {
            (!replica.is_complete, !self.layouts.is_in_zone(replica.store, &self.zone))
        });
        let mut stores = replicas.into_iter().map(|replica| replica.store);
        ReadOrder { nearest: stores.next().unwrap_or_default(), others: stores.collect() }
    }

    /// Sends a write to all replicas in one layout of the partition and waits for a quorum.
    async fn store_in(&self, layout: &Layout, request: Rc<StoreRequest>, deadline: Instant) {
        let mut calls = self.calls(deadline);
        let mut quorum = QuorumTracker::new(&layout.partition);
        calls.send_to_all((), &layout.partition, &request);
        while !quorum.is_quorum() {
            let replied = calls.next_reply().await;
            match replied.reply {
                StoreReply::Stored { is_complete } => quorum.record(replied.store, is_complete),
                _ => self.handle_stale_layout(layout).await,
            }
        }
    }

    /// Extends the retention of the turns that a new one builds on, as far as they would expire before it.
    fn extend_chain(self: &Rc<Self>, turn: &Turn) {
        let wanted = self.started.elapsed() + Duration::from_millis(turn.retention_ms);
        let mut by_partition: BTreeMap<Partition, Vec<String>> = BTreeMap::new();
        for id in self.known_retention.borrow().not_retained_until(&turn.ancestors, wanted) {
            by_partition.entry(partition_of(id)).or_default().push(id.clone());
        }
        for (number, ids) in by_partition {
            self.extend(number, ids, turn.retention_ms);
        }
    }

    /// Extends the retention of turns of one partition, in the background.
    fn extend(self: &Rc<Self>, partition: Partition, ids: Vec<String>, retention_ms: u64) {
        let client = self.clone();
        self.spawn_write(async move {
            let deadline = Instant::now() + EXTENSION_TIMEOUT;
            let extended = client
                .run_in_layout(partition, deadline, async |layout| {
                    let (epoch, ids) = (layout.epoch, ids.clone());
                    let request = StoreRequest::ExtendTurns { epoch, partition, ids, retention_ms };
                    client.store_in(layout, Rc::new(request), deadline).await;
                })
                .await;
            if extended.is_some() {
                for id in &ids {
                    client.record_retention(id, retention_after_write(retention_ms));
                }
            }
        });
    }

    /// Records that the stores retain a turn for `remaining` from now on at least.
    fn record_retention(&self, id: &str, remaining: Duration) {
        let now = self.started.elapsed();
        self.known_retention.borrow_mut().record(id, now + remaining, now);
    }
}

/// For how long the stores retain a turn at least once it is known that they have written or extended it.
fn retention_after_write(retention_ms: u64) -> Duration {
    Duration::from_millis(keep_ms(retention_ms)).saturating_sub(MAX_WRITE_TIME)
}
