//! Receiving the body of a request.

use super::{BodyBuffer, DiscardedBody, MAX_BODY_BYTES, MemoryBudget, Upload, time_at_min_rate};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::{
    any::Any,
    rc::Rc,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::timeout_at};

/// Why a request body could not be received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than [`MAX_BODY_BYTES`].
    TooLong,
    /// The client sent the body too slowly.
    TooSlow,
    /// The connection failed, or the body's framing is invalid.
    Broken,
}

/// A request body, of which as much is buffered as the limits allow.
pub enum ReceivedBody {
    /// The complete body in one chunk.
    Complete(BodyBuffer),
    /// The buffered beginning, and the rest as it is received.
    Streaming(Upload),
}

/// Receives a request body until it is complete or no more of it may be buffered. The time-out is `grace` plus the time
/// that the received bytes take at the minimum rate. If an [`Upload`] is dropped before its end, its rest is sent to
/// `discards` together with `guard`.
///
/// # Errors
/// The body is too long, too slow or broken.
pub async fn receive(
    mut body: Incoming,
    budget: &MemoryBudget,
    grace: Duration,
    discards: &mpsc::UnboundedSender<DiscardedBody>,
    guard: Rc<dyn Any>,
) -> Result<ReceivedBody, BodyError> {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(BodyError::TooLong);
    }
    let declared = body.size_hint().exact();
    let started = Instant::now();
    let mut received = 0;
    let mut buffer = BodyBuffer::new(budget);
    // A body that is known not to fit into the buffer is forwarded without waiting for more of it.
    while declared.is_none_or(|length| buffer.fits((length - received) as usize)) && buffer.fits(1) {
        let deadline = started + grace + time_at_min_rate(received);
        let frame = timeout_at(deadline.into(), body.frame()).await.map_err(|_| BodyError::TooSlow)?;
        let Some(frame) = frame else {
            buffer.coalesce();
            return Ok(ReceivedBody::Complete(buffer));
        };
        // Trailers are not part of the body.
        if let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() {
            received += data.len() as u64;
            buffer.push(data);
        }
    }
    let remaining = declared.map(|length| length - received);
    if remaining == Some(0) {
        // The body fills the buffer exactly, so the loop ended before the frame that marks the body's end.
        buffer.coalesce();
        return Ok(ReceivedBody::Complete(buffer));
    }
    let discards = discards.clone();
    Ok(ReceivedBody::Streaming(Upload {
        buffer,
        received,
        remaining,
        rest: Some(body),
        on_end: None,
        discards,
        guard,
        grace,
        total_wait: started.elapsed(),
        wait: None,
    }))
}
