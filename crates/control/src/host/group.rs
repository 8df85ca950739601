//! The local part of one replicated group: its replica, its state machine and its pending proposals and reads.

use super::{Committed, ProposeError, StateMachine, members::node_identity};
use opalrun_replication::{Entry, LogIndex, LogPosition, Payload, ReadIndexResult, Replica, Snapshot, Term};
use opalrun_wire::frame::FrameError;
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// The result of a proposal for its caller.
type ProposalResult = Result<Committed, ProposeError>;

/// A proposal in flight.
struct PendingProposal {
    /// Term of the proposed entry. A committed entry at the same index with another term was proposed by another
    /// leader.
    term: Term,
    result: oneshot::Sender<ProposalResult>,
}

/// The local part of one replicated group.
pub(super) struct Group {
    pub replica: Replica,
    state_machine: Box<dyn StateMachine>,
    /// Index of the last log entry applied to the state machine.
    pub applied: LogIndex,
    /// Index of the last log entry covered by the snapshot on disk, or by the one that is being written.
    pub snapshot_index: LogIndex,
    /// Proposals in flight, by log index.
    proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Linearizable reads in flight, by request number.
    reads: HashMap<u64, oneshot::Sender<bool>>,
}

impl Group {
    /// Creates a group from its stored state. The state machine must hold the state of the replica's snapshot.
    pub fn new(replica: Replica, state_machine: Box<dyn StateMachine>) -> Self {
        let base = replica.commit_index();
        Self {
            replica,
            state_machine,
            applied: base,
            snapshot_index: base,
            proposals: BTreeMap::new(),
            reads: HashMap::new(),
        }
    }

    /// Proposes a command. The receiver yields the result once the entry is applied.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<oneshot::Receiver<ProposalResult>, ProposeError> {
        let LogPosition { index, term } = self.replica.propose(command).map_err(as_propose_error)?;
        let (result, receiver) = oneshot::channel();
        self.proposals.insert(index, PendingProposal { term, result });
        Ok(receiver)
    }

    /// Starts a linearizable read. The receiver yields `true` once the state may be read, or `false` if this process
    /// is no longer the leader.
    pub fn read(&mut self, request: u64) -> Result<oneshot::Receiver<bool>, ProposeError> {
        self.replica.read_index(request).map_err(as_propose_error)?;
        let (sender, receiver) = oneshot::channel();
        self.reads.insert(request, sender);
        Ok(receiver)
    }

    /// Returns the encoded state as of the last applied entry.
    pub fn state(&self) -> Vec<u8> {
        self.state_machine.snapshot()
    }

    /// Applies a committed entry and completes the proposal that it came from.
    pub fn apply(&mut self, entry: &Entry) {
        let reply = match &entry.payload {
            Payload::Command(command) => self.state_machine.apply(entry.index, command),
            Payload::Empty | Payload::MembershipChange(_) => Vec::new(),
        };
        self.applied = entry.index;
        self.complete_proposal(entry, reply);
    }

    fn complete_proposal(&mut self, entry: &Entry, reply: Vec<u8>) {
        let Some(proposal) = self.proposals.remove(&entry.index) else {
            return;
        };
        let result = if proposal.term == entry.term {
            Ok(Committed { index: entry.index, reply })
        } else {
            Err(ProposeError::NotOwner(self.replica.leader().map(node_identity)))
        };
        // A caller that timed out has dropped its receiver.
        let _ = proposal.result.send(result);
    }

    /// Replaces the state by a snapshot of another process. Whether the snapshot contains a pending proposal whose
    /// index it covers is unknown, so the caller of that proposal gets no result.
    ///
    /// # Errors
    /// Where the state can't be decoded.
    pub fn install(&mut self, snapshot: &Snapshot) -> Result<(), FrameError> {
        let restored = self.state_machine.restore(&snapshot.state);
        let index = snapshot.metadata.last_included_index;
        self.applied = index;
        self.snapshot_index = index;
        self.proposals = self.proposals.split_off(&(index + 1));
        restored
    }

    /// Completes a linearizable read.
    pub fn finish_read(&mut self, result: ReadIndexResult) {
        let (request, is_confirmed) = match result {
            ReadIndexResult::Confirmed { request, .. } => (request, true),
            ReadIndexResult::Failed { request } => (request, false),
        };
        if let Some(sender) = self.reads.remove(&request) {
            // A caller that timed out has dropped its receiver.
            let _ = sender.send(is_confirmed);
        }
    }

    /// Discards proposals and reads whose callers have timed out.
    pub fn drop_abandoned_requests(&mut self) {
        self.proposals.retain(|_, proposal| !proposal.result.is_closed());
        self.reads.retain(|_, sender| !sender.is_closed());
    }
}

fn as_propose_error(error: opalrun_replication::ProposeError) -> ProposeError {
    match error {
        opalrun_replication::ProposeError::NotLeader { leader } => {
            ProposeError::NotOwner(leader.map(node_identity))
        }
        opalrun_replication::ProposeError::TooManyUncommitted => ProposeError::NoQuorum,
    }
}
