//! The connection of one subscriber: sends it the changes of its shards and processes its reports.

use super::subscribers::ConnectionId;
use crate::{
    configuration_shard::{ConfigurationCommand, ConfigurationOutcome},
    process::{ControlProcess, Unavailable},
    shards,
    store_map::{StoreCommand, StoreOutcome},
};
use opalrun_net::{Connection, FrameReader, FrameWriter, NetError};
use opalrun_wire::{
    feed::{FeedRequest, FeedUpdate, Position, StoreNode, Subscriber},
    ids::{FeedOffset, NodeIdentity, Shard},
};
use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// Interval at which a subscriber is notified that the state is fresh.
const FRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the suspected workers are sent to a gatekeeper again; it drops suspects that are not renewed.
const SUSPECTS_INTERVAL: Duration = Duration::from_secs(1);
/// Time-out for the subscription request on a new connection.
const SUBSCRIBE_TIMEOUT: Duration = Duration::from_secs(3);
/// A subscriber that sends nothing for this long is considered gone.
const SUBSCRIBER_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Backoff before another attempt to commit a store's report.
const REPORT_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum number of attempts to commit a store's report.
const MAX_REPORT_ATTEMPTS: usize = 20;

/// Serves a subscriber until its connection ends.
pub(super) async fn serve(process: Rc<ControlProcess>, connection: Connection) {
    let (mut reader, writer) = connection.split();
    let Ok(Ok(Some(first))) = timeout(SUBSCRIBE_TIMEOUT, reader.next::<FeedRequest>()).await else { return };
    let FeedRequest::Subscribe { subscriber, positions } = first else { return };
    let id = process.subscribers().borrow_mut().next_connection();
    let mut session = SubscriberSession::new(process, writer, id, subscriber, &positions);
    session.register();
    if let Err(error) = session.run(&mut reader).await {
        tracing::debug!(%error, "a subscriber's connection failed");
    }
}

/// The suspected workers last sent to a gatekeeper.
#[derive(Default)]
struct SentSuspects {
    workers: Vec<String>,
    at: Duration,
}

impl SentSuspects {
    /// Whether these suspects have to be sent: they have changed, or a renewal is due.
    fn is_due(&self, suspects: &[String], now: Duration) -> bool {
        let is_renewal_due = !suspects.is_empty() && now >= self.at + SUSPECTS_INTERVAL;
        suspects != self.workers || is_renewal_due
    }
}

/// The session of a connected subscriber, which counts as a subscriber until this is dropped.
struct SubscriberSession {
    process: Rc<ControlProcess>,
    writer: FrameWriter,
    id: ConnectionId,
    subscriber: Subscriber,
    /// Offset up to which the subscriber has each subscribed shard; `None` if it has no state of the shard.
    offsets: BTreeMap<Shard, Option<FeedOffset>>,
    sent_suspects: SentSuspects,
    /// Whether the state was fresh at the last check, which the subscriber was notified of.
    was_fresh: bool,
    /// A join request of the store is being committed; shared with the task that commits it.
    is_join_in_flight: Rc<Cell<bool>>,
    /// The store has requested its shutdown on this connection.
    is_shutdown_requested: Cell<bool>,
}

impl Drop for SubscriberSession {
    fn drop(&mut self) {
        self.process.subscribers().borrow_mut().remove(self.id);
    }
}

impl SubscriberSession {
    fn new(
        process: Rc<ControlProcess>,
        writer: FrameWriter,
        id: ConnectionId,
        subscriber: Subscriber,
        positions: &[Position],
    ) -> Self {
        let known = positions.iter().filter(|position| shards::exists(position.shard));
        let offsets = known
            .map(|position| (position.shard, (position.offset > FeedOffset(0)).then_some(position.offset)))
            .collect();
        Self {
            process,
            writer,
            id,
            subscriber,
            offsets,
            sent_suspects: SentSuspects::default(),
            was_fresh: false,
            is_join_in_flight: Rc::default(),
            is_shutdown_requested: Cell::new(false),
        }
    }

    fn register(&self) {
        let now = self.process.now();
        let mut subscribers = self.process.subscribers().borrow_mut();
        match &self.subscriber {
            Subscriber::Gatekeeper { node_name, .. } => {
                subscribers.add_gatekeeper(self.id, node_name.clone(), now);
            }
            Subscriber::Store { node, .. } => subscribers.add_store(self.id, node.identity, now),
            Subscriber::Proxy => {}
        }
        drop(subscribers);
        self.join_store();
    }

    async fn run(&mut self, reader: &mut FrameReader) -> Result<(), NetError> {
        let mut changed = self.process.shards().changed();
        let mut ticks = interval(FRESH_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut last_request_at = self.process.now();
        loop {
            tokio::select! {
                request = reader.next::<FeedRequest>() => {
                    let Some(request) = request? else { return Ok(()) };
                    last_request_at = self.process.now();
                    self.handle(request);
                }
                _ = changed.changed() => {
                    if self.process.is_stopping() {
                        return self.writer.send(&FeedUpdate::Unavailable);
                    }
                    self.send_updates()?;
                    if !self.was_fresh {
                        // After a restart of all processes, subscribers wait for the first notification of fresh state.
                        self.send_fresh()?;
                    }
                }
                _ = ticks.tick() => {
                    if self.process.now().saturating_sub(last_request_at) > SUBSCRIBER_IDLE_TIMEOUT {
                        return Ok(());
                    }
                    self.send_updates()?;
                    self.send_fresh()?;
                    self.send_suspects()?;
                }
                () = self.writer.closed() => return Ok(()),
            }
        }
    }

    fn send_updates(&mut self) -> Result<(), NetError> {
        for (shard, known) in &mut self.offsets {
            let Some(update) = self.process.shards().update_since(*shard, *known) else { continue };
            let (FeedUpdate::Snapshot { offset, .. } | FeedUpdate::Changes { offset, .. }) = &update else {
                continue;
            };
            *known = Some(*offset);
            self.writer.send(&update)?;
        }
        Ok(())
    }

    fn send_fresh(&mut self) -> Result<(), NetError> {
        self.was_fresh = self.process.is_fresh();
        if !self.was_fresh {
            return Ok(());
        }
        self.writer.send(&FeedUpdate::Fresh { gatekeepers: self.process.gatekeeper_count().total() })
    }

    /// Sends the suspected workers to a gatekeeper when they have changed, and otherwise at regular intervals.
    fn send_suspects(&mut self) -> Result<(), NetError> {
        if !matches!(self.subscriber, Subscriber::Gatekeeper { .. }) {
            return Ok(());
        }
        let now = self.process.now();
        let suspects = self.process.worker_health().suspects();
        if !self.sent_suspects.is_due(&suspects, now) {
            return Ok(());
        }
        self.sent_suspects = SentSuspects { workers: suspects.clone(), at: now };
        self.writer.send(&FeedUpdate::Suspects(suspects))
    }

    fn handle(&self, request: FeedRequest) {
        match request {
            FeedRequest::Heartbeat { generation, .. } => {
                let now = self.process.now();
                self.process.subscribers().borrow_mut().record_heartbeat(self.id, generation, now);
                self.join_store();
            }
            FeedRequest::WorkerFailures(failures) => {
                if let Subscriber::Gatekeeper { node_name, .. } = &self.subscriber {
                    self.process.worker_health().record_failures(node_name, failures);
                }
            }
            FeedRequest::ReplicasComplete { store, epoch, partitions } => {
                let command = StoreCommand::ReplicasComplete { store, epoch, partitions };
                tokio::task::spawn_local(commit_report(Rc::clone(&self.process), command));
            }
            FeedRequest::ShutdownRequested { store } => {
                self.is_shutdown_requested.set(true);
                let writer = self.writer.clone();
                tokio::task::spawn_local(answer_shutdown_request(Rc::clone(&self.process), store, writer));
            }
            FeedRequest::Subscribe { .. } => {}
        }
    }

    /// Commits a join request if the subscriber is a store that is not registered with these properties, or is
    /// registered as shutting down.
    fn join_store(&self) {
        let Subscriber::Store { node, .. } = &self.subscriber else { return };
        if self.is_join_in_flight.get() || self.is_shutdown_requested.get() || self.is_registered(node) {
            return;
        }
        self.is_join_in_flight.set(true);
        let process = Rc::clone(&self.process);
        let in_flight = Rc::clone(&self.is_join_in_flight);
        let command = ConfigurationCommand::Store(StoreCommand::Join { node: node.clone() });
        tokio::task::spawn_local(async move {
            let _ = process.client().commit_configuration(&command).await;
            in_flight.set(false);
        });
    }

    fn is_registered(&self, node: &StoreNode) -> bool {
        self.process.shards().with_configuration(|shard| {
            shard.stores().store(node.identity).is_some_and(|entry| {
                let known = &entry.node;
                let is_same = known.address == node.address
                    && known.node_name == node.node_name
                    && known.zone == node.zone;
                is_same && !entry.is_shutting_down
            })
        })
    }
}

/// Answers the shutdown request of a store: whether its replicas are moved to other stores first.
async fn answer_shutdown_request(process: Rc<ControlProcess>, store: NodeIdentity, writer: FrameWriter) {
    let command = ConfigurationCommand::Store(StoreCommand::RequestShutdown { identity: store });
    let outcome = process.client().commit_configuration(&command).await;
    let is_moving = outcome == Ok(ConfigurationOutcome::Store(StoreOutcome::Done));
    let _ = writer.send(&FeedUpdate::ShutdownDecision { is_moving });
}

/// Commits the report of a store, with at most [`MAX_REPORT_ATTEMPTS`] attempts.
async fn commit_report(process: Rc<ControlProcess>, command: StoreCommand) {
    let command = ConfigurationCommand::Store(command);
    for _ in 0..MAX_REPORT_ATTEMPTS {
        match process.client().commit_configuration(&command).await {
            Ok(_) => return,
            Err(Unavailable) => sleep(REPORT_BACKOFF).await,
        }
    }
}
