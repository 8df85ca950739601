//! Formats the result of an inspection as text.

use super::Report;
use crate::table::{Table, or_dash, yes_no};
use opalrun_control::inspect::{ControlState, ShardState};
use opalrun_store::inspect::StoreOnDisk;

/// Formats the complete report.
pub fn report(report: &Report) -> String {
    let control = report.control.as_ref().map(control);
    let store = report.store.as_ref().map(store);
    control.into_iter().chain(store).chain([repairs(report)]).collect()
}

/// Formats the repairs that the process would make at its next start, one per line.
pub fn repairs(report: &Report) -> String {
    let lines = report.repairs_at_start.iter().flat_map(|repair| ["at the next start: ", repair, "\n"]);
    lines.collect()
}

fn control(state: &ControlState) -> String {
    let mut text = format!(
        "control process {}\n  first members: {}\n  journal: {} bytes\n  configuration: generation {} in the \
         snapshot, {} with the log\n  store map: epoch {}\n",
        state.identity,
        state.first_members,
        state.journal_bytes,
        state.snapshot_generation,
        state.log_generation,
        state.store_epoch,
    );
    text.push_str(&shards(&state.shards));
    text.push_str(&members(&state.shards));
    text
}

fn shards(shards: &[ShardState]) -> String {
    let columns =
        ["shard", "term", "vote", "snapshot", "bytes", "entries", "bytes", "last", "its term", "workers"];
    let mut table = Table::new("groups", &columns);
    for shard in shards {
        table.row([
            shard.shard.to_string(),
            shard.term.to_string(),
            or_dash(shard.vote),
            shard.snapshot_index.to_string(),
            shard.snapshot_bytes.to_string(),
            shard.entries.to_string(),
            shard.entry_bytes.to_string(),
            shard.last_index.to_string(),
            shard.last_term.to_string(),
            shard.workers.to_string(),
        ]);
    }
    table.text()
}

fn members(shards: &[ShardState]) -> String {
    let mut table = Table::new("members", &["shard", "identity", "address", "votes"]);
    for shard in shards {
        for member in &shard.members {
            table.row([
                shard.shard.to_string(),
                member.identity.to_string(),
                member.address.clone(),
                yes_no(member.voter),
            ]);
        }
    }
    table.text()
}

fn store(state: &StoreOnDisk) -> String {
    let mut text = format!(
        "store {}\n  created at the first start of the system: {}\n  store map: epoch {}\n  log: {} bytes, records {} \
         to before {}\n  live data: about {} bytes\n",
        state.identity,
        yes_no(state.bootstrap),
        state.epoch,
        state.log_bytes,
        state.first_record,
        state.next_record,
        state.live_bytes,
    );
    let mut table = Table::new("partitions", &["partition", "programs", "turns", "bytes"]);
    for partition in &state.partitions {
        table.row([
            partition.partition.to_string(),
            partition.programs.to_string(),
            partition.turns.to_string(),
            partition.bytes.to_string(),
        ]);
    }
    text.push_str(&table.text());
    text
}
