//! Handling of the frames received from other control processes.

use super::{Host, peer_frame::PeerFrame};
use opalrun_net::FrameWriter;
use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use std::rc::Rc;

impl Host {
    /// Handles a frame. An answer is written to `writer`, the connection that the frame came from.
    pub(super) fn receive_frame(self: &Rc<Self>, frame: PeerFrame, writer: &FrameWriter) {
        match frame {
            PeerFrame::Handshake(node) => self.record_peer(&node),
            PeerFrame::Join(node) => {
                self.record_peer(&node);
                self.handle_join_request(node);
            }
            PeerFrame::Replication(messages) => self.receive(messages),
            PeerFrame::Call { to, number, bytes } => self.answer_call(to, number, bytes, writer.clone()),
            PeerFrame::Answer { number, bytes } => self.pending_calls.complete(number, bytes),
        }
    }

    /// Records the contact with a process and its address, and reconnects to it immediately if there is no
    /// connection.
    fn record_peer(self: &Rc<Self>, node: &ControlNode) {
        self.contacts.borrow_mut().record(node.identity);
        if let Ok(address) = node.peer_address.parse() {
            if self.links.record_peer(node.identity, address) {
                self.update_links();
            }
            self.links.retry(address);
        }
    }

    fn handle_join_request(&self, node: ControlNode) {
        let handler = self.join_handler.borrow().clone();
        if let Some(handler) = handler {
            handler(node);
        }
    }

    fn answer_call(self: &Rc<Self>, to: NodeIdentity, number: u64, bytes: Vec<u8>, writer: FrameWriter) {
        let host = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let bytes = if to == host.node.identity { host.answer(bytes).await } else { None };
            let _ = writer.send(&PeerFrame::Answer { number, bytes });
        });
    }
}
