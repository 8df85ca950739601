//! The offset reached in each shard, which prevents the delivery of older updates.

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

    /// Advances the offset of a shard. Returns `false` if the offset isn't higher, or the shard isn't subscribed to. An
    /// update that begins before the known offset may contain changes that were applied already; applying them again is
    /// harmless, since each change sets the complete state of its object.
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
