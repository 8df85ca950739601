//! Operations on counts that are in progress: which is the newest on a program, and which entries are to be reverted.

use crate::StoreClient;
use opalrun_wire::store::CountEntry;
use std::{cell::RefCell, collections::HashMap, rc::Rc};
use tokio::sync::mpsc;

/// The newest operation on each program that has any in progress.
#[derive(Default)]
pub struct Operations {
    // Shared by the operations, each of which removes itself when it is dropped. No borrow lasts over an await.
    newest: RefCell<HashMap<String, NewestOperation>>,
}

struct NewestOperation {
    sequence: u64,
    /// Operations on the program that are in progress, superseded ones included.
    in_progress: usize,
}

/// An operation on a program's count that is in progress, until it is dropped.
pub struct Operation {
    client: Rc<StoreClient>,
    program: String,
    sequence: u64,
}

impl Operation {
    /// Begins an operation with the next sequence. It supersedes those before it on the same program.
    pub fn begin(client: &Rc<StoreClient>, program: &str) -> Self {
        let sequence = client.next_sequence();
        let mut newest = client.operations.newest.borrow_mut();
        let newest = newest.entry(program.to_owned()).or_insert(NewestOperation { sequence, in_progress: 0 });
        newest.sequence = sequence;
        newest.in_progress += 1;
        Self { client: client.clone(), program: program.to_owned(), sequence }
    }

    /// The program.
    pub fn program(&self) -> &str {
        &self.program
    }

    /// Whether no later operation on the program has begun.
    pub fn is_newest(&self) -> bool {
        let newest = self.client.operations.newest.borrow();
        newest.get(&self.program).is_some_and(|newest| newest.sequence == self.sequence)
    }

    /// The entry that it writes: this holder has taken so many units.
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

/// A lease acquisition without a grant yet. Where it is dropped without one, also because its caller has cancelled it,
/// the entry is reverted to the units leased before.
pub struct PendingAcquisition {
    operation: Operation,
    leased: u64,
    is_granted: bool,
}

impl PendingAcquisition {
    /// Begins an acquisition by a holder that has leased `leased` units so far.
    pub fn begin(client: &Rc<StoreClient>, program: &str, leased: u64) -> Self {
        Self { operation: Operation::begin(client, program), leased, is_granted: false }
    }

    /// The operation.
    pub fn operation(&self) -> &Operation {
        &self.operation
    }

    /// The units are granted: the entry stays as it was written.
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

/// An entry that is to be written as it was before an acquisition that failed.
struct Revert {
    operation: Operation,
    leased: u64,
}

/// Reverts on their way to the task that writes them: a drop, in which they begin, can't write.
pub struct Reverts {
    sender: mpsc::UnboundedSender<Revert>,
    /// Until the task is started.
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
        // The task ends only with the client.
        let _ = self.sender.send(revert);
    }

    /// Starts the task unless it runs. It ends when the client, which owns the channel's sender, is dropped.
    pub fn start(&self) {
        let Some(mut receiver) = self.receiver.take() else { return };
        tokio::task::spawn_local(async move {
            while let Some(Revert { operation, leased }) = receiver.recv().await {
                operation.client.clone().write_reduced(operation, leased);
            }
        });
    }
}
