//! The tasks that drive the groups. Each input wakes the driver, which carries out the pending work of all groups in
//! one batch.

use super::{
    Host, HostFailure,
    disk::JobResult,
    groups::{UnreadableSnapshot, VoteCount},
    members::node_identity,
    peer_frame::GroupMessage,
};
use opalrun_replication::timing;
use std::{
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};
use tokio::{
    sync::mpsc as async_mpsc,
    time::{MissedTickBehavior, interval},
};

/// Number of ticks between two updates of the links to the members.
const LINK_UPDATE_TICKS: u64 = 4;
/// Number of ticks between two join requests of a process that is not a member.
const JOIN_REQUEST_TICKS: u64 = 10;

/// Spawns the tasks that drive the host. They end when the host is dropped.
pub(super) fn spawn(host: &Rc<Host>, results: async_mpsc::UnboundedReceiver<JobResult>) {
    tokio::task::spawn_local(drive(Rc::downgrade(host)));
    tokio::task::spawn_local(tick(Rc::downgrade(host)));
    tokio::task::spawn_local(receive_results(Rc::downgrade(host), results));
}

async fn tick(host: Weak<Host>) {
    let mut interval = interval(Duration::from_millis(timing::TICK_INTERVAL_MS));
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut logged_votes = VoteCount::default();
    for ticks in 1_u64.. {
        interval.tick().await;
        let Some(host) = host.upgrade() else { return };
        host.groups.borrow_mut().tick(host.now());
        if ticks.is_multiple_of(LINK_UPDATE_TICKS) {
            host.groups.borrow_mut().drop_abandoned_requests();
            host.update_links();
            host.log_votes(&mut logged_votes);
        }
        if ticks.is_multiple_of(JOIN_REQUEST_TICKS) && host.wants_to_join() {
            host.links.request_join();
        }
        host.record_tick();
        host.work.notify_one();
    }
}

async fn drive(host: Weak<Host>) {
    loop {
        let work = {
            let Some(host) = host.upgrade() else { return };
            host.do_work();
            Rc::clone(&host.work)
        };
        work.notified().await;
    }
}

async fn receive_results(host: Weak<Host>, mut results: async_mpsc::UnboundedReceiver<JobResult>) {
    while let Some(result) = results.recv().await {
        let Some(host) = host.upgrade() else { return };
        match result {
            JobResult::Synced { journal_bytes } => host.synced(journal_bytes),
            JobResult::Failed { error } => {
                tracing::error!(%error, "writing to the data directory failed; the control process can't continue");
                host.failed.send_replace(Some(Arc::new(HostFailure::Write { source: error })));
            }
        }
    }
}

impl Host {
    /// Logs in how many groups this process is a voter, and the number of voters, if they have changed since the last
    /// log line.
    fn log_votes(&self, logged: &mut VoteCount) {
        let votes = self.groups.borrow().votes_of(self.node.identity);
        if std::mem::replace(logged, votes) != votes {
            tracing::info!(
                votes = votes.own,
                groups = votes.groups,
                voters = votes.voters,
                "the voters of the replicated groups have changed"
            );
        }
    }

    /// Passes messages of other replicas to their groups.
    pub(super) fn receive(&self, messages: Vec<GroupMessage>) {
        let now = self.now();
        for message in messages {
            if node_identity(message.message.to) == self.node.identity {
                self.contacts.borrow_mut().record(node_identity(message.message.from));
            }
            self.groups.borrow_mut().receive(now, message);
        }
        self.work.notify_one();
    }

    /// Carries out the pending work of all groups.
    fn do_work(&self) {
        let work = self.groups.borrow_mut().take_work();
        for (shard, write) in &work.writes {
            self.journal.borrow_mut().queue_write(*shard, write);
        }
        if let Some(UnreadableSnapshot { shard, error }) = work.unreadable_snapshot {
            tracing::error!(shard = shard.0, %error, "a snapshot received from another process can't be decoded");
            self.failed.send_replace(Some(Arc::new(HostFailure::Snapshot { source: error })));
        }
        for (identity, messages) in work.messages {
            self.links.send_messages(identity, messages);
        }
        self.checkpoint_when_due();
        self.journal.borrow_mut().submit();
        if work.has_applied | self.update_shard_statuses() {
            self.applied.send_modify(|changes| *changes += 1);
        }
    }

    /// Notifies the groups that a job is durable, and compacts their logs after a checkpoint.
    fn synced(&self, journal_bytes: u64) {
        let job = self.journal.borrow_mut().synced(journal_bytes);
        let mut groups = self.groups.borrow_mut();
        for (shard, sequence) in job.writes {
            groups.persisted(shard, sequence);
        }
        if job.has_checkpoint {
            groups.compact();
        }
        self.work.notify_one();
    }

    /// Queues a checkpoint when the journal, or the log of a group, has grown enough and none is queued or in flight.
    fn checkpoint_when_due(&self) {
        let mut journal = self.journal.borrow_mut();
        let mut groups = self.groups.borrow_mut();
        let is_due = groups.is_checkpoint_due() || journal.is_checkpoint_due();
        if journal.can_checkpoint() && is_due {
            journal.queue_checkpoint(groups.checkpoint());
        }
    }
}
