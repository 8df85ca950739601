//! Requests that wait for an answer or have attempts in flight.

use crate::workers::{Forward, Trace};
use opalrun_gateway::{CustomerId, ServerId, Time};
use opalrun_transport::body::{Forwarding, ResponseBody};
use std::{rc::Rc, time::Duration};
use tokio::{sync::oneshot, task::AbortHandle};

/// The final answer to a client; each request gets exactly one.
pub enum Answer {
    /// The body of a worker's successful answer.
    Served(ResponseBody),
    /// Rejected without having run, with the seconds after which to retry; 0: no advice.
    Rejected(f64),
    /// No answer was received; a worker may have run the request.
    Failed,
}

/// A client's request, checked against the settings.
pub struct ClientRequest {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
    /// Customer id, 16 hexadecimal digits.
    pub customer: String,
    /// Units of the customer's quota that the request takes.
    pub units: f64,
    /// Number of gateways that serve the customer.
    pub spread: u32,
    /// Number of the first gateway that serves the customer.
    pub first: u32,
    /// Seconds that the client still waits for the answer.
    pub remaining: f64,
    /// Whether the client marked the request as a retry.
    pub repeat: bool,
    /// The part of the request that is sent to workers.
    pub forward: Forward,
}

/// An attempt that is in flight.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// When the attempt started, or when the request's last byte arrived, if that was later.
    pub(super) sent: Time,
    /// Time-out in seconds, counted from `sent`.
    pub(super) timeout: f64,
    /// Set once the answer is being forwarded to the client. After that the driver aborts the attempt only if its worker
    /// stalls in the middle of a short answer.
    pub(super) forwarded: Option<ForwardedAnswer>,
    /// How much of the request has been written to the worker.
    pub(super) trace: Trace,
    pub(super) task: AbortHandle,
}

/// An answer that is forwarded to the client while the worker still sends it.
pub(super) struct ForwardedAnswer {
    /// When forwarding started.
    pub(super) since: Time,
    pub(super) progress: Rc<Forwarding>,
}

/// Units that a request takes from its customer's quota.
pub(super) struct Spending {
    pub(super) customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub(super) plan: usize,
    pub(super) units: f64,
}

/// A request that waits for its answer, or has attempts in flight.
pub(super) struct OpenRequest {
    /// Sends the final answer to the client; `None` once that is done.
    pub(super) answer: Option<oneshot::Sender<Answer>>,
    pub(super) forward: Rc<Forward>,
    /// While the client is still sending the request: seconds that it will wait after the last byte.
    pub(super) upload_timeout: Option<f64>,
    /// When the request has to be answered.
    pub(super) expires: Time,
    /// Attempts by number; `None` once an attempt has ended.
    pub(super) attempts: Vec<Option<Attempt>>,
    /// Index of the customer's plan in the settings.
    pub(super) plan: usize,
    /// Whether the client marked the request as a retry.
    pub(super) repeat: bool,
    /// Spending to report to the fleet and the journal when the first attempt is sent; `None` once reported, or if
    /// there is neither.
    pub(super) unreported_spending: Option<Spending>,
}

impl OpenRequest {
    /// Number of the attempt whose answer is forwarded and may be a short one, and how long that answer has stalled.
    pub(super) fn forwarding(&self) -> Option<(u32, Duration)> {
        let attempts = (0..).zip(&self.attempts);
        attempts
            .filter_map(|(number, attempt)| {
                Some((number, attempt.as_ref()?.forwarded.as_ref()?.progress.stalled()?))
            })
            .next()
    }
}
