//! Forwards a stream of events as it comes, and resumes it at another worker where its route allows that.

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

/// Events on their way to a client that does not read them yet.
const EVENTS_AHEAD: usize = 16;
/// Time-out for the next event of a stream that may be resumed elsewhere, as a multiple of the route's target.
const EVENT_TIMEOUT_IN_GAPS: f64 = 3.0;
/// The target for the time between two events where the route names none.
const DEFAULT_EVENT_GAP_TARGET: Duration = Duration::from_millis(500);

/// A stream that has begun.
pub struct Stream {
    proxy: Rc<Proxy>,
    request: Rc<ForwardedRequest>,
    /// The worker that sends the events.
    worker: WorkerId,
    /// `None` while the stream is being resumed elsewhere.
    exchange: Option<Exchange>,
    reader: EventReader,
    /// The last event that the client has.
    last_id: Option<u64>,
}

/// How a worker's stream began.
pub enum StreamStart {
    /// Its first event is there.
    Begun(Box<Stream>),
    /// It ended properly without an event: the complete answer.
    Empty(Answer),
}

/// What came of reading on in a stream.
enum StreamRead {
    Bytes,
    End,
    Broken(Cause),
    ClientGone,
}

/// Why a worker's stream can't be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// The connection broke, or ended before the stream did.
    Closed,
    /// Nothing came for too long.
    Silent,
    /// What came is no event.
    Garbled,
}

impl Stream {
    /// Waits for the first event until `deadline`.
    ///
    /// # Errors
    /// How the attempt ended where neither an event nor a proper end came.
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
            last_id: request.parameters.last_event_id,
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
        stream.record_first_event();
        Ok(StreamStart::Begun(Box::new(stream)))
    }

    /// The worker's answer is complete and holds no event.
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

    /// Closes the connection to a worker that broke off or timed out, and records its failure.
    fn fail_exchange(&mut self) {
        if let Some(exchange) = self.exchange.take() {
            exchange.fail();
        }
    }

    /// The same for a worker that has sent no event.
    fn fail_before_first_event(&mut self, cause: Cause) {
        if let (Cause::Silent, Some(exchange)) = (cause, &self.exchange) {
            exchange.worker_request.timed_out();
        }
        self.fail_exchange();
    }

    /// Stores the turn, where its route is for turns that are retained.
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

    /// The answer to the client, to which the events go from now on.
    pub fn relay(self: Box<Self>, attempts: Attempts, attempted: Vec<WorkerId>) -> Answer {
        let (events, receiver) = mpsc::channel(EVENTS_AHEAD);
        let body = ResponseBody::streaming(BodyBuffer::new(&MemoryBudget::new(0)), receiver, None);
        let head = self.exchange.as_ref().map(|exchange| exchange.parts.clone());
        let Some(head) = head else { return answer::without_body(hyper::StatusCode::BAD_GATEWAY) };
        tokio::task::spawn_local(self.run(events, attempts, attempted));
        forward(head, Response::new(body))
    }

    /// Passes events on until the stream's end. Ending without [`Chunk::End`] cuts the client's connection.
    async fn run(
        mut self: Box<Self>,
        events: mpsc::Sender<Chunk>,
        mut attempts: Attempts,
        mut attempted: Vec<WorkerId>,
    ) {
        loop {
            while let Some(event) = self.reader.next_event() {
                if !self.forward_event(event, &events).await {
                    return self.record_failure(FailureReason::ClientDisconnected, &attempts);
                }
            }
            let deadline = self.event_deadline(&attempts);
            let came = tokio::select! {
                biased;
                came = self.read_chunk(deadline) => came,
                () = events.closed() => StreamRead::ClientGone,
            };
            match came {
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

    /// Passes an event on, unless the client has it. `false`: the client has gone.
    async fn forward_event(&mut self, event: Event, events: &mpsc::Sender<Chunk>) -> bool {
        if let (Some(id), Some(last)) = (event.id, self.last_id)
            && id <= last
        {
            return true;
        }
        self.last_id = event.id.or(self.last_id);
        self.request.turn.record_event(&event);
        events.send(Chunk::Data(event.raw)).await.is_ok()
    }

    /// The worker's answer is complete.
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
        self.proxy.failed_requests.record(&self.request, reason, attempts.count());
    }

    /// Why a stream that can't be resumed elsewhere is cut.
    fn break_reason(&self) -> FailureReason {
        FailureReason::after_attempt(AttemptFailure::MayHaveRun, self.request.time_left())
    }

    /// Reads what comes next, until `deadline`.
    async fn read_chunk(&mut self, deadline: Instant) -> StreamRead {
        let Some(exchange) = &mut self.exchange else { return StreamRead::Broken(Cause::Closed) };
        match timeout_at(deadline, exchange.chunk()).await {
            Ok(Ok(Some(bytes))) if self.reader.push(&bytes).is_ok() => StreamRead::Bytes,
            Ok(Ok(None)) => StreamRead::End,
            Ok(Ok(Some(_))) => StreamRead::Broken(Cause::Garbled),
            Ok(Err(BodyBroken)) => StreamRead::Broken(Cause::Closed),
            Err(_elapsed) => StreamRead::Broken(Cause::Silent),
        }
    }

    /// When the next event times out.
    fn event_deadline(&self, attempts: &Attempts) -> Instant {
        if !attempts.may_attempt_more() {
            return self.request.deadline;
        }
        let gap = self.request.route.event_gap_target.unwrap_or(DEFAULT_EVENT_GAP_TARGET);
        self.request.deadline.min(Instant::now() + gap.mul_f64(EVENT_TIMEOUT_IN_GAPS))
    }

    /// Resumes the stream at another worker after the last event that the client has; `false`: no worker is left to attempt.
    async fn resume_elsewhere(
        &mut self,
        cause: Cause,
        attempts: &mut Attempts,
        attempted: &mut Vec<WorkerId>,
    ) -> bool {
        // What came of an event that has not ended is no use: the next worker sends it whole.
        self.reader = EventReader::default();
        info!(worker = &*self.worker, last_event = self.last_id, ?cause, "a stream broke off at its worker");
        let mut failure = AttemptFailure::MayHaveRun;
        while attempts.failed(failure, self.request.time_left()) == NextStep::AttemptAnother {
            let Ok(selected) = self.proxy.select_worker(&self.request, attempted) else { return false };
            attempted.push(selected.id.clone());
            let deadline = self.event_deadline(attempts);
            let exchange = self.proxy.exchange(&self.request, &selected, deadline, self.last_id).await;
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
