//! Operations on counts in progress: the newest operation on each program, and the entries to revert after a failure.

use crate::StoreClient;
use opalrun_wire::store::CountEntry;
use std::{cell::RefCell, collections::HashMap, rc::Rc};
use tokio::sync::mpsc;

/// The newest operation on each program with operations in progress.
#[derive(Default)]
pub struct Operations {
    // Shared by the operations, each of which removes itself when it is dropped. No borrow is held across an await.
    newest: RefCell<HashMap<String, NewestOperation>>,
}

struct NewestOperation {
    sequence: u64,
    /// Number of operations in progress on the program, superseded ones included.
    in_progress: usize,
}

/// Guard of an operation on a program's count; the operation is in progress until the guard is dropped.
pub struct Operation {
    client: Rc<StoreClient>,
    program: String,
    sequence: u64,
}

impl Operation {
    /// Begins an operation with the next sequence number. It supersedes all earlier operations on the same program.
    pub fn begin(client: &Rc<StoreClient>, program: &str) -> Self {
        let sequence = client.next_sequence();
        let mut newest = client.operations.newest.borrow_mut();
        let newest = newest.entry(program.to_owned()).or_insert(NewestOperation { sequence, in_progress: 0 });
        newest.sequence = sequence;
        newest.in_progress += 1;
        Self { client: client.clone(), program: program.to_owned(), sequence }
    }

    /// Returns the name of the program.
    pub fn program(&self) -> &str {
        &self.program
    }

    /// Whether no later operation on the program has begun.
    pub fn is_newest(&self) -> bool {
        let newest = self.client.operations.newest.borrow();
        newest.get(&self.program).is_some_and(|newest| newest.sequence == self.sequence)
    }

    /// Returns the entry with which the operation writes that this holder has taken `taken` units.
    pub fn entry(&self, taken: u64) -> CountEntry {
        CountEntry { holder: self.client.holder, sequence: self.sequence, taken }
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        let mut newest = self.client.operations.newest.borrow_mut();
        if let Some(known) = newest.get_mut(&self.program) {
            known.in_progress -= 1;
            if known.in_progress == 0 {
                newest.remove(&self.program);
            }
        }
    }
}

/// Guard of a lease acquisition that is not granted yet. If it is dropped without a grant, because the acquisition has
/// failed or its caller has cancelled it, the entry is reverted to the units leased before.
pub struct PendingAcquisition {
    operation: Operation,
    leased: u64,
    is_granted: bool,
}

impl PendingAcquisition {
    /// Begins an acquisition by a holder that currently leases `leased` units.
    pub fn begin(client: &Rc<StoreClient>, program: &str, leased: u64) -> Self {
        Self { operation: Operation::begin(client, program), leased, is_granted: false }
    }

    /// Returns the operation that writes the entry of the acquisition.
    pub fn operation(&self) -> &Operation {
        &self.operation
    }

    /// Marks the acquisition as granted: the entry is not reverted.
    pub fn mark_granted(mut self) {
        self.is_granted = true;
    }
}

impl Drop for PendingAcquisition {
    fn drop(&mut self) {
        if self.is_granted || !self.operation.is_newest() {
            return;
        }
        let client = &self.operation.client;
        let operation = Operation::begin(client, &self.operation.program);
        client.reverts.push(Revert { operation, leased: self.leased });
    }
}

/// Reverts a holder's entry to its units before a failed acquisition.
struct Revert {
    operation: Operation,
    /// Units that the holder leased before the acquisition.
    leased: u64,
}

/// Queue of reverts to the task that writes them. Reverts are created in a `drop`, which can't run asynchronous writes.
pub struct Reverts {
    sender: mpsc::UnboundedSender<Revert>,
    /// `None` once the task has started, which owns the receiver from then on.
    receiver: RefCell<Option<mpsc::UnboundedReceiver<Revert>>>,
}

impl Default for Reverts {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self { sender, receiver: RefCell::new(Some(receiver)) }
    }
}

impl Reverts {
    fn push(&self, revert: Revert) {
        // Can't fail: the task, or this queue before the task starts, holds the receiver for as long as the client exists.
        let _ = self.sender.send(revert);
    }

    /// Starts the task that writes reverts, unless it runs already. The task ends when the client, which owns the sender of
    /// the channel, is dropped.
    pub fn start(&self) {
        let Some(mut receiver) = self.receiver.take() else { return };
        tokio::task::spawn_local(async move {
            while let Some(Revert { operation, leased }) = receiver.recv().await {
                operation.client.clone().write_reduced(operation, leased);
            }
        });
    }
}
