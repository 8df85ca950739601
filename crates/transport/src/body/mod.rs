//! Request and response bodies: short ones are buffered completely, longer ones are forwarded in chunks.

mod buffer;
mod discard;
mod forwarding;
mod receive;
mod request_body;
mod response_body;
mod segments;
#[cfg(test)]
mod tests;
mod upload;

pub use buffer::{BodyBuffer, MemoryBudget};
pub use discard::{DiscardedBody, discard_all};
pub use forwarding::Forwarding;
pub use receive::{BodyError, ReceivedBody, receive};
pub use request_body::RequestBody;
pub use response_body::{Chunk, ResponseBody};
pub use segments::{MAX_FRAME_BYTES, Segments};
pub use upload::Upload;

use bytes::Bytes;
use hyper::body::Frame;
use std::{io, task::Poll, time::Duration};

/// Maximum number of bytes of a request or response body that are buffered. A longer body is forwarded in chunks.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum length of a request's body in bytes. A request with a longer one is rejected.
pub const MAX_BODY_BYTES: u64 = 32 << 20;
/// Minimum rate at which a client has to send a body, in bytes per second.
const MIN_UPLOAD_RATE: f64 = 24.0 * 1024.0;
/// Longest wait for the next bytes of a body.
const UPLOAD_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The result of polling a body for its next frame.
type FramePoll = Poll<Option<Result<Frame<Bytes>, io::Error>>>;

/// Returns the time that `bytes` take at [`MIN_UPLOAD_RATE`].
fn time_at_min_rate(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_UPLOAD_RATE)
}
