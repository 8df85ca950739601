//! The client of remote procedure calls, with many concurrent calls on one connection.

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

/// Time-out of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Backoff after a failed connection attempt. Calls fail at once meanwhile.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Calls that wait for their response, by call number.
type Pending<R> = Rc<RefCell<HashMap<u64, oneshot::Sender<R>>>>;

/// A client of one process. It keeps one connection, and opens a new one at the next call after the connection has
/// ended.
pub struct RpcClient<Q, R> {
    address: Cell<SocketAddr>,
    link: RefCell<Link<R>>,
    link_changed: Notify,
    next_call_number: Cell<u64>,
    reachability: RefCell<Reachability>,
    request: PhantomData<fn(Q)>,
}

/// The state of the connection.
enum Link<R> {
    /// No connection is open, and none has been attempted.
    Idle,
    /// A connection is being opened.
    Connecting,
    /// A connection was opened. It may have ended since.
    Connected { writer: FrameWriter, pending: Pending<R> },
    /// The last connection attempt failed; the next one is not made before `until`.
    BackingOff { until: Instant },
}

impl<Q: Encode + 'static, R: Decode + 'static> RpcClient<Q, R> {
    /// Creates a client of the process at `address`, which is called `peer` in the log. It connects at the first call.
    #[must_use]
    pub fn new(peer: &'static str, address: SocketAddr) -> Rc<Self> {
        Rc::new(Self {
            address: Cell::new(address),
            link: RefCell::new(Link::Idle),
            link_changed: Notify::new(),
            next_call_number: Cell::new(1),
            reachability: RefCell::new(Reachability::new(peer)),
            request: PhantomData,
        })
    }

    /// Returns the address to which calls are sent.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sends calls to another address from now on. Calls that wait for a response from the former address fail.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.close_link();
            self.set_link(Link::Idle);
        }
    }

    /// Whether the client backs off after a failed connection attempt, so that calls would fail at once.
    #[must_use]
    pub fn is_backing_off(&self) -> bool {
        matches!(&*self.link.borrow(), Link::BackingOff { until } if Instant::now() < *until)
    }

    /// Returns the number of failed connection attempts, and whether the last one failed.
    #[must_use]
    pub fn peer_count(&self) -> PeerCount {
        self.reachability.borrow().count()
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    /// With [`RpcError::NotSent`] the other side has not received the request. With the other errors it may have
    /// executed it.
    pub async fn call(self: &Rc<Self>, request: &Q, timeout: Duration) -> Result<R, RpcError> {
        self.call_until(request, timeout, Instant::now() + timeout).await
    }

    /// Sends a request and waits for its response, for longer than `timeout` only while a long frame is being transferred on
    /// the connection: it may be, or precede, the request or the response. Ends at `deadline` in any case.
    ///
    /// # Errors
    /// As those of [`call`](Self::call).
    pub async fn call_until(
        self: &Rc<Self>,
        request: &Q,
        timeout: Duration,
        deadline: Instant,
    ) -> Result<R, RpcError> {
        let sent_at = Instant::now();
        let (writer, pending) = self.connected_link(deadline.min(sent_at + timeout)).await?;
        let call_number = self.next_call_number.get();
        self.next_call_number.set(call_number + 1);
        let (response_sender, mut response) = oneshot::channel();
        pending.borrow_mut().insert(call_number, response_sender);
        let _guard = PendingGuard { pending: &pending, call_number };
        if let Err(error) = writer.send_call(call_number, request) {
            tracing::debug!(%error, address = %self.address.get(), "call was not sent");
            return Err(RpcError::NotSent);
        }
        let mut waiting_since = sent_at;
        loop {
            let wait_end = deadline.min(waiting_since + timeout);
            match timeout_at(wait_end, &mut response).await {
                Ok(response) => return response.map_err(|_| RpcError::Closed),
                Err(_) if wait_end >= deadline => return Err(RpcError::TimedOut),
                Err(_) => {}
            }
            let progress = writer.state().long_frame_progress().filter(|at| *at > waiting_since);
            waiting_since = progress.ok_or(RpcError::TimedOut)?;
        }
    }

    /// Returns when bytes of a long frame were last transferred on the connection; `None` if none were.
    #[must_use]
    pub fn long_frame_progress(&self) -> Option<Instant> {
        self.current_link()?.0.state().long_frame_progress()
    }

    /// Waits for a usable connection, and opens one if necessary.
    async fn connected_link(
        self: &Rc<Self>,
        deadline: Instant,
    ) -> Result<(FrameWriter, Pending<R>), RpcError> {
        loop {
            let changed = self.link_changed.notified();
            if let Some(connected) = self.current_link() {
                return Ok(connected);
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
        let started_at = Instant::now();
        tokio::task::spawn_local(async move {
            let result = connect(address, CONNECT_TIMEOUT).await;
            if let Some(client) = client.upgrade() {
                client.connected(address, started_at, result);
            }
        });
    }

    fn connected(
        self: &Rc<Self>,
        address: SocketAddr,
        started_at: Instant,
        result: Result<Connection, NetError>,
    ) {
        if address != self.address.get() {
            return;
        }
        match result {
            Ok(connection) => {
                self.reachability.borrow_mut().log_reached(address);
                self.set_link(start_link(connection, Rc::downgrade(self)));
            }
            Err(error) => {
                tracing::debug!(%error, "connection attempt failed");
                self.reachability.borrow_mut().log_failure(address, started_at, error);
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

/// Removes a call from the pending ones when its caller no longer waits.
struct PendingGuard<'a, R> {
    pending: &'a Pending<R>,
    call_number: u64,
}

impl<R> Drop for PendingGuard<'_, R> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.call_number);
    }
}

/// Starts the task that reads responses from a new connection.
fn start_link<Q: 'static, R: Decode + 'static>(
    connection: Connection,
    client: Weak<RpcClient<Q, R>>,
) -> Link<R> {
    let (reader, writer) = connection.split();
    let pending: Pending<R> = Rc::default();
    let responses = pending.clone();
    tokio::task::spawn_local(async move {
        if let Err(error) = read_responses(reader, &responses).await {
            tracing::debug!(%error, "RPC connection failed");
        }
        // Dropping the senders notifies the callers that no response will be received.
        responses.borrow_mut().clear();
        if let Some(client) = client.upgrade() {
            client.link_changed.notify_waiters();
        }
    });
    Link::Connected { writer, pending }
}

async fn read_responses<R: Decode>(mut reader: FrameReader, pending: &Pending<R>) -> Result<(), NetError> {
    while let Some(body) = reader.next_body().await? {
        let call =
            split_call(&body).and_then(|(call_number, message)| Ok((call_number, R::decode(message)?)));
        let (call_number, response) = call.map_err(|source| NetError::Frame { source })?;
        if let Some(caller) = pending.borrow_mut().remove(&call_number) {
            let _ = caller.send(response);
        }
    }
    Ok(())
}
