//! Merging of counts and turns, from writes of gatekeepers and from pages of other stores.

use super::{COUNT_RETENTION, PartitionPage, ProgramEntries, StoreState, TransferredTurn, duration_ms};
use crate::record::Record;
use opalrun_wire::{
    feed::partition_of,
    store::{CountEntry, Turn, merge_count_entries},
};
use std::time::Duration;

impl StoreState {
    /// Merges a page of another store. Returns the number of the last record that must be synced before the whole page is
    /// durable.
    pub fn merge_page(&mut self, page: PartitionPage, now: Duration) -> u64 {
        for ProgramEntries { program, entries } in page.counts {
            self.merge_count(&program, &entries, now);
        }
        for TransferredTurn { turn, remaining } in page.turns {
            self.retain_turn(turn, duration_ms(remaining), now);
        }
        self.next_record.saturating_sub(1)
    }

    /// Merges entries into a program's count; for each holder, the entry with the highest sequence number wins. Returns the
    /// number of the record that holds the result.
    pub(super) fn merge_count(&mut self, program: &str, entries: &[CountEntry], now: Duration) -> u64 {
        let partition = partition_of(program).position();
        let expires = now + COUNT_RETENTION;
        let known = self.partitions[partition].program(program);
        let known_record = known.map(|(number, _)| number);
        let mut merged = known.map(|(_, count)| count.entries.clone()).unwrap_or_default();
        let changed = merge_count_entries(&mut merged, entries);
        if let (false, Some(number)) = (changed, known_record) {
            self.partitions[partition].extend_program(program, expires);
            return number;
        }
        let number = self.append(&Record::Program { program: program.to_owned(), entries: merged.clone() });
        self.partitions[partition].put_program(number, program, merged, expires);
        number
    }

    /// Retains a turn for at least `keep_ms` milliseconds from `now`. Returns the number of the record that holds it.
    pub(super) fn retain_turn(&mut self, turn: Turn, keep_ms: u64, now: Duration) -> u64 {
        let partition = partition_of(&turn.id).position();
        let expires = now + Duration::from_millis(keep_ms);
        if let Some((number, _)) = self.partitions[partition].turn(&turn.id, now) {
            self.partitions[partition].extend_turn(&turn.id, expires);
            return number;
        }
        let number = self.append(&Record::Turn { turn: turn.clone(), keep_ms });
        self.partitions[partition].put_turn(number, turn, expires);
        number
    }
}
