//! The driver's side of a handover between two processes of one gateway.

use super::Driver;
use crate::handover_message::HandoverMessage;
use opalrun_gateway::{CustomerId, ServerId, State};
use std::{collections::BTreeMap, net::SocketAddr};
use tokio::sync::mpsc;

impl Driver {
    /// Hands over the decisions' state, leases included, and the workers' addresses. From then on idle connections to
    /// workers are closed instead of kept for reuse.
    pub fn hand_over(&self) -> (State, BTreeMap<ServerId, SocketAddr>) {
        self.pools.set_idle_disabled(true);
        self.has_handed_over.set(true);
        self.recovery.borrow().iter().for_each(|r| r.release_folder());
        let state = self.gateway.borrow_mut().hand_over(self.clock.now());
        (state, self.pools.addrs())
    }

    /// Resumes service after the process that had taken over has ended.
    pub fn take_back(&self) {
        self.other_process.take();
        self.has_handed_over.set(false);
        self.recovery.borrow().iter().for_each(|r| r.reclaim_folder());
        self.pools.set_idle_disabled(false);
        self.gateway.borrow_mut().resume(self.clock.now());
    }

    /// Continues from the state that another process has handed over.
    pub fn take_over(&self, state: State, addrs: &BTreeMap<ServerId, SocketAddr>) {
        self.gateway.borrow_mut().take_over(state);
        self.pools.add_addresses(addrs);
    }

    /// Number of attempts in flight at this process, by customer.
    pub fn attempts_in_flight(&self) -> Vec<(CustomerId, u32)> {
        self.gateway.borrow().attempts_in_flight()
    }

    /// Sets the number of attempts in flight at the other process, by customer.
    pub fn set_attempts_elsewhere(&self, attempts: &[(CustomerId, u32)]) {
        self.gateway.borrow_mut().set_attempts_elsewhere(attempts);
    }

    /// Returns the messages that are to be sent to the other process from now on.
    pub fn subscribe_to_handover_messages(&self) -> mpsc::UnboundedReceiver<HandoverMessage> {
        let (sender, messages) = mpsc::unbounded_channel();
        self.other_process.replace(Some(sender));
        messages
    }

    /// Queues a message for the other process; does nothing if there is none.
    pub fn send_to_other_process(&self, message: HandoverMessage) {
        if let Some(sender) = &*self.other_process.borrow() {
            // A closed channel means that the other process has ended.
            let _ = sender.send(message);
        }
    }

    /// File descriptors for connections to clients and to workers together.
    pub fn descriptor_share(&self) -> usize {
        self.connection_descriptors
    }
}
