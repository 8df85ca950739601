//! Attempts and probes: connections to the workers, kept and reused, and how each exchange ended.

use crate::{
    body::{Gathered, Piece, Pool, Sent, Upload},
    link::{Failure, Link, Progress},
};
use fnv::FnvHashMap;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
    header,
};
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::sync::mpsc;
use weirusher::{Load, Options, Status};

/// A worker that has begun an answer and says nothing for so long gives no more of it.
const SILENT: Duration = Duration::from_secs(10);
/// How long the beginning of an answer of unknown length is kept back: one that breaks before can still be
/// made good elsewhere.
const KEPT_BACK: Duration = Duration::from_millis(100);

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
    pub body: Option<Gathered>,
    /// Where it was not: it can be taken once.
    pub upload: RefCell<Option<Upload>>,
}

/// What a worker's exchange leads to for whoever asked for it.
pub trait Caller {
    /// From here on the request is no longer held in full.
    fn begun(&self);
    /// The answer goes to the client from here on, in pieces after `gathered`; `None`: it has had one.
    fn answers(&self, gathered: Gathered, length: Option<u64>) -> Option<mpsc::Sender<Piece>>;
}

/// How an attempt or probe ended.
pub struct Ending {
    pub status: Status,
    /// A whole answer.
    pub body: Option<Gathered>,
    pub load: Load,
}

impl Ending {
    pub fn of(status: Status) -> Self {
        Self { status, body: None, load: Load::default() }
    }
}

/// A connection's place in the budget, given back when the connection goes.
struct Slot(Rc<Cell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Pooled {
    link: Link,
    since: Instant,
    _slot: Slot,
}

/// How far an attempt has come, as its time-out needs to know.
pub type Trace = Rc<RefCell<Option<Rc<Progress>>>>;

/// Whether the attempt's last byte has been written.
pub fn may_have_run(trace: &Trace) -> bool {
    trace.borrow().as_ref().is_some_and(|p| p.sent_whole())
}

pub struct Workers {
    idle: RefCell<FnvHashMap<SocketAddr, Vec<Pooled>>>,
    open: Rc<Cell<usize>>,
    budget: Cell<usize>,
    /// None is kept idle.
    none: Cell<bool>,
    keep: Cell<Duration>,
    connect: Cell<Duration>,
}

impl Workers {
    /// `budget` connections at most.
    pub fn new(budget: usize, options: &Options) -> Self {
        let (none, keep, connect) = Default::default();
        let budget = Cell::new(budget);
        let workers = Self { idle: RefCell::default(), open: Rc::default(), budget, none, keep, connect };
        workers.retune(options);
        workers
    }

    /// From now on keeps none idle for the options' limit, and waits for none past their time.
    pub fn retune(&self, options: &Options) {
        let idle_limit = Duration::from_secs_f64(options.conn_idle);
        // A worker closes at its limit, and a request that crosses that is lost: close well before.
        self.keep.set(idle_limit.saturating_sub(Duration::from_secs(2)).max(idle_limit / 2));
        self.connect.set(Duration::from_secs_f64(options.connect_timeout));
    }

    /// Closes idle connections that are dead or due; keeps none to workers that `wanted` does not name.
    pub fn sweep(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        self.idle.borrow_mut().retain(|addr, links| {
            links.retain_mut(|p| p.since.elapsed() < self.keep.get() && p.link.ready());
            !links.is_empty() && wanted(addr)
        });
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// From now on `budget` connections at most; those beyond it end with their attempts.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
    }

    /// Whether no connection is kept idle any more.
    pub fn keep_none(&self, none: bool) {
        self.none.set(none);
        if none {
            self.idle.borrow_mut().clear();
        }
    }

    /// Closes the idle connections to one worker.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    fn take(&self, addr: SocketAddr) -> Option<Pooled> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&addr)?;
        loop {
            // The last one used first: the rest stay idle and go. A dead one is dropped here, unreported.
            let mut pooled = links.pop()?;
            if pooled.since.elapsed() < self.keep.get() && pooled.link.ready() {
                return Some(pooled);
            }
        }
    }

    fn put(&self, addr: SocketAddr, mut pooled: Pooled) {
        if !self.none.get() && self.open.get() <= self.budget.get() && pooled.link.ready() {
            pooled.since = Instant::now();
            self.idle.borrow_mut().entry(addr).or_default().push(pooled);
        }
    }

    /// A place for one more connection; at the edge the connection that has stood idle longest makes room.
    fn slot(&self) -> Option<Slot> {
        if self.open.get() >= self.budget.get() {
            let mut idle = self.idle.borrow_mut();
            let longest = idle.values_mut().filter(|l| !l.is_empty()).min_by_key(|l| l[0].since)?;
            longest.remove(0);
        }
        self.open.set(self.open.get() + 1);
        Some(Slot(self.open.clone()))
    }

    async fn fresh(&self, addr: SocketAddr) -> Result<Pooled, Status> {
        // No descriptor left says nothing of the worker: the attempt was never sent.
        let slot = self.slot().ok_or(Status::Moot)?;
        let link = Link::open(addr, self.connect.get()).await.map_err(|_| Status::ConnectFailed)?;
        Ok(Pooled { link, since: Instant::now(), _slot: slot })
    }

    /// Sends one request and reads its answer's head. Nothing is sent a second time: only a kept connection on
    /// which not one byte was written is replaced by another.
    async fn send(
        &self,
        addr: SocketAddr,
        trace: &Trace,
        build: impl Fn(&Rc<Progress>) -> Option<Request<Sent>>,
    ) -> Result<(Pooled, Response<Incoming>), Status> {
        loop {
            let (mut pooled, kept) = match self.take(addr) {
                Some(pooled) => (pooled, true),
                None => (self.fresh(addr).await?, false),
            };
            let progress = pooled.link.progress();
            // A body that went with a connection is not there for another.
            let request = build(&progress).ok_or(Status::ConnectFailed)?;
            *trace.borrow_mut() = Some(progress);
            match pooled.link.send(request).await {
                Ok(response) => return Ok((pooled, response)),
                Err(Failure::Unsent) if kept => {}
                Err(Failure::Unsent | Failure::Partial) => return Err(Status::ConnectFailed),
                Err(Failure::Reset) => return Err(Status::Reset),
            }
        }
    }

    /// Sends `what` to the worker at `addr` once; `wait` tells it how long the gateway will wait.
    pub async fn attempt(
        &self,
        addr: SocketAddr,
        what: &Forward,
        wait: f64,
        trace: &Trace,
        pool: &Pool,
        caller: &impl Caller,
    ) -> Ending {
        let build = |progress: &Rc<Progress>| {
            let body = match &what.body {
                Some(gathered) => Sent::Whole(Some(gathered.whole())),
                None => {
                    let upload = what.upload.borrow_mut().take()?;
                    caller.begun();
                    Sent::Streams(Box::new(upload), progress.clone())
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
            if let Ok(wait) = header::HeaderValue::try_from(format!("{wait:.3}")) {
                headers.insert("x-remaining", wait);
            }
            if let Some(kind) = &what.content_type {
                headers.insert(header::CONTENT_TYPE, kind.clone());
            }
            Some(request)
        };
        let sent = tokio::select! {
            sent = self.send(addr, trace, build) => sent,
            // The time of a body that still comes is its client's, so a worker that reads no more has its own.
            () = stuck(trace), if what.body.is_none() => Err(Status::ConnectFailed),
        };
        let (pooled, response) = match sent {
            Ok(answer) => answer,
            Err(status) => return Ending::of(status),
        };
        let (parts, body) = response.into_parts();
        let turned_away = parts.headers.get("x-turned-away").is_some_and(|v| v == "1");
        let load = load_of(&parts.headers);
        let ending = match parts.status.as_u16() {
            200 => self.serve(addr, pooled, body, pool, caller).await,
            503 | 504 if turned_away => self.pass_over(addr, pooled, body, Status::Full).await,
            _ => self.pass_over(addr, pooled, body, Status::Error).await,
        };
        Ending { load, ..ending }
    }

    /// Reads an answer that says enough by its head, and keeps the connection if there is little of it.
    async fn pass_over(
        &self,
        addr: SocketAddr,
        mut pooled: Pooled,
        mut body: Incoming,
        status: Status,
    ) -> Ending {
        if body.size_hint().upper().is_some_and(|n| n <= PASSED_OVER) {
            let rest = async { while let Ok(Some(_)) = pooled.link.piece(&mut body).await {} };
            if tokio::time::timeout(KEPT_BACK, rest).await.is_ok() {
                self.put(addr, pooled);
            }
        }
        Ending::of(status)
    }

    /// Reads an answer: whole while it is short, else passes it on as it comes.
    async fn serve(
        &self,
        addr: SocketAddr,
        mut pooled: Pooled,
        mut body: Incoming,
        pool: &Pool,
        caller: &impl Caller,
    ) -> Ending {
        let length = body.size_hint().exact();
        let mut gathered = Gathered::new(pool);
        let long = length.is_some_and(|n| usize::try_from(n).is_ok_and(|n| !gathered.fits(n)));
        let mut patience = pin!(tokio::time::sleep(KEPT_BACK));
        while !long && gathered.fits(1) {
            let piece = tokio::select! {
                biased;
                piece = pooled.link.piece(&mut body) => piece,
                () = patience.as_mut(), if length.is_none() => break,
            };
            match piece {
                Ok(Some(data)) => gathered.push(data),
                Ok(None) => {
                    self.put(addr, pooled);
                    return Ending { body: Some(gathered), ..Ending::of(Status::Ok) };
                }
                Err(_) => return Ending::of(Status::Reset),
            }
        }
        let Some(client) = caller.answers(gathered, length) else { return Ending::of(Status::Cancelled) };
        loop {
            let piece = tokio::select! {
                piece = tokio::time::timeout(SILENT, pooled.link.piece(&mut body)) => piece,
                () = client.closed() => return Ending::of(Status::Cancelled),
            };
            let piece = match piece {
                Ok(Ok(Some(data))) => Piece::Data(data),
                Ok(Ok(None)) => {
                    self.put(addr, pooled);
                    // A client that has gone says so itself.
                    let _ = client.send(Piece::End).await;
                    return Ending::of(Status::Ok);
                }
                Ok(Err(_)) | Err(_) => return Ending::of(Status::Reset),
            };
            if client.send(piece).await.is_err() {
                return Ending::of(Status::Cancelled);
            }
        }
    }

    /// Asks the worker how it is.
    pub async fn probe(&self, addr: SocketAddr) -> Ending {
        let build = |_: &Rc<Progress>| {
            let mut request = Request::new(Sent::empty());
            *request.uri_mut() = Uri::from_static("/metrics/load");
            request.headers_mut().insert(header::HOST, header::HeaderValue::from_static("backend.local"));
            Some(request)
        };
        let (mut pooled, response) = match self.send(addr, &Trace::default(), build).await {
            Ok(answer) => answer,
            Err(status) => return Ending::of(status),
        };
        let (parts, mut body) = response.into_parts();
        if parts.status != StatusCode::OK {
            return self.pass_over(addr, pooled, body, Status::Error).await;
        }
        match pooled.link.whole(&mut body).await {
            Ok(body) => {
                self.put(addr, pooled);
                let load = std::str::from_utf8(&body).map(report).unwrap_or_default();
                Ending { load, ..Ending::of(Status::Ok) }
            }
            Err(_) => Ending::of(Status::Reset),
        }
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
