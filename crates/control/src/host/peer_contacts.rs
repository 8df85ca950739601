//! Time of the last message of each other control process.

use opalrun_wire::ids::NodeIdentity;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Records the time of the last message of each process, by identity.
pub(super) struct PeerContacts {
    started: Instant,
    last_contact: HashMap<NodeIdentity, Instant>,
}

impl PeerContacts {
    /// Creates the record without contacts. `started` is the start of this process.
    pub fn new(started: Instant) -> Self {
        Self { started, last_contact: HashMap::new() }
    }

    /// Records a message of a process, received now.
    pub fn record(&mut self, identity: NodeIdentity) {
        self.last_contact.insert(identity, Instant::now());
    }

    /// Returns the time since the last message of a process; before the first message, the time since the start of
    /// this process.
    pub fn since_last(&self, identity: NodeIdentity) -> Duration {
        self.last_contact.get(&identity).unwrap_or(&self.started).elapsed()
    }
}
