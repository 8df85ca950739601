//! Runs the transfers of the partitions of which this store is an incomplete replica, a few at a time.

use crate::{
    server::StoreServer,
    state::{PartitionPage, RequiredTransfer},
    transfer::{NextPage, TransferPlan},
};
use opalrun_net::RpcClient;
use opalrun_wire::{
    feed::{PartitionReplicas, StoreMap},
    ids::{Epoch, Partition},
    store::{StoreReply, StoreRequest},
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet},
    time::sleep,
};

/// Maximum number of concurrent transfers. Each has one page of [`PAGE_BYTES`](crate::state::PAGE_BYTES) in flight, which
/// bounds the use of the link and of the disk.
const MAX_CONCURRENT_TRANSFERS: usize = 4;
/// Time-out of the request for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff after a failed request for a page, and while the store map lists too few sources.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// Kind of peer that transfers read from, as shown in log messages.
const SOURCE: &str = "source store";

/// A completed transfer of a partition, to be reported to control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompletedTransfer {
    /// Epoch of the store map in which the transfer began.
    pub epoch: Epoch,
    /// Number of the partition.
    pub partition: Partition,
}

/// Runs the transfers of partitions to this store. It owns their tasks: dropping it aborts them.
pub struct Replicator {
    server: Rc<StoreServer>,
    sources: Rc<SourceClients>,
    transfers: BTreeMap<Partition, Transfer>,
    tasks: JoinSet<FinishedTask>,
    completed: watch::Sender<Vec<CompletedTransfer>>,
}

/// Transfer of one partition.
struct Transfer {
    /// Epoch in which the replicas of the partition last changed when the transfer was queued.
    replicas_since: Epoch,
    progress: Progress,
}

enum Progress {
    /// Waits for one of the [`MAX_CONCURRENT_TRANSFERS`] running transfers to end.
    Queued,
    Running(AbortHandle),
    Completed {
        /// Epoch in which the transfer began.
        epoch: Epoch,
    },
}

/// Result of the task that runs a transfer.
struct FinishedTask {
    required: RequiredTransfer,
    /// Epoch in which the transfer began.
    epoch: Epoch,
}

impl Replicator {
    /// Creates a replicator without any transfers.
    #[must_use]
    pub fn new(server: Rc<StoreServer>) -> Self {
        Self {
            server,
            sources: Rc::default(),
            transfers: BTreeMap::new(),
            tasks: JoinSet::new(),
            completed: watch::Sender::new(Vec::new()),
        }
    }

    /// Subscribes to the list of completed transfers of partitions that the store map does not show as complete on this
    /// store yet. Subscribers are notified only when a transfer is added to the list.
    #[must_use]
    pub fn completed(&self) -> watch::Receiver<Vec<CompletedTransfer>> {
        self.completed.subscribe()
    }

    /// Runs the transfers that the newest store map requires; never returns. Must run inside a `tokio::task::LocalSet`.
    pub async fn run(mut self) {
        let server = self.server.clone();
        loop {
            let map_changed = server.map_changed();
            self.apply_map();
            tokio::pin!(map_changed);
            loop {
                tokio::select! {
                    () = &mut map_changed => break,
                    Some(ended) = self.tasks.join_next() => {
                        // An aborted task has no result.
                        if let Ok(finished) = ended {
                            self.finish(&finished);
                        }
                    }
                }
            }
        }
    }

    /// Aborts transfers that the store map no longer requires, and queues those that it newly requires.
    fn apply_map(&mut self) {
        let required = self.server.state().required_transfers();
        self.transfers.retain(|partition, transfer| {
            let key = RequiredTransfer { partition: *partition, replicas_since: transfer.replicas_since };
            let is_required = required.contains(&key);
            if let (false, Progress::Running(task)) = (is_required, &transfer.progress) {
                task.abort();
            }
            is_required
        });
        for RequiredTransfer { partition, replicas_since } in required {
            let queued = Transfer { replicas_since, progress: Progress::Queued };
            self.transfers.entry(partition).or_insert(queued);
        }
        // Subscribers need no notification when the list only shrinks.
        let completed = self.list_completed();
        self.completed.send_if_modified(|known| {
            *known = completed;
            false
        });
        self.start_queued();
    }

    fn start_queued(&mut self) {
        let running =
            self.transfers.values().filter(|transfer| matches!(transfer.progress, Progress::Running(_)));
        let free = MAX_CONCURRENT_TRANSFERS.saturating_sub(running.count());
        let queued =
            self.transfers.iter_mut().filter(|(_, transfer)| matches!(transfer.progress, Progress::Queued));
        for (partition, transfer) in queued.take(free) {
            let task = TransferTask {
                server: self.server.clone(),
                sources: self.sources.clone(),
                partition: *partition,
            };
            let required =
                RequiredTransfer { partition: *partition, replicas_since: transfer.replicas_since };
            let run = async move { FinishedTask { required, epoch: task.run().await } };
            transfer.progress = Progress::Running(self.tasks.spawn_local(run));
        }
    }

    fn finish(&mut self, finished: &FinishedTask) {
        let RequiredTransfer { partition, replicas_since } = finished.required;
        // A transfer that the last map made invalid may have ended before it was aborted.
        let current = self.transfers.get_mut(&partition);
        if let Some(transfer) = current.filter(|transfer| transfer.replicas_since == replicas_since) {
            transfer.progress = Progress::Completed { epoch: finished.epoch };
            self.completed.send_replace(self.list_completed());
        }
        self.start_queued();
    }

    fn list_completed(&self) -> Vec<CompletedTransfer> {
        let completed = self.transfers.iter().filter_map(|(partition, transfer)| match transfer.progress {
            Progress::Completed { epoch } => Some(CompletedTransfer { epoch, partition: *partition }),
            Progress::Queued | Progress::Running(_) => None,
        });
        completed.collect()
    }
}

/// RPC clients of the sources, one per address, shared by the transfers that read from the same source.
#[derive(Default)]
struct SourceClients {
    // Shared by the tasks of the transfers; no borrow is held across an await.
    by_address: RefCell<HashMap<SocketAddr, SourceClient>>,
}

type SourceClient = Rc<RpcClient<StoreRequest, StoreReply>>;

impl SourceClients {
    fn get(&self, address: SocketAddr) -> SourceClient {
        let mut clients = self.by_address.borrow_mut();
        clients.entry(address).or_insert_with(|| RpcClient::new(SOURCE, address)).clone()
    }
}

/// Task that transfers one partition.
struct TransferTask {
    server: Rc<StoreServer>,
    sources: Rc<SourceClients>,
    partition: Partition,
}

/// Result of merging a page.
struct MergedPage {
    /// Cursor of the source's next page; `None` after its last page.
    next: Option<u64>,
}

impl TransferTask {
    /// Transfers the partition; returns the epoch in which the transfer began.
    async fn run(self) -> Epoch {
        let (map, layout) = self.layout();
        let mut plan = TransferPlan::new(&layout, self.server.identity());
        while !plan.is_complete() {
            self.transfer_next_page(&mut plan, map.epoch).await;
        }
        map.epoch
    }

    /// Requests the next page from a source that the newest store map lists, and merges it.
    async fn transfer_next_page(&self, plan: &mut TransferPlan, epoch: Epoch) {
        let (map, layout) = self.layout();
        plan.set_sources(&layout, self.server.identity());
        let Some(page) = plan.next_page() else {
            // Too few sources: a later map may list more.
            sleep(RETRY_BACKOFF).await;
            return;
        };
        if let Some(merged) = self.fetch(&map, epoch, page).await {
            plan.record_page(page.store, merged.next);
        } else {
            plan.record_failure(page.store);
            sleep(RETRY_BACKOFF).await;
        }
    }

    fn layout(&self) -> (Rc<StoreMap>, PartitionReplicas) {
        let map = self.server.state().map().cloned().unwrap_or_default();
        let layout = map.partitions.get(self.partition.position()).cloned().unwrap_or_default();
        (map, layout)
    }

    /// Fetches a page and merges it; `None` if the request failed or the page could not be written to disk.
    async fn fetch(&self, map: &StoreMap, epoch: Epoch, page: NextPage) -> Option<MergedPage> {
        let source = map.stores.iter().find(|store| store.identity == page.store)?;
        let client = self.sources.get(source.address.parse().ok()?);
        let partition = self.partition;
        let request = StoreRequest::CopyPartition { epoch, partition, cursor: page.cursor };
        match client.call(&request, PAGE_TIMEOUT).await {
            Ok(StoreReply::Page { counts, turns, next, is_complete: true }) => {
                let page = PartitionPage::from_wire(counts, turns);
                self.server.merge_page(page).await.then_some(MergedPage { next })
            }
            _ => None,
        }
    }
}
