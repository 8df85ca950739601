//! The interface between the host and the state machine of a shard.

use opalrun_replication::LogIndex;
use opalrun_wire::frame::FrameError;

/// The deterministic state machine of a shard. Only applied commands change it, so its state is equal on all members
/// that have applied the same entries.
pub trait StateMachine: 'static {
    /// Applies the committed command at a log index and returns the encoded reply to its proposer.
    fn apply(&mut self, index: LogIndex, command: &[u8]) -> Vec<u8>;
    /// Returns the complete encoded state.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by one that [`Self::snapshot`] returned.
    ///
    /// # Errors
    /// If the bytes can't be decoded.
    fn restore(&mut self, bytes: &[u8]) -> Result<(), FrameError>;
}
