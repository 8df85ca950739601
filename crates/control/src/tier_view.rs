//! State of the whole tier as one control process sees it, for operators and monitoring programs. Where a field has
//! another name in the JSON, it is the name in the operators' documentation.

use crate::{
    host::members::node_identity,
    process::ControlProcess,
    shards::{all_shards, session_shards},
    store_map::{Liveness, StoreEntry, StoreTable},
};
use facet::Facet;
use opalrun_replication::{LogIndex, Term};
use opalrun_wire::{
    feed::{ControlNode, PartitionReplicas, Worker, WorkerState},
    ids::{Epoch, Generation, NodeIdentity, Partition, Shard},
};
use std::rc::Rc;

/// State of the tier as one control process sees it.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct TierView {
    /// Identity of the control process that produced this view.
    #[facet(rename = "told_by")]
    pub reported_by: NodeIdentity,
    /// Whether that process is in contact with the owner of every group, so that the view is up to date.
    #[facet(rename = "fresh")]
    pub is_fresh: bool,
    /// Generation of the configuration; 0 before the first one.
    pub generation: Generation,
    /// Epoch of the store map; 0 before the first map.
    pub store_epoch: Epoch,
    /// Replicated groups of the control processes.
    pub groups: Vec<GroupView>,
    /// Control processes in the directory.
    pub control: Vec<ControlView>,
    /// Gatekeepers that subscribe to the change feed of any control process that answered.
    pub gatekeepers: Vec<GatekeeperView>,
    /// Sessions of workers.
    pub workers: Vec<WorkerView>,
    /// Stores that have joined.
    pub stores: Vec<StoreView>,
    /// Partitions with at least one replica that is catching up.
    #[facet(rename = "partitions_not_whole")]
    pub incomplete_partitions: Vec<PartitionView>,
}

/// State of one replicated group.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct GroupView {
    /// Number of the shard: 0 holds the configuration, the others hold worker sessions.
    pub shard: Shard,
    /// Identity of the shard's owner, the leader of the group, if known.
    pub owner: Option<NodeIdentity>,
    /// Current Raft term of the group.
    pub term: Term,
    /// Index of the last log entry applied at the reporting process.
    pub applied: LogIndex,
    /// Identities of the group's voters.
    pub voters: Vec<NodeIdentity>,
    /// Identities of the group's learners: members without a vote that are catching up.
    pub learners: Vec<NodeIdentity>,
}

/// State of a control process.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct ControlView {
    /// Identity of the control process.
    pub identity: NodeIdentity,
    /// Name of its machine.
    pub node_name: String,
    /// Zone of its machine.
    pub zone: String,
    /// Address of its HTTP interface for workers and the operator.
    pub control_address: String,
    /// Whether it answered the call that collected this view.
    #[facet(rename = "answers")]
    pub is_reachable: bool,
}

/// State of a gatekeeper that subscribes to the change feed.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct GatekeeperView {
    /// Name of its machine.
    pub node_name: String,
    /// Generation of the configuration in force at the gatekeeper; 0 for none.
    pub generation: Generation,
    /// Identity of the control process at which it subscribes.
    pub subscribed_at: NodeIdentity,
}

/// Session of a worker.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct WorkerView {
    /// Id of the worker.
    pub id: String,
    /// Service that the worker belongs to.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: String,
    /// Zone of its machine.
    pub zone: String,
    /// Generation of its software.
    pub generation: String,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// Whether it is draining: it completes requests in flight and accepts no new ones.
    #[facet(rename = "draining")]
    pub is_draining: bool,
}

/// State of a store.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct StoreView {
    /// Identity of the store.
    pub identity: NodeIdentity,
    /// Name of its machine.
    pub node_name: String,
    /// Zone of its machine.
    pub zone: String,
    /// Address at which gatekeepers reach the store.
    pub address: String,
    /// `Active`, `Retiring` or `Retired`.
    pub state: String,
    /// Whether the failure detector considers the store live.
    #[facet(rename = "heard")]
    pub is_live: bool,
    /// Number of partition replicas placed on the store.
    pub replicas: u64,
    /// Number of those replicas that are complete.
    #[facet(rename = "whole")]
    pub complete_replicas: u64,
}

/// Placement of a partition.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct PartitionView {
    /// Number of the partition.
    pub partition: Partition,
    /// Identities of the stores with a complete replica.
    #[facet(rename = "whole")]
    pub complete: Vec<NodeIdentity>,
    /// Identities of the stores whose replica is catching up.
    #[facet(rename = "copying")]
    pub catching_up: Vec<NodeIdentity>,
    /// Identities of stores with a former replica that is retained as a source for catching up.
    pub sources: Vec<NodeIdentity>,
}

/// Builds the view from this process's applied state and from all control processes' reports of their subscribers.
pub async fn view(process: &Rc<ControlProcess>) -> TierView {
    let reports = process.subscriber_reports().collect().await;
    let shards = process.shards();
    let is_reachable = |identity: NodeIdentity| reports.iter().any(|report| report.from == identity);
    let (generation, control, store_epoch, stores, incomplete_partitions) =
        shards.with_configuration(|shard| {
            let nodes = shard.directory().nodes();
            let control = nodes.iter().map(|node| control_view(node, is_reachable(node.identity))).collect();
            let table = shard.stores();
            (shard.generation(), control, table.map().epoch, store_views(table), incomplete_partitions(table))
        });
    let mut gatekeepers: Vec<GatekeeperView> = Vec::new();
    for report in &reports {
        let subscribed = report.gatekeepers.iter().map(|gatekeeper| GatekeeperView {
            node_name: gatekeeper.node_name.clone(),
            generation: gatekeeper.generation,
            subscribed_at: report.from,
        });
        gatekeepers.extend(subscribed);
    }
    gatekeepers.sort_by(|a, b| a.node_name.cmp(&b.node_name));
    let workers = session_shards().filter_map(|shard| {
        shards
            .with_sessions(shard, |sessions| sessions.workers().values().map(worker_view).collect::<Vec<_>>())
    });
    TierView {
        reported_by: process.host().identity(),
        is_fresh: process.is_fresh(),
        generation,
        store_epoch,
        groups: all_shards().map(|shard| group_view(process, shard)).collect(),
        control,
        gatekeepers,
        workers: workers.flatten().collect(),
        stores,
        incomplete_partitions,
    }
}

fn group_view(process: &ControlProcess, shard: Shard) -> GroupView {
    let host = process.host();
    let members = host.members(shard);
    let identities = |voter: bool| {
        let of_kind = members.iter().filter(|member| member.is_voter == voter);
        of_kind.map(|member| node_identity(member.identity)).collect()
    };
    GroupView {
        shard,
        owner: host.owner(shard),
        term: host.term(shard),
        applied: host.applied(shard),
        voters: identities(true),
        learners: identities(false),
    }
}

fn control_view(node: &ControlNode, is_reachable: bool) -> ControlView {
    ControlView {
        identity: node.identity,
        node_name: node.node_name.clone(),
        zone: node.zone.clone(),
        control_address: node.control_address.clone(),
        is_reachable,
    }
}

fn worker_view(worker: &Worker) -> WorkerView {
    WorkerView {
        id: worker.id.clone(),
        service: worker.service.clone(),
        address: worker.address.clone(),
        zone: worker.zone.clone(),
        generation: worker.generation.clone(),
        capacity: worker.capacity,
        is_draining: worker.state == WorkerState::Draining,
    }
}

fn store_views(table: &StoreTable) -> Vec<StoreView> {
    table.stores().iter().map(|entry| store_view(entry, &table.map().partitions)).collect()
}

fn store_view(entry: &StoreEntry, partitions: &[PartitionReplicas]) -> StoreView {
    let node = &entry.node;
    let replicas = partitions.iter().flat_map(|partition| &partition.replicas);
    let own: Vec<bool> = replicas
        .filter(|replica| replica.store == node.identity)
        .map(|replica| replica.is_complete)
        .collect();
    StoreView {
        identity: node.identity,
        node_name: node.node_name.clone(),
        zone: node.zone.clone(),
        address: node.address.clone(),
        state: format!("{:?}", node.state),
        is_live: entry.liveness == Liveness::Live,
        replicas: own.len() as u64,
        complete_replicas: own.iter().filter(|is_complete| **is_complete).count() as u64,
    }
}

fn incomplete_partitions(table: &StoreTable) -> Vec<PartitionView> {
    let numbered = (0..).zip(&table.map().partitions);
    let incomplete =
        numbered.filter(|(_, partition)| partition.replicas.iter().any(|replica| !replica.is_complete));
    incomplete
        .map(|(number, partition)| {
            let stores = |is_complete: bool| {
                let of_kind = partition.replicas.iter().filter(|replica| replica.is_complete == is_complete);
                of_kind.map(|replica| replica.store).collect()
            };
            PartitionView {
                partition: Partition(number),
                complete: stores(true),
                catching_up: stores(false),
                sources: partition.sources.clone(),
            }
        })
        .collect()
}
