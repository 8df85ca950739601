//! Sends attempts and probes to workers: each is one HTTP exchange on a pooled connection.

use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
    header,
};
use opalrun_gateway::{Load, ServerId, Status};
use opalrun_transport::{
    body::{BodyBuffer, Chunk, Forwarding, MemoryBudget, RequestBody, Upload},
    connection::{Failure, Progress},
    pool::{Lease, NoConnection, Pools},
};
use std::{
    cell::RefCell,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;

/// Time without progress after which an answer, or the upload of a request body, is given up.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long the beginning of an answer of unknown length is buffered: if the connection breaks meanwhile, another
/// attempt can still replace it. Past its deadline, an answer that makes no progress for as long is cut off.
pub const ANSWER_BUFFERING_TIME: Duration = Duration::from_millis(100);

/// Longest answer body, in bytes, that is read and dropped so that its connection can be reused.
const MAX_DRAINED_BYTES: u64 = 16 * 1024;

/// The part of a client's request that is sent to workers.
pub struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub txn: header::HeaderValue,
    pub idempotency_key: Option<header::HeaderValue>,
    pub content_type: Option<header::HeaderValue>,
    /// The complete body, if it was small enough to be buffered.
    pub body: Option<BodyBuffer>,
    /// Otherwise the body as a stream, which one attempt can take.
    pub upload: RefCell<Option<Upload>>,
}

/// Receives the progress of an attempt.
pub trait Caller {
    /// The attempt has taken the streamed body, so no other attempt can send the request.
    fn upload_started(&self);
    /// The answer is to be forwarded to the client: first `buffered`, whose last byte arrived at `last_received`, then
    /// the chunks that are sent to the returned channel. `length` is the length of the whole body, if known. `None`: the
    /// client has had its answer.
    fn forward_answer(
        &self,
        buffered: BodyBuffer,
        length: Option<u64>,
        last_received: Instant,
    ) -> Option<(mpsc::Sender<Chunk>, Rc<Forwarding>)>;
}

/// Time limits of an attempt.
pub struct AttemptLimits {
    /// Seconds that the gateway waits for the answer; sent to the worker in `x-remaining`.
    pub timeout: f64,
    /// Latest time at which the request may have been written completely; a request that is not is abandoned.
    pub send_by: Option<Instant>,
}

/// Result of an attempt or probe.
pub struct Ending {
    pub status: Status,
    /// The complete body of a successful answer, unless it was forwarded while it arrived.
    pub body: Option<BodyBuffer>,
    /// Load that the worker reported with the answer.
    pub load: Load,
}

impl Ending {
    pub fn without_body(status: Status) -> Self {
        Self { status, body: None, load: Load::default() }
    }
}

/// How much of an attempt's request has been written, shared with the code that ends the attempt; `None` before the
/// attempt has a connection.
pub type Trace = Rc<RefCell<Option<Rc<Progress>>>>;

/// Whether a worker may have run the attempt: its request has been written completely.
pub fn may_have_run(trace: &Trace) -> bool {
    trace.borrow().as_ref().is_some_and(|p| p.is_fully_sent())
}

/// Status of an attempt that got no connection.
fn status(reason: NoConnection) -> Status {
    match reason {
        NoConnection::Refused | NoConnection::TimedOut => Status::ConnectFailed,
        // The attempt was not sent, for a reason that is no evidence about the worker.
        NoConnection::Unavailable | NoConnection::NoDescriptor | NoConnection::LimitReached => {
            Status::NotSent
        }
    }
}

pub struct Workers {
    pools: Rc<Pools>,
}

impl Workers {
    pub fn new(pools: Rc<Pools>) -> Self {
        Self { pools }
    }

    /// Sends one request and reads the head of its answer. A request is never sent twice: another connection is tried
    /// only when a reused one turns out to be closed before a byte of the request was written.
    async fn send(
        &self,
        worker: &ServerId,
        trace: &Trace,
        build: impl Fn(&Rc<Progress>) -> Option<Request<RequestBody>>,
    ) -> Result<(Lease, Response<Incoming>), Status> {
        loop {
            let mut lease = self.pools.lease(worker).await.map_err(status)?;
            let progress = lease.progress();
            // A streamed body that went to a failed connection is not available for another.
            let request = build(&progress).ok_or(Status::ConnectFailed)?;
            *trace.borrow_mut() = Some(progress);
            match lease.connection().send(request).await {
                Ok(response) => {
                    lease.report_response();
                    return Ok((lease, response));
                }
                Err(Failure::Unsent) if lease.is_reused() => lease.report_dead(),
                Err(failure) => {
                    lease.report_closed_early();
                    let ran = failure == Failure::Reset;
                    return Err(if ran { Status::Reset } else { Status::ConnectFailed });
                }
            }
        }
    }

    /// Sends `forward` to `worker` once, within `limits`. Buffered answer bytes count against `memory`.
    pub async fn attempt(
        &self,
        worker: &ServerId,
        forward: &Forward,
        AttemptLimits { timeout, send_by }: AttemptLimits,
        trace: &Trace,
        memory: &MemoryBudget,
        caller: &impl Caller,
    ) -> Ending {
        let started = Instant::now();
        let build = |progress: &Rc<Progress>| {
            // For a streamed body the time-out starts with its last byte, so nothing of it has passed yet.
            let waited = if forward.body.is_some() { started.elapsed().as_secs_f64() } else { 0.0 };
            let remaining = (timeout - waited).max(0.0);
            let body = match &forward.body {
                Some(buffered) => RequestBody::Complete(buffered.bytes().into()),
                None => {
                    let upload = forward.upload.borrow_mut().take()?;
                    caller.upload_started();
                    RequestBody::Streaming(Box::new(upload), progress.clone())
                }
            };
            let mut request = Request::new(body);
            *request.method_mut() = forward.method.clone();
            *request.uri_mut() = forward.uri.clone();
            let headers = request.headers_mut();
            headers.insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            headers.insert("x-txn", forward.txn.clone());
            if let Some(key) = &forward.idempotency_key {
                headers.insert("idempotency-key", key.clone());
            }
            if let Ok(remaining) = header::HeaderValue::try_from(format!("{remaining:.3}")) {
                headers.insert("x-remaining", remaining);
            }
            if let Some(content_type) = &forward.content_type {
                headers.insert(header::CONTENT_TYPE, content_type.clone());
            }
            Some(request)
        };
        let sent = tokio::select! {
            biased;
            // Checked first, so that nothing is written after `send_by`. Dropping the send closes a connection on which
            // the request is written in part. A streamed body is sent by one attempt only, so it needs no such limit.
            () = missed_send_deadline(send_by, trace), if forward.body.is_some() => Err(Status::NotSent),
            sent = self.send(worker, trace, build) => sent,
            // The client determines how long a streamed body takes, so a worker that stops reading it has a time-out of
            // its own.
            () = upload_stalled(trace), if forward.body.is_none() => Err(Status::ConnectFailed),
        };
        let (lease, response) = match sent {
            Ok(answer) => answer,
            Err(status) => return Ending::without_body(status),
        };
        let (parts, body) = response.into_parts();
        let is_rejected = parts.headers.get("x-turned-away").is_some_and(|v| v == "1");
        let load = load_from_headers(&parts.headers);
        let ending = match parts.status.as_u16() {
            200 => self.read_answer(lease, body, memory, caller).await,
            503 | 504 if is_rejected => self.drop_answer(lease, body, Status::Rejected).await,
            _ => self.drop_answer(lease, body, Status::Error).await,
        };
        Ending { load, ..ending }
    }

    /// Ends an attempt with `status`, whatever the body holds. A short body is read so that the connection can be reused.
    async fn drop_answer(&self, mut lease: Lease, mut body: Incoming, status: Status) -> Ending {
        if body.size_hint().upper().is_some_and(|n| n <= MAX_DRAINED_BYTES) {
            let rest = async { while let Ok(Some(_)) = lease.connection().next_chunk(&mut body).await {} };
            if tokio::time::timeout(ANSWER_BUFFERING_TIME, rest).await.is_ok() {
                lease.release(status == Status::Rejected);
            }
        }
        Ending::without_body(status)
    }

    /// Reads the body of a successful answer. A short one is buffered completely; a longer one, or one of unknown length
    /// that takes longer than `ANSWER_BUFFERING_TIME`, is forwarded to the client as it arrives.
    async fn read_answer(
        &self,
        mut lease: Lease,
        mut body: Incoming,
        memory: &MemoryBudget,
        caller: &impl Caller,
    ) -> Ending {
        let length = body.size_hint().exact();
        let mut buffered = BodyBuffer::new(memory);
        let is_long = length.is_some_and(|n| usize::try_from(n).is_ok_and(|n| !buffered.fits(n)));
        let (mut buffering_end, mut last_received) =
            (pin!(tokio::time::sleep(ANSWER_BUFFERING_TIME)), Instant::now());
        while !is_long && buffered.fits(1) {
            let chunk = tokio::select! {
                biased;
                chunk = lease.connection().next_chunk(&mut body) => chunk,
                () = buffering_end.as_mut(), if length.is_none() => break,
            };
            match chunk {
                Ok(Some(data)) => {
                    last_received = Instant::now();
                    buffered.push(data);
                }
                Ok(None) => {
                    lease.release(false);
                    return Ending { body: Some(buffered), ..Ending::without_body(Status::Ok) };
                }
                Err(_) => return Ending::without_body(Status::Reset),
            }
        }
        let Some((client, forwarding)) = caller.forward_answer(buffered, length, last_received) else {
            return Ending::without_body(Status::Cancelled);
        };
        loop {
            let chunk = tokio::select! {
                chunk = tokio::time::timeout(TRANSFER_IDLE_TIMEOUT, lease.connection().next_chunk(&mut body)) => chunk,
                () = client.closed() => return Ending::without_body(Status::Cancelled),
            };
            let chunk = match chunk {
                Ok(Ok(Some(data))) => {
                    forwarding.received(data.len());
                    Chunk::Data(data)
                }
                Ok(Ok(None)) => {
                    forwarding.received(0);
                    lease.release(false);
                    // A closed channel means that the client has disconnected, which its own connection handles.
                    let _ = client.send(Chunk::End).await;
                    return Ending::without_body(Status::Ok);
                }
                Ok(Err(_)) | Err(_) => return Ending::without_body(Status::Reset),
            };
            if client.send(chunk).await.is_err() {
                return Ending::without_body(Status::Cancelled);
            }
            forwarding.delivered();
        }
    }

    /// Requests the worker's load report.
    pub async fn probe(&self, worker: &ServerId) -> Ending {
        let build = |_: &Rc<Progress>| {
            let mut request = Request::new(RequestBody::empty());
            *request.uri_mut() = Uri::from_static("/metrics/load");
            request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            Some(request)
        };
        let (mut lease, response) = match self.send(worker, &Trace::default(), build).await {
            Ok(answer) => answer,
            Err(status) => return Ending::without_body(status),
        };
        let (parts, mut body) = response.into_parts();
        if parts.status != StatusCode::OK {
            return self.drop_answer(lease, body, Status::Error).await;
        }
        match lease.connection().read_to_end(&mut body).await {
            Ok(body) => {
                lease.release(false);
                let load = std::str::from_utf8(&body).map(parse_load_report).unwrap_or_default();
                Ending { load, ..Ending::without_body(Status::Ok) }
            }
            Err(_) => Ending::without_body(Status::Reset),
        }
    }
}

/// Completes at `send_by` if the request is not written completely by then, and never otherwise.
async fn missed_send_deadline(send_by: Option<Instant>, trace: &Trace) {
    if let Some(send_by) = send_by {
        tokio::time::sleep_until(send_by.into()).await;
    }
    if send_by.is_none() || may_have_run(trace) {
        std::future::pending().await
    }
}

/// Completes once no byte has been written for `TRANSFER_IDLE_TIMEOUT` though the request is still incomplete.
async fn upload_stalled(trace: &Trace) {
    let written = || trace.borrow().as_ref().map(|p| p.written());
    let mut before = written();
    loop {
        tokio::time::sleep(TRANSFER_IDLE_TIMEOUT).await;
        let now = written();
        if now == before && !may_have_run(trace) {
            return;
        }
        before = now;
    }
}

/// Load that a worker reports in the `x-pressure` header of an answer.
fn load_from_headers(headers: &HeaderMap) -> Load {
    headers.get("x-pressure").and_then(|v| v.to_str().ok()).map(parse_load_report).unwrap_or_default()
}

/// Parses a load report such as `TEXT inflight=7, util=0.61`; unknown or unreadable parts are ignored.
fn parse_load_report(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split([',', ' ']).filter_map(|part| part.trim().split_once('=')) {
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        match name {
            "inflight" | "busy_reqs" => load.inflight = value,
            "util" | "cpu_share" => load.util = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The decisions request no probes at present, so no test of the whole program covers load reports.
    #[test]
    fn load_report_is_read_under_either_set_of_names_and_unreadable_parts_are_ignored() {
        let load = parse_load_report("TEXT inflight=7, queue=2, util=0.61");
        assert_eq!((load.inflight, load.util), (Some(7.0), Some(0.61)));
        let load = parse_load_report("busy_reqs=3,cpu_share=NaN");
        assert_eq!((load.inflight, load.util), (Some(3.0), None));
        assert_eq!(parse_load_report("util=much = more"), Load::default());
    }
}
