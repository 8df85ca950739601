//! Requests and answers that the web server and the control process exchange.

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
        /// Worker id from the path.
        id: String,
        /// JSON body.
        body: Bytes,
    },
    /// `DELETE /opalrun/instances/ID`.
    RemoveWorker {
        /// Worker id from the path.
        id: String,
    },
    /// `PUT /opalrun/config`.
    PutConfiguration {
        /// Generation in the `If-Match` header; `None` if the header is missing or not a number.
        if_match: Option<Generation>,
        /// JSON body.
        body: Bytes,
    },
    /// `GET /opalrun/config`.
    ReadConfiguration,
    /// `GET /opalrun/tier`.
    Tier,
    /// `POST /opalrun/retire/NODE`.
    Retire {
        /// Name of the machine.
        node_name: String,
    },
    /// `GET /opalrun/retire/NODE`.
    RetireState {
        /// Name of the machine.
        node_name: String,
    },
}

/// A request waiting for the control process.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request.
    pub request: ApiRequest,
    /// Sender for the answer.
    pub answer_sender: oneshot::Sender<ApiAnswer>,
}

/// An answer with a JSON body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body.
    pub body: Bytes,
}

impl ApiAnswer {
    pub(super) fn new(status: StatusCode, body: impl Into<Bytes>) -> Self {
        Self { status, body: body.into() }
    }

    /// Success with an empty JSON object.
    pub(super) fn ok() -> Self {
        Self::new(StatusCode::OK, "{}")
    }

    /// A rejection; the body holds the result code and the reason.
    pub(super) fn rejected(status: StatusCode, code: ResultCode, reason: &str) -> Self {
        let reason = json_string(reason);
        Self::new(status, format!("{{\"code\":\"{code}\",\"reason\":{reason}}}"))
    }

    /// No quorum is available: the caller should retry at another control process.
    pub(super) fn unavailable() -> Self {
        Self::rejected(
            StatusCode::SERVICE_UNAVAILABLE,
            ResultCode::NO_QUORUM,
            "no majority of the control processes can be reached",
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
