//! Takes the requests of clients apart, hands them over and makes the answers.

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

/// Whoever sends no proper request is owed an end within 3 s of connecting.
const FIRST_TIME: Duration = Duration::from_millis(2700);
/// How long clients may take. A slow one takes 2 s for a head, and one may be closed that has stood idle for 2 s.
const SETTINGS: Settings = Settings {
    longest_head: 16 * 1024,
    head_time: Duration::from_millis(2600),
    first_time: FIRST_TIME,
    idle_time: Duration::from_millis(2200),
    spare_time: Duration::from_millis(500),
    untaken_time: Duration::from_secs(30),
};
/// A body has so long beside the time of its bytes; the first on a connection what is left of the head's time,
/// as bad peers have no more, and the lesser of these at least.
const BODY_TIME: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(1500));
/// Highest customer number, exclusive.
const CUSTOMERS: u64 = 1 << 33;

/// The server for clients.
pub type Clients = Server<Requests>;

/// A server for clients with `budget` connections at most.
pub fn new(driver: Rc<Driver>, budget: usize) -> Rc<Clients> {
    Server::new(Requests { driver }, SETTINGS, budget)
}

/// Answers requests through the driver.
pub struct Requests {
    driver: Rc<Driver>,
}

impl Handler for Requests {
    type Body = body::ResponseBody;

    async fn handle(&self, request: Request<Incoming>, client: Client) -> Response<body::ResponseBody> {
        if request.uri().path() == "/up" {
            return plain(if client.up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        match self.read_request(request, &client).await {
            Ok(request) => self.answer(request).await,
            Err(status) => {
                let mut response = plain(status);
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
        let mut waiting = Waiting { driver: &self.driver, job: &job, answered: false };
        let answer = receiver.await;
        waiting.answered = true;
        match answer {
            Ok(Answer::Served(body)) => Response::new(body),
            Ok(Answer::Rejected(retry_after)) => {
                let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
                let advice = HeaderValue::try_from(format!("{retry_after:.3}"));
                if let (true, Ok(advice)) = (retry_after > 0.0, advice) {
                    response.headers_mut().insert(header::RETRY_AFTER, advice);
                }
                response
            }
            Ok(Answer::Failed) | Err(_) => plain(StatusCode::BAD_GATEWAY),
        }
    }

    /// Reads a request whole and checks it; the module never sees a bad one.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        client: &Client,
    ) -> Result<ClientRequest, StatusCode> {
        let (head, body) = request.into_parts();
        let options = self.driver.options();
        let bad = StatusCode::BAD_REQUEST;
        let lane = text(&head.headers, "x-lane").ok_or(bad)?;
        let class = options.classes.iter().position(|c| c == lane).ok_or(bad)?;
        if head.uri.path().split('/').nth(1) != Some(lane) {
            return Err(bad);
        }
        let plan = text(&head.headers, "x-plan").ok_or(bad)?;
        let plan = options.plans.iter().position(|p| p == plan).ok_or(bad)?;
        // Digits only: the standard library's reading would also take a sign.
        let sixteen = |c: &&str| c.len() == 16 && c.bytes().all(|b| b.is_ascii_hexdigit());
        let customer = text(&head.headers, "x-customer").filter(sixteen).ok_or(bad)?;
        let number = u64::from_str_radix(customer, 16).map_err(|_| bad)?;
        let remaining = text(&head.headers, "x-remaining").and_then(number_from).ok_or(bad)?;
        let quota = text(&head.headers, "x-quota").and_then(Quota::parse).ok_or(bad)?;
        let gateways = options.settings.gateway_count;
        let txn = text(&head.headers, "x-txn").filter(|t| !t.is_empty() && t.len() <= 256).ok_or(bad)?;
        let txn = HeaderValue::from_str(txn).map_err(|_| bad)?;
        let key = head.headers.get("idempotency-key").cloned();
        // The class decides the method, and whether there is a key: what differs is no client's request.
        let keyed = text(&head.headers, "idempotency-key").is_some();
        let (method, plain) = (head.method.clone(), key.is_none());
        let proper =
            |options: &Options, class: usize| match options.settings.classes.get(class).map(|c| c.effect) {
                Some(Effect::Idempotent) => method == Method::GET,
                Some(Effect::Deduplicated { .. }) => method == Method::POST && keyed,
                _ => method == Method::POST && plain,
            };
        if !proper(&options, class) {
            return Err(bad);
        }
        if number >= CUSTOMERS || quota.first >= gateways || !(1..=gateways).contains(&quota.spread) {
            return Err(bad);
        }
        let uri = head.uri.path_and_query().cloned().ok_or(bad)?.into();
        let grace = if client.peer.used() {
            BODY_TIME.1
        } else {
            FIRST_TIME.saturating_sub(client.peer.idle_since().elapsed()).max(BODY_TIME.0)
        };
        let (budget, discards) = (self.driver.memory_budget(), self.driver.discards());
        let (body, upload) = match body::receive(body, budget, grace, discards, client.in_hand.clone()).await
        {
            Ok(ReceivedBody::Complete(gathered)) => (Some(gathered), None),
            Ok(ReceivedBody::Streaming(upload)) => (None, Some(upload)),
            Err(BodyError::TooSlow) => return Err(StatusCode::REQUEST_TIMEOUT),
            Err(BodyError::TooLong) => return Err(StatusCode::PAYLOAD_TOO_LARGE),
            Err(BodyError::Broken) => return Err(bad),
        };
        if head.method == Method::GET && !body.as_ref().is_some_and(body::BodyBuffer::is_empty) {
            return Err(bad);
        }
        client.peer.use_it();
        // The settings may have changed while the body came: its class may stand elsewhere, or be gone. Under another
        // effect it would be handled by rules that its client does not know of; as nothing was sent, it may come again.
        let now = self.driver.options();
        let class = now.classes.iter().position(|c| *c == options.classes[class]).ok_or(bad)?;
        if !proper(&now, class) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(ClientRequest {
            class,
            plan,
            // In one spelling, as all gateways name the customer's counts by it.
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

fn plain(status: StatusCode) -> Response<body::ResponseBody> {
    let mut response = Response::new(body::ResponseBody::empty());
    *response.status_mut() = status;
    response
}

/// The one value of a header; `None` if it is missing, doubled or not text.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}

/// A finite number that is not negative.
fn number_from(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite() && *v >= 0.0)
}

struct Quota {
    units: f64,
    spread: u32,
    first: u32,
}

impl Quota {
    /// `units=2,spread=3,first=1`, in any order; what else stands there is passed over.
    fn parse(text: &str) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=')?;
            match name {
                "units" => units = Some(number_from(value)?),
                "spread" => spread = Some(value.parse().ok()?),
                "first" => first = Some(value.parse().ok()?),
                _ => {}
            }
        }
        Some(Self { units: units?, spread: spread?, first: first? })
    }
}

/// A request that waits for its answer; dropped before, its client has gone.
struct Waiting<'a> {
    driver: &'a Rc<Driver>,
    job: &'a JobId,
    answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.answered {
            self.driver.client_left(self.job);
        }
    }
}
