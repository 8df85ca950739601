//! Operations on the counts of programs: acquires and reduces a holder's lease of a program's budget.

use crate::{
    CountError, LeaseGrant, StoreClient,
    layout::Layout,
    lease_acquisition::{LeaseAcquisition, Progress, Round},
    operation::{Operation, PendingAcquisition},
    quorum::QuorumTracker,
};
use opalrun_wire::{
    feed::partition_of,
    store::{CountEntry, StoreReply, StoreRequest},
};
use std::{future::pending, rc::Rc, time::Duration};
use tokio::time::{Instant, sleep_until};

/// Delay between a quorum of replies to the first round and the start of the second one. If all other replicas reply in
/// this time, the second round is not needed.
const SECOND_ROUND_DELAY: Duration = Duration::from_millis(3);
/// Time-out of the write of a reduced entry, including retries.
const REDUCTION_TIMEOUT: Duration = Duration::from_secs(5);

impl StoreClient {
    /// Acquires a lease of `wanted` units of a program's budget in total, by a holder that currently leases `leased` units:
    /// writes that this holder has taken `wanted` units, and reads how many units all other holders have taken.
    ///
    /// The caller may use `wanted` units only if `wanted + others_taken` is within the budget; it must give back the excess
    /// by [`reduce_lease`](Self::reduce_lease). On an error, or if the future is dropped, the entry is reverted to `leased`
    /// in the background, and the caller still leases `leased` units.
    ///
    /// Only one operation on a program is valid at a time: a later one on the same program makes this one fail with
    /// [`CountError::Superseded`].
    ///
    /// # Errors
    /// [`CountError::Unavailable`] if no quorum has replied within `time_limit`, [`CountError::Superseded`] as above. No
    /// units are granted then.
    pub async fn acquire_lease(
        self: &Rc<Self>,
        program: &str,
        leased: u64,
        wanted: u64,
        time_limit: Duration,
    ) -> Result<LeaseGrant, CountError> {
        let deadline = Instant::now() + time_limit;
        self.reverts.start();
        let acquisition = PendingAcquisition::begin(self, program, leased);
        let entry = acquisition.operation().entry(wanted);
        let acquired = self
            .run_in_layout(partition_of(program), deadline, async |layout| {
                self.acquire_in(layout, program, entry, deadline).await
            })
            .await;
        if !acquisition.operation().is_newest() {
            return Err(CountError::Superseded);
        }
        let grant = acquired.ok_or(CountError::Unavailable)?;
        acquisition.mark_granted();
        Ok(grant)
    }

    /// Writes that this holder has taken only `taken` units; the caller must have stopped using the others. Runs in the
    /// background, with retries for a limited time, until a quorum has replied. If a later operation on the same program
    /// supersedes this one, the stores keep the later entry.
    pub fn reduce_lease(self: &Rc<Self>, program: &str, taken: u64) {
        self.write_reduced(Operation::begin(self, program), taken);
    }

    pub(crate) fn write_reduced(self: &Rc<Self>, operation: Operation, taken: u64) {
        let client = self.clone();
        self.spawn_write(async move {
            let deadline = Instant::now() + REDUCTION_TIMEOUT;
            let entry = operation.entry(taken);
            let partition = partition_of(operation.program());
            let written = client
                .run_in_layout(partition, deadline, async |layout| {
                    client.write_in(layout, operation.program(), entry, deadline).await;
                })
                .await;
            if written.is_none() && operation.is_newest() {
                tracing::debug!(units = taken, "reduced lease was not written in time");
            }
        });
    }

    /// Acquires a lease in one layout of the partition. Returns only on success; the caller drops the future at a time-out.
    async fn acquire_in(
        &self,
        layout: &Layout,
        program: &str,
        entry: CountEntry,
        deadline: Instant,
    ) -> LeaseGrant {
        let request = write_count(layout, program, entry);
        let mut calls = self.calls(deadline);
        let mut acquisition = LeaseAcquisition::new(self.holder, &layout.partition);
        calls.send_to_all(Round::First, &layout.partition, &request);
        let mut second_round_at = None;
        loop {
            match acquisition.progress() {
                Progress::Done { others_taken } => return LeaseGrant { others_taken },
                Progress::AtQuorum => {
                    second_round_at.get_or_insert_with(|| Instant::now() + SECOND_ROUND_DELAY);
                }
                Progress::Waiting => second_round_at = None,
            }
            tokio::select! {
                replied = calls.next_reply() => match replied.reply {
                    StoreReply::Count { is_complete, entries } => {
                        acquisition.record_reply(replied.call, replied.store, is_complete, &entries);
                    }
                    _ => self.handle_stale_layout(layout).await,
                },
                () = wait_until(second_round_at) => {
                    acquisition.start_second_round();
                    calls.send_to_all(Round::Second, &layout.partition, &request);
                }
            }
        }
    }

    /// Writes an entry in one layout of the partition; returns once a quorum has it.
    async fn write_in(&self, layout: &Layout, program: &str, entry: CountEntry, deadline: Instant) {
        let request = write_count(layout, program, entry);
        let mut calls = self.calls(deadline);
        let mut quorum = QuorumTracker::new(&layout.partition);
        calls.send_to_all((), &layout.partition, &request);
        while !quorum.is_quorum() {
            let replied = calls.next_reply().await;
            match replied.reply {
                StoreReply::Count { is_complete, .. } => quorum.record(replied.store, is_complete),
                _ => self.handle_stale_layout(layout).await,
            }
        }
    }

    /// Handles the reply of a store that knows a newer map. If this client has a newer map by now, waits forever, so that
    /// [`run_in_layout`](Self::run_in_layout) drops this operation and restarts it in the newer layout.
    pub(crate) async fn handle_stale_layout(&self, layout: &Layout) {
        layout.set_stale();
        if self.layouts.is_outdated(layout) {
            self.layouts.notify_waiters();
            pending::<()>().await;
        }
    }
}

fn write_count(layout: &Layout, program: &str, entry: CountEntry) -> Rc<StoreRequest> {
    Rc::new(StoreRequest::WriteCount { epoch: layout.epoch, program: program.to_owned(), entry })
}

/// Waits until `deadline`; forever if it is `None`.
async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => sleep_until(deadline).await,
        None => pending().await,
    }
}
