//! A simulated plain worker: slots, a queue, a service time, and responses of a fixed length.

use super::{ConnectionAction, Fault, Worker};
use crate::{
    http::{self, Message},
    tier::peer::Peer,
};
use std::{
    io,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};
use tokio::sync::Semaphore;

pub struct Plain {
    slots: Semaphore,
    capacity: usize,
    queue: usize,
    waiting: AtomicUsize,
    work: Duration,
    answer_bytes: usize,
}

impl Plain {
    pub fn new(capacity: usize, queue: usize, work: Duration, answer_bytes: usize) -> Self {
        let (slots, waiting) = (Semaphore::new(capacity), AtomicUsize::new(0));
        Self { slots, capacity, queue, waiting, work, answer_bytes }
    }

    /// Returns the numbers of running and waiting requests.
    pub fn load(&self) -> (usize, usize) {
        (self.capacity - self.slots.available_permits(), self.waiting.load(Ordering::Relaxed))
    }

    pub async fn answer(
        &self,
        worker: &Worker,
        peer: &mut Peer,
        message: &Message,
        request: &str,
    ) -> io::Result<ConnectionAction> {
        if self.slots.available_permits() == 0 && self.waiting.load(Ordering::Relaxed) >= self.queue {
            return worker.reject(peer, request).await;
        }
        let waiting = WaitingGuard::begin(&self.waiting);
        let slot = tokio::select! {
            slot = self.slots.acquire() => slot,
            () = peer.closed() => return Ok(ConnectionAction::Close),
        };
        drop(waiting);
        // The semaphore is never closed.
        let Ok(_slot) = slot else { return Ok(ConnectionAction::Close) };
        worker.log_run(message, request);
        let fault = worker.faults.take();
        tokio::select! {
            () = tokio::time::sleep(self.work) => {}
            () = peer.closed() => return Ok(ConnectionAction::Close),
        }
        self.finish(worker, peer, request, fault).await
    }

    async fn finish(
        &self,
        worker: &Worker,
        peer: &mut Peer,
        request: &str,
        fault: Option<Fault>,
    ) -> io::Result<ConnectionAction> {
        let signature = worker.signature();
        let mut body = format!("{signature} answers {request} ").into_bytes();
        body.resize(self.answer_bytes.max(body.len()), b'.');
        let status = if fault == Some(Fault::Failure) { 500 } else { 200 };
        let is_complete = matches!(fault, None | Some(Fault::SecondAnswer | Fault::Failure));
        worker.log_answer(request, status, &signature, &body, is_complete);
        let headers = format!(
            "Request-Id: {request}\r\nServer-Signature: {signature}\r\nServer-Load: {}\r\n",
            worker.server_load()
        );
        let mut bytes = http::answer(status, &headers, &body);
        match fault {
            None | Some(Fault::Failure) => {}
            Some(Fault::LoseAnswer) => return Ok(ConnectionAction::Close),
            Some(Fault::ResetMidAnswer) => {
                peer.write(&bytes[..bytes.len() - body.len() / 2]).await?;
                return Ok(ConnectionAction::Reset);
            }
            Some(Fault::SecondAnswer) => {
                let headers = format!("Request-Id: surplus-{request}\r\nServer-Signature: {signature}-2\r\n");
                bytes.extend(http::answer(200, &headers, b"surplus"));
            }
            Some(Fault::Garbage) => {
                peer.write(b"\x00\xfenothing that could be read\r\n\r\n").await?;
                return Ok(ConnectionAction::Close);
            }
            Some(Fault::Silence) => {
                peer.closed().await;
                return Ok(ConnectionAction::Close);
            }
        }
        peer.write(&bytes).await?;
        Ok(ConnectionAction::KeepOpen)
    }
}

/// Counts one more waiting request until it is dropped.
struct WaitingGuard<'a>(&'a AtomicUsize);

impl<'a> WaitingGuard<'a> {
    fn begin(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
