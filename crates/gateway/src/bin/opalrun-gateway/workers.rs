//! Attempts and probes: one exchange each on a connection of the pools, and how it ended.

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

/// A worker that has begun an answer and says nothing for so long gives no more of it.
const SILENT: Duration = Duration::from_secs(10);
/// How long the beginning of an answer of unknown length is kept back: one that breaks before can still be
/// made good elsewhere. A worker that gives nothing more for as long has stopped half way.
pub const KEPT_BACK: Duration = Duration::from_millis(100);

/// Most bytes of an answer that are read only to keep its connection.
const PASSED_OVER: u64 = 16 * 1024;

/// What goes on to a worker.
pub struct Forward {
    pub method: Method,
    pub uri: Uri,
    pub txn: header::HeaderValue,
    pub idempotency_key: Option<header::HeaderValue>,
    pub content_type: Option<header::HeaderValue>,
    /// The whole body, where it was gathered.
    pub body: Option<BodyBuffer>,
    /// Where it was not: it can be taken once.
    pub upload: RefCell<Option<Upload>>,
}

/// What a worker's exchange leads to for whoever asked for it.
pub trait Caller {
    /// From here on the request is no longer held in full.
    fn begun(&self);
    /// The answer goes to the client from here on, in pieces after `gathered`; `None`: it has had one.
    /// Its last byte so far came at `last`.
    fn answers(
        &self,
        gathered: BodyBuffer,
        length: Option<u64>,
        last: Instant,
    ) -> Option<(mpsc::Sender<Chunk>, Rc<Forwarding>)>;
}

/// What an attempt may take.
pub struct Terms {
    /// Seconds that the gateway will wait, which the worker is told.
    pub wait: f64,
    /// When it is too late to send it: what is not written whole by then never is.
    pub until: Option<Instant>,
}

/// How an attempt or probe ended.
pub struct Ending {
    pub status: Status,
    /// A whole answer.
    pub body: Option<BodyBuffer>,
    pub load: Load,
}

impl Ending {
    pub fn of(status: Status) -> Self {
        Self { status, body: None, load: Load::default() }
    }
}

/// How far an attempt has come, as its time-out needs to know.
pub type Trace = Rc<RefCell<Option<Rc<Progress>>>>;

/// Whether the attempt's last byte has been written.
pub fn may_have_run(trace: &Trace) -> bool {
    trace.borrow().as_ref().is_some_and(|p| p.sent_whole())
}

fn status(why: NoConnection) -> Status {
    match why {
        NoConnection::Refused | NoConnection::TimedOut => Status::ConnectFailed,
        // It was never sent, and this says nothing of the worker.
        NoConnection::Unknown | NoConnection::NoDescriptor | NoConnection::Bound => Status::NotSent,
    }
}

pub struct Workers {
    pools: Rc<Pools>,
}

impl Workers {
    pub fn new(pools: Rc<Pools>) -> Self {
        Self { pools }
    }

    /// Sends one request and reads its answer's head. Nothing is sent a second time: only a kept connection on
    /// which not one byte was written is replaced by another.
    async fn send(
        &self,
        worker: &ServerId,
        trace: &Trace,
        build: impl Fn(&Rc<Progress>) -> Option<Request<RequestBody>>,
    ) -> Result<(Lease, Response<Incoming>), Status> {
        loop {
            let mut lease = self.pools.lease(worker).await.map_err(status)?;
            let progress = lease.progress();
            // A body that went with a connection is not there for another.
            let request = build(&progress).ok_or(Status::ConnectFailed)?;
            *trace.borrow_mut() = Some(progress);
            match lease.connection().send(request).await {
                Ok(response) => {
                    lease.heard();
                    return Ok((lease, response));
                }
                Err(Failure::Unsent) if lease.kept() => lease.stale(),
                Err(failure) => {
                    lease.cut_off();
                    let ran = failure == Failure::Reset;
                    return Err(if ran { Status::Reset } else { Status::ConnectFailed });
                }
            }
        }
    }

    /// Sends `what` to `worker` once, within `terms`.
    pub async fn attempt(
        &self,
        worker: &ServerId,
        what: &Forward,
        Terms { wait, until }: Terms,
        trace: &Trace,
        pool: &MemoryBudget,
        caller: &impl Caller,
    ) -> Ending {
        let begun = Instant::now();
        let build = |progress: &Rc<Progress>| {
            // The time of a body that still comes runs from its last byte.
            let waited = if what.body.is_some() { begun.elapsed().as_secs_f64() } else { 0.0 };
            let left = (wait - waited).max(0.0);
            let body = match &what.body {
                Some(gathered) => RequestBody::Complete(Some(gathered.bytes())),
                None => {
                    let upload = what.upload.borrow_mut().take()?;
                    caller.begun();
                    RequestBody::Streaming(Box::new(upload), progress.clone())
                }
            };
            let mut request = Request::new(body);
            *request.method_mut() = what.method.clone();
            *request.uri_mut() = what.uri.clone();
            let headers = request.headers_mut();
            headers.insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            headers.insert("x-txn", what.txn.clone());
            if let Some(key) = &what.idempotency_key {
                headers.insert("idempotency-key", key.clone());
            }
            if let Ok(left) = header::HeaderValue::try_from(format!("{left:.3}")) {
                headers.insert("x-remaining", left);
            }
            if let Some(kind) = &what.content_type {
                headers.insert(header::CONTENT_TYPE, kind.clone());
            }
            Some(request)
        };
        let sent = tokio::select! {
            biased;
            // First, so that nothing is written after it; dropping the rest closes what it has begun. A body that still
            // comes goes once only, and repeats nothing.
            () = too_late(until, trace), if what.body.is_some() => Err(Status::NotSent),
            sent = self.send(worker, trace, build) => sent,
            // The time of a body that still comes is its client's, so a worker that reads no more has its own.
            () = stuck(trace), if what.body.is_none() => Err(Status::ConnectFailed),
        };
        let (lease, response) = match sent {
            Ok(answer) => answer,
            Err(status) => return Ending::of(status),
        };
        let (parts, body) = response.into_parts();
        let turned_away = parts.headers.get("x-turned-away").is_some_and(|v| v == "1");
        let load = load_of(&parts.headers);
        let ending = match parts.status.as_u16() {
            200 => self.serve(lease, body, pool, caller).await,
            503 | 504 if turned_away => self.pass_over(lease, body, Status::Rejected).await,
            _ => self.pass_over(lease, body, Status::Error).await,
        };
        Ending { load, ..ending }
    }

    /// Reads an answer that says enough by its head, and keeps the connection if there is little of it.
    async fn pass_over(&self, mut lease: Lease, mut body: Incoming, status: Status) -> Ending {
        if body.size_hint().upper().is_some_and(|n| n <= PASSED_OVER) {
            let rest = async { while let Ok(Some(_)) = lease.connection().piece(&mut body).await {} };
            if tokio::time::timeout(KEPT_BACK, rest).await.is_ok() {
                lease.give_back(status == Status::Rejected);
            }
        }
        Ending::of(status)
    }

    /// Reads an answer: whole while it is short, else passes it on as it comes.
    async fn serve(
        &self,
        mut lease: Lease,
        mut body: Incoming,
        pool: &MemoryBudget,
        caller: &impl Caller,
    ) -> Ending {
        let length = body.size_hint().exact();
        let mut gathered = BodyBuffer::new(pool);
        let long = length.is_some_and(|n| usize::try_from(n).is_ok_and(|n| !gathered.fits(n)));
        let (mut patience, mut last) = (pin!(tokio::time::sleep(KEPT_BACK)), Instant::now());
        while !long && gathered.fits(1) {
            let piece = tokio::select! {
                biased;
                piece = lease.connection().piece(&mut body) => piece,
                () = patience.as_mut(), if length.is_none() => break,
            };
            match piece {
                Ok(Some(data)) => {
                    last = Instant::now();
                    gathered.push(data);
                }
                Ok(None) => {
                    lease.give_back(false);
                    return Ending { body: Some(gathered), ..Ending::of(Status::Ok) };
                }
                Err(_) => return Ending::of(Status::Reset),
            }
        }
        let Some((client, passing)) = caller.answers(gathered, length, last) else {
            return Ending::of(Status::Cancelled);
        };
        loop {
            let piece = tokio::select! {
                piece = tokio::time::timeout(SILENT, lease.connection().piece(&mut body)) => piece,
                () = client.closed() => return Ending::of(Status::Cancelled),
            };
            let piece = match piece {
                Ok(Ok(Some(data))) => {
                    passing.received(data.len());
                    Chunk::Data(data)
                }
                Ok(Ok(None)) => {
                    passing.received(0);
                    lease.give_back(false);
                    // A client that has gone says so itself.
                    let _ = client.send(Chunk::End).await;
                    return Ending::of(Status::Ok);
                }
                Ok(Err(_)) | Err(_) => return Ending::of(Status::Reset),
            };
            if client.send(piece).await.is_err() {
                return Ending::of(Status::Cancelled);
            }
            passing.delivered();
        }
    }

    /// Asks the worker how it is.
    pub async fn probe(&self, worker: &ServerId) -> Ending {
        let build = |_: &Rc<Progress>| {
            let mut request = Request::new(RequestBody::empty());
            *request.uri_mut() = Uri::from_static("/metrics/load");
            request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            Some(request)
        };
        let (mut lease, response) = match self.send(worker, &Trace::default(), build).await {
            Ok(answer) => answer,
            Err(status) => return Ending::of(status),
        };
        let (parts, mut body) = response.into_parts();
        if parts.status != StatusCode::OK {
            return self.pass_over(lease, body, Status::Error).await;
        }
        match lease.connection().whole(&mut body).await {
            Ok(body) => {
                lease.give_back(false);
                let load = std::str::from_utf8(&body).map(report).unwrap_or_default();
                Ending { load, ..Ending::of(Status::Ok) }
            }
            Err(_) => Ending::of(Status::Reset),
        }
    }
}

/// Waits until `until`, and for good where the request is written whole by then.
async fn too_late(until: Option<Instant>, trace: &Trace) {
    if let Some(until) = until {
        tokio::time::sleep_until(until.into()).await;
    }
    if until.is_none() || may_have_run(trace) {
        std::future::pending().await
    }
}

/// Waits until a connection has taken nothing for a while of a request that is not yet written whole.
async fn stuck(trace: &Trace) {
    let written = || trace.borrow().as_ref().map(|p| p.written());
    let mut before = written();
    loop {
        tokio::time::sleep(SILENT).await;
        let now = written();
        if now == before && !may_have_run(trace) {
            return;
        }
        before = now;
    }
}

fn load_of(headers: &HeaderMap) -> Load {
    headers.get("x-pressure").and_then(|v| v.to_str().ok()).map(report).unwrap_or_default()
}

/// A load report, such as `TEXT inflight=7, util=0.61`; what can't be read is left out.
fn report(text: &str) -> Load {
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

    /// The module asks for no probe today, so no test of the whole program reads a report.
    #[test]
    fn a_report_is_read_under_either_name_and_garbage_is_left_out() {
        let load = report("TEXT inflight=7, queue=2, util=0.61");
        assert_eq!((load.inflight, load.util), (Some(7.0), Some(0.61)));
        let load = report("busy_reqs=3,cpu_share=NaN");
        assert_eq!((load.inflight, load.util), (Some(3.0), None));
        assert_eq!(report("util=much = more"), Load::default());
    }
}
