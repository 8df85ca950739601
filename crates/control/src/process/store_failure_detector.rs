//! Failure detector of the stores, run by the owner of shard 0: derives changes of the store map from the stores'
//! last contacts. Sans I/O.
//!
//! As with members, an owner that was itself unavailable must not conclude that stores have failed: after a gap all
//! observations are discarded.

use crate::store_map::{Liveness, Spread, StoreCommand, StoreTable};
use opalrun_wire::{feed::StoreState, ids::NodeIdentity};
use std::{collections::HashMap, time::Duration};

#[cfg(test)]
mod tests;

/// A store without contact for this long is unavailable: a store without replicas may replace it.
const UNAVAILABLE_TIMEOUT: Duration = Duration::from_secs(2);
/// A store without contact for this long is dead: any other store may take over its replicas.
const DEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// A new store receives replicas from live stores only after this time: until then it may be needed as the
/// replacement of a store whose failure has not been detected yet.
const ESTABLISHMENT_PERIOD: Duration = Duration::from_millis(2800);
/// The first map is formed once no new store has joined for this long, if there are enough stores for the configured
/// number of replicas.
const FORMING_DELAY: Duration = Duration::from_secs(1);
/// The first map is formed once no new store has joined for this long, even if there are fewer stores than replicas.
const MAX_FORMING_DELAY: Duration = Duration::from_secs(4);
/// Maximum time between two evaluations. After a longer gap this process was suspended, and all observations are
/// discarded.
const MAX_EVALUATION_GAP: Duration = Duration::from_secs(1);

/// Replication and placement of the stores' partitions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreLayout {
    /// Number of replicas of each partition.
    pub replicas: u16,
    /// Constraint on the spread of the replicas over failure domains.
    pub spread: Spread,
}

/// Detects failed and recovered stores from the contacts that this owner has observed. Times are those of the
/// process's monotonic clock.
#[derive(Debug, Default)]
pub struct StoreFailureDetector {
    /// When this owner first observed each store since the last reset.
    first_seen: HashMap<NodeIdentity, Duration>,
    last_contact: HashMap<NodeIdentity, Duration>,
    /// When this owner last observed a store that it did not know yet.
    last_joined: Option<Duration>,
    last_evaluation: Option<Duration>,
}

impl StoreFailureDetector {
    /// Records that a store was in contact with any control process at a time.
    pub fn record_contact(&mut self, identity: NodeIdentity, at: Duration) {
        let latest = self.last_contact.entry(identity).or_insert(at);
        *latest = at.max(*latest);
    }

    /// Discards all observations. Called while this process does not own shard 0 or is out of contact with its
    /// quorum.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns the commands that change the store map according to the contacts observed up to `now`.
    pub fn evaluate(&mut self, table: &StoreTable, layout: &StoreLayout, now: Duration) -> Vec<StoreCommand> {
        if self.last_evaluation.is_some_and(|at| now.saturating_sub(at) > MAX_EVALUATION_GAP) {
            self.reset();
        }
        self.last_evaluation = Some(now);
        self.record_new_stores(table, now);
        if table.is_formed() {
            let mut commands = self.liveness_changes(table, now);
            commands.extend(self.newly_established_stores(table, now));
            commands
        } else {
            self.form_first_map(table, layout, now).into_iter().collect()
        }
    }

    fn record_new_stores(&mut self, table: &StoreTable, now: Duration) {
        for entry in table.stores() {
            let identity = entry.node.identity;
            self.first_seen.entry(identity).or_insert_with(|| {
                self.last_joined = Some(now);
                now
            });
        }
    }

    fn form_first_map(
        &self,
        table: &StoreTable,
        layout: &StoreLayout,
        now: Duration,
    ) -> Option<StoreCommand> {
        let quiet_for = now.saturating_sub(self.last_joined?);
        let enough = table.stores().len() >= usize::from(layout.replicas);
        let delay = if enough { FORMING_DELAY } else { MAX_FORMING_DELAY };
        let StoreLayout { replicas, spread } = layout.clone();
        (quiet_for >= delay).then_some(StoreCommand::FormMap { replicas, spread })
    }

    fn liveness_changes(&self, table: &StoreTable, now: Duration) -> Vec<StoreCommand> {
        let mut commands = Vec::new();
        for entry in table.stores().iter().filter(|entry| entry.node.state != StoreState::Retired) {
            let identity = entry.node.identity;
            let has_contact = self.last_contact.contains_key(&identity);
            let since =
                self.last_contact.get(&identity).or(self.first_seen.get(&identity)).copied().unwrap_or(now);
            let liveness = classify(now.saturating_sub(since));
            let is_certain = has_contact || liveness == Liveness::Dead || entry.liveness == Liveness::Live;
            if liveness != entry.liveness && is_certain {
                commands.push(StoreCommand::SetLiveness { identity, liveness });
            }
        }
        commands
    }

    fn newly_established_stores(&self, table: &StoreTable, now: Duration) -> Vec<StoreCommand> {
        let is_some_store_unavailable =
            table.stores().iter().any(|entry| entry.liveness == Liveness::Unavailable);
        if is_some_store_unavailable {
            return Vec::new();
        }
        let not_established =
            table.stores().iter().filter(|entry| !entry.is_established && entry.liveness == Liveness::Live);
        not_established
            .map(|entry| entry.node.identity)
            .filter(|identity| {
                self.first_seen
                    .get(identity)
                    .is_some_and(|at| now.saturating_sub(*at) >= ESTABLISHMENT_PERIOD)
            })
            .map(|identity| StoreCommand::MarkEstablished { identity })
            .collect()
    }
}

fn classify(since_last_contact: Duration) -> Liveness {
    if since_last_contact >= DEAD_TIMEOUT {
        Liveness::Dead
    } else if since_last_contact >= UNAVAILABLE_TIMEOUT {
        Liveness::Unavailable
    } else {
        Liveness::Live
    }
}
