//! The answers that the proxy gives by itself, and the heads of those that it passes on.

use crate::proxy::headers::remove_connection_headers;
use hyper::{Response, StatusCode, header, header::HeaderValue, http::response::Parts};
use opalrun_transport::body::{BodyBuffer, MemoryBudget, ResponseBody};
use std::time::Duration;

/// Smallest `Retry-After`, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.02;

/// An answer to a client.
pub type Answer = Response<ResponseBody>;

/// An answer without a body.
#[must_use]
pub fn without_body(status: StatusCode) -> Answer {
    let mut answer = Response::new(ResponseBody::empty());
    *answer.status_mut() = status;
    answer
}

/// An answer whose body tells what is wrong with the request.
#[must_use]
pub fn with_message(status: StatusCode, error: &str) -> Answer {
    let mut answer = with_body(error.to_owned().into());
    *answer.status_mut() = status;
    answer
}

/// An answer with this body.
#[must_use]
pub fn with_body(bytes: bytes::Bytes) -> Answer {
    let mut gathered = BodyBuffer::new(&MemoryBudget::new(0));
    gathered.push(bytes);
    Response::new(ResponseBody::complete(gathered))
}

/// 503: the request has not run and never will; the client may retry after about `retry_after`.
#[must_use]
pub fn reject(retry_after: Duration) -> Answer {
    let seconds = (retry_after.as_secs_f64() * (0.75 + 0.5 * fastrand::f64())).max(MIN_RETRY_AFTER_S);
    let mut answer = without_body(StatusCode::SERVICE_UNAVAILABLE);
    if let Ok(value) = HeaderValue::try_from(format!("{seconds:.3}")) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// The answer closes its connection.
#[must_use]
pub fn with_close_header(mut answer: Answer) -> Answer {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// An answer with the head of a worker's answer.
#[must_use]
pub fn forward(mut parts: Parts, answer: Answer) -> Answer {
    remove_connection_headers(&mut parts.headers);
    let mut answer = answer;
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = parts.headers;
    answer
}
