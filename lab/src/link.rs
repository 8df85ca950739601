//! Simulated network links between a gateway and its peers, with faults that can be injected for each direction.
//!
//! The lab owns the far end of each link: a listener or a connection on loopback. The effects of the link are applied
//! where the lab reads and writes bytes. A message lost on TCP appears as the delay of a retransmission. A partition
//! delays bytes until it ends, and no new connection can be established meanwhile, because the listener's backlog is
//! kept full. Datagrams between gateways pass through [`Relay`] and can also be lost, duplicated and reordered.

use crate::scenario::{Direction, FaultKind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, UdpSocket},
    sync::watch,
    time::{Instant, sleep},
};

/// Delay of the first retransmission of a lost segment: TCP's minimum retransmission time-out.
const MIN_RETRANSMIT_TIMEOUT: Duration = Duration::from_millis(200);
/// Length of a listener's backlog.
const BACKLOG: u32 = 1024;

/// Direction of bytes, as seen by the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowDirection {
    Out,
    In,
}

/// Conditions of one direction of a link. Rates of loss, duplication and reordering are probabilities.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkConditions {
    pub delay: Duration,
    pub jitter: Duration,
    pub loss: f64,
    pub bytes_per_s: f64,
    pub partitioned: bool,
    pub duplicate: f64,
    pub reorder: f64,
}

impl LinkConditions {
    fn is_clean(&self) -> bool {
        *self == Self::default()
    }
}

/// Current state of a link.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkState {
    pub outbound: LinkConditions,
    pub inbound: LinkConditions,
    /// Whether the listener is closed, so that connections are refused.
    pub refuse: bool,
    /// Number of resets so far; connections from before the last one are reset.
    resets: u64,
    /// Number of half-open faults so far; connections from before the last one are silent until a reset.
    half_opens: u64,
}

impl LinkState {
    /// Whether no new connection can be established, for which a partition of one direction suffices.
    fn blocks_connections(&self) -> bool {
        self.outbound.partitioned || self.inbound.partitioned
    }

    fn conditions(&self, direction: FlowDirection) -> &LinkConditions {
        match direction {
            FlowDirection::Out => &self.outbound,
            FlowDirection::In => &self.inbound,
        }
    }
}

/// A fault of a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFault {
    pub kind: FaultKind,
    pub direction: Direction,
    pub delay: Duration,
    pub jitter: Duration,
    pub share: f64,
    pub bytes_per_s: f64,
}

/// One link. Concurrent faults are combined; each ends independently.
#[derive(Debug)]
pub struct Link {
    base: LinkState,
    faults: Mutex<Vec<(usize, LinkFault)>>,
    state: watch::Sender<LinkState>,
    rng: Mutex<ChaCha8Rng>,
}

impl Link {
    /// Creates a link without faults and with a delay of `delay` plus jitter in each direction.
    #[must_use]
    pub fn new(delay: Duration, seed: u64) -> Arc<Self> {
        let conditions = LinkConditions { delay, jitter: delay / 5, ..LinkConditions::default() };
        let base = LinkState { outbound: conditions, inbound: conditions, ..LinkState::default() };
        Arc::new(Self {
            base,
            faults: Mutex::default(),
            state: watch::channel(base).0,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        })
    }

    pub fn state(&self) -> LinkState {
        *self.state.borrow()
    }

    /// Starts the fault with the given index.
    pub fn begin_fault(&self, index: usize, fault: LinkFault) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        match fault.kind {
            FaultKind::Reset => self.state.send_modify(|s| s.resets += 1),
            FaultKind::HalfOpen => self.state.send_modify(|s| s.half_opens += 1),
            _ => faults.push((index, fault)),
        }
        self.apply(&faults);
    }

    /// Ends the fault with the given index.
    pub fn end_fault(&self, index: usize) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.retain(|(i, _)| *i != index);
        self.apply(&faults);
    }

    fn apply(&self, faults: &[(usize, LinkFault)]) {
        self.state.send_modify(|state| {
            let mut next = LinkState { resets: state.resets, half_opens: state.half_opens, ..self.base };
            for (_, fault) in faults {
                if fault.kind == FaultKind::Refuse {
                    next.refuse = true;
                }
                for (direction, conditions) in
                    [(Direction::Out, &mut next.outbound), (Direction::In, &mut next.inbound)]
                {
                    if fault.direction != Direction::Both && fault.direction != direction {
                        continue;
                    }
                    match fault.kind {
                        FaultKind::Cut => conditions.partitioned = true,
                        FaultKind::Delay => {
                            conditions.delay += fault.delay;
                            conditions.jitter += fault.jitter;
                        }
                        FaultKind::Lose => {
                            conditions.loss = 1.0 - (1.0 - conditions.loss) * (1.0 - fault.share);
                        }
                        FaultKind::Throttle => conditions.bytes_per_s = fault.bytes_per_s,
                        FaultKind::Duplicate => conditions.duplicate = fault.share,
                        FaultKind::Reorder => conditions.reorder = fault.share,
                        _ => {}
                    }
                }
            }
            *state = next;
        });
    }

    fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Returns the transit time of `bytes` in a direction, disregarding partitions.
    fn transit_time(&self, conditions: &LinkConditions, bytes: usize) -> Duration {
        let mut time = conditions.delay;
        if !conditions.jitter.is_zero() {
            time += conditions.jitter.mul_f64(self.draw());
        }
        if conditions.bytes_per_s > 0.0 {
            time += Duration::from_secs_f64(bytes as f64 / conditions.bytes_per_s);
        }
        if conditions.loss > 0.0 {
            let mut retransmit_timeout = MIN_RETRANSMIT_TIMEOUT;
            // Stops at a backoff of one minute: losses that add up to two minutes equal a partition.
            while retransmit_timeout < Duration::from_secs(60) && self.draw() < conditions.loss {
                time += retransmit_timeout;
                retransmit_timeout *= 2;
            }
        }
        time
    }

    /// Returns the arrival time of `bytes` sent now; `None` during a partition.
    pub fn arrival(&self, direction: FlowDirection, bytes: usize) -> Option<Instant> {
        let state = self.state();
        let conditions = state.conditions(direction);
        (!conditions.partitioned).then(|| {
            Instant::now()
                + if conditions.is_clean() { Duration::ZERO } else { self.transit_time(conditions, bytes) }
        })
    }

    /// Waits until a direction is not partitioned.
    async fn wait_while_partitioned(&self, direction: FlowDirection) {
        let mut changes = self.state.subscribe();
        // Can't fail, because the link owns the sender.
        let _ = changes.wait_for(|s| !s.conditions(direction).partitioned).await;
    }

    /// Waits for the transit time of `bytes` in a direction, after the end of any partition.
    pub async fn wait_for_transit(&self, direction: FlowDirection, bytes: usize) {
        loop {
            match self.arrival(direction, bytes) {
                Some(at) if at <= Instant::now() => return,
                Some(at) => return tokio::time::sleep_until(at).await,
                None => self.wait_while_partitioned(direction).await,
            }
        }
    }
}

/// Makes a connection end with a TCP reset when it is dropped.
pub fn reset(socket: &TcpStream) {
    // If the option can't be set, the connection ends normally, which does not justify an abort of the run.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// The lab's end of a TCP connection over a link.
pub struct Connection {
    socket: TcpStream,
    pub link: Arc<Link>,
    changes: watch::Receiver<LinkState>,
    resets: u64,
    half_opens: u64,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(socket: TcpStream, link: Arc<Link>) -> Self {
        // If the option can't be set, the delay shows in the lab's measured lateness.
        let _ = socket.set_nodelay(true);
        let state = link.state();
        let changes = link.state.subscribe();
        Self { socket, link, changes, resets: state.resets, half_opens: state.half_opens, buffer: Vec::new() }
    }

    /// Returns the received bytes that were not yet consumed.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Reads more bytes; `Ok(0)` at the end of the stream.
    ///
    /// # Errors
    /// The connection failed, or was reset by the link.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let n = loop {
            let state = *self.changes.borrow_and_update();
            if state.resets > self.resets {
                self.reset();
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if state.half_opens > self.half_opens {
                // Half-open: neither bytes nor the end of the stream arrive, until a reset.
                self.changes.changed().await.map_err(|_| io::ErrorKind::BrokenPipe)?;
                continue;
            }
            tokio::select! {
                n = self.socket.read(&mut chunk) => break n?,
                changed = self.changes.changed() => changed.map_err(|_| io::ErrorKind::BrokenPipe)?,
            }
        };
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Writes all of `bytes` after their transit time.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write(&mut self, direction: FlowDirection, bytes: &[u8]) -> io::Result<()> {
        self.link.wait_for_transit(direction, bytes.len()).await;
        self.write_without_delay(bytes).await
    }

    /// Writes all of `bytes` at once, for callers that have waited for the transit time themselves.
    ///
    /// # Errors
    /// The connection failed, or was reset by the link.
    pub async fn write_without_delay(&mut self, bytes: &[u8]) -> io::Result<()> {
        let state = self.link.state();
        if state.resets > self.resets {
            self.reset();
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if state.half_opens > self.half_opens {
            return Ok(());
        }
        self.socket.write_all(bytes).await
    }

    /// Whether the connection can be reused: it is open and has received no unsolicited bytes.
    pub fn is_reusable(&self) -> bool {
        let state = self.link.state();
        let is_intact = state.resets <= self.resets && self.buffer.is_empty();
        is_intact && self.socket.try_read(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Makes the connection end with a TCP reset when it is dropped.
    pub fn reset(&self) {
        reset(&self.socket);
    }
}

/// The lab's listening end of a link, with a fixed address.
pub struct LinkListener {
    pub addr: SocketAddr,
    link: Arc<Link>,
    listener: Option<TcpListener>,
    filler: BacklogFiller,
}

/// Connection that keeps a listener's backlog full during a partition.
enum BacklogFiller {
    None,
    /// A connection of a client that arrived at the same moment.
    Other,
    Own(TcpStream),
}

/// Time-out for the connection that fills the backlog; far longer than a connection on loopback takes.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // The address must be reusable after a simulated crash, even while earlier connections linger.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

impl LinkListener {
    /// Listens on a free port of `ip`.
    ///
    /// # Errors
    /// No port or no file descriptor is available.
    pub fn open(ip: IpAddr, link: Arc<Link>) -> io::Result<Self> {
        let listener = listen(SocketAddr::new(ip, 0))?;
        Ok(Self { addr: listener.local_addr()?, link, listener: Some(listener), filler: BacklogFiller::None })
    }

    /// Opens, closes, blocks or unblocks the listener according to the link's state and `up`.
    async fn apply(&mut self, up: bool) -> io::Result<()> {
        let state = self.link.state();
        if !up || state.refuse {
            self.filler = BacklogFiller::None;
            self.listener = None;
            return Ok(());
        }
        if self.listener.is_none() {
            self.listener = Some(listen(self.addr)?);
        }
        let Some(listener) = &self.listener else { return Ok(()) };
        let is_blocked = !matches!(self.filler, BacklogFiller::None);
        if state.blocks_connections() && !is_blocked {
            // A backlog of zero, filled by one connection of the lab: the kernel completes no further handshake.
            rustix::net::listen(listener, 0)?;
            self.filler = match tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(self.addr)).await {
                Ok(filler) => BacklogFiller::Own(filler?),
                Err(_) => BacklogFiller::Other,
            };
        } else if !state.blocks_connections() && is_blocked {
            rustix::net::listen(listener, BACKLOG.cast_signed())?;
            if matches!(self.filler, BacklogFiller::Other) {
                self.filler = BacklogFiller::None;
            }
        }
        Ok(())
    }

    /// Returns the next connection. Waits while `up` is false or the link accepts none.
    ///
    /// # Errors
    /// The lab can't listen on the address again.
    pub async fn accept(&mut self, up: &mut watch::Receiver<bool>) -> io::Result<Connection> {
        let mut changes = self.link.state.subscribe();
        loop {
            changes.borrow_and_update();
            let is_up = *up.borrow_and_update();
            self.apply(is_up).await?;
            let open = self.listener.as_ref().filter(|_| !self.link.state().blocks_connections());
            let accepted_connection = async {
                match open {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                accepted = accepted_connection => {
                    // An error of one incoming connection does not affect the listener.
                    let Ok((socket, from)) = accepted else {
                        sleep(Duration::from_millis(1)).await;
                        continue;
                    };
                    if matches!(&self.filler, BacklogFiller::Own(filler) if filler.local_addr().is_ok_and(|a| a == from)) {
                        self.filler = BacklogFiller::None;
                        continue;
                    }
                    return Ok(Connection::new(socket, self.link.clone()));
                }
                _ = changes.changed() => {}
                up_result = up.changed() => up_result.map_err(|_| io::ErrorKind::BrokenPipe)?,
            }
        }
    }
}

/// Forwards datagrams between gateways. The other members know each member by an address of the relay; a datagram that
/// arrives there is forwarded to the member from the address by which it knows the sender.
pub struct Relay {
    /// Relay address of each member, known to the other members.
    pub addrs: Vec<SocketAddr>,
    sockets: Vec<Arc<UdpSocket>>,
    members: Vec<SocketAddr>,
    by_addr: HashMap<SocketAddr, usize>,
    links: Vec<Arc<Link>>,
    pub counts: Arc<RelayCounts>,
}

/// Counters of datagrams: received, forwarded, received bytes, and received from unknown senders.
#[derive(Debug, Default)]
pub struct RelayCounts {
    pub received: AtomicU64,
    pub forwarded: AtomicU64,
    pub bytes: AtomicU64,
    pub unknown_senders: AtomicU64,
}

/// Length of the receive buffer, in bytes; no datagram is longer.
const DATAGRAM_BUFFER_BYTES: usize = 65_536;

impl Relay {
    /// Creates a relay between members that receive at `members`; the link from one to another has the index
    /// `from * members.len() + to`.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub async fn new(ip: IpAddr, members: Vec<SocketAddr>, links: Vec<Arc<Link>>) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in &members {
            sockets.push(Arc::new(UdpSocket::bind(SocketAddr::new(ip, 0)).await?));
        }
        let addrs = sockets.iter().map(|s| s.local_addr()).collect::<io::Result<_>>()?;
        let by_addr = members.iter().copied().zip(0..).collect();
        Ok(Self { addrs, sockets, members, by_addr, links, counts: Arc::default() })
    }

    /// Forwards datagrams until the returned tasks are dropped.
    #[must_use]
    pub fn run(self: Arc<Self>) -> tokio::task::JoinSet<()> {
        let mut tasks = tokio::task::JoinSet::new();
        for to in 0..self.members.len() {
            tasks.spawn(self.clone().forward_datagrams(to));
        }
        tasks
    }

    async fn forward_datagrams(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; DATAGRAM_BUFFER_BYTES];
        loop {
            let Ok((n, sender)) = self.sockets[to].recv_from(&mut buffer).await else { continue };
            self.counts.received.fetch_add(1, Ordering::Relaxed);
            self.counts.bytes.fetch_add(n as u64, Ordering::Relaxed);
            let Some(from) = self.by_addr.get(&sender).copied() else {
                self.counts.unknown_senders.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let link = &self.links[from * self.members.len() + to];
            let state = link.state();
            // A link between members has a single direction; its conditions are in `outbound`, and both partitions apply.
            if state.outbound.partitioned || state.inbound.partitioned || link.draw() < state.outbound.loss {
                continue;
            }
            let duplicates = 1 + usize::from(link.draw() < state.outbound.duplicate);
            for _ in 0..duplicates {
                let mut delay = link.transit_time(&LinkConditions { loss: 0.0, ..state.outbound }, n);
                if link.draw() < state.outbound.reorder {
                    delay += Duration::from_millis(20).mul_f64(link.draw());
                }
                let (relay, bytes) = (self.clone(), buffer[..n].to_vec());
                let forward = async move {
                    // A member that is not running receives nothing, as on a real network.
                    if relay.sockets[from].send_to(&bytes, relay.members[to]).await.is_ok() {
                        relay.counts.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                };
                if delay.is_zero() {
                    forward.await;
                } else {
                    tokio::spawn(async move {
                        sleep(delay).await;
                        forward.await;
                    });
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::Ipv4Addr;

    const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
    const LONG: Duration = Duration::from_secs(20);

    fn link_fault(what: FaultKind) -> LinkFault {
        LinkFault {
            kind: what,
            direction: Direction::Both,
            delay: Duration::ZERO,
            jitter: Duration::ZERO,
            share: 1.0,
            bytes_per_s: 0.0,
        }
    }

    /// Accepts connections and sends what they receive to a channel; `None` marks the end of a connection.
    fn serve(
        mut port: LinkListener,
    ) -> (watch::Sender<bool>, tokio::sync::mpsc::UnboundedReceiver<Option<Vec<u8>>>) {
        let (up, mut is_up) = watch::channel(true);
        let (sender, received) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok(mut conn) = port.accept(&mut is_up).await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    while let Ok(1..) = conn.fill().await {
                        let bytes = std::mem::take(conn.buffer());
                        conn.link.wait_for_transit(FlowDirection::Out, bytes.len()).await;
                        let _ = sender.send(Some(bytes));
                    }
                    let _ = sender.send(None);
                });
            }
        });
        (up, received)
    }

    #[tokio::test]
    async fn a_partition_delays_bytes_and_blocks_new_connections_until_it_ends() {
        let link = Link::new(Duration::ZERO, 1);
        let port = LinkListener::open(LOCAL, link.clone()).expect("a port");
        let addr = port.addr;
        let (_up, mut received) = serve(port);
        let mut client = TcpStream::connect(addr).await.expect("connected");
        client.write_all(b"one").await.expect("written");
        assert_eq!(received.recv().await, Some(Some(b"one".to_vec())));
        link.begin_fault(0, link_fault(FaultKind::Cut));
        client.write_all(b"two").await.expect("the sender notices nothing");
        // The backlog is full once a connection can't be established any more.
        let blocked = async {
            loop {
                match tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(addr)).await {
                    Err(_) => return,
                    Ok(connection) => drop(connection),
                }
            }
        };
        tokio::time::timeout(LONG, blocked).await.expect("new connections are blocked");
        // Only the ends of connections established before the backlog was full may be received.
        while let Ok(entry) = received.try_recv() {
            assert_eq!(entry, None, "bytes arrived during a partition");
        }
        link.end_fault(0);
        let two = async { while received.recv().await != Some(Some(b"two".to_vec())) {} };
        tokio::time::timeout(LONG, two).await.expect("the delayed bytes arrive");
        let new = tokio::time::timeout(LONG, TcpStream::connect(addr)).await.expect("in time");
        let mut new = new.expect("connected again");
        new.write_all(b"three").await.expect("written");
        let three = async { while received.recv().await != Some(Some(b"three".to_vec())) {} };
        tokio::time::timeout(LONG, three).await.expect("the new connection transmits bytes");
    }

    #[tokio::test]
    async fn a_reset_ends_open_connections_and_a_refusing_link_accepts_none() {
        let link = Link::new(Duration::ZERO, 1);
        let port = LinkListener::open(LOCAL, link.clone()).expect("a port");
        let addr = port.addr;
        let (up, mut received) = serve(port);
        let mut client = TcpStream::connect(addr).await.expect("connected");
        client.write_all(b"one").await.expect("written");
        assert_eq!(received.recv().await, Some(Some(b"one".to_vec())));
        link.begin_fault(0, link_fault(FaultKind::Reset));
        assert_eq!(received.recv().await, Some(None));
        let ended = client.read(&mut [0]).await;
        assert!(ended.is_err(), "expected a reset: {ended:?}");
        let refused = |addr| async move {
            loop {
                // A connection in the backlog of a listener that closes is reset instead.
                match TcpStream::connect(addr).await {
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return,
                    _ => tokio::task::yield_now().await,
                }
            }
        };
        link.begin_fault(1, link_fault(FaultKind::Refuse));
        tokio::time::timeout(LONG, refused(addr)).await.expect("connections are refused");
        link.end_fault(1);
        let again = |addr| async move { while TcpStream::connect(addr).await.is_err() {} };
        tokio::time::timeout(LONG, again(addr))
            .await
            .expect("the listener is open again at the same address");
        up.send(false).expect("the server runs");
        tokio::time::timeout(LONG, refused(addr)).await.expect("connections are refused");
    }

    #[tokio::test]
    async fn half_open_connections_stay_silent_and_new_ones_transmit_bytes() {
        let link = Link::new(Duration::ZERO, 1);
        let port = LinkListener::open(LOCAL, link.clone()).expect("a port");
        let addr = port.addr;
        let (_up, mut received) = serve(port);
        let mut old = TcpStream::connect(addr).await.expect("connected");
        old.write_all(b"one").await.expect("written");
        assert_eq!(received.recv().await, Some(Some(b"one".to_vec())));
        link.begin_fault(0, link_fault(FaultKind::HalfOpen));
        old.write_all(b"lost").await.expect("the sender notices nothing");
        let mut new = TcpStream::connect(addr).await.expect("connected");
        new.write_all(b"two").await.expect("written");
        assert_eq!(received.recv().await, Some(Some(b"two".to_vec())));
        link.end_fault(0);
        new.write_all(b"three").await.expect("written");
        assert_eq!(
            received.recv().await,
            Some(Some(b"three".to_vec())),
            "bytes on the half-open connection stay lost"
        );
    }

    #[test]
    fn faults_on_one_link_are_combined_and_end_independently() {
        let link = Link::new(Duration::from_millis(1), 1);
        let base = link.state();
        let slow = |ms| LinkFault {
            delay: Duration::from_millis(ms),
            direction: Direction::In,
            ..link_fault(FaultKind::Delay)
        };
        link.begin_fault(0, slow(10));
        link.begin_fault(1, slow(20));
        assert_eq!(link.state().inbound.delay, Duration::from_millis(31));
        assert_eq!(link.state().outbound, base.outbound, "the other direction is unaffected");
        link.begin_fault(2, LinkFault { direction: Direction::Out, ..link_fault(FaultKind::Cut) });
        assert!(link.arrival(FlowDirection::Out, 10).is_none());
        assert!(link.arrival(FlowDirection::In, 10).is_some());
        link.end_fault(0);
        assert_eq!(link.state().inbound.delay, Duration::from_millis(21));
        link.end_fault(1);
        link.end_fault(2);
        assert_eq!(link.state(), base);
    }

    #[test]
    fn losses_and_limited_bandwidth_add_delay() {
        let link = Link::new(Duration::ZERO, 1);
        let lossy = LinkConditions { loss: 0.5, ..LinkConditions::default() };
        let times: Vec<Duration> = (0..400).map(|_| link.transit_time(&lossy, 100)).collect();
        let late = times.iter().filter(|t| **t >= MIN_RETRANSMIT_TIMEOUT).count();
        assert!((150..250).contains(&late), "{late} of 400 were lost at least once");
        let narrow = LinkConditions { bytes_per_s: 1000.0, ..LinkConditions::default() };
        assert_eq!(link.transit_time(&narrow, 500), Duration::from_millis(500));
    }

    #[tokio::test]
    async fn datagrams_between_two_members_are_forwarded_lost_and_duplicated() {
        let sockets = [
            UdpSocket::bind((LOCAL, 0)).await.expect("a socket"),
            UdpSocket::bind((LOCAL, 0)).await.expect("a socket"),
        ];
        let members = sockets.iter().map(|s| s.local_addr().expect("bound")).collect();
        let links: Vec<Arc<Link>> = (0..4).map(|i| Link::new(Duration::ZERO, i)).collect();
        let relay = Arc::new(Relay::new(LOCAL, members, links.clone()).await.expect("sockets"));
        let _tasks = relay.clone().run();
        let mut buffer = [0; 64];
        let mut receive = async |at: usize| {
            let got = tokio::time::timeout(LONG, sockets[at].recv_from(&mut buffer)).await;
            let (n, from) = got.expect("in time").expect("a datagram");
            (buffer[..n].to_vec(), from)
        };
        sockets[0].send_to(b"one", relay.addrs[1]).await.expect("sent");
        // The sender's address is the relay address of the first member, so that a response reaches it.
        assert_eq!(receive(1).await, (b"one".to_vec(), relay.addrs[0]));
        links[1].begin_fault(0, link_fault(FaultKind::Lose));
        sockets[0].send_to(b"lost", relay.addrs[1]).await.expect("sent");
        sockets[1].send_to(b"back", relay.addrs[0]).await.expect("sent");
        assert_eq!(receive(0).await.0, b"back", "the other direction is unaffected");
        while relay.counts.received.load(Ordering::Relaxed) < 3 {
            tokio::task::yield_now().await;
        }
        links[1].end_fault(0);
        links[1].begin_fault(1, link_fault(FaultKind::Duplicate));
        sockets[0].send_to(b"twice", relay.addrs[1]).await.expect("sent");
        assert_eq!(receive(1).await.0, b"twice");
        assert_eq!(receive(1).await.0, b"twice");
        // A datagram from an unknown address is dropped and counted.
        let stranger = UdpSocket::bind((LOCAL, 0)).await.expect("a socket");
        stranger.send_to(b"hello", relay.addrs[1]).await.expect("sent");
        while relay.counts.unknown_senders.load(Ordering::Relaxed) < 1 {
            tokio::task::yield_now().await;
        }
        assert_eq!(relay.counts.forwarded.load(Ordering::Relaxed), 4);
    }
}
