//! Calls of other processes that wait for their answers.

use super::CallError;
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};
use tokio::sync::oneshot;

type AnswerSender = oneshot::Sender<Result<Vec<u8>, CallError>>;

/// Calls under way, by number.
#[derive(Default)]
pub(super) struct Calls {
    next: Cell<u64>,
    waiting: RefCell<HashMap<u64, AnswerSender>>,
}

impl Calls {
    /// Numbers a call. The answer ends with [`CallError::TimedOut`] when nobody can give it any more.
    pub fn begin(&self) -> (u64, impl Future<Output = Result<Vec<u8>, CallError>> + use<>) {
        let number = self.next.replace(self.next.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        (number, async { receiver.await.unwrap_or(Err(CallError::TimedOut)) })
    }

    /// Hands an answer to the caller.
    pub fn answered(&self, number: u64, bytes: Option<Vec<u8>>) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&number) {
            let _ = sender.send(bytes.ok_or(CallError::Unreachable));
        }
    }

    /// Forgets a call.
    pub fn end(&self, number: u64) {
        self.waiting.borrow_mut().remove(&number);
    }
}
