//! Relays a worker's event stream to the client, and resumes it at another worker if the route allows that.

use crate::memory::BudgetExhausted;
use crate::proxy::{
    Proxy,
    answer::{self, Answer, forward},
    attempt::{AttemptFailure, Attempts, NextStep},
    balance::WorkerId,
    event_stream::{Event, EventReader, is_event_stream},
    failed_requests::FailureReason,
    request::ForwardedRequest,
    turn_lifecycle::TurnNotStored,
    upstream::{BodyBroken, Exchange},
};
use bytes::Bytes;
use hyper::Response;
use opalrun_transport::body::{BodyBuffer, Chunk, MemoryBudget, ResponseBody};
use std::{rc::Rc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, timeout_at},
};
use tracing::info;

/// Capacity of the queue of events that the client has not read yet.
const EVENT_QUEUE_CAPACITY: usize = 16;
/// Time-out for the next event of a stream that can be resumed, as a multiple of the route's event gap target.
const EVENT_TIMEOUT_IN_GAPS: f64 = 3.0;
/// Target for the time between two events when the route sets none.
const DEFAULT_EVENT_GAP_TARGET: Duration = Duration::from_millis(500);

/// A worker's event stream that is relayed to a client.
pub struct Stream {
    proxy: Rc<Proxy>,
    request: Rc<ForwardedRequest>,
    /// Worker that sends the events.
    worker: WorkerId,
    /// Exchange with the worker; `None` while the stream is being resumed at another worker.
    exchange: Option<Exchange>,
    reader: EventReader,
    /// Id of the last event that was received, or after which the first worker was asked to begin.
    last_event_id: Option<u64>,
    /// Whether the first event was received, from this worker or from an earlier one.
    has_begun: bool,
}

/// Result of waiting for the beginning of a stream.
pub enum StreamStart {
    /// The first event was received.
    Begun(Box<Stream>),
    /// The stream ended without an event; holds the complete answer.
    Empty(Answer),
}

/// Result of waiting for the next bytes of a stream.
enum StreamRead {
    /// Bytes were received and buffered.
    Bytes,
    /// The worker's answer is complete.
    End,
    /// The stream can't be read any further.
    Broken(BreakCause),
    /// The client has closed its connection.
    ClientGone,
}

/// Why a worker's stream can't be read any further. The log prints the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreakCause {
    /// The connection broke, or ended before the end of the stream.
    Closed,
    /// No bytes were received before the time-out.
    Silent,
    /// The received bytes exceed the maximum length of an event.
    Garbled,
}

impl Stream {
    /// Waits until `deadline` for the first event of the answer in `exchange`.
    ///
    /// # Errors
    /// The stream broke or timed out before its first event and before its end.
    pub async fn begin(
        proxy: &Rc<Proxy>,
        request: &Rc<ForwardedRequest>,
        worker: &WorkerId,
        exchange: Exchange,
        deadline: Instant,
    ) -> Result<StreamStart, AttemptFailure> {
        let mut stream = Self {
            proxy: proxy.clone(),
            request: request.clone(),
            worker: worker.clone(),
            exchange: Some(exchange),
            reader: EventReader::default(),
            last_event_id: request.first_worker_last_event_id(),
            has_begun: false,
        };
        while !stream.reader.has_event() {
            match stream.read_chunk(deadline).await {
                StreamRead::Bytes => {}
                StreamRead::End => return stream.finish_without_events().await,
                StreamRead::Broken(cause) => {
                    stream.fail_before_first_event(cause);
                    return Err(AttemptFailure::MayHaveRun);
                }
                StreamRead::ClientGone => {
                    stream.fail_exchange();
                    return Err(AttemptFailure::MayHaveRun);
                }
            }
        }
        stream.has_begun = true;
        stream.record_first_event();
        Ok(StreamStart::Begun(Box::new(stream)))
    }

    /// Finishes an answer that is complete and contains no event.
    async fn finish_without_events(mut self) -> Result<StreamStart, AttemptFailure> {
        let rest = self.reader.take_incomplete_event();
        let Some(exchange) = self.exchange.take() else { return Err(AttemptFailure::MayHaveRun) };
        let parts = exchange.parts.clone();
        exchange.finish();
        if self.store_turn().await.is_err() {
            return Err(AttemptFailure::MayHaveRun);
        }
        Ok(StreamStart::Empty(forward(parts, answer::with_body(rest))))
    }

    /// Closes the connection to a worker whose stream broke or timed out, and records the worker's failure.
    fn fail_exchange(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.fail();
        }
    }

    /// Closes the connection to a worker whose stream broke before its first event, and records the worker's failure. For
    /// one that timed out, the time waited is recorded as well.
    fn fail_before_first_event(&mut self, cause: BreakCause) {
        if let (BreakCause::Silent, Some(exchange)) = (cause, &self.exchange) {
            exchange.worker_request.timed_out();
        }
        self.fail_exchange();
    }

    /// Stores the turn if its route retains turns.
    async fn store_turn(&self) -> Result<(), TurnNotStored> {
        let (request, worker) = (&self.request, &self.worker);
        self.proxy.store_turn(&request.turn, &request.parameters.request_id, worker).await
    }

    fn record_first_event(&self) {
        if let Some(exchange) = &self.exchange {
            exchange.worker_request.answer_started(exchange.load_report());
            exchange.worker_request.succeeded();
        }
    }

    /// Returns the answer for the client, and starts a task that relays the events to it.
    pub fn relay(self: Box<Self>, attempts: Attempts, attempted: Vec<WorkerId>) -> Answer {
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let body = ResponseBody::streaming(BodyBuffer::new(&MemoryBudget::new(0)), receiver, None);
        let head = self.exchange.as_ref().map(|exchange| exchange.parts.clone());
        let Some(head) = head else { return answer::without_body(hyper::StatusCode::BAD_GATEWAY) };
        tokio::task::spawn_local(self.run(events, attempts, attempted));
        forward(head, Response::new(body))
    }

    /// Relays events until the end of the stream. Returning without sending [`Chunk::End`] closes the client's
    /// connection, so that the answer does not appear complete.
    async fn run(
        mut self: Box<Self>,
        events: mpsc::Sender<Chunk>,
        mut attempts: Attempts,
        mut attempted: Vec<WorkerId>,
    ) {
        loop {
            while let Some(event) = self.reader.next_event() {
                if let Err(reason) = self.forward_event(event, &events).await {
                    return self.record_failure(reason, &attempts);
                }
            }
            let deadline = self.event_deadline(&attempts);
            let read = tokio::select! {
                biased;
                read = self.read_chunk(deadline) => read,
                () = events.closed() => StreamRead::ClientGone,
            };
            match read {
                StreamRead::Bytes => {}
                StreamRead::End => return self.end(&events, &attempts).await,
                StreamRead::ClientGone => {
                    return self.record_failure(FailureReason::ClientDisconnected, &attempts);
                }
                StreamRead::Broken(cause) => {
                    self.fail_exchange();
                    if !self.resume_elsewhere(cause, &mut attempts, &mut attempted).await {
                        return self.record_failure(self.break_reason(), &attempts);
                    }
                }
            }
        }
    }

    /// Retains an event that was not received before, and forwards it to the client unless the client has it already.
    ///
    /// # Errors
    /// Why the answer can't go on: the client has closed its connection, or no memory is left for the turn's output.
    async fn forward_event(
        &mut self,
        event: Event,
        events: &mpsc::Sender<Chunk>,
    ) -> Result<(), FailureReason> {
        if event.is_at_or_before(self.last_event_id) {
            return Ok(());
        }
        self.last_event_id = event.id.or(self.last_event_id);
        self.request.turn.retain_event(&event).map_err(|BudgetExhausted| FailureReason::NoTurnMemory)?;
        if event.is_at_or_before(self.request.parameters.last_event_id) {
            return Ok(());
        }
        self.request.turn.count_event(&event);
        events.send(Chunk::Data(event.raw)).await.map_err(|_| FailureReason::ClientDisconnected)
    }

    /// Finishes a complete answer: stores the turn, then sends the client the remaining bytes and the end of the answer.
    async fn end(mut self: Box<Self>, events: &mpsc::Sender<Chunk>, attempts: &Attempts) {
        let rest: Bytes = self.reader.take_incomplete_event();
        if let Some(exchange) = self.exchange.take() {
            exchange.finish();
        }
        if self.store_turn().await.is_err() {
            return self.record_failure(FailureReason::TurnNotStored, attempts);
        }
        if !rest.is_empty() && events.send(Chunk::Data(rest)).await.is_err() {
            return;
        }
        let _ = events.send(Chunk::End).await;
    }

    fn record_failure(&self, reason: FailureReason, attempts: &Attempts) {
        self.proxy.failed_requests.record(&self.request, reason, attempts.failed_count());
    }

    /// Returns the failure reason of a broken stream that can't be resumed.
    fn break_reason(&self) -> FailureReason {
        FailureReason::after_attempt(AttemptFailure::MayHaveRun, self.request.time_left())
    }

    /// Waits until `deadline` for the next bytes of the stream and adds them to the reader, from which all complete events
    /// must have been taken.
    async fn read_chunk(&mut self, deadline: Instant) -> StreamRead {
        let Some(exchange) = &mut self.exchange else { return StreamRead::Broken(BreakCause::Closed) };
        match timeout_at(deadline, exchange.chunk()).await {
            Ok(Ok(Some(bytes))) if self.reader.push(&bytes).is_ok() => StreamRead::Bytes,
            Ok(Ok(None)) if exchange.has_framed_body() || self.may_end_here() => StreamRead::End,
            Ok(Ok(None) | Err(BodyBroken)) => StreamRead::Broken(BreakCause::Closed),
            Ok(Ok(Some(_))) => StreamRead::Broken(BreakCause::Garbled),
            Err(_elapsed) => StreamRead::Broken(BreakCause::Silent),
        }
    }

    /// Whether a stream without a length, which ends with its connection, may be complete at this point. The connection of a
    /// worker that is killed ends in the same way, but a complete stream neither ends inside an event nor has no event at
    /// all, unless the request asked for the events after a given one.
    fn may_end_here(&self) -> bool {
        let may_be_empty = self.last_event_id.is_some();
        !self.reader.has_incomplete_event() && (self.has_begun || may_be_empty)
    }

    /// Returns the time at which the wait for the next event times out.
    fn event_deadline(&self, attempts: &Attempts) -> Instant {
        if !attempts.may_attempt_more() {
            return self.request.deadline;
        }
        let gap = self.request.route.event_gap_target.unwrap_or(DEFAULT_EVENT_GAP_TARGET);
        self.request.deadline.min(Instant::now() + gap.mul_f64(EVENT_TIMEOUT_IN_GAPS))
    }

    /// Resumes the stream at another worker, after the last event that was received. Returns `false` when no further
    /// attempt is possible.
    async fn resume_elsewhere(
        &mut self,
        cause: BreakCause,
        attempts: &mut Attempts,
        attempted: &mut Vec<WorkerId>,
    ) -> bool {
        // The bytes of an incomplete event are discarded: the next worker sends the event again in full.
        self.reader = EventReader::default();
        info!(
            worker = &*self.worker,
            last_event = self.last_event_id,
            ?cause,
            "event stream from worker broke off"
        );
        let mut failure = AttemptFailure::MayHaveRun;
        while attempts.record_failure(failure, self.request.time_left()) == NextStep::AttemptAnother {
            let Ok(selected) = self.proxy.select_worker(&self.request, attempted) else { return false };
            attempted.push(selected.id.clone());
            let deadline = self.event_deadline(attempts);
            let exchange = self.proxy.exchange(&self.request, &selected, deadline, self.last_event_id).await;
            failure = match exchange {
                Ok(exchange) if is_event_stream(&exchange.parts) => {
                    exchange.worker_request.answer_started(exchange.load_report());
                    self.exchange = Some(exchange);
                    self.worker = selected.id;
                    return true;
                }
                Ok(_) => AttemptFailure::WorkerFailed,
                Err(failure) => failure,
            };
        }
        false
    }
}
