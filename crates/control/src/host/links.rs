//! Links to other control processes: one outgoing connection to each address, over which this process sends its
//! messages and calls.

use super::{
    Host,
    peer_contacts::PeerContacts,
    peer_frame::{GroupMessage, PeerFrame},
};
use opalrun_net::{
    Connection, FrameReader, FrameWriter, Listener, NetError, connect,
    reachability::{PeerCount, Reachability},
};
use opalrun_wire::{feed::ControlNode, ids::NodeIdentity};
use std::{
    cell::RefCell,
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep},
};

/// Name of this kind of peer in log lines.
pub(super) const CONTROL_PEER: &str = "control";
/// Time limit for one attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Backoff after the first failed attempt to connect; it doubles with each further one.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between two attempts to connect.
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(400);
/// Delay before the listener retries after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum size in bytes of the messages in one frame; a single longer message is sent in a frame of its own.
const MAX_FRAME_MESSAGE_BYTES: usize = 1 << 20;
/// Time after the last contact for which the link to a process that is not a member is retained.
const NON_MEMBER_LINK_EXPIRY: Duration = Duration::from_secs(5);

#[cfg(test)]
mod tests;

/// Links to other control processes. Shared by the tasks of the links and of the host, which all run on one thread;
/// no borrow is held across an await.
pub(super) struct Links {
    node: ControlNode,
    by_address: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Addresses of the linked processes, by identity.
    routes: RefCell<HashMap<NodeIdentity, SocketAddr>>,
    /// Addresses of processes that have connected to this one, by identity; they need not be members.
    connected_peers: RefCell<HashMap<NodeIdentity, SocketAddr>>,
    /// Addresses of the seeds; empty while this process is a member.
    seeds: RefCell<Vec<SocketAddr>>,
}

/// A link to one address. Its task ends after the link is dropped.
struct Link {
    address: SocketAddr,
    /// `None` while there is no connection.
    writer: RefCell<Option<FrameWriter>>,
    /// Records whether the process at the address can be reached; shared with the link's task.
    reachability: Rc<RefCell<Reachability>>,
    /// Notified when a message of the process at the address is received, so that the task connects immediately.
    retry: Rc<Notify>,
}

impl Drop for Link {
    fn drop(&mut self) {
        if let Some(writer) = self.writer.take() {
            writer.close();
        }
    }
}

impl Links {
    pub fn new(node: ControlNode) -> Self {
        Self {
            node,
            by_address: RefCell::default(),
            routes: RefCell::default(),
            connected_peers: RefCell::default(),
            seeds: RefCell::default(),
        }
    }

    /// Sends replication messages; they are dropped if there is no connection.
    pub fn send_messages(&self, identity: NodeIdentity, messages: Vec<GroupMessage>) {
        let Some(writer) = self.writer(identity) else {
            return;
        };
        let mut batch = Vec::new();
        let mut size = 0;
        for message in messages {
            size += message.size();
            if size > MAX_FRAME_MESSAGE_BYTES && !batch.is_empty() {
                let _ = writer.send(&PeerFrame::Replication(std::mem::take(&mut batch)));
                size = message.size();
            }
            batch.push(message);
        }
        let _ = writer.send(&PeerFrame::Replication(batch));
    }

    /// Sends a remote call. Returns `false` if there is no connection.
    pub fn send_call(&self, identity: NodeIdentity, number: u64, bytes: Vec<u8>) -> bool {
        let call = PeerFrame::Call { to: identity, number, bytes };
        self.writer(identity).is_some_and(|writer| writer.send(&call).is_ok())
    }

    /// Sends join requests to the seeds.
    pub fn request_join(&self) {
        let links = self.by_address.borrow();
        for link in self.seeds.borrow().iter().filter_map(|seed| links.get(seed)) {
            if let Some(writer) = &*link.writer.borrow() {
                let _ = writer.send(&PeerFrame::Join(self.node.clone()));
            }
        }
    }

    /// Returns the identities of the linked processes.
    pub fn identities(&self) -> Vec<NodeIdentity> {
        self.routes.borrow().keys().copied().collect()
    }

    /// Returns the number of linked processes that can't be reached, and of failed attempts to connect to linked
    /// processes.
    pub fn peer_count(&self) -> PeerCount {
        self.by_address.borrow().values().map(|link| link.reachability.borrow().count()).sum()
    }

    /// Records the address of a process that has connected here, so that messages can be sent to it before it is a
    /// member. Returns whether the address is new or has changed.
    pub fn record_peer(&self, identity: NodeIdentity, address: SocketAddr) -> bool {
        self.connected_peers.borrow_mut().insert(identity, address) != Some(address)
    }

    /// Starts an attempt to connect to an address now, if there is no connection. Called when the process there is
    /// known to be up, as an attempt that started before may wait for an answer that never comes.
    pub fn retry(&self, address: SocketAddr) {
        let links = self.by_address.borrow();
        let unconnected = links.get(&address).filter(|link| link.writer.borrow().is_none());
        if let Some(link) = unconnected {
            link.retry.notify_one();
        }
    }

    fn writer(&self, identity: NodeIdentity) -> Option<FrameWriter> {
        let address = *self.routes.borrow().get(&identity)?;
        self.by_address.borrow().get(&address)?.writer.borrow().clone()
    }

    /// Rebuilds the routes and returns the addresses that need a link.
    fn update_routes(
        &self,
        contacts: &PeerContacts,
        members: &HashMap<NodeIdentity, String>,
        seeds: &[SocketAddr],
    ) -> HashSet<SocketAddr> {
        let mut connected_peers = self.connected_peers.borrow_mut();
        connected_peers.retain(|identity, _| contacts.since_last(*identity) < NON_MEMBER_LINK_EXPIRY);
        let mut routes = connected_peers.clone();
        for (identity, address) in members {
            if let Ok(address) = address.parse() {
                routes.insert(*identity, address);
            }
        }
        let addresses = routes.values().chain(seeds).copied().collect();
        *self.seeds.borrow_mut() = seeds.to_vec();
        *self.routes.borrow_mut() = routes;
        addresses
    }
}

/// Creates and drops links so that there is one to each of these members, to each process that has connected here
/// recently, and to each of the seeds.
pub(super) fn update(host: &Rc<Host>, members: &HashMap<NodeIdentity, String>, seeds: &[SocketAddr]) {
    let addresses = host.links.update_routes(&host.contacts.borrow(), members, seeds);
    let mut links = host.links.by_address.borrow_mut();
    links.retain(|address, _| addresses.contains(address));
    for address in addresses {
        links.entry(address).or_insert_with(|| spawn_link(host, address));
    }
}

fn spawn_link(host: &Rc<Host>, address: SocketAddr) -> Rc<Link> {
    let link = Rc::new(Link {
        address,
        writer: RefCell::default(),
        reachability: Rc::new(RefCell::new(Reachability::new(CONTROL_PEER))),
        retry: Rc::default(),
    });
    tokio::task::spawn_local(maintain_link(Rc::downgrade(host), Rc::downgrade(&link), address));
    link
}

/// Keeps a link connected until it or the host is dropped.
async fn maintain_link(host: Weak<Host>, link: Weak<Link>, address: SocketAddr) {
    let Some((retry, reachability)) =
        link.upgrade().map(|link| (link.retry.clone(), link.reachability.clone()))
    else {
        return;
    };
    let is_wanted = || link.strong_count() > 0 && host.strong_count() > 0;
    while let Some(connection) =
        connect_persistently(|| attempt_to_connect(address, &reachability), &retry, is_wanted).await
    {
        use_connection(&host, &link, connection).await;
        sleep(MIN_CONNECT_BACKOFF).await;
    }
}

/// Attempts to connect once, and records whether the process could be reached.
async fn attempt_to_connect(
    address: SocketAddr,
    reachability: &RefCell<Reachability>,
) -> Result<Connection, NetError> {
    let started = Instant::now();
    let outcome = connect(address, CONNECT_TIMEOUT).await;
    match &outcome {
        Ok(_) => reachability.borrow_mut().log_reached(address),
        Err(error) => reachability.borrow_mut().log_failure(address, started, error),
    }
    outcome
}

/// Attempts to connect with exponential backoff, until an attempt succeeds or `is_wanted` returns `false`. When
/// `retry` is notified, the current attempt or backoff is abandoned and a new attempt starts immediately.
pub(super) async fn connect_persistently<C, E, F: Future<Output = Result<C, E>>>(
    attempt: impl Fn() -> F,
    retry: &Notify,
    is_wanted: impl Fn() -> bool,
) -> Option<C> {
    let mut backoff = MIN_CONNECT_BACKOFF;
    while is_wanted() {
        let delay = tokio::select! {
            connection = attempt() => match connection {
                Ok(connection) => return Some(connection),
                Err(_) => backoff,
            },
            () = retry.notified() => Duration::ZERO,
        };
        tokio::select! {
            () = sleep(delay) => backoff = (backoff * 2).min(MAX_CONNECT_BACKOFF),
            () = retry.notified() => backoff = MIN_CONNECT_BACKOFF,
        }
    }
    None
}

/// Uses a connection for the link's outgoing frames, and handles received frames, until it ends.
async fn use_connection(host: &Weak<Host>, link: &Weak<Link>, connection: Connection) {
    let (mut reader, writer) = connection.split();
    {
        let (Some(host), Some(link)) = (host.upgrade(), link.upgrade()) else { return };
        tracing::debug!(address = %link.address, "connected");
        let _ = writer.send(&PeerFrame::Handshake(host.node.clone()));
        if host.wants_to_join() {
            let _ = writer.send(&PeerFrame::Join(host.node.clone()));
        }
        *link.writer.borrow_mut() = Some(writer.clone());
    }
    receive_frames(host, &mut reader, &writer).await;
    if let Some(link) = link.upgrade() {
        link.writer.take();
    }
}

/// Spawns the task that accepts connections of other processes until the host is dropped.
pub(super) fn spawn_listener(host: &Rc<Host>, listener: Listener) {
    let mut alive = host.alive.subscribe();
    let host = Rc::downgrade(host);
    tokio::task::spawn_local(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = alive.changed() => return,
            };
            match accepted {
                Ok(connection) => {
                    tokio::task::spawn_local(serve_incoming(host.clone(), alive.clone(), connection));
                }
                Err(error) => {
                    tracing::warn!(%error, "can't accept a connection of a control process");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
}

async fn serve_incoming(host: Weak<Host>, mut alive: watch::Receiver<()>, connection: Connection) {
    let (mut reader, writer) = connection.split();
    tokio::select! {
        () = receive_frames(&host, &mut reader, &writer) => {}
        _ = alive.changed() => writer.close(),
    }
}

/// Receives and handles frames until the connection ends.
async fn receive_frames(host: &Weak<Host>, reader: &mut FrameReader, writer: &FrameWriter) {
    loop {
        let frame = match reader.next::<PeerFrame>().await {
            Ok(Some(frame)) => frame,
            Ok(None) => return,
            Err(error) => {
                tracing::debug!(%error, "connection to a control process failed");
                return;
            }
        };
        let Some(host) = host.upgrade() else {
            return writer.close();
        };
        host.receive_frame(frame, writer);
    }
}
