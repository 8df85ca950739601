//! The offset reached in each shard, so that nothing older is delivered.

use opalrun_wire::{
    feed::Position,
    ids::{FeedOffset, Shard},
};

/// Offsets of the shards that are subscribed to.
pub(super) struct ShardOffsets {
    positions: Vec<Position>,
}

impl ShardOffsets {
    pub(super) fn new(shards: &[Shard]) -> Self {
        Self {
            positions: shards.iter().map(|shard| Position { shard: *shard, offset: FeedOffset(0) }).collect(),
        }
    }

    pub(super) fn positions(&self) -> Vec<Position> {
        self.positions.clone()
    }

    /// Advances the offset of a shard. Returns `false` for one that isn't newer, or isn't subscribed to. Changes that begin
    /// before the known offset may be applied again: each sets the state of what it concerns.
    pub(super) fn advance(&mut self, shard: Shard, offset: FeedOffset) -> bool {
        let Some(position) = self.positions.iter_mut().find(|position| position.shard == shard) else {
            return false;
        };
        if offset <= position.offset {
            return false;
        }
        position.offset = offset;
        true
    }
}
