//! Requests and answers of the HTTP interface, as the web server and the control process exchange them.

use super::json::json_string;
use bytes::Bytes;
use http_body_util::Full;
use opalrun_wire::{ResultCode, ids::Generation};
use tokio::sync::oneshot;
use viz::{IntoResponse, Response, StatusCode, header::CONTENT_TYPE, header::HeaderValue};

/// A request of a worker or of the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiRequest {
    /// `PUT /opalrun/instances/ID`.
    Heartbeat {
        /// The id in the path.
        id: String,
        /// The JSON body.
        body: Bytes,
    },
    /// `DELETE /opalrun/instances/ID`.
    RemoveWorker {
        /// The id in the path.
        id: String,
    },
    /// `PUT /opalrun/config`.
    PutConfiguration {
        /// The header `If-Match` as a number, if it is there and is one.
        if_match: Option<Generation>,
        /// The JSON body.
        body: Bytes,
    },
    /// `GET /opalrun/config`.
    ReadConfiguration,
    /// `GET /opalrun/tier`.
    Tier,
    /// `POST /opalrun/retire/NODE`.
    Retire {
        /// The machine's name.
        node_name: String,
    },
    /// `GET /opalrun/retire/NODE`.
    RetireState {
        /// The machine's name.
        node_name: String,
    },
}

/// A request on its way to the control process.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: ApiRequest,
    /// Where its answer goes.
    pub answer_to: oneshot::Sender<ApiAnswer>,
}

/// An answer with a JSON body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl ApiAnswer {
    pub(super) fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, body: body.into() }
    }

    /// Success, with nothing to say beside it.
    pub(super) fn ok() -> Self {
        Self::new(StatusCode::OK, "{}")
    }

    /// A rejection, with the result code and the reason in the body.
    pub(super) fn rejected(status: StatusCode, code: ResultCode, reason: &str) -> Self {
        let reason = json_string(reason);
        Self::new(status, format!("{{\"code\":\"{code}\",\"reason\":{reason}}}"))
    }

    /// No majority can be reached now: the caller should retry at another control process.
    pub(super) fn unavailable() -> Self {
        Self::rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            ResultCode::NO_QUORUM,
            "no majority can be reached now",
        )
    }
}

impl IntoResponse for ApiAnswer {
    fn into_response(self) -> Response {
        let mut response = Response::new(viz::Body::from(Full::new(self.body)));
        *response.status_mut() = self.status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        response
    }
}
