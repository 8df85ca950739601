//! How far each shard is known, so that nothing older is delivered.

use opalrun_wire::feed::Position;

/// Offsets of the shards that are subscribed to.
pub(super) struct Positions {
    held: Vec<Position>,
}

impl Positions {
    pub(super) fn new(shards: &[u16]) -> Self {
        Self { held: shards.iter().map(|shard| Position { shard: *shard, offset: 0 }).collect() }
    }

    pub(super) fn held(&self) -> Vec<Position> {
        self.held.clone()
    }

    /// Whether a snapshot or changes lead beyond what is held; if so they are held from now on. Changes that begin before
    /// it may be applied again: each sets what it concerns.
    pub(super) fn advance(&mut self, shard: u16, offset: u64) -> bool {
        let Some(position) = self.held.iter_mut().find(|position| position.shard == shard) else {
            return false;
        };
        if offset <= position.offset {
            return false;
        }
        position.offset = offset;
        true
    }
}
