//! Messages between the old and the new process of one gateway during a handover.

use opalrun_gateway::CustomerId;
use serde::{Deserialize, Serialize};

/// One message, sent as a line of JSON. The names on the wire are those of the first version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The new process accepts clients.
    Serving,
    /// An operator took a worker offline, or back online.
    #[serde(rename = "Hand")]
    WorkerSetOffline {
        /// Worker id.
        id: String,
        /// Whether the worker is offline now.
        #[serde(rename = "out")]
        is_offline: bool,
    },
    /// What the old process still has in flight; sent on every change.
    #[serde(rename = "Out")]
    InFlight {
        /// Number of attempts in flight, by customer.
        attempts: Vec<(CustomerId, u32)>,
        /// Number of descriptors that the old process may still hold.
        #[serde(rename = "held")]
        descriptors: usize,
    },
}
