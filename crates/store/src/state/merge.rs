//! Merging of counts and turns, from writes of gatekeepers and from pages of other stores.

use super::{COUNT_RETENTION, Item, PartitionPage, ProgramEntries, StoreState, TransferredTurn, duration_ms};
use crate::record::Record;
use opalrun_wire::{
    feed::partition_of,
    ids::Partition,
    store::{CountEntry, Turn, keep_ms, merge_count_entries},
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
            self.retain_turn(turn, remaining, now);
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

    /// Retains a turn for at least `retention` from `now`. Returns the number of the record that holds it.
    pub(super) fn retain_turn(&mut self, turn: Turn, retention: Duration, now: Duration) -> u64 {
        let partition = partition_of(&turn.id);
        if self.partitions[partition.position()].turn(&turn.id, now).is_some()
            && let Some(number) = self.extend_turn(partition, &turn.id, retention, now)
        {
            return number;
        }
        let stored_retention = retention.max(full_retention(&turn));
        self.write_turn(turn, now + retention, stored_retention)
    }

    /// Retains a turn that is in memory for at least `retention` from `now`. Returns the number of the record that holds it;
    /// `None` if the partition has no such turn.
    ///
    /// # Durability
    /// After a restart a turn is retained for the time that its record states, counted from then on. A record that states
    /// at least `retention` therefore covers the extension, whenever the restart comes, and nothing has to be written.
    pub(super) fn extend_turn(
        &mut self,
        partition: Partition,
        id: &str,
        retention: Duration,
        now: Duration,
    ) -> Option<u64> {
        let data = &mut self.partitions[partition.position()];
        let record = data.turn_record(id)?;
        data.extend_turn(id, now + retention);
        if record.retention >= retention {
            return Some(record.number);
        }
        match data.remove(record.number) {
            Some(Item::Turn(retained)) => Some(self.write_turn(retained.turn, retained.expires, retention)),
            _ => None,
        }
    }

    /// Writes a turn to the log, with the time for which it is retained after a restart. Returns the number of the record.
    ///
    /// That time is never shortened to what is left of the turn's retention: a later extension relies on the record.
    pub(super) fn write_turn(&mut self, turn: Turn, expires: Duration, stored_retention: Duration) -> u64 {
        let partition = partition_of(&turn.id).position();
        let keep_ms = duration_ms(stored_retention);
        let number = self.append(&Record::Turn { turn: turn.clone(), keep_ms });
        self.partitions[partition].put_turn(number, turn, expires, stored_retention);
        number
    }
}

/// Returns the time for which a turn is retained from each of its writes, by its own requested retention.
pub(super) fn full_retention(turn: &Turn) -> Duration {
    Duration::from_millis(keep_ms(turn.retention_ms))
}
