//! HTTP responses to clients: those that the proxy generates itself, and the heads of forwarded ones.

use crate::proxy::headers::remove_connection_headers;
use hyper::{Response, StatusCode, header, header::HeaderValue, http::response::Parts};
use opalrun_transport::body::{BodyBuffer, MemoryBudget, ResponseBody};
use std::time::Duration;

/// Minimum value of `Retry-After`, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.02;

/// HTTP response to a client.
pub type Answer = Response<ResponseBody>;

/// Builds an answer with this status and an empty body.
#[must_use]
pub fn without_body(status: StatusCode) -> Answer {
    let mut answer = Response::new(ResponseBody::empty());
    *answer.status_mut() = status;
    answer
}

/// Builds an answer whose body is an error message.
#[must_use]
pub fn with_message(status: StatusCode, error: &str) -> Answer {
    let mut answer = with_body(error.to_owned().into());
    *answer.status_mut() = status;
    answer
}

/// Builds an answer with status 200 and this body.
#[must_use]
pub fn with_body(bytes: bytes::Bytes) -> Answer {
    let mut buffer = BodyBuffer::new(&MemoryBudget::new(0));
    buffer.push(bytes);
    Response::new(ResponseBody::complete(buffer))
}

/// Builds a 503 answer, which states that the request has not run and never will. The client may retry after
/// `retry_after`, to which up to 25 % are randomly added or subtracted.
#[must_use]
pub fn reject(retry_after: Duration) -> Answer {
    let seconds = (retry_after.as_secs_f64() * (0.75 + 0.5 * fastrand::f64())).max(MIN_RETRY_AFTER_S);
    let mut answer = without_body(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Adds `Connection: close` to an answer.
#[must_use]
pub fn with_close_header(mut answer: Answer) -> Answer {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Replaces the head of `answer` by that of a worker's answer, without the worker's connection headers.
#[must_use]
pub fn forward(mut parts: Parts, answer: Answer) -> Answer {
    remove_connection_headers(&mut parts.headers);
    let mut answer = answer;
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = parts.headers;
    answer
}
