//! Readiness endpoint, which tells the platform whether this gatekeeper accepts new connections.

use crate::proxy::{
    Proxy,
    answer::{Answer, without_body},
};
use hyper::{Request, StatusCode, body::Incoming};
use opalrun_transport::{
    body::ResponseBody,
    server::{Client, Handler},
};
use std::rc::Rc;

/// Path of the readiness endpoint.
const READINESS_PATH: &str = "/opalrun/readyz";

/// Answers the platform's readiness checks: 200 when the proxy is ready, otherwise 503.
pub struct ReadinessHandler(pub Rc<Proxy>);

impl Handler for ReadinessHandler {
    type Body = ResponseBody;

    async fn handle(&self, request: Request<Incoming>, client: Client) -> Answer {
        client.peer.mark_used();
        if request.uri().path() != READINESS_PATH {
            return without_body(StatusCode::NOT_FOUND);
        }
        without_body(if self.0.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    }
}
