//! What the driver does where two processes of one gateway follow each other.

use super::Driver;
use crate::handover_message::HandoverMessage;
use opalrun_gateway::{CustomerId, ServerId, State};
use std::{collections::BTreeMap, net::SocketAddr};
use tokio::sync::mpsc;

impl Driver {
    /// Gives up all that is known and granted, with the workers' addresses. Connections to workers are no
    /// longer kept, and no more are held than clients that may need one.
    pub fn hand_over(&self) -> (State, BTreeMap<ServerId, SocketAddr>) {
        self.pools.keep_none(true);
        self.leaving.set(true);
        self.recovery.borrow().iter().for_each(|r| r.release());
        let state = self.gateway.borrow_mut().hand_over(self.clock.now());
        (state, self.pools.addrs())
    }

    /// The process that took over has ended: this one serves again.
    pub fn take_back(&self) {
        self.other_process.take();
        self.leaving.set(false);
        self.recovery.borrow().iter().for_each(|r| r.resume());
        self.pools.keep_none(false);
        self.gateway.borrow_mut().resume(self.clock.now());
    }

    /// Goes on from what another process has handed over.
    pub fn take_over(&self, state: State, addrs: &BTreeMap<ServerId, SocketAddr>) {
        self.gateway.borrow_mut().take_over(state);
        self.pools.told(addrs);
    }

    /// Attempts in flight here, by customer.
    pub fn attempts_in_flight(&self) -> Vec<(CustomerId, u32)> {
        self.gateway.borrow().attempts_in_flight()
    }

    /// Attempts that are in flight at the other process, by customer.
    pub fn set_attempts_elsewhere(&self, out: &[(CustomerId, u32)]) {
        self.gateway.borrow_mut().set_attempts_elsewhere(out);
    }

    /// What the other process is to be told from now on.
    pub fn subscribe_to_handover_messages(&self) -> mpsc::UnboundedReceiver<HandoverMessage> {
        let (sender, messages) = mpsc::unbounded_channel();
        self.other_process.replace(Some(sender));
        messages
    }

    /// Tells the other process, if there is one.
    pub fn send_to_other_process(&self, message: HandoverMessage) {
        if let Some(sender) = &*self.other_process.borrow() {
            // One that has gone needs to hear nothing.
            let _ = sender.send(message);
        }
    }

    /// Descriptors for clients and workers together.
    pub fn descriptor_share(&self) -> usize {
        self.share
    }
}
