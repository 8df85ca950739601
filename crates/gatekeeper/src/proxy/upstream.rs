//! One exchange with one worker: takes a connection, sends the request, and reads the head of the answer.

use crate::proxy::{
    Proxy,
    attempt::AttemptFailure,
    balance::{LoadReport, SelectedWorker, WorkerSlot},
    headers,
    request::ForwardedRequest,
    request_parameters::{self, EXPECT_INSTANCE, LAST_EVENT_ID, NOT_EXECUTED, REQUEST_ID, SERVER_LOAD},
};
use bytes::{Bytes, BytesMut};
use hyper::{Request, StatusCode, body::Incoming, header::HeaderValue, http::response::Parts};
use opalrun_transport::{
    body::RequestBody,
    connection::{Connection, Failure, Progress},
    pool::{Lease, NoConnection},
};
use std::{cell::RefCell, rc::Rc, time::Duration};
use tokio::time::{Instant, timeout, timeout_at};
use tracing::info;

/// Maximum number of reused connections that may prove closed, before a byte is written, within one attempt.
const MAX_DEAD_CONNECTIONS: u32 = 4;
/// Lowest priority that workers accept; it is the largest number.
const LOWEST_WORKER_PRIORITY: u8 = 9;
/// Maximum length of an answer that is read completely, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time-out for the rest of an answer of which only the head matters.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum number of chunks of such an answer that are read, the end of the body included.
const MAX_DISCARDED_CHUNKS: u32 = 4;

/// A request in flight at a worker. Dropping it releases the slot that the request occupies there.
pub struct WorkerRequest {
    proxy: Rc<Proxy>,
    service: String,
    slot: RefCell<WorkerSlot>,
}

impl WorkerRequest {
    fn begin(proxy: &Rc<Proxy>, request: &ForwardedRequest, selected: &SelectedWorker) -> Self {
        let now = proxy.now();
        let slot = proxy.with_balancer(&request.service, |b| {
            b.request_sent(now, &selected.id, &request.parameters.prompt_segments)
        });
        Self { proxy: proxy.clone(), service: request.service.clone(), slot: RefCell::new(slot) }
    }

    /// Records that the worker has begun to answer, and the load that it reported.
    pub fn answer_started(&self, report: Option<LoadReport>) {
        let now = self.proxy.now();
        let slot = &mut *self.slot.borrow_mut();
        self.proxy.with_balancer(&self.service, |b| b.answer_started(now, slot, report));
    }

    /// Records that the worker has answered successfully or has sent the first event of a stream.
    pub fn succeeded(&self) {
        let now = self.proxy.now();
        self.proxy.with_balancer(&self.service, |b| b.attempt_succeeded(now, self.slot.borrow().worker()));
    }

    /// Records that the answer had not begun when the attempt timed out.
    pub fn timed_out(&self) {
        let now = self.proxy.now();
        let slot = &mut *self.slot.borrow_mut();
        self.proxy.with_balancer(&self.service, |b| b.record_answer_time(now, slot));
    }

    /// Records that the worker's answer was incomplete, invalid or a server error.
    pub fn failed(&self) {
        let now = self.proxy.now();
        self.proxy.with_balancer(&self.service, |b| b.attempt_failed(now, self.slot.borrow().worker()));
    }

    /// Records that the worker rejected the request without running it.
    fn rejected(&self, report: Option<LoadReport>) {
        let now = self.proxy.now();
        self.proxy.with_balancer(&self.service, |b| b.attempt_rejected(now, &self.slot.borrow(), report));
    }
}

impl Drop for WorkerRequest {
    fn drop(&mut self) {
        self.proxy.with_balancer(&self.service, |b| b.request_ended(&self.slot.borrow()));
    }
}

/// An exchange whose answer's head has been received.
pub struct Exchange {
    lease: Lease,
    body: Incoming,
    /// Head of the answer.
    pub parts: Parts,
    /// The request in flight at the worker.
    pub worker_request: WorkerRequest,
}

/// The body of an answer can't be read any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyBroken;

impl Exchange {
    /// Returns the load that the worker reported in the head of its answer.
    pub fn load_report(&self) -> Option<LoadReport> {
        request_parameters::header_text(&self.parts.headers, &SERVER_LOAD).and_then(LoadReport::parse)
    }

    /// Whether the framing of the body, its length or its chunks, shows where it ends. Otherwise it ends with the connection,
    /// which ends in the same way when the worker is killed.
    pub fn has_framed_body(&self) -> bool {
        headers::has_framed_body(&self.parts.headers)
    }

    /// Returns the next chunk of the body; `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, BodyBroken> {
        self.lease.connection().next_chunk(&mut self.body).await.map_err(|_| BodyBroken)
    }

    /// Reads the complete body until `deadline`, returns the connection to its pool, and records success or failure of
    /// the worker.
    pub async fn read_complete(mut self, deadline: Instant) -> Result<(Parts, Bytes), BodyBroken> {
        if let Ok(bytes) = self.collect(deadline).await {
            let failed = self.parts.status.is_server_error();
            if failed {
                self.worker_request.failed();
            } else {
                self.worker_request.succeeded();
            }
            self.lease.release(false);
            Ok((self.parts, bytes))
        } else {
            self.fail();
            Err(BodyBroken)
        }
    }

    async fn collect(&mut self, deadline: Instant) -> Result<Bytes, BodyBroken> {
        let mut first: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        while let Some(data) = timeout_at(deadline, self.chunk()).await.map_err(|_| BodyBroken)?? {
            if joined.len() + data.len() > MAX_ANSWER_BYTES {
                return Err(BodyBroken);
            }
            match first.take() {
                None if joined.is_empty() => first = Some(data),
                before => {
                    joined.extend_from_slice(&before.unwrap_or_default());
                    joined.extend_from_slice(&data);
                }
            }
        }
        Ok(first.unwrap_or_else(|| joined.freeze()))
    }

    /// Closes the connection of an answer that broke off or timed out, and records the worker's failure.
    pub fn fail(self) {
        self.worker_request.failed();
    }

    /// Returns the connection to its pool after the body was read completely.
    pub fn finish(self) {
        self.lease.release(false);
    }
}

impl Proxy {
    /// Sends the request to a worker and reads the head of the answer until `deadline`.
    ///
    /// # Errors
    /// Why there is no valid answer to this request.
    pub async fn exchange(
        self: &Rc<Self>,
        request: &ForwardedRequest,
        selected: &SelectedWorker,
        deadline: Instant,
        last_event_id: Option<u64>,
    ) -> Result<Exchange, AttemptFailure> {
        let worker_request = WorkerRequest::begin(self, request, selected);
        let mut dead_connections = 0;
        loop {
            let mut lease = self.connect(request, selected, deadline).await?;
            let progress = lease.progress();
            let message = request_for(request, selected, last_event_id);
            let sent = timeout_at(deadline, lease.connection().send(message)).await;
            match sent {
                Ok(Ok(response)) => {
                    lease.report_response();
                    let (parts, body) = response.into_parts();
                    let exchange = Exchange { lease, body, parts, worker_request };
                    return self.check_head(request, selected, exchange);
                }
                Ok(Err(Failure::Unsent)) if lease.is_reused() && dead_connections < MAX_DEAD_CONNECTIONS => {
                    lease.report_dead();
                    dead_connections += 1;
                }
                Ok(Err(failure)) => {
                    info!(worker = &*selected.id, ?failure, "connection to worker broke before its answer");
                    lease.report_closed_early();
                    self.failed(request, selected);
                    return Err(failure_of(&progress));
                }
                Err(_elapsed) => {
                    worker_request.timed_out();
                    if deadline < request.deadline {
                        info!(
                            worker = &*selected.id,
                            "worker did not begin its answer before the attempt timed out"
                        );
                        self.failed(request, selected);
                    } else {
                        let now = self.now();
                        self.with_balancer(&request.service, |b| b.request_timed_out(now, &selected.id));
                    }
                    return Err(failure_of(&progress));
                }
            }
        }
    }

    async fn connect(
        self: &Rc<Self>,
        request: &ForwardedRequest,
        selected: &SelectedWorker,
        deadline: Instant,
    ) -> Result<Lease, AttemptFailure> {
        let lease = timeout_at(deadline, self.pools().lease(&selected.id)).await;
        match lease {
            Ok(Ok(lease)) => Ok(lease),
            Ok(Err(NoConnection::Refused | NoConnection::TimedOut)) => {
                self.failed(request, selected);
                Err(AttemptFailure::NotSent)
            }
            Ok(Err(_)) | Err(_) => Err(AttemptFailure::NotSent),
        }
    }

    fn failed(&self, request: &ForwardedRequest, selected: &SelectedWorker) {
        let now = self.now();
        self.with_balancer(&request.service, |b| b.attempt_failed(now, &selected.id));
    }

    /// Checks that the answer belongs to this request and does not state that the request was not run.
    fn check_head(
        &self,
        request: &ForwardedRequest,
        selected: &SelectedWorker,
        exchange: Exchange,
    ) -> Result<Exchange, AttemptFailure> {
        if request_parameters::header_text(&exchange.parts.headers, &REQUEST_ID)
            != Some(&request.parameters.request_id)
        {
            self.failed(request, selected);
            return Err(AttemptFailure::MayHaveRun);
        }
        self.update_keep_alive(selected, &exchange.parts);
        let status = exchange.parts.status;
        let replaced = status == StatusCode::MISDIRECTED_REQUEST;
        let not_executed = exchange.parts.headers.contains_key(&NOT_EXECUTED);
        if !replaced && (!not_executed || status == StatusCode::BAD_REQUEST) {
            return Ok(exchange);
        }
        if replaced {
            self.with_balancer(&request.service, |b| b.worker_replaced(&selected.id));
        } else {
            exchange.worker_request.rejected(exchange.load_report());
        }
        exchange.discard_body();
        Err(AttemptFailure::NotExecuted)
    }
}

impl Exchange {
    /// Reads and discards the short body of an answer of which only the head matters, so that the connection can be
    /// reused. This happens in the background: the head has decided, and the rest may never be received. A connection whose
    /// body is not complete within [`DISCARD_TIMEOUT`] is closed.
    fn discard_body(self) {
        let Self { mut lease, mut body, .. } = self;
        tokio::task::spawn_local(async move {
            let read = read_short_body(lease.connection(), &mut body);
            if timeout(DISCARD_TIMEOUT, read).await == Ok(Ok(())) {
                lease.release(true);
            }
        });
    }
}

/// Reads a body of at most [`MAX_DISCARDED_CHUNKS`] chunks to its end.
async fn read_short_body(connection: &mut Connection, body: &mut Incoming) -> Result<(), BodyBroken> {
    for _ in 0..MAX_DISCARDED_CHUNKS {
        if connection.next_chunk(body).await.map_err(|_| BodyBroken)?.is_none() {
            return Ok(());
        }
    }
    Err(BodyBroken)
}

/// Returns the failure of an attempt without an answer, depending on whether the request was sent completely.
fn failure_of(progress: &Progress) -> AttemptFailure {
    if progress.is_fully_sent() { AttemptFailure::MayHaveRun } else { AttemptFailure::NotSent }
}

/// Builds the request to be sent to this worker.
fn request_for(
    request: &ForwardedRequest,
    selected: &SelectedWorker,
    last_event_id: Option<u64>,
) -> Request<RequestBody> {
    let mut message = Request::new(RequestBody::Complete(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    // The whole time until the request's deadline, even when the attempt's time-out for the beginning of the answer is
    // shorter: once the answer has begun, it may take until the deadline.
    let left_ms = request.time_left().as_millis().max(1);
    headers.insert(request_parameters::DEADLINE_MS, HeaderValue::from(left_ms as u64));
    headers.insert(
        request_parameters::PRIORITY,
        HeaderValue::from(u16::from(request.route.priority.min(LOWEST_WORKER_PRIORITY))),
    );
    if let Ok(id) = HeaderValue::from_str(&selected.id) {
        headers.insert(EXPECT_INSTANCE, id);
    }
    if let Some(id) = last_event_id {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
    }
    message
}

impl Proxy {
    /// Records the worker's `Keep-Alive` time, so that idle connections are closed here before the worker closes them.
    fn update_keep_alive(&self, selected: &SelectedWorker, parts: &Parts) {
        if let Some(seconds) = headers::keep_alive_seconds(&parts.headers) {
            self.record_keep_alive(&selected.id, seconds);
        }
    }
}
