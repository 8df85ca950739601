//! Formats the view of a tier as text tables.

use crate::table::{Table, or_dash, yes_no};
use opalrun_control::tier_view::TierView;
use opalrun_wire::ids::NodeIdentity;
use std::collections::BTreeMap;

/// Formats the complete view.
pub fn tier(view: &TierView) -> String {
    let names = names(view);
    let mut text = format!(
        "reported by {}{}\nconfiguration: generation {}\nstore map: epoch {}\n",
        name(&names, view.reported_by),
        if view.is_fresh { "" } else { ", which has no contact with a majority: this view may be outdated" },
        view.generation,
        view.store_epoch,
    );
    for section in [
        control(view),
        groups(view, &names),
        gatekeepers(view, &names),
        workers(view),
        stores(view),
        incomplete_partitions(view, &names),
    ] {
        text.push('\n');
        text.push_str(&section);
    }
    text
}

/// Returns the machine names of control processes and stores, by identity.
fn names(view: &TierView) -> BTreeMap<NodeIdentity, String> {
    let control = view.control.iter().map(|node| (node.identity, node.node_name.clone()));
    let stores = view.stores.iter().map(|store| (store.identity, store.node_name.clone()));
    control.chain(stores).collect()
}

/// Returns the machine name of a process, or its identity if the name is unknown.
fn name(names: &BTreeMap<NodeIdentity, String>, identity: NodeIdentity) -> String {
    names.get(&identity).cloned().unwrap_or_else(|| identity.to_string())
}

fn list(names: &BTreeMap<NodeIdentity, String>, identities: &[NodeIdentity]) -> String {
    if identities.is_empty() {
        return "-".to_owned();
    }
    identities.iter().map(|identity| name(names, *identity)).collect::<Vec<_>>().join(" ")
}

fn control(view: &TierView) -> String {
    let mut table = Table::new("control processes", &["machine", "zone", "address", "identity", "reachable"]);
    for node in &view.control {
        table.row([
            node.node_name.clone(),
            node.zone.clone(),
            node.control_address.clone(),
            node.identity.to_string(),
            yes_no(node.is_reachable),
        ]);
    }
    table.text()
}

fn groups(view: &TierView, names: &BTreeMap<NodeIdentity, String>) -> String {
    let mut table = Table::new("groups", &["shard", "owner", "term", "applied", "voters", "learners"]);
    for group in &view.groups {
        table.row([
            group.shard.to_string(),
            or_dash(group.owner.map(|owner| name(names, owner))),
            group.term.to_string(),
            group.applied.to_string(),
            list(names, &group.voters),
            list(names, &group.learners),
        ]);
    }
    table.text()
}

fn gatekeepers(view: &TierView, names: &BTreeMap<NodeIdentity, String>) -> String {
    let mut table = Table::new("gatekeepers", &["machine", "generation in force", "subscribed at"]);
    for gatekeeper in &view.gatekeepers {
        let generation = if gatekeeper.generation == view.generation {
            gatekeeper.generation.to_string()
        } else {
            format!("{} (behind)", gatekeeper.generation)
        };
        table.row([gatekeeper.node_name.clone(), generation, name(names, gatekeeper.subscribed_at)]);
    }
    table.text()
}

fn workers(view: &TierView) -> String {
    let columns = ["service", "id", "address", "zone", "software", "slots", "draining"];
    let mut table = Table::new("workers", &columns);
    for worker in &view.workers {
        table.row([
            worker.service.clone(),
            worker.id.clone(),
            worker.address.clone(),
            worker.zone.clone(),
            worker.generation.clone(),
            worker.capacity.to_string(),
            yes_no(worker.is_draining),
        ]);
    }
    table.text()
}

fn stores(view: &TierView) -> String {
    let columns = ["machine", "zone", "address", "identity", "state", "live", "replicas", "complete"];
    let mut table = Table::new("stores", &columns);
    for store in &view.stores {
        table.row([
            store.node_name.clone(),
            store.zone.clone(),
            store.address.clone(),
            store.identity.to_string(),
            store.state.clone(),
            yes_no(store.is_live),
            store.replicas.to_string(),
            store.complete_replicas.to_string(),
        ]);
    }
    table.text()
}

fn incomplete_partitions(view: &TierView, names: &BTreeMap<NodeIdentity, String>) -> String {
    let columns = ["partition", "complete at", "catching up at", "sources"];
    let mut table = Table::new("incomplete partitions", &columns);
    for partition in &view.incomplete_partitions {
        table.row([
            partition.partition.to_string(),
            list(names, &partition.complete),
            list(names, &partition.catching_up),
            list(names, &partition.sources),
        ]);
    }
    table.text()
}
