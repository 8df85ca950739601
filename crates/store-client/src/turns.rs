//! Operations on retained turns.

use crate::{CachedTurns, StoreClient, TurnError, layout::Layout, quorum::QuorumTracker};
use opalrun_wire::{
    feed::partition_of,
    ids::{NodeIdentity, Partition},
    store::{StoreReply, StoreRequest, Turn},
};
use std::{pin::pin, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep, timeout_at};

/// Delay after which a read that the nearest replica has not begun to answer is also sent to the other replicas (hedged
/// request).
const HEDGE_DELAY: Duration = Duration::from_millis(6);

/// Order in which the replicas of a partition are read.
struct ReadOrder {
    /// Read first. If the partition has no replicas, this is 0, which is not the identity of any store.
    nearest: NodeIdentity,
    /// Read if the nearest replica has not replied within [`HEDGE_DELAY`], or does not have the turn.
    others: Vec<NodeIdentity>,
}

impl StoreClient {
    /// Writes a turn as [`put_turn_with_chain`](Self::put_turn_with_chain) does, for a caller that has no turns in memory.
    ///
    /// # Errors
    /// As those of [`put_turn_with_chain`](Self::put_turn_with_chain).
    pub async fn put_turn(self: &Rc<Self>, turn: &Turn, time_limit: Duration) -> Result<(), TurnError> {
        let no_cache: CachedTurns = Rc::new(|_| None);
        self.put_turn_with_chain(turn, &no_cache, time_limit).await
    }

    /// Writes a turn; returns once a quorum of complete replicas has it on disk, and a quorum retains each of its ancestors
    /// for as long as the turn. The write is idempotent. Ancestors that the replicas lack are written again, from `cached`
    /// or from another replica.
    ///
    /// # Errors
    /// [`TurnError::Unavailable`] if that does not succeed within `time_limit`: the turn may or may not be stored, and its
    /// chain may expire before it.
    pub async fn put_turn_with_chain(
        self: &Rc<Self>,
        turn: &Turn,
        cached: &CachedTurns,
        time_limit: Duration,
    ) -> Result<(), TurnError> {
        let deadline = Instant::now() + time_limit;
        tokio::try_join!(self.write_turn(turn, deadline), self.extend_chain(turn, cached, deadline))?;
        Ok(())
    }

    /// Writes a turn; returns once a quorum of complete replicas has it on disk.
    async fn write_turn(&self, turn: &Turn, deadline: Instant) -> Result<(), TurnError> {
        let begun = self.started.elapsed();
        let stored = self
            .run_in_layout(partition_of(&turn.id), deadline, async |layout| {
                let request = StoreRequest::PutTurn { epoch: layout.epoch, turn: turn.clone() };
                self.store_in(layout, Rc::new(request), deadline).await;
            })
            .await;
        stored.ok_or(TurnError::Unavailable)?;
        self.known_retention.borrow_mut().record_write(&turn.id, begun, turn.retention_ms);
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
        self.get_turn_until(id, time_limit, Instant::now() + time_limit).await
    }

    /// Reads a turn as [`get_turn`](Self::get_turn) does. A long turn may take longer than `time_limit` to be transferred:
    /// the limit begins anew with each part of one that a replica of the partition has sent, until `deadline`.
    ///
    /// # Errors
    /// As those of [`get_turn`](Self::get_turn).
    pub async fn get_turn_until(
        self: &Rc<Self>,
        id: &str,
        time_limit: Duration,
        deadline: Instant,
    ) -> Result<Option<Turn>, TurnError> {
        let partition = partition_of(id);
        let read =
            self.run_in_layout(partition, deadline, async |layout| self.get_in(layout, id, deadline).await);
        let mut read = pin!(read);
        let mut waiting_since = Instant::now();
        loop {
            if let Ok(read) = timeout_at(waiting_since + time_limit, read.as_mut()).await {
                return read.ok_or(TurnError::Unavailable);
            }
            let progress = self.long_frame_progress(partition).filter(|at| *at > waiting_since);
            waiting_since = progress.ok_or(TurnError::Unavailable)?;
        }
    }

    /// Returns when bytes of a long frame were last transferred between this process and a replica of the partition.
    fn long_frame_progress(&self, partition: Partition) -> Option<Instant> {
        let map = self.layouts.map();
        let replicas = &map.partitions.get(partition.position())?.replicas;
        replicas.iter().filter_map(|replica| self.connections.long_frame_progress(replica.store)).max()
    }

    /// Reads a turn in one layout of its partition: first from the nearest replica, and from all others if that one neither
    /// returns the turn within [`HEDGE_DELAY`] nor is sending a long reply then.
    pub(crate) async fn get_in(&self, layout: &Layout, id: &str, deadline: Instant) -> Option<Turn> {
        let request = Rc::new(StoreRequest::GetTurn { epoch: layout.epoch, id: id.to_owned() });
        let mut calls = self.calls(deadline);
        let mut quorum = QuorumTracker::new(&layout.partition);
        let order = self.read_order(layout);
        calls.send((), order.nearest, &request);
        let mut hedge = pin!(sleep(HEDGE_DELAY));
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
                () = &mut hedge, if !others_asked => !self.is_sending(order.nearest),
            };
            if hedge.is_elapsed() {
                hedge.as_mut().reset(Instant::now() + HEDGE_DELAY);
            }
            if ask_others && !others_asked {
                others_asked = true;
                order.others.iter().for_each(|store| calls.send((), *store, &request));
            }
        }
        None
    }

    /// Whether a store is sending a long reply at present, so that other replicas would not be faster.
    fn is_sending(&self, store: NodeIdentity) -> bool {
        let progress = self.connections.long_frame_progress(store);
        progress.is_some_and(|at| at.elapsed() < HEDGE_DELAY)
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
    pub(crate) async fn store_in(&self, layout: &Layout, request: Rc<StoreRequest>, deadline: Instant) {
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
}
