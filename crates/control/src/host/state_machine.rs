//! What the host needs of a shard's state.

use opalrun_replication::LogIndex;
use opalrun_wire::frame::FrameError;

/// The deterministic state machine of a shard: only applied commands change it, so it is the same on all members.
pub trait StateMachine: 'static {
    /// Applies the committed command of an index and returns the reply for its proposer.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8>;
    /// The complete state, encoded.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by one from [`Self::snapshot`].
    ///
    /// # Errors
    /// Where the bytes can't be decoded.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), FrameError>;
}
