//! Operations on retained turns.

use crate::{StoreClient, TurnError, layout::Layout, quorum::QuorumTracker};
use opalrun_wire::{
    feed::partition_of,
    ids::{NodeIdentity, Partition},
    store::{StoreReply, StoreRequest, Turn, keep_ms},
};
use std::{collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep};

/// Delay after which a read that the nearest replica has not answered is also sent to the other replicas (hedged request).
const HEDGE_DELAY: Duration = Duration::from_millis(6);
/// Upper bound on the time between a store's execution of a write and the arrival of its reply at this client.
const MAX_WRITE_TIME: Duration = Duration::from_secs(5);
/// Time-out of extending the retention of a chain's turns, including retries.
const EXTENSION_TIMEOUT: Duration = Duration::from_secs(5);

/// Order in which the replicas of a partition are read.
struct ReadOrder {
    /// Read first. If the partition has no replicas, this is 0, which is not the identity of any store.
    nearest: NodeIdentity,
    /// Read if the nearest replica has not replied within [`HEDGE_DELAY`], or does not have the turn.
    others: Vec<NodeIdentity>,
}

impl StoreClient {
    /// Writes a turn; returns once a quorum of complete replicas has it on disk. The write is idempotent. The retention of
    /// the turn's ancestors is extended in the background so that they do not expire before it.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] if no quorum has replied within `time_limit`: the turn may or may not be stored.
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

    /// Reads a turn. Returns `None` only if a quorum of complete replicas has replied that it does not have the turn.
    ///
    /// One replica's reply shows that the turn exists, but not for how long a quorum retains it: a replica that has
    /// restarted retains it for longer than the others. So the remaining retention in the reply is not recorded.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] if within `time_limit` neither a replica has returned the turn nor a quorum has replied
    /// that it is absent.
    pub async fn get_turn(
        self: &Rc<Self>,
        id: &str,
        time_limit: Duration,
    ) -> Result<Option<Turn>, TurnError> {
        let deadline = Instant::now() + time_limit;
        let read = self
            .run_in_layout(partition_of(id), deadline, async |layout| self.get_in(layout, id, deadline).await)
            .await;
        read.ok_or(TurnError::Unavailable)
    }

    /// Reads a turn in one layout of its partition: first from the nearest replica, and from all others if that one does
    /// not return the turn within [`HEDGE_DELAY`].
    async fn get_in(&self, layout: &Layout, id: &str, deadline: Instant) -> Option<Turn> {
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
                    StoreReply::Turn { turn: Some(turn), .. } => return Some(turn),
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

    /// Returns the order in which replicas are read: complete replicas before incomplete ones, replicas in this client's
    /// zone before those in other zones, and random among equals.
    fn read_order(&self, layout: &Layout) -> ReadOrder {
        let mut replicas = layout.partition.replicas.clone();
        fastrand::shuffle(&mut replicas);
        replicas.sort_by_key(|replica| {
            (!replica.is_complete, !self.layouts.is_in_zone(replica.store, &self.zone))
        });
        let mut stores = replicas.into_iter().map(|replica| replica.store);
        ReadOrder { nearest: stores.next().unwrap_or_default(), others: stores.collect() }
    }

    /// Sends a write to all replicas in one layout of the partition; returns once a quorum has replied.
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

    /// Extends the retention of a turn's ancestors in the background, unless they are known to be retained long enough.
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

    /// Extends the retention of turns of one partition in the background.
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

    /// Records that the stores retain a turn for at least `remaining` from now.
    fn record_retention(&self, id: &str, remaining: Duration) {
        let now = self.started.elapsed();
        self.known_retention.borrow_mut().record(id, now + remaining, now);
    }
}

/// Returns the minimum time for which stores retain a turn from the moment when this client receives the reply to the
/// write or the extension.
fn retention_after_write(retention_ms: u64) -> Duration {
    Duration::from_millis(keep_ms(retention_ms)).saturating_sub(MAX_WRITE_TIME)
}
