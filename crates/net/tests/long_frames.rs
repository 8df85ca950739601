//! Tests of calls whose requests or responses are long: responses wait for room in the send queue, and a call is not given
//! up while a long frame is being transferred.

use opalrun_net::{Listener, RpcClient, RpcError, serve_rpc};
use opalrun_wire::frame::{self, PROTOCOL_VERSION};
use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local, yield_now},
    time::{Instant, advance, pause, resume},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);
/// A wait that is shorter than [`TEST_TIMEOUT`], two of which are longer.
const LONG_WAIT: Duration = Duration::from_secs(4);
/// Time-out that no successful call reaches.
const GENEROUS_TIMEOUT: Duration = Duration::from_mins(1);
/// Number of responses that together exceed the longest send queue.
const RESPONSES: u64 = 12;
const RESPONSE_BYTES: usize = 4_000_000;

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

/// Starts a server whose response to a number has [`RESPONSE_BYTES`] bytes; that to 0 is empty. Returns its address and the
/// number of calls with a long response that it has handled.
async fn start_server() -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let (address, handled) = (listener.local_address(), Rc::new(Cell::new(0)));
    let count = handled.clone();
    spawn_local(serve_rpc(listener, move |number: u64| {
        let length = if number == 0 { 0 } else { RESPONSE_BYTES };
        count.set(count.get() + usize::from(number > 0));
        async move { vec![number as u8; length] }
    }));
    (address, handled)
}

/// Returns a frame with a call, or a response to one, of this number.
fn call_frame(call_number: u64, message: &[u8]) -> Vec<u8> {
    let body = [&call_number.to_le_bytes(), message].concat();
    let length = u32::try_from(body.len()).unwrap();
    [&length.to_le_bytes()[..], &frame::checksum(&body).to_le_bytes(), &body].concat()
}

/// Guards against a server that closes the connection, with all responses that it has queued, when those to one caller
/// exceed the send queue: the calls failed as often as they were sent again.
#[test]
fn responses_that_together_exceed_the_send_queue_all_arrive() {
    run(async {
        let (address, _) = start_server().await;
        let client = RpcClient::<u64, Vec<u8>>::new("server", address);
        let calls = (1..=RESPONSES).map(|number| {
            let client = client.clone();
            spawn_local(async move { (number, client.call(&number, GENEROUS_TIMEOUT).await) })
        });
        for call in calls.collect::<Vec<_>>() {
            let (number, response) = call.await.unwrap();
            assert!(
                response == Ok(vec![number as u8; RESPONSE_BYTES]),
                "call {number}: no complete response"
            );
        }
    });
}

/// Guards against a server that keeps a response for each call of a caller which does not read them.
#[test]
fn a_server_handles_no_more_calls_of_a_caller_that_does_not_read() {
    run(async {
        let (address, handled) = start_server().await;
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(&PROTOCOL_VERSION.to_le_bytes()).await.unwrap();
        for number in 1..=RESPONSES {
            socket.write_all(&call_frame(number, &frame::encode(&number))).await.unwrap();
        }
        let other = RpcClient::<u64, Vec<u8>>::new("server", address);
        for _ in 0..100 {
            assert_eq!(other.call(&0, GENEROUS_TIMEOUT).await, Ok(Vec::new()), "other callers are served");
        }
        assert!(handled.get() <= 6, "{} calls were handled", handled.get());
        let mut buffer = vec![0; 1 << 20];
        while handled.get() < RESPONSES as usize {
            assert!(socket.read(&mut buffer).await.unwrap() > 0);
        }
    });
}

/// A server of one connection whose response the test sends in parts.
struct SlowServer {
    socket: TcpStream,
    response: Vec<u8>,
}

impl SlowServer {
    /// Accepts a connection and reads the call.
    async fn accept(listener: TcpListener) -> Self {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut call = vec![0; 4 + call_frame(1, &frame::encode(&1_u64)).len()];
        socket.read_exact(&mut call).await.unwrap();
        socket.write_all(&PROTOCOL_VERSION.to_le_bytes()).await.unwrap();
        Self { socket, response: call_frame(1, &frame::encode(&vec![7_u8; RESPONSE_BYTES])) }
    }

    /// Sends a part of the response, and waits until the client has received it.
    async fn send_part(&mut self, bytes: usize, client: &RpcClient<u64, Vec<u8>>) {
        let before = client.long_frame_progress();
        let part: Vec<u8> = self.response.drain(..bytes.min(self.response.len())).collect();
        self.socket.write_all(&part).await.unwrap();
        while client.long_frame_progress() == before {
            yield_now().await;
        }
        let mut idle_turns = 0;
        while idle_turns < 1000 {
            let before = client.long_frame_progress();
            yield_now().await;
            idle_turns = if client.long_frame_progress() == before { idle_turns + 1 } else { 0 };
        }
    }
}

async fn let_time_pass(time: Duration) {
    pause();
    advance(time).await;
    resume();
}

async fn slow_call()
-> (tokio::task::JoinHandle<Result<Vec<u8>, RpcError>>, Rc<RpcClient<u64, Vec<u8>>>, SlowServer) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = RpcClient::<u64, Vec<u8>>::new("server", listener.local_addr().unwrap());
    let (calling, deadline) = (client.clone(), Instant::now() + 3 * TEST_TIMEOUT);
    let call = spawn_local(async move { calling.call_until(&1, TEST_TIMEOUT, deadline).await });
    let server = SlowServer::accept(listener).await;
    (call, client, server)
}

/// Guards against a long response that is given up, and asked for again from its beginning, on a slow link.
#[test]
fn a_call_waits_beyond_its_time_out_while_its_response_is_being_received() {
    run(async {
        let (call, client, mut server) = slow_call().await;
        server.send_part(1_000_000, &client).await;
        for _ in 0..2 {
            let_time_pass(LONG_WAIT).await;
            server.send_part(1_000_000, &client).await;
        }
        server.send_part(RESPONSE_BYTES, &client).await;
        assert!(call.await.unwrap() == Ok(vec![7; RESPONSE_BYTES]));
    });
}

#[test]
fn a_call_times_out_once_no_more_of_its_response_is_received() {
    run(async {
        let (call, client, mut server) = slow_call().await;
        server.send_part(1_000_000, &client).await;
        let_time_pass(2 * TEST_TIMEOUT).await;
        assert_eq!(call.await.unwrap().err(), Some(RpcError::TimedOut));
    });
}

#[test]
fn a_call_ends_at_its_deadline_while_its_response_is_being_received() {
    run(async {
        let (call, client, mut server) = slow_call().await;
        for _ in 0..4 {
            server.send_part(500_000, &client).await;
            let_time_pass(LONG_WAIT).await;
        }
        assert_eq!(call.await.unwrap().err(), Some(RpcError::TimedOut));
    });
}
