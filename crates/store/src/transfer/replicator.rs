//! Fetches the partitions of which this store is an incomplete replica, a few at a time.

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

/// Partitions that are transferred at a time. Each has one page of [`PAGE_BYTES`](crate::state::PAGE_BYTES) in flight,
/// so transfers take a bounded part of the link and the disk.
const MAX_CONCURRENT_TRANSFERS: usize = 4;
/// Time-out of the request for a page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff after a page that did not come, and while too few sources are left.
const RETRY_BACKOFF: Duration = Duration::from_millis(50);

/// A store that is read from, as the log names it.
const SOURCE: &str = "source store";

/// A partition that is complete here, to be reported to control.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CompletedTransfer {
    /// The epoch of the store map in which the transfer began.
    pub epoch: Epoch,
    /// The partition.
    pub partition: Partition,
}

/// The transfers to a store. It owns their tasks: dropping it ends them.
pub struct Replicator {
    server: Rc<StoreServer>,
    sources: Rc<SourceClients>,
    transfers: BTreeMap<Partition, Transfer>,
    tasks: JoinSet<FinishedTask>,
    completed: watch::Sender<Vec<CompletedTransfer>>,
}

/// The transfer of one partition.
struct Transfer {
    replicas_since: Epoch,
    progress: Progress,
}

enum Progress {
    /// Not started: enough others are running.
    Queued,
    Running(AbortHandle),
    Completed {
        epoch: Epoch,
    },
}

/// What the task of a transfer ends with.
struct FinishedTask {
    required: RequiredTransfer,
    epoch: Epoch,
}

impl Replicator {
    /// A replicator that has transferred nothing yet.
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

    /// Follows the partitions that are complete here and that the map does not call complete yet. A change is notified
    /// where one was added.
    #[must_use]
    pub fn completed(&self) -> watch::Receiver<Vec<CompletedTransfer>> {
        self.completed.subscribe()
    }

    /// Transfers what each store map requires, for as long as it is polled. Must run inside a `tokio::task::LocalSet`.
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

    /// Begins and ends transfers as the store's map requires.
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
        // Nobody waits to hear that there are fewer.
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
        // A transfer for replicas of before the last map may have ended before it could be aborted.
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

/// One client a source, shared by the transfers that read from it.
#[derive(Default)]
struct SourceClients {
    // Shared by the tasks of the transfers; no borrow lasts over an await.
    by_address: RefCell<HashMap<SocketAddr, SourceClient>>,
}

type SourceClient = Rc<RpcClient<StoreRequest, StoreReply>>;

impl SourceClients {
    fn get(&self, address: SocketAddr) -> SourceClient {
        let mut clients = self.by_address.borrow_mut();
        clients.entry(address).or_insert_with(|| RpcClient::new(SOURCE, address)).clone()
    }
}

/// The task that transfers one partition.
struct TransferTask {
    server: Rc<StoreServer>,
    sources: Rc<SourceClients>,
    partition: Partition,
}

/// A page that was merged.
struct MergedPage {
    /// Where the source's next page begins; `None` after its last.
    next: Option<u64>,
}

impl TransferTask {
    /// Transfers the partition; returns the epoch in which that began.
    async fn run(self) -> Epoch {
        let (map, layout) = self.layout();
        let mut plan = TransferPlan::new(&layout, self.server.identity());
        while !plan.is_complete() {
            self.transfer_next_page(&mut plan, map.epoch).await;
        }
        map.epoch
    }

    /// Requests the next page from the sources that the newest map names, and merges it.
    async fn transfer_next_page(&self, plan: &mut TransferPlan, epoch: Epoch) {
        let (map, layout) = self.layout();
        plan.set_sources(&layout, self.server.identity());
        let Some(page) = plan.next_page() else {
            // Too few sources are left: the map may name others later.
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

    /// Fetches a page and merges it; `None` where it did not come or could not be written.
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
