//! The complete tier as a control process sees it, for people and programs that watch it. Where a field has another name
//! in the JSON, that is the one of the operators' pages.

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

/// The tier as one control process sees it.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct TierView {
    /// The identity of the control process that reports this.
    #[facet(rename = "told_by")]
    pub reported_by: NodeIdentity,
    /// It has contact with the owner of every group, so what it reports is fresh.
    #[facet(rename = "fresh")]
    pub is_fresh: bool,
    /// The generation of the configuration; 0 before the first.
    pub generation: Generation,
    /// The epoch of the store map; 0 before the first.
    pub store_epoch: Epoch,
    /// The replicated groups of control.
    pub groups: Vec<GroupView>,
    /// The control processes.
    pub control: Vec<ControlView>,
    /// The gatekeepers that subscribe to the change feed.
    pub gatekeepers: Vec<GatekeeperView>,
    /// The sessions of workers.
    pub workers: Vec<WorkerView>,
    /// The stores.
    pub stores: Vec<StoreView>,
    /// Partitions with a replica that is catching up.
    #[facet(rename = "partitions_not_whole")]
    pub incomplete_partitions: Vec<PartitionView>,
}

/// One replicated group.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct GroupView {
    /// The shard's number; 0 holds the configuration, the others sessions.
    pub shard: Shard,
    /// The identity of its owner, if known.
    pub owner: Option<NodeIdentity>,
    /// The term.
    pub term: Term,
    /// The last entry that is applied here.
    pub applied: LogIndex,
    /// Identities of its voters.
    pub voters: Vec<NodeIdentity>,
    /// Identities of members without a vote, which are catching up.
    pub learners: Vec<NodeIdentity>,
}

/// A control process.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct ControlView {
    /// Its identity.
    pub identity: NodeIdentity,
    /// Its machine's name.
    pub node_name: String,
    /// Its zone.
    pub zone: String,
    /// Where workers and the operator reach it.
    pub control_address: String,
    /// It has answered just now.
    #[facet(rename = "answers")]
    pub is_reachable: bool,
}

/// A gatekeeper.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct GatekeeperView {
    /// Its machine's name.
    pub node_name: String,
    /// The generation in force there; 0 for none.
    pub generation: Generation,
    /// The identity of the control process where it subscribes.
    pub subscribed_at: NodeIdentity,
}

/// A worker's session.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct WorkerView {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it accepts requests.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The generation of its software.
    pub generation: String,
    /// Requests that it works on at a time.
    pub capacity: u32,
    /// It completes its requests and accepts no new ones.
    #[facet(rename = "draining")]
    pub is_draining: bool,
}

/// A store.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct StoreView {
    /// Its identity.
    pub identity: NodeIdentity,
    /// Its machine's name.
    pub node_name: String,
    /// Its zone.
    pub zone: String,
    /// Where gatekeepers reach it.
    pub address: String,
    /// Active, Retiring or Retired.
    pub state: String,
    /// It was heard recently.
    #[facet(rename = "heard")]
    pub is_live: bool,
    /// Number of its replicas.
    pub replicas: u64,
    /// How many of them are complete.
    #[facet(rename = "whole")]
    pub complete_replicas: u64,
}

/// The placement of a partition.
#[derive(Facet, Debug, Clone, PartialEq)]
pub struct PartitionView {
    /// Its number.
    pub partition: Partition,
    /// Identities of the stores with a complete replica.
    #[facet(rename = "whole")]
    pub complete: Vec<NodeIdentity>,
    /// Identities of the stores that are catching up.
    #[facet(rename = "copying")]
    pub catching_up: Vec<NodeIdentity>,
    /// Identities of former replicas that are kept to catch up from.
    pub sources: Vec<NodeIdentity>,
}

/// What a control process knows, and what the others report of their subscribers.
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
