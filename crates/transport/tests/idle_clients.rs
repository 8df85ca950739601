//! Eviction of client connections when the server's budget is exhausted, on real sockets. All time-outs are one hour,
//! so a connection that ends here was evicted.

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

const ONE_HOUR: Duration = Duration::from_hours(1);
/// Time-out of each wait in these tests, far longer than any of them takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of connections of the server.
const MAX_CONNECTIONS: usize = 8;
const REQUEST: &[u8] = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n";

fn settings() -> Settings {
    Settings {
        max_head_bytes: 16 * 1024,
        head_timeout: ONE_HOUR,
        first_head_timeout: ONE_HOUR,
        idle_timeout: ONE_HOUR,
        eviction_min_idle: Duration::from_millis(50),
        write_stall_timeout: ONE_HOUR,
    }
}

/// A handler that counts the requests it receives, and answers them while its gate is open.
struct GatedHandler {
    handled_requests: Rc<Cell<usize>>,
    open: watch::Receiver<bool>,
}

impl Handler for GatedHandler {
    type Body = Full<Bytes>;

    async fn handle(&self, _request: Request<Incoming>, client: Client) -> Response<Full<Bytes>> {
        client.peer.mark_used();
        self.handled_requests.set(self.handled_requests.get() + 1);
        let _ = self.open.clone().wait_for(|open| *open).await;
        Response::new(Full::from("ok"))
    }
}

struct TestServer {
    server: Rc<Server<GatedHandler>>,
    handled_requests: Rc<Cell<usize>>,
    gate: watch::Sender<bool>,
    listener: Option<TcpListener>,
    addr: SocketAddr,
}

impl TestServer {
    /// Creates a server that does not accept connections yet.
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (handled_requests, gate) = (Rc::new(Cell::new(0)), watch::Sender::new(true));
        let handler = GatedHandler { handled_requests: handled_requests.clone(), open: gate.subscribe() };
        let server = Server::new(handler, settings(), MAX_CONNECTIONS);
        Self { server, handled_requests, gate, listener: Some(listener), addr }
    }

    fn accept(&mut self) {
        let (server, listener) = (self.server.clone(), self.listener.take().expect("not accepting yet"));
        tokio::task::spawn_local(async move { server.accept(&listener).await });
    }

    /// Creates a server that accepts connections.
    async fn started() -> Self {
        let mut server = Self::new().await;
        server.accept();
        server
    }

    /// Connects a client and sends `bytes`.
    async fn client(&self, bytes: &[u8]) -> TcpStream {
        let mut socket = TcpStream::connect(self.addr).await.expect("the server listens");
        // If the server closes the connection at once, the test sees that when it reads the response.
        let _ = socket.write_all(bytes).await;
        socket
    }

    /// Connects as many clients as the budget allows; each sends `bytes` and is accepted.
    async fn fill(&self, bytes: &[u8]) -> Vec<TcpStream> {
        let mut clients = Vec::new();
        while clients.len() < MAX_CONNECTIONS {
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

    /// Sends requests on new connections until one is answered.
    async fn wait_until_served(&self) {
        within(async { while !answered(&mut self.client(REQUEST).await).await {} }).await;
    }
}

async fn within<T>(wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(TEST_TIMEOUT, wait).await.expect("time-out in the test")
}

/// Whether a response is received before the connection ends.
async fn answered(socket: &mut TcpStream) -> bool {
    let mut bytes = [0; 1024];
    match within(socket.read(&mut bytes)).await {
        Ok(n) => bytes[..n].starts_with(b"HTTP/1.1 200"),
        Err(_) => false,
    }
}

/// Whether the end of the connection has been received from the server.
fn ended(socket: &TcpStream) -> bool {
    match socket.try_read(&mut [0; 1024]) {
        Ok(n) => n == 0,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

async fn count_ended(clients: &[TcpStream]) -> usize {
    // Lets the runtime receive the events of the sockets that the server has closed.
    tokio::task::yield_now().await;
    clients.iter().filter(|socket| ended(socket)).count()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn connections_that_have_sent_nothing_are_evicted() {
    run(async {
        let server = TestServer::started().await;
        let without_data = server.fill(b"").await;
        server.wait_until_served().await;
        within(async { while count_ended(&without_data).await == 0 {} }).await;
        assert!(server.server.connections() <= MAX_CONNECTIONS);
        assert_eq!(server.handled_requests.get(), 1, "no request of an evicted connection was handled");
    });
}

#[test]
fn connections_with_an_incomplete_request_head_are_evicted() {
    run(async {
        let server = TestServer::started().await;
        let half = server.fill(b"GET /a HTTP/1.1\r\nHo").await;
        server.wait_until_served().await;
        within(async { while count_ended(&half).await == 0 {} }).await;
        assert_eq!(server.handled_requests.get(), 1);
    });
}

#[test]
fn the_connection_that_is_idle_longest_is_evicted_at_once() {
    run(async {
        let server = TestServer::started().await;
        let mut kept = Vec::new();
        for _ in 0..MAX_CONNECTIONS {
            let mut client = server.client(REQUEST).await;
            assert!(answered(&mut client).await);
            kept.push(client);
        }
        assert!(answered(&mut server.client(REQUEST).await).await, "the first attempt is served");
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
fn a_connection_with_an_active_request_is_never_evicted_and_further_ones_are_closed_at_once() {
    run(async {
        let server = TestServer::started().await;
        server.gate.send_replace(false);
        let mut busy = server.fill(REQUEST).await;
        within(async {
            while server.handled_requests.get() < MAX_CONNECTIONS {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert!(!answered(&mut server.client(REQUEST).await).await, "the budget is exhausted");
        assert_eq!(
            (server.server.connections(), server.handled_requests.get()),
            (MAX_CONNECTIONS, MAX_CONNECTIONS)
        );
        server.gate.send_replace(true);
        for client in &mut busy {
            assert!(answered(client).await, "the active request is answered");
        }
        server.wait_until_served().await;
    });
}

#[test]
fn each_connection_returns_its_share_of_the_budget_exactly_once_however_it_ends() {
    run(async {
        let server = TestServer::started().await;
        for bytes in [&b""[..], b"GET /a HT", REQUEST] {
            for _ in 0..3 {
                drop(server.overfill(bytes).await);
                within(async {
                    while server.server.connections() > 0 {
                        tokio::task::yield_now().await;
                    }
                })
                .await;
            }
        }
        // The budget is as before: it suffices for this many active requests, and a further connection is closed.
        server.gate.send_replace(false);
        let before = server.handled_requests.get();
        let _busy = server.fill(REQUEST).await;
        within(async {
            while server.handled_requests.get() < before + MAX_CONNECTIONS {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert!(!answered(&mut server.client(REQUEST).await).await);
    });
}

#[test]
fn a_request_whose_client_left_before_it_was_accepted_is_never_handled() {
    run(async {
        let mut server = TestServer::new().await;
        for _ in 0..MAX_CONNECTIONS {
            drop(server.client(REQUEST).await);
        }
        server.accept();
        server.wait_until_served().await;
        within(async {
            while server.server.connections() > 1 {
                tokio::task::yield_now().await;
            }
        })
        .await;
        assert_eq!(server.handled_requests.get(), 1, "only the request of the connected client");
    });
}

impl TestServer {
    /// Connects twice as many clients as the budget allows, so that some of them are evicted.
    async fn overfill(&self, bytes: &[u8]) -> Vec<TcpStream> {
        let mut clients = Vec::new();
        for _ in 0..2 * MAX_CONNECTIONS {
            clients.push(self.client(bytes).await);
        }
        clients
    }
}
