//! Clients that hold places and bring nothing, on real sockets. All time-outs are an hour, so whatever ends a connection
//! here does so to make room.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use opalrun_transport::server::{Client, Handler, Server, Settings};
use std::{cell::Cell, future::Future, io, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    runtime::{Builder, LocalOptions},
    sync::watch,
};

const HOUR: Duration = Duration::from_hours(1);
/// Far beyond what any wait here takes.
const LIMIT: Duration = Duration::from_secs(30);
/// Places of the server.
const BUDGET: usize = 8;
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

fn settings() -> Settings {
    Settings {
        max_head_bytes: 16 * 1024,
        head_timeout: HOUR,
        first_head_timeout: HOUR,
        idle_timeout: HOUR,
        eviction_min_idle: Duration::from_millis(50),
        write_stall_timeout: HOUR,
    }
}

/// Answers requests while the gate is open, and counts those that it sees.
struct Gated {
    seen: Rc<Cell<usize>>,
    open: watch::Receiver<bool>,
}

impl Handler for Gated {
    type Body = Full<Bytes>;

    async fn handle(&self, _request: Request<Incoming>, client: Client) -> Response<Full<Bytes>> {
        client.peer.mark_used();
        self.seen.set(self.seen.get() + 1);
        let _ = self.open.clone().wait_for(|open| *open).await;
        Response::new(Full::from("ok"))
    }
}

struct World {
    server: Rc<Server<Gated>>,
    seen: Rc<Cell<usize>>,
    gate: watch::Sender<bool>,
    listener: Option<TcpListener>,
    addr: SocketAddr,
}

impl World {
    /// A server that does not accept yet.
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (seen, gate) = (Rc::new(Cell::new(0)), watch::Sender::new(true));
        let handler = Gated { seen: seen.clone(), open: gate.subscribe() };
        let server = Server::new(handler, settings(), BUDGET);
        Self { server, seen, gate, listener: Some(listener), addr }
    }

    fn accept(&mut self) {
        let (server, listener) = (self.server.clone(), self.listener.take().expect("not accepting yet"));
        tokio::task::spawn_local(async move { server.accept(&listener).await });
    }

    async fn started() -> Self {
        let mut world = Self::new().await;
        world.accept();
        world
    }

    /// A client that has sent `bytes`.
    async fn client(&self, bytes: &[u8]) -> TcpStream {
        let mut socket = TcpStream::connect(self.addr).await.expect("it listens");
        // Where it is shut at once, that is seen when an answer is waited for.
        let _ = socket.write_all(bytes).await;
        socket
    }

    /// As many clients as there are places, each of which has sent `bytes` and is served.
    async fn fill(&self, bytes: &[u8]) -> Vec<TcpStream> {
        let mut clients = Vec::new();
        while clients.len() < BUDGET {
            clients.push(self.client(bytes).await);
            within(async {
                while self.server.connections() < clients.len() {
                    tokio::task::yield_now().await;
                }
            })
            .await;
        }
        clients
    }

    /// Asks on new connections until one is answered.
    async fn is_served(&self) {
        within(async { while !answered(&mut self.client(REQUEST).await).await {} }).await;
    }
}

async fn within<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(LIMIT, wait).await.expect("it takes too long")
}

/// Whether an answer comes before the end.
async fn answered(socket: &mut TcpStream) -> bool {
    let mut bytes = [0; 1024];
    match within(socket.read(&mut bytes)).await {
        Ok(n) => bytes[..n].starts_with(b"HTTP/1.1 200"),
        Err(_) => false,
    }
}

/// Whether the server has ended the connection, as far as has come yet.
fn ended(socket: &TcpStream) -> bool {
    match socket.try_read(&mut [0; 1024]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

async fn count_ended(clients: &[TcpStream]) -> usize {
    // What the server closed has come once its closing was polled for.
    tokio::task::yield_now().await;
    clients.iter().filter(|socket| ended(socket)).count()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn those_that_have_sent_nothing_make_room() {
    run(async {
        let world = World::started().await;
        let silent = world.fill(b"").await;
        world.is_served().await;
        within(async { while count_ended(&silent).await == 0 {} }).await;
        assert!(world.server.connections() <= BUDGET);
        assert_eq!(world.seen.get(), 1, "what was shut unread was never handled");
    });
}

#[test]
fn those_that_have_sent_half_a_head_make_room() {
    run(async {
        let world = World::started().await;
        let half = world.fill(b"GET /a HTTP/1.1\r\nHo").await;
        world.is_served().await;
        within(async { while count_ended(&half).await == 0 {} }).await;
        assert_eq!(world.seen.get(), 1);
    });
}

#[test]
fn of_those_that_are_idle_after_a_request_the_oldest_makes_room_at_once() {
    run(async {
        let world = World::started().await;
        let mut kept = Vec::new();
        for _ in 0..BUDGET {
            let mut client = world.client(REQUEST).await;
            assert!(answered(&mut client).await);
            kept.push(client);
        }
        assert!(answered(&mut world.client(REQUEST).await).await, "the first try is served");
        within(async {
            while !ended(&kept[0]) {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert_eq!(count_ended(&kept[1..]).await, 0);
    });
}

#[test]
fn a_request_under_way_never_makes_room_and_who_finds_none_is_shut_at_once() {
    run(async {
        let world = World::started().await;
        world.gate.send_replace(false);
        let mut busy = world.fill(REQUEST).await;
        within(async {
            while world.seen.get() < BUDGET {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert!(!answered(&mut world.client(REQUEST).await).await, "there is no place");
        assert_eq!((world.server.connections(), world.seen.get()), (BUDGET, BUDGET));
        world.gate.send_replace(true);
        for client in &mut busy {
            assert!(answered(client).await, "it was under way");
        }
        world.is_served().await;
    });
}

#[test]
fn places_come_back_once_however_a_connection_ends() {
    run(async {
        let world = World::started().await;
        for bytes in [&b""[..], b"GET /a HT", REQUEST] {
            for _ in 0..3 {
                drop(world.fill_or_less(bytes).await);
                within(async {
                    while world.server.connections() > 0 {
                        tokio::task::yield_now().await;
                    }
                })
                .await;
            }
        }
        // Exactly as many places as before: each holds a request that is under way, and one more finds none.
        world.gate.send_replace(false);
        let before = world.seen.get();
        let _busy = world.fill(REQUEST).await;
        within(async {
            while world.seen.get() < before + BUDGET {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert!(!answered(&mut world.client(REQUEST).await).await);
    });
}

#[test]
fn a_request_whose_client_left_before_it_was_accepted_is_never_handled() {
    run(async {
        let mut world = World::new().await;
        for _ in 0..BUDGET {
            drop(world.client(REQUEST).await);
        }
        world.accept();
        world.is_served().await;
        within(async {
            while world.server.connections() > 1 {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert_eq!(world.seen.get(), 1, "only that of the client that is there");
    });
}

impl World {
    /// More clients than there are places, some of which make room for others.
    async fn fill_or_less(&self, bytes: &[u8]) -> Vec<TcpStream> {
        let mut clients = Vec::new();
        for _ in 0..2 * BUDGET {
            clients.push(self.client(bytes).await);
        }
        clients
    }
}
