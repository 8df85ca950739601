//! Serves one request of a client: finds its route, attempts it at workers, and answers the client.

use crate::proxy::{
    Proxy,
    answer::{self, Answer, forward},
    attempt::{AttemptFailure, Attempts, NextStep},
    balance::{NoWorker, SelectedWorker, SelectionCriteria, WorkerId},
    body::{self, BodyError},
    event_stream::is_event_stream,
    failed_requests::{DisconnectWatch, FailureReason},
    headers::remove_connection_headers,
    request::{self, ForwardedRequest},
    request_parameters::{NOT_EXECUTED, RequestParameters},
    stream::{Stream, StreamStart},
    turn::Turn,
    upstream::Exchange,
};
use hyper::{Request, StatusCode, body::Incoming, header, http::response::Parts};
use opalrun_configuration::{Configuration, Route, RouteType};
use opalrun_transport::{
    body::ResponseBody,
    server::{Client, Handler},
};
use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};

/// `Retry-After` while no current configuration is known, or no memory is left for the request body.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a rejected request, as a fraction of its route's target latency.
const REJECTION_RETRY_AFTER_SHARE: f64 = 0.3;
/// Maximum wait of an idempotent request for the beginning of its answer while a further attempt is allowed, as a
/// multiple of the route's target latency.
const MAX_ANSWER_WAIT_IN_TARGETS: u32 = 3;
/// The same limit for a stream. It is higher because another worker would have to process the prompt again.
const MAX_STREAM_WAIT_IN_TARGETS: u32 = 6;
/// Lower bound of both limits.
const MIN_ANSWER_WAIT_LIMIT: Duration = Duration::from_millis(400);

/// Passes requests of clients to the proxy.
pub struct ClientHandler(pub Rc<Proxy>);

impl Handler for ClientHandler {
    type Body = ResponseBody;

    async fn handle(&self, request: Request<Incoming>, client: Client) -> Answer {
        client.peer.mark_used();
        self.0.clone().serve(request).await
    }
}

/// Outcome of an attempt at a worker.
pub enum AttemptOutcome {
    /// The worker's complete answer, to be forwarded.
    Answer(Answer),
    /// The worker's complete answer, which is a server error (5xx).
    WorkerFailed(Answer),
    /// The worker has begun an event stream.
    Stream(Box<Stream>),
    /// The attempt yielded no answer to forward.
    Failed(AttemptFailure),
}

impl From<Result<StreamStart, AttemptFailure>> for AttemptOutcome {
    fn from(start: Result<StreamStart, AttemptFailure>) -> Self {
        match start {
            Ok(StreamStart::Begun(stream)) => Self::Stream(stream),
            Ok(StreamStart::Empty(answer)) => Self::Answer(answer),
            Err(failure) => Self::Failed(failure),
        }
    }
}

impl Proxy {
    async fn serve(self: Rc<Self>, request: Request<Incoming>) -> Answer {
        let answer = match self.admit(request).await {
            Ok(request) => self.run_request(request).await,
            Err(answer) => answer,
        };
        self.metrics.answered(answer.status());
        answer
    }

    /// Begins the request's turn if it is one, and then attempts the request at workers.
    async fn run_request(self: &Rc<Self>, mut request: ForwardedRequest) -> Answer {
        match self.begin_turn(&mut request).await {
            Ok(()) => self.attempt_workers(request).await,
            Err(answer) => answer,
        }
    }

    /// Finds the route of a request, validates its headers and reads its body.
    async fn admit(&self, request: Request<Incoming>) -> Result<ForwardedRequest, Answer> {
        let received_at = Instant::now();
        let configuration = self.configuration().ok_or_else(|| answer::reject(UNCONFIGURED_RETRY_AFTER))?;
        let (mut head, incoming) = request.into_parts();
        let route = route_of(&configuration, &head).ok_or_else(|| self.unknown_route_answer())?;
        if header_bytes(&head) > configuration.limits.max_header_bytes {
            return Err(answer::with_close_header(answer::without_body(
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            )));
        }
        let parameters = RequestParameters::read(&head.headers)
            .map_err(|error| answer::with_message(StatusCode::BAD_REQUEST, &error.to_string()))?;
        let deadline = request::request_deadline(received_at, &parameters, &route);
        let max_bytes = configuration.limits.max_body_bytes;
        let body = body::read_complete(incoming, &self.body_memory, max_bytes, deadline)
            .await
            .map_err(body_error_answer)?;
        remove_connection_headers(&mut head.headers);
        let uri = head.uri.path_and_query().cloned().map(Into::into);
        let service = route.choose_service(fastrand::f64()).to_owned();
        let event_tokens = configuration.service(&service).map_or(1, |service| service.chunk_tokens());
        Ok(ForwardedRequest {
            method: head.method,
            uri: uri.ok_or_else(|| answer::without_body(StatusCode::BAD_REQUEST))?,
            headers: head.headers,
            body: body.bytes.into(),
            parameters,
            service,
            event_tokens,
            route,
            received_at,
            deadline,
            turn: Turn::default(),
            reservation: body.reservation,
        })
    }

    /// Returns the answer to a request that matches no route: 404, or 503 while a newer configuration that has the route
    /// may exist.
    fn unknown_route_answer(&self) -> Answer {
        if self.is_fresh() {
            answer::without_body(StatusCode::NOT_FOUND)
        } else {
            answer::reject(UNCONFIGURED_RETRY_AFTER)
        }
    }

    /// Attempts the request at workers until one answers or no further attempt is possible.
    async fn attempt_workers(self: &Rc<Self>, request: ForwardedRequest) -> Answer {
        let request = Rc::new(request);
        let mut attempts = Attempts::new(request.route.is_idempotent(), request.route.max_attempts);
        let mut attempted: Vec<WorkerId> = Vec::new();
        let watch = DisconnectWatch::new(&self.failed_requests, &request);
        loop {
            let selected = match self.select_worker(&request, &attempted) {
                Ok(selected) => selected,
                Err(error) => {
                    return watch.failed(&attempts, error.into(), final_answer(&request, &attempts));
                }
            };
            if !attempted.is_empty() {
                self.metrics.retried();
            }
            attempted.push(selected.id.clone());
            let may_attempt_more = attempts.may_attempt_more();
            match self.attempt_at(&request, &selected, may_attempt_more).await {
                AttemptOutcome::Answer(answer) => return watch.answered(answer),
                AttemptOutcome::Stream(stream) => return watch.answered(stream.relay(attempts, attempted)),
                AttemptOutcome::WorkerFailed(answer) => {
                    if attempts.record_failure(AttemptFailure::WorkerFailed, request.time_left())
                        != NextStep::AttemptAnother
                    {
                        return watch.failed(&attempts, FailureReason::WorkerFailed, answer);
                    }
                }
                AttemptOutcome::Failed(failure) => {
                    let time_left = request.time_left();
                    if attempts.record_failure(failure, time_left) != NextStep::AttemptAnother {
                        let reason = FailureReason::after_attempt(failure, time_left);
                        return watch.failed(&attempts, reason, final_answer(&request, &attempts));
                    }
                }
            }
        }
    }

    /// Selects a worker at which the request was not attempted before.
    ///
    /// # Errors
    /// No worker can serve the request at present.
    pub fn select_worker(
        &self,
        request: &ForwardedRequest,
        attempted: &[WorkerId],
    ) -> Result<SelectedWorker, NoWorker> {
        let has_idle_connection = |worker: &WorkerId| self.pools().has_idle(worker);
        let criteria = SelectionCriteria {
            prompt_segments: &request.parameters.prompt_segments,
            attempted,
            priority: u32::from(request.route.priority),
            previous_worker: request.turn.previous_worker(),
            continues_program: request.parameters.previous.is_some(),
            idempotent: request.route.is_idempotent(),
            has_idle_connection: Some(&has_idle_connection),
        };
        let now = self.now();
        self.with_balancer(&request.service, |balancer| balancer.select_worker(now, &criteria))
    }

    /// Attempts the request at one worker. `may_attempt_more`: a further attempt is allowed if this one fails.
    async fn attempt_at(
        self: &Rc<Self>,
        request: &Rc<ForwardedRequest>,
        selected: &SelectedWorker,
        may_attempt_more: bool,
    ) -> AttemptOutcome {
        let deadline = self.answer_deadline(request, selected, may_attempt_more);
        let overdue_at = self.overdue_at(request, selected).filter(|at| *at < deadline);
        let last_event_id = request.first_worker_last_event_id();
        let exchange = self.exchange(request, selected, deadline, last_event_id);
        let exchange = match self.record_if_overdue(request, selected, overdue_at, exchange).await {
            Ok(exchange) => exchange,
            Err(failure) => return AttemptOutcome::Failed(failure),
        };
        if request.route.route_type == RouteType::Streaming && is_event_stream(&exchange.parts) {
            let overdue_at = overdue_at.filter(|at| Instant::now() < *at);
            let stream = Stream::begin(self, request, &selected.id, exchange, deadline);
            return self.record_if_overdue(request, selected, overdue_at, stream).await.into();
        }
        exchange.worker_request.answer_started(exchange.load_report());
        self.plain_answer(request, exchange).await
    }

    /// Returns the time from which the beginning of this worker's answer counts as overdue: it then exceeds both the
    /// balancer's limit for the start of an answer and the route's target latency. `None` when there is no such limit.
    fn overdue_at(&self, request: &ForwardedRequest, selected: &SelectedWorker) -> Option<Instant> {
        let now = self.now();
        let start_limit =
            self.with_balancer(&request.service, |b| b.answer_start_limit(now, &selected.id))?;
        Some(Instant::now() + start_limit.max(request.route.target_latency))
    }

    /// Waits for the beginning of an answer. An overdue answer is recorded against the worker at once, long before the
    /// attempt times out, so that requests that select a worker in the meantime, here and at other gatekeepers, take it
    /// into account.
    async fn record_if_overdue<T>(
        &self,
        request: &ForwardedRequest,
        selected: &SelectedWorker,
        overdue_at: Option<Instant>,
        beginning: impl Future<Output = T>,
    ) -> T {
        let Some(overdue_at) = overdue_at else { return beginning.await };
        let mut beginning = pin!(beginning);
        if let Ok(result) = timeout_at(overdue_at, beginning.as_mut()).await {
            return result;
        }
        let now = self.now();
        self.with_balancer(&request.service, |b| b.answer_overdue(now, &selected.id));
        beginning.await
    }

    /// Returns the time at which the wait for the beginning of this worker's answer times out.
    fn answer_deadline(
        &self,
        request: &ForwardedRequest,
        selected: &SelectedWorker,
        may_attempt_more: bool,
    ) -> Instant {
        if !request.route.is_idempotent() || !may_attempt_more {
            return request.deadline;
        }
        let targets = match request.route.route_type {
            RouteType::Streaming => MAX_STREAM_WAIT_IN_TARGETS,
            RouteType::Safe | RouteType::Unsafe => MAX_ANSWER_WAIT_IN_TARGETS,
        };
        let target = request.route.target_latency;
        let max_wait = (target * targets).max(MIN_ANSWER_WAIT_LIMIT);
        let now = self.now();
        let start_limit = self.with_balancer(&request.service, |b| b.answer_start_limit(now, &selected.id));
        let wait = start_limit.map_or(max_wait, |start_limit| start_limit.max(target).min(max_wait));
        request.deadline.min(Instant::now() + wait)
    }

    /// Reads a complete answer that is not an event stream.
    async fn plain_answer(&self, request: &ForwardedRequest, exchange: Exchange) -> AttemptOutcome {
        let Ok((parts, bytes)) = exchange.read_complete(request.deadline).await else {
            return AttemptOutcome::Failed(AttemptFailure::MayHaveRun);
        };
        let status = parts.status;
        if is_unfounded_not_executed(&parts) && !request.route.is_idempotent() {
            // Forwarded, the status would state that the request has not run, which the worker did not state.
            return AttemptOutcome::Failed(AttemptFailure::MayHaveRun);
        }
        let answer = forward(parts, answer::with_body(bytes));
        if status.is_server_error() {
            AttemptOutcome::WorkerFailed(answer)
        } else {
            AttemptOutcome::Answer(answer)
        }
    }
}

/// Whether the status implies to clients that the request has not run although the worker sent no `Not-Executed` header.
fn is_unfounded_not_executed(parts: &Parts) -> bool {
    let not_executed_statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
    ];
    not_executed_statuses.contains(&parts.status) && !parts.headers.contains_key(&NOT_EXECUTED)
}

/// Returns the answer when no further attempt is possible.
fn final_answer(request: &ForwardedRequest, attempts: &Attempts) -> Answer {
    match attempts.when_exhausted() {
        NextStep::Reject => answer::reject(request.route.target_latency.mul_f64(REJECTION_RETRY_AFTER_SHARE)),
        _ if request.time_left().is_zero() => answer::without_body(StatusCode::GATEWAY_TIMEOUT),
        _ => answer::without_body(StatusCode::BAD_GATEWAY),
    }
}

fn body_error_answer(error: BodyError) -> Answer {
    let status = match error {
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::Broken => StatusCode::BAD_REQUEST,
        BodyError::NoMemory => return answer::with_close_header(answer::reject(UNCONFIGURED_RETRY_AFTER)),
    };
    answer::with_close_header(answer::with_message(status, &error.to_string()))
}

fn route_of(configuration: &Configuration, head: &hyper::http::request::Parts) -> Option<Arc<Route>> {
    let host = match head.uri.host() {
        Some(host) => host,
        None => head.headers.get(header::HOST)?.to_str().ok()?,
    };
    configuration.route(host, head.uri.path()).cloned()
}

/// Returns the approximate length of a request's path, query and headers, in bytes.
fn header_bytes(head: &hyper::http::request::Parts) -> usize {
    const SEPARATORS: usize = ": \r\n".len();
    let headers: usize =
        head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS).sum();
    headers + head.uri.path_and_query().map_or(0, |path| path.as_str().len())
}
