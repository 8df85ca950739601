//! Reads and discards the rest of request bodies that are no longer needed, so that the clients can read their
//! responses.

use super::{MAX_BODY_BYTES, UPLOAD_IDLE_TIMEOUT, time_at_min_rate};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{any::Any, rc::Rc, time::Instant};
use tokio::{sync::mpsc, time::timeout_at};

/// The rest of a request body that is no longer needed.
pub struct DiscardedBody {
    /// The unread rest of the body.
    pub body: Incoming,
    /// Dropped once the body has been read to its end, or reading it has failed, timed out or exceeded
    /// [`MAX_BODY_BYTES`].
    pub guard: Rc<dyn Any>,
}

/// Reads the bodies to their ends, each in a task of its own. Runs until the last sender is dropped, and has to run
/// inside a `LocalSet`.
pub async fn discard_all(mut bodies: mpsc::UnboundedReceiver<DiscardedBody>) {
    while let Some(body) = bodies.recv().await {
        tokio::task::spawn_local(discard(body));
    }
}

async fn discard(DiscardedBody { mut body, guard }: DiscardedBody) {
    let started = Instant::now();
    let mut received = 0;
    while received <= MAX_BODY_BYTES {
        let deadline = started + UPLOAD_IDLE_TIMEOUT + time_at_min_rate(received);
        let Ok(Some(Ok(frame))) = timeout_at(deadline.into(), body.frame()).await else { break };
        received += frame.data_ref().map_or(0, |data| data.len() as u64);
    }
    drop(guard);
}
