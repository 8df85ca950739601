//! When other processes were last heard.

use opalrun_wire::ids::NodeIdentity;
use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// When other processes were last heard, by identity.
pub(super) struct PeerContacts {
    started: Instant,
    last_contact: HashMap<NodeIdentity, Instant>,
}

impl PeerContacts {
    /// No process was heard yet.
    pub fn new(started: Instant) -> Self {
        Self { started, last_contact: HashMap::new() }
    }

    /// A process was heard just now.
    pub fn record(&mut self, identity: NodeIdentity) {
        self.last_contact.insert(identity, Instant::now());
    }

    /// The time since a process was last heard; before the first time, since the start of this process.
    pub fn since_last(&self, identity: NodeIdentity) -> Duration {
        self.last_contact.get(&identity).unwrap_or(&self.started).elapsed()
    }
}
