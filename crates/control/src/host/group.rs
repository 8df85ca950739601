//! One replicated group in this process: its replica, its state machine and the callers that wait for it.

use super::{Committed, ProposeError, StateMachine, members::node_identity};
use opalrun_replication::{Entry, LogIndex, LogPosition, Payload, ReadIndexResult, Replica, Snapshot, Term};
use opalrun_wire::frame::FrameError;
use std::collections::{BTreeMap, HashMap};
use tokio::sync::oneshot;

/// What a caller learns of its proposal.
type ProposalResult = Result<Committed, ProposeError>;

/// A proposal in flight.
struct PendingProposal {
    /// The term that the entry must have; an entry of another term is another leader's.
    term: Term,
    result: oneshot::Sender<ProposalResult>,
}

/// One replicated group in this process.
pub(super) struct Group {
    pub replica: Replica,
    state_machine: Box<dyn StateMachine>,
    /// The last entry applied to the state machine.
    pub applied: LogIndex,
    /// The last entry covered by the snapshot on disk, or by one that is being written.
    pub snapshot_index: LogIndex,
    /// Proposals in flight, by index.
    proposals: BTreeMap<LogIndex, PendingProposal>,
    /// Reads in flight, by the number of the request.
    reads: HashMap<u64, oneshot::Sender<bool>>,
}

impl Group {
    /// A group as it was found on disk: the state machine holds the state of the replica's snapshot.
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

    /// Proposes a command. The receiver gets the result once the entry is applied.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<oneshot::Receiver<ProposalResult>, ProposeError> {
        let LogPosition { index, term } = self.replica.propose(command).map_err(as_propose_error)?;
        let (result, receiver) = oneshot::channel();
        self.proposals.insert(index, PendingProposal { term, result });
        Ok(receiver)
    }

    /// Asks for a point at which the state may be read. The receiver gets false if this process is not the leader any
    /// more.
    pub fn read(&mut self, request: u64) -> Result<oneshot::Receiver<bool>, ProposeError> {
        self.replica.read_index(request).map_err(as_propose_error)?;
        let (sender, receiver) = oneshot::channel();
        self.reads.insert(request, sender);
        Ok(receiver)
    }

    /// The encoded state as of the last entry applied.
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

    /// Replaces the state by a snapshot of another process. A proposal that the snapshot covers may or may not be part
    /// of it, so its caller gets no result.
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

    /// Completes a read.
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

    /// Forgets proposals and reads whose callers have timed out.
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
        opalrun_replication::ProposeError::Busy => ProposeError::NoQuorum,
    }
}
