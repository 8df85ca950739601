//! The HTTP server for clients: validates requests, passes them to the driver and builds the responses.

use crate::{
    driver::{Answer, ClientRequest, Driver},
    workers::Forward,
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header, header::HeaderValue};
use opalrun_gateway::{Effect, JobId, Options};
use opalrun_transport::{
    body::{self, BodyError, ReceivedBody},
    server::{Client, Handler, Server, Settings},
};
use std::{cell::RefCell, rc::Rc, time::Duration};

/// Time for the first request on a connection. A client that sends no valid request is closed within 3 s of connecting.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(2700);
/// Limits of a client's connection. Slow clients take 2 s for a head, and a connection may be closed after 2 s of idling.
const SETTINGS: Settings = Settings {
    max_head_bytes: 16 * 1024,
    head_timeout: Duration::from_millis(2600),
    first_head_timeout: FIRST_REQUEST_TIME,
    idle_timeout: Duration::from_millis(2200),
    eviction_min_idle: Duration::from_millis(500),
    write_stall_timeout: Duration::from_secs(30),
};
/// Time for a request body in addition to the time that its length allows: the second value on a connection that has
/// served a request. The first body of a connection has what is left of `FIRST_REQUEST_TIME`, which bounds misbehaving
/// clients, but at least the first value.
const BODY_TIME: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(1500));
/// Upper bound of customer numbers, exclusive.
const CUSTOMER_NUMBER_END: u64 = 1 << 33;

/// The server for clients.
pub type Clients = Server<Requests>;

/// Creates a server for clients with at most `budget` connections.
pub fn new(driver: Rc<Driver>, budget: usize) -> Rc<Clients> {
    Server::new(Requests { driver }, SETTINGS, budget)
}

/// Answers clients' requests through the driver.
pub struct Requests {
    driver: Rc<Driver>,
}

impl Handler for Requests {
    type Body = body::ResponseBody;

    async fn handle(&self, request: Request<Incoming>, client: Client) -> Response<body::ResponseBody> {
        if request.uri().path() == "/up" {
            return empty_response(if client.is_in_service {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            });
        }
        match self.read_request(request, &client).await {
            Ok(request) => self.answer(request).await,
            Err(status) => {
                let mut response = empty_response(status);
                if matches!(status, StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT) {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                response
            }
        }
    }
}

impl Requests {
    async fn answer(&self, request: ClientRequest) -> Response<body::ResponseBody> {
        let (job, receiver) = self.driver.accept(request);
        let mut pending = PendingRequest { driver: &self.driver, job: &job, answered: false };
        let answer = receiver.await;
        pending.answered = true;
        match answer {
            Ok(Answer::Served(body)) => Response::new(body),
            Ok(Answer::Rejected(retry_after)) => {
                let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
                let retry_after_header = HeaderValue::try_from(format!("{retry_after:.3}"));
                if let (true, Ok(value)) = (retry_after > 0.0, retry_after_header) {
                    response.headers_mut().insert(header::RETRY_AFTER, value);
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => empty_response(StatusCode::BAD_GATEWAY),
        }
    }

    /// Reads and validates a request. Returns the status to answer with if it is invalid; the decisions never see such
    /// a request.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        client: &Client,
    ) -> Result<ClientRequest, StatusCode> {
        let (head, body) = request.into_parts();
        let options = self.driver.options();
        let bad_request = StatusCode::BAD_REQUEST;
        let class_name = single_header(&head.headers, "x-lane").ok_or(bad_request)?;
        let class = options.classes.iter().position(|c| c == class_name).ok_or(bad_request)?;
        if head.uri.path().split('/').nth(1) != Some(class_name) {
            return Err(bad_request);
        }
        let plan = single_header(&head.headers, "x-plan").ok_or(bad_request)?;
        let plan = options.plans.iter().position(|p| p == plan).ok_or(bad_request)?;
        // Checked by character, as `from_str_radix` would also accept a sign.
        let is_customer_id = |c: &&str| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit());
        let customer =
            single_header(&head.headers, "x-customer").filter(is_customer_id).ok_or(bad_request)?;
        let number = u64::from_str_radix(customer, 16).map_err(|_| bad_request)?;
        let remaining =
            single_header(&head.headers, "x-remaining").and_then(non_negative_number).ok_or(bad_request)?;
        let quota = single_header(&head.headers, "x-quota").and_then(Quota::parse).ok_or(bad_request)?;
        let gateways = options.settings.gateway_count;
        let txn = single_header(&head.headers, "x-txn")
            .filter(|t| !t.is_empty() && t.len() <= 256)
            .ok_or(bad_request)?;
        let txn = HeaderValue::from_str(txn).map_err(|_| bad_request)?;
        let key = head.headers.get("idempotency-key").cloned();
        // The effect of the class determines the method and whether an idempotency key is required or forbidden.
        let has_valid_key = single_header(&head.headers, "idempotency-key").is_some();
        let (method, has_no_key) = (head.method.clone(), key.is_none());
        let fits_class =
            |options: &Options, class: usize| match options.settings.classes.get(class).map(|c| c.effect) {
                Some(Effect::Idempotent) => method == Method::GET,
                Some(Effect::Deduplicated { .. }) => method == Method::POST && has_valid_key,
                _ => method == Method::POST && has_no_key,
            };
        if !fits_class(&options, class) {
            return Err(bad_request);
        }
        if number >= CUSTOMER_NUMBER_END || quota.first >= gateways || !(1..=gateways).contains(&quota.spread)
        {
            return Err(bad_request);
        }
        let uri = head.uri.path_and_query().cloned().ok_or(bad_request)?.into();
        let body_time = if client.peer.used() {
            BODY_TIME.1
        } else {
            FIRST_REQUEST_TIME.saturating_sub(client.peer.idle_since().elapsed()).max(BODY_TIME.0)
        };
        let (budget, discards) = (self.driver.memory_budget(), self.driver.discards());
        let (body, upload) =
            match body::receive(body, budget, body_time, discards, client.busy_guard.clone()).await {
                Ok(ReceivedBody::Complete(buffered)) => (Some(buffered), None),
                Ok(ReceivedBody::Streaming(upload)) => (None, Some(upload)),
                Err(BodyError::TooSlow) => return Err(StatusCode::REQUEST_TIMEOUT),
                Err(BodyError::TooLong) => return Err(StatusCode::PAYLOAD_TOO_LARGE),
                Err(BodyError::Broken) => return Err(bad_request),
            };
        if head.method == Method::GET && !body.as_ref().is_some_and(body::BodyBuffer::is_empty) {
            return Err(bad_request);
        }
        client.peer.mark_used();
        // The settings may have changed while the body arrived: the class may have another index or be gone. If its
        // effect has changed so that the request does not fit it, the client is told to retry, as nothing was sent yet.
        let now = self.driver.options();
        let class = now.classes.iter().position(|c| *c == options.classes[class]).ok_or(bad_request)?;
        if !fits_class(&now, class) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(ClientRequest {
            class,
            plan,
            // Normalised to lower case: all gateways derive the names of the customer's counts from it.
            customer: format!("{number:016x}"),
            units: quota.units,
            spread: quota.spread,
            first: quota.first,
            remaining,
            repeat: head.headers.get("x-resent").is_some_and(|v| v == "1"),
            forward: Forward {
                uri,
                txn,
                idempotency_key: key,
                content_type: head.headers.get(header::CONTENT_TYPE).cloned(),
                method: head.method,
                body,
                upload: RefCell::new(upload),
            },
        })
    }
}

/// A response without a body.
fn empty_response(status: StatusCode) -> Response<body::ResponseBody> {
    let mut response = Response::new(body::ResponseBody::empty());
    *response.status_mut() = status;
    response
}

/// The value of a header that must occur once; `None` if it is missing, repeated or not text.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

/// Parses a finite number that is not negative.
fn non_negative_number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
}

/// Contents of the `x-quota` header.
struct Quota {
    units: f64,
    spread: u32,
    first: u32,
}

impl Quota {
    /// Parses `units=2,spread=3,first=1` in any order; other names are ignored.
    fn parse(text: &str) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            match name {
                "units" => units = Some(non_negative_number(value)?),
                "spread" => spread = Some(value.parse().ok()?),
                "first" => first = Some(value.parse().ok()?),
                _ => {}
            }
        }
        Some(Self { units: units?, spread: spread?, first: first? })
    }
}

/// A request that waits for its answer. Dropping it unanswered means that the client has disconnected.
struct PendingRequest<'a> {
    driver: &'a Rc<Driver>,
    job: &'a JobId,
    answered: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.driver.client_left(self.job);
        }
    }
}
