//! Calls to another process, many under way on one connection.

use crate::{
    connection::{Connection, connect},
    error::{NetError, RpcError},
    message::{Decode, Encode, split_call},
    reachability::{PeerCount, Reachability},
    reader::FrameReader,
    writer::FrameWriter,
};
use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    marker::PhantomData,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout_at},
};

/// Time-out of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after a failed attempt to connect; calls fail at once meanwhile.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Calls under way, by number.
type Pending<R> = Rc<RefCell<HashMap<u64, oneshot::Sender<R>>>>;

/// A client of one process: it keeps a connection and makes a new one when it is needed.
pub struct RpcClient<Q, R> {
    address: Cell<SocketAddr>,
    link: RefCell<Link<R>>,
    link_changed: Notify,
    next_number: Cell<u64>,
    reachability: RefCell<Reachability>,
    request: PhantomData<fn(Q)>,
}

/// What is known of the connection.
enum Link<R> {
    /// None is there.
    Idle,
    /// One is being made.
    Connecting,
    /// One can be used.
    Connected { writer: FrameWriter, pending: Pending<R> },
    /// The last attempt failed; none is made before this moment.
    BackingOff { until: Instant },
}

impl<Q: Encode + 'static, R: Decode + 'static> RpcClient<Q, R> {
    /// A client of the process at `address`, which the log calls `peer`; it connects at the first call.
    #[must_use]
    pub fn new(peer: &'static str, address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            link: RefCell::new(Link::Idle),
            link_changed: Notify::new(),
            next_number: Cell::new(1),
            reachability: RefCell::new(Reachability::new(peer)),
            request: PhantomData,
        })
    }

    /// Where it calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Calls another address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.close_link();
            self.set_link(Link::Idle);
        }
    }

    /// Whether the client backs off after a failed attempt to connect: calls would fail at once.
    #[must_use]
    pub fn is_backing_off(&self) -> bool {
        matches!(&*self.link.borrow(), Link::BackingOff { until } if Instant::now() < *until)
    }

    /// Attempts to connect that failed, and whether the last one did.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.reachability.borrow().count()
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    /// [`RpcError::NotSent`] means that the other side has not seen it; after the others it may have been served.
    pub async fn call(self: &Rc<Self>, request: &Q, limit: Duration) -> Result<R, RpcError> {
        let deadline = Instant::now() + limit;
        let (writer, pending) = self.connected_link(deadline).await?;
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let (answer_sender, answer) = oneshot::channel();
        pending.borrow_mut().insert(number, answer_sender);
        let _guard = PendingGuard { pending: &pending, number };
        if let Err(error) = writer.send_call(number, request) {
            tracing::debug!(%error, address = %self.address.get(), "a call was not sent");
            return Err(RpcError::NotSent);
        }
        match timeout_at(deadline, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => Err(RpcError::Closed),
            Err(_) => Err(RpcError::TimedOut),
        }
    }

    /// A connection that can be used; one is made if need be.
    async fn connected_link(
        self: &Rc<Self>,
        deadline: Instant,
    ) -> Result<(FrameWriter, Pending<R>), RpcError> {
        loop {
            let changed = self.link_changed.notified();
            if let Some(up) = self.current_link() {
                return Ok(up);
            }
            if self.is_backing_off() {
                return Err(RpcError::NotSent);
            }
            self.start_connecting();
            timeout_at(deadline, changed).await.map_err(|_| RpcError::NotSent)?;
        }
    }

    fn current_link(&self) -> Option<(FrameWriter, Pending<R>)> {
        match &*self.link.borrow() {
            Link::Connected { writer, pending } if !writer.is_closed() => {
                Some((writer.clone(), pending.clone()))
            }
            _ => None,
        }
    }

    fn start_connecting(self: &Rc<Self>) {
        if matches!(&*self.link.borrow(), Link::Connecting) {
            return;
        }
        self.link.replace(Link::Connecting);
        let address = self.address.get();
        let client = Rc::downgrade(self);
        let began = Instant::now();
        tokio::task::spawn_local(async move {
            let made = connect(address, CONNECT_TIMEOUT).await;
            if let Some(client) = client.upgrade() {
                client.connected(address, began, made);
            }
        });
    }

    fn connected(self: &Rc<Self>, address: SocketAddr, began: Instant, made: Result<Connection, NetError>) {
        if address != self.address.get() {
            return;
        }
        match made {
            Ok(connection) => {
                self.reachability.borrow_mut().log_reached(address);
                self.set_link(start_link(connection, Rc::downgrade(self)));
            }
            Err(error) => {
                tracing::debug!(%error, "connecting failed");
                self.reachability.borrow_mut().log_failure(address, began, error);
                self.set_link(Link::BackingOff { until: Instant::now() + RECONNECT_BACKOFF });
            }
        }
    }

    fn set_link(&self, link: Link<R>) {
        self.link.replace(link);
        self.link_changed.notify_waiters();
    }
}

impl<Q, R> RpcClient<Q, R> {
    fn close_link(&self) {
        if let Link::Connected { writer, .. } = &*self.link.borrow() {
            writer.close();
        }
    }
}

impl<Q, R> Drop for RpcClient<Q, R> {
    fn drop(&mut self) {
        self.close_link();
    }
}

/// Forgets a call that nobody waits for any more.
struct PendingGuard<'a, R> {
    pending: &'a Pending<R>,
    number: u64,
}

impl<R> Drop for PendingGuard<'_, R> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.number);
    }
}

/// Begins to read answers from a new connection.
fn start_link<Q: 'static, R: Decode + 'static>(
    connection: Connection,
    client: Weak<RpcClient<Q, R>>,
) -> Link<R> {
    let (reader, writer) = connection.split();
    let pending: Pending<R> = Rc::default();
    let answers = pending.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = read_answers(reader, &answers).await {
            tracing::debug!(%error, "a connection for calls failed");
        }
        // Dropping the senders tells the callers that no answer will come.
        answers.borrow_mut().clear();
        if let Some(client) = client.upgrade() {
            client.link_changed.notify_waiters();
        }
    });
    Link::Connected { writer, pending }
}

async fn read_answers<R: Decode>(mut reader: FrameReader, pending: &Pending<R>) -> Result<(), NetError> {
    while let Some(body) = reader.next_body().await? {
        let read = split_call(&body).and_then(|(number, message)| Ok((number, R::decode(message)?)));
        let (number, answer) = read.map_err(|source| NetError::Frame { source })?;
        if let Some(caller) = pending.borrow_mut().remove(&number) {
            let _ = caller.send(answer);
        }
    }
    Ok(())
}
