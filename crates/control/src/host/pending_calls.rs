//! Remote calls to other processes that are in flight.

use super::CallError;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};
use tokio::sync::oneshot;

type AnswerSender = oneshot::Sender<Result<Vec<u8>, CallError>>;

/// Remote calls in flight, by number. Shared by the callers and the tasks that receive answers, all on one thread.
#[derive(Default)]
pub(super) struct PendingCalls {
    next_number: Cell<u64>,
    in_flight: RefCell<HashMap<u64, AnswerSender>>,
}

/// A remote call in flight; dropping it discards a later answer.
pub(super) struct PendingCall<'a> {
    calls: &'a PendingCalls,
    /// Number that the answer repeats.
    pub number: u64,
    answer: oneshot::Receiver<Result<Vec<u8>, CallError>>,
}

impl PendingCalls {
    /// Registers a new call and assigns its number.
    pub fn begin(&self) -> PendingCall<'_> {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let (sender, answer) = oneshot::channel();
        self.in_flight.borrow_mut().insert(number, sender);
        PendingCall { calls: self, number, answer }
    }

    /// Passes an answer to the caller. `None` means that the call was not carried out, as the receiver has another
    /// identity than the one addressed, or no handler yet.
    pub fn complete(&self, number: u64, bytes: Option<Vec<u8>>) {
        if let Some(sender) = self.in_flight.borrow_mut().remove(&number) {
            // A caller that timed out has dropped its receiver.
            let _ = sender.send(bytes.ok_or(CallError::Unreachable));
        }
    }
}

impl PendingCall<'_> {
    /// Waits for the answer. Returns [`CallError::TimedOut`] if no answer can be received any more.
    pub async fn answer(&mut self) -> Result<Vec<u8>, CallError> {
        (&mut self.answer).await.unwrap_or(Err(CallError::TimedOut))
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.calls.in_flight.borrow_mut().remove(&self.number);
    }
}
