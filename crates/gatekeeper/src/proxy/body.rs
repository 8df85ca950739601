//! Reads the bodies of requests, which are buffered completely before they are forwarded.

use crate::memory::{BudgetExhausted, MemoryBudget, MemoryReservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use snafu::Snafu;
use tokio::time::{Instant, timeout_at};

/// Why a request body could not be read.
#[derive(Debug, Snafu, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The body is longer than the configuration allows.
    #[snafu(display("the request body is longer than allowed"))]
    TooLong,
    /// The body was not complete by the deadline.
    #[snafu(display("the request body was not received in time"))]
    TooSlow,
    /// The framing of the body is invalid, or the connection broke.
    #[snafu(display("the request body could not be read: invalid framing or broken connection"))]
    Broken,
    /// The memory budget for request bodies is used up.
    #[snafu(display("the memory for request bodies is used up"))]
    NoMemory,
}

impl From<BudgetExhausted> for BodyError {
    fn from(_: BudgetExhausted) -> Self {
        Self::NoMemory
    }
}

/// A request body that was read completely.
#[derive(Debug)]
pub struct CompleteBody {
    /// Content of the body.
    pub bytes: Bytes,
    /// Memory reserved for `bytes`.
    pub reservation: MemoryReservation,
}

/// Reads a body of at most `max_bytes` until `deadline`.
///
/// # Errors
/// The body is too long, is not complete by the deadline, is invalid, or exceeds the memory left for bodies.
pub async fn read_complete(
    mut body: Incoming,
    memory: &MemoryBudget,
    max_bytes: usize,
    deadline: Instant,
) -> Result<CompleteBody, BodyError> {
    let declared = body.size_hint().lower();
    if declared > max_bytes as u64 {
        return Err(BodyError::TooLong);
    }
    let mut reservation = memory.empty_reservation();
    let mut first: Option<Bytes> = None;
    let mut joined = BytesMut::new();
    let mut length = 0;
    loop {
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| BodyError::TooSlow)?;
        let Some(frame) = frame else { break };
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else { continue };
        length += data.len();
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        reservation.grow(data.len())?;
        match first.take() {
            None if joined.is_empty() => first = Some(data),
            None => joined.extend_from_slice(&data),
            Some(before) => {
                joined.reserve(length.max(declared as usize));
                joined.extend_from_slice(&before);
                joined.extend_from_slice(&data);
            }
        }
    }
    Ok(CompleteBody { bytes: first.unwrap_or_else(|| joined.freeze()), reservation })
}
