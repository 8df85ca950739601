//! Reports completed transfers to control.

use super::CompletedTransfer;
use opalrun_net::feed_client::FeedClient;
use opalrun_wire::ids::{Epoch, NodeIdentity, Partition};
use std::{
    collections::{BTreeMap, HashMap, hash_map::Entry},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior, interval, sleep},
};

/// Period at which a completed transfer is reported again until the store map shows the replica as complete.
const REPORT_PERIOD: Duration = Duration::from_millis(500);
/// Delay of a report after a transfer has completed, so that others that complete in this time are reported together.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Reports the completed transfers of the store `identity` to control, every [`REPORT_PERIOD`] until the store map shows
/// the replicas as complete. Never returns.
pub async fn report_completed(
    feed: &FeedClient,
    mut completed: watch::Receiver<Vec<CompletedTransfer>>,
    identity: NodeIdentity,
) {
    let mut repeat = interval(REPORT_PERIOD);
    repeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported: HashMap<CompletedTransfer, Instant> = HashMap::new();
    loop {
        tokio::select! {
            Ok(()) = completed.changed() => sleep(REPORT_DELAY).await,
            _ = repeat.tick() => {}
        }
        let due = take_due(&completed.borrow_and_update(), &mut reported, Instant::now());
        for (epoch, partitions) in due {
            feed.report_replicas_complete(identity, epoch, partitions);
        }
    }
}

/// Returns the partitions that were not reported within the last [`REPORT_PERIOD`], grouped by the epoch in which their
/// transfer began, and records them as reported at `now`.
fn take_due(
    completed: &[CompletedTransfer],
    reported: &mut HashMap<CompletedTransfer, Instant>,
    now: Instant,
) -> BTreeMap<Epoch, Vec<Partition>> {
    reported.retain(|_, reported_at| now.duration_since(*reported_at) < REPORT_PERIOD);
    let mut due: BTreeMap<Epoch, Vec<Partition>> = BTreeMap::new();
    for transfer in completed {
        if let Entry::Vacant(unreported) = reported.entry(*transfer) {
            due.entry(transfer.epoch).or_default().push(transfer.partition);
            unreported.insert(now);
        }
    }
    due
}
