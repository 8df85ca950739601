//! Every link between a gateway and something else passes through here, and can be broken by direction.
//!
//! The lab holds the far end of each link: a listener or a connection of its own on loopback. What the link does to
//! bytes happens where the lab reads and writes them. A lost message on TCP shows as what it is there, the time-out
//! of a retransmission; a silent cut holds bytes back until it heals; a new connection over a cut link never comes
//! up, as the listener's line is kept full. Datagrams between gateways pass through [`Relay`] and can be lost,
//! doubled and reordered as well.

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

/// First retransmission of a lost segment, as TCP's least time-out.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Which way bytes go, as the gateway sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowDirection {
    Out,
    In,
}

/// What one direction of a link does.
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
    fn clean(&self) -> bool {
        *self == Self::default()
    }
}

/// A link as it stands.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LinkState {
    pub outbound: LinkConditions,
    pub inbound: LinkConditions,
    pub refuse: bool,
    /// Connections from before the last of these are reset, or silent for good.
    resets: u64,
    half_opens: u64,
}

impl LinkState {
    /// No new connection can come up: either way is enough for that.
    fn blocks_connections(&self) -> bool {
        self.outbound.partitioned || self.inbound.partitioned
    }

    fn shape(&self, dir: FlowDirection) -> &LinkConditions {
        match dir {
            FlowDirection::Out => &self.outbound,
            FlowDirection::In => &self.inbound,
        }
    }
}

/// What a fault does to a link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFault {
    pub kind: FaultKind,
    pub direction: Direction,
    pub delay: Duration,
    pub jitter: Duration,
    pub share: f64,
    pub bytes_per_s: f64,
}

/// One link. Faults on it add up; each is taken back by itself.
#[derive(Debug)]
pub struct Link {
    base: LinkState,
    faults: Mutex<Vec<(usize, LinkFault)>>,
    state: watch::Sender<LinkState>,
    rng: Mutex<ChaCha8Rng>,
}

impl Link {
    /// A whole link whose messages take `delay` each way.
    #[must_use]
    pub fn new(delay: Duration, seed: u64) -> Arc<Self> {
        let shape = LinkConditions { delay, jitter: delay / 5, ..LinkConditions::default() };
        let base = LinkState { outbound: shape, inbound: shape, ..LinkState::default() };
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

    /// Fault number `index` begins.
    pub fn begin_fault(&self, index: usize, fault: LinkFault) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        match fault.kind {
            FaultKind::Reset => self.state.send_modify(|s| s.resets += 1),
            FaultKind::HalfOpen => self.state.send_modify(|s| s.half_opens += 1),
            _ => faults.push((index, fault)),
        }
        self.apply(&faults);
    }

    /// Fault number `index` ends.
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
                for (way, shape) in [(Direction::Out, &mut next.outbound), (Direction::In, &mut next.inbound)]
                {
                    if fault.direction != Direction::Both && fault.direction != way {
                        continue;
                    }
                    match fault.kind {
                        FaultKind::Cut => shape.partitioned = true,
                        FaultKind::Delay => {
                            shape.delay += fault.delay;
                            shape.jitter += fault.jitter;
                        }
                        FaultKind::Lose => shape.loss = 1.0 - (1.0 - shape.loss) * (1.0 - fault.share),
                        FaultKind::Throttle => shape.bytes_per_s = fault.bytes_per_s,
                        FaultKind::Duplicate => shape.duplicate = fault.share,
                        FaultKind::Reorder => shape.reorder = fault.share,
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

    /// How long `bytes` take in a direction, the cut aside.
    fn time(&self, shape: &LinkConditions, bytes: usize) -> Duration {
        let mut time = shape.delay;
        if !shape.jitter.is_zero() {
            time += shape.jitter.mul_f64(self.draw());
        }
        if shape.bytes_per_s > 0.0 {
            time += Duration::from_secs_f64(bytes as f64 / shape.bytes_per_s);
        }
        if shape.loss > 0.0 {
            let mut again = RETRANSMIT;
            // As many losses in a row as come to two minutes are as good as a cut.
            while again < Duration::from_secs(60) && self.draw() < shape.loss {
                time += again;
                again *= 2;
            }
        }
        time
    }

    /// When `bytes` that set out now are through; `None` while nothing passes.
    pub fn arrival(&self, dir: FlowDirection, bytes: usize) -> Option<Instant> {
        let state = self.state();
        let shape = state.shape(dir);
        (!shape.partitioned)
            .then(|| Instant::now() + if shape.clean() { Duration::ZERO } else { self.time(shape, bytes) })
    }

    /// Waits until nothing is cut in a direction.
    async fn open(&self, dir: FlowDirection) {
        let mut changes = self.state.subscribe();
        // The sender lives as long as this link does.
        let _ = changes.wait_for(|s| !s.shape(dir).partitioned).await;
    }

    /// Waits as long as `bytes` take in a direction; over a cut link until it heals.
    pub async fn wait_for_transit(&self, dir: FlowDirection, bytes: usize) {
        loop {
            match self.arrival(dir, bytes) {
                Some(at) if at <= Instant::now() => return,
                Some(at) => return tokio::time::sleep_until(at).await,
                None => self.open(dir).await,
            }
        }
    }
}

/// Ends a connection with a reset.
pub fn reset(socket: &TcpStream) {
    // Without it the end is an ordinary one, which is nothing to stop a play for.
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
        // A socket without it is slower, which the lab's lateness does not hide.
        let _ = socket.set_nodelay(true);
        let state = link.state();
        let changes = link.state.subscribe();
        Self { socket, link, changes, resets: state.resets, half_opens: state.half_opens, buffer: Vec::new() }
    }

    /// What has come and was not taken yet.
    pub fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    /// Waits for more bytes; `Ok(0)` at the end.
    ///
    /// # Errors
    /// The connection broke, or the link reset it.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let n = loop {
            let state = *self.changes.borrow_and_update();
            if state.resets > self.resets {
                self.reset();
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if state.half_opens > self.half_opens {
                // Silent for good: neither bytes nor the end come through, until a reset.
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

    /// Writes all of `bytes` after the time that they take.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn write(&mut self, dir: FlowDirection, bytes: &[u8]) -> io::Result<()> {
        self.link.wait_for_transit(dir, bytes.len()).await;
        self.write_without_delay(bytes).await
    }

    /// Writes all of `bytes`: the caller has reckoned with the link already.
    ///
    /// # Errors
    /// The connection broke, or the link reset it.
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

    /// Whether it can still be used: nothing has come that nobody asked for, nor the end.
    pub fn is_reusable(&self) -> bool {
        let state = self.link.state();
        let is_intact = state.resets <= self.resets && self.buffer.is_empty();
        is_intact && self.socket.try_read(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends it with a reset once it is dropped.
    pub fn reset(&self) {
        reset(&self.socket);
    }
}

/// The lab's listening end of a link, at one address for good.
pub struct LinkListener {
    pub addr: SocketAddr,
    link: Arc<Link>,
    listener: Option<TcpListener>,
    filler: BacklogFiller,
}

/// What keeps a listener's line full while its link is cut.
enum BacklogFiller {
    None,
    /// Somebody else's connection that came just then.
    Other,
    Own(TcpStream),
}

/// A connection on loopback is up long before.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);

fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // The address is taken up again after a death, connections of before or not.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

impl LinkListener {
    /// Listens on a free port of `ip`.
    ///
    /// # Errors
    /// There is none, or no descriptor.
    pub fn open(ip: IpAddr, link: Arc<Link>) -> io::Result<Self> {
        let listener = listen(SocketAddr::new(ip, 0))?;
        Ok(Self { addr: listener.local_addr()?, link, listener: Some(listener), filler: BacklogFiller::None })
    }

    /// Makes the listener what the link's state and `up` want it to be.
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
        let filled = !matches!(self.filler, BacklogFiller::None);
        if state.blocks_connections() && !filled {
            // A line of none, filled by one connection of the lab's own: nobody else gets in, or an answer.
            rustix::net::listen(listener, 0)?;
            self.filler = match tokio::time::timeout(FILL_TIMEOUT, TcpStream::connect(self.addr)).await {
                Ok(filler) => BacklogFiller::Own(filler?),
                Err(_) => BacklogFiller::Other,
            };
        } else if !state.blocks_connections() && filled {
            rustix::net::listen(listener, BACKLOG.cast_signed())?;
            if matches!(self.filler, BacklogFiller::Other) {
                self.filler = BacklogFiller::None;
            }
        }
        Ok(())
    }

    /// The next connection, while `up` holds; it waits while there is no listener.
    ///
    /// # Errors
    /// The address can't be taken up again.
    pub async fn accept(&mut self, up: &mut watch::Receiver<bool>) -> io::Result<Connection> {
        let mut changes = self.link.state.subscribe();
        loop {
            changes.borrow_and_update();
            let is_up = *up.borrow_and_update();
            self.apply(is_up).await?;
            let open = self.listener.as_ref().filter(|_| !self.link.state().blocks_connections());
            let accepted = async {
                match open {
                    Some(listener) => listener.accept().await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                came = accepted => {
                    // One connection's trouble while it came up is no trouble of the listener's.
                    let Ok((socket, from)) = came else {
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
                power = up.changed() => power.map_err(|_| io::ErrorKind::BrokenPipe)?,
            }
        }
    }
}

/// Carries datagrams between gateways: each member is known to the others by an address of the relay's, and what
/// comes there goes on to the member from the address by which it knows the sender.
pub struct Relay {
    /// By member, the address that the others know.
    pub addrs: Vec<SocketAddr>,
    sockets: Vec<Arc<UdpSocket>>,
    members: Vec<SocketAddr>,
    by_addr: HashMap<SocketAddr, usize>,
    links: Vec<Arc<Link>>,
    pub counts: Arc<RelayCounts>,
}

/// Datagrams and bytes that came to the relay, and that it passed on.
#[derive(Debug, Default)]
pub struct RelayCounts {
    pub received: AtomicU64,
    pub forwarded: AtomicU64,
    pub bytes: AtomicU64,
    pub unknown_senders: AtomicU64,
}

/// Longer than any datagram.
const DATAGRAM: usize = 65_536;

impl Relay {
    /// A relay between members that receive at `members`; link `from * members + to` leads from one to the other.
    ///
    /// # Errors
    /// No socket is to be had.
    pub async fn new(ip: IpAddr, members: Vec<SocketAddr>, links: Vec<Arc<Link>>) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in &members {
            sockets.push(Arc::new(UdpSocket::bind(SocketAddr::new(ip, 0)).await?));
        }
        let addrs = sockets.iter().map(|s| s.local_addr()).collect::<io::Result<_>>()?;
        let by_addr = members.iter().copied().zip(0..).collect();
        Ok(Self { addrs, sockets, members, by_addr, links, counts: Arc::default() })
    }

    /// Carries datagrams until it is dropped.
    #[must_use]
    pub fn run(self: Arc<Self>) -> tokio::task::JoinSet<()> {
        let mut tasks = tokio::task::JoinSet::new();
        for to in 0..self.members.len() {
            tasks.spawn(self.clone().carry(to));
        }
        tasks
    }

    async fn carry(self: Arc<Self>, to: usize) {
        let mut buffer = vec![0; DATAGRAM];
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
            // What one member sends goes out of it, and into the other: a link has one way here.
            if state.outbound.partitioned || state.inbound.partitioned || link.draw() < state.outbound.loss {
                continue;
            }
            let duplicates = 1 + usize::from(link.draw() < state.outbound.duplicate);
            for _ in 0..duplicates {
                let mut wait = link.time(&LinkConditions { loss: 0.0, ..state.outbound }, n);
                if link.draw() < state.outbound.reorder {
                    wait += Duration::from_millis(20).mul_f64(link.draw());
                }
                let (relay, bytes) = (self.clone(), buffer[..n].to_vec());
                let pass = async move {
                    // One that is not there hears nothing, as on any network.
                    if relay.sockets[from].send_to(&bytes, relay.members[to]).await.is_ok() {
                        relay.counts.forwarded.fetch_add(1, Ordering::Relaxed);
                    }
                };
                if wait.is_zero() {
                    pass.await;
                } else {
                    tokio::spawn(async move {
                        sleep(wait).await;
                        pass.await;
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

    /// Accepts connections and hands on what they bring, until it is dropped.
    fn serve(
        mut port: LinkListener,
    ) -> (watch::Sender<bool>, tokio::sync::mpsc::UnboundedReceiver<Option<Vec<u8>>>) {
        let (up, mut is_up) = watch::channel(true);
        let (sender, heard) = tokio::sync::mpsc::unbounded_channel();
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
        (up, heard)
    }

    #[tokio::test]
    async fn a_cut_link_holds_bytes_back_and_lets_no_connection_up_until_it_heals() {
        let link = Link::new(Duration::ZERO, 1);
        let port = LinkListener::open(LOCAL, link.clone()).expect("a port");
        let addr = port.addr;
        let (_up, mut heard) = serve(port);
        let mut client = TcpStream::connect(addr).await.expect("it is up");
        client.write_all(b"one").await.expect("up");
        assert_eq!(heard.recv().await, Some(Some(b"one".to_vec())));
        link.begin_fault(0, link_fault(FaultKind::Cut));
        client.write_all(b"two").await.expect("the sender notices nothing");
        // The line is full once a connection does not come up any more.
        let refused = async {
            loop {
                match tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(addr)).await {
                    Err(_) => return,
                    Ok(came) => drop(came),
                }
            }
        };
        tokio::time::timeout(LONG, refused).await.expect("none comes up");
        // Only the ends of connections that came up before the line was full may be told.
        while let Ok(told) = heard.try_recv() {
            assert_eq!(told, None, "bytes over a cut link");
        }
        link.end_fault(0);
        let two = async { while heard.recv().await != Some(Some(b"two".to_vec())) {} };
        tokio::time::timeout(LONG, two).await.expect("they come through now");
        let new = tokio::time::timeout(LONG, TcpStream::connect(addr)).await.expect("in time");
        let mut new = new.expect("it comes up again");
        new.write_all(b"three").await.expect("up");
        let three = async { while heard.recv().await != Some(Some(b"three".to_vec())) {} };
        tokio::time::timeout(LONG, three).await.expect("and works");
    }

    #[tokio::test]
    async fn a_reset_ends_what_is_there_and_a_refused_link_takes_nothing_new() {
        let link = Link::new(Duration::ZERO, 1);
        let port = LinkListener::open(LOCAL, link.clone()).expect("a port");
        let addr = port.addr;
        let (up, mut heard) = serve(port);
        let mut client = TcpStream::connect(addr).await.expect("it is up");
        client.write_all(b"one").await.expect("up");
        assert_eq!(heard.recv().await, Some(Some(b"one".to_vec())));
        link.begin_fault(0, link_fault(FaultKind::Reset));
        assert_eq!(heard.recv().await, Some(None));
        let ended = client.read(&mut [0]).await;
        assert!(ended.is_err(), "a reset, not an end: {ended:?}");
        let refused = |addr| async move {
            loop {
                // One that waited to be accepted when the listener went is reset instead.
                match TcpStream::connect(addr).await {
                    Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => return,
                    _ => tokio::task::yield_now().await,
                }
            }
        };
        link.begin_fault(1, link_fault(FaultKind::Refuse));
        tokio::time::timeout(LONG, refused(addr)).await.expect("refused");
        link.end_fault(1);
        let again = |addr| async move { while TcpStream::connect(addr).await.is_err() {} };
        tokio::time::timeout(LONG, again(addr)).await.expect("the same address");
        up.send(false).expect("served");
        tokio::time::timeout(LONG, refused(addr)).await.expect("refused");
    }

    #[tokio::test]
    async fn half_open_connections_are_silent_for_good_and_new_ones_work() {
        let link = Link::new(Duration::ZERO, 1);
        let port = LinkListener::open(LOCAL, link.clone()).expect("a port");
        let addr = port.addr;
        let (_up, mut heard) = serve(port);
        let mut old = TcpStream::connect(addr).await.expect("it is up");
        old.write_all(b"one").await.expect("up");
        assert_eq!(heard.recv().await, Some(Some(b"one".to_vec())));
        link.begin_fault(0, link_fault(FaultKind::HalfOpen));
        old.write_all(b"lost").await.expect("the sender notices nothing");
        let mut new = TcpStream::connect(addr).await.expect("it is up");
        new.write_all(b"two").await.expect("up");
        assert_eq!(heard.recv().await, Some(Some(b"two".to_vec())));
        link.end_fault(0);
        new.write_all(b"three").await.expect("up");
        assert_eq!(heard.recv().await, Some(Some(b"three".to_vec())), "and the lost ones stay lost");
    }

    #[test]
    fn faults_on_one_link_add_up_and_each_is_taken_back_by_itself() {
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
        assert_eq!(link.state().outbound, base.outbound, "the other way is whole");
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
    fn losses_and_a_narrow_link_cost_time() {
        let link = Link::new(Duration::ZERO, 1);
        let lossy = LinkConditions { loss: 0.5, ..LinkConditions::default() };
        let times: Vec<Duration> = (0..400).map(|_| link.time(&lossy, 100)).collect();
        let late = times.iter().filter(|t| **t >= RETRANSMIT).count();
        assert!((150..250).contains(&late), "{late} of 400 were lost once or more");
        let narrow = LinkConditions { bytes_per_s: 1000.0, ..LinkConditions::default() };
        assert_eq!(link.time(&narrow, 500), Duration::from_millis(500));
    }

    #[tokio::test]
    async fn datagrams_are_carried_lost_and_doubled_between_two_members() {
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
        // It comes from where the first is known to the second, so that an answer finds its way.
        assert_eq!(receive(1).await, (b"one".to_vec(), relay.addrs[0]));
        links[1].begin_fault(0, link_fault(FaultKind::Lose));
        sockets[0].send_to(b"lost", relay.addrs[1]).await.expect("sent");
        sockets[1].send_to(b"back", relay.addrs[0]).await.expect("sent");
        assert_eq!(receive(0).await.0, b"back", "the other way is whole");
        while relay.counts.received.load(Ordering::Relaxed) < 3 {
            tokio::task::yield_now().await;
        }
        links[1].end_fault(0);
        links[1].begin_fault(1, link_fault(FaultKind::Duplicate));
        sockets[0].send_to(b"twice", relay.addrs[1]).await.expect("sent");
        assert_eq!(receive(1).await.0, b"twice");
        assert_eq!(receive(1).await.0, b"twice");
        // From nobody's address: passed over, and counted.
        let stranger = UdpSocket::bind((LOCAL, 0)).await.expect("a socket");
        stranger.send_to(b"hello", relay.addrs[1]).await.expect("sent");
        while relay.counts.unknown_senders.load(Ordering::Relaxed) < 1 {
            tokio::task::yield_now().await;
        }
        assert_eq!(relay.counts.forwarded.load(Ordering::Relaxed), 4);
    }
}
