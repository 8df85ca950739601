//! Tests of remote procedure calls over loopback.

use opalrun_net::{Listener, RpcClient, RpcError, serve_rpc};
use std::{cell::RefCell, future::Future, net::SocketAddr, rc::Rc, time::Duration};
use tokio::{
    sync::{Notify, oneshot},
    task::{JoinHandle, LocalSet},
};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test)
}

async fn listener() -> Listener {
    Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap()
}

/// Starts a server that responds to a number with its double, and never to 0. Returns its address and its task.
async fn start_doubling_server() -> (SocketAddr, JoinHandle<()>) {
    let listener = listener().await;
    let address = listener.local_address();
    let serve = serve_rpc(listener, async |number: u64| {
        if number == 0 {
            std::future::pending::<()>().await;
        }
        number * 2
    });
    (address, tokio::task::spawn_local(serve))
}

#[test]
fn many_calls_share_a_connection() {
    run(async {
        let (address, _server) = start_doubling_server().await;
        let client = RpcClient::<u64, u64>::new("server", address);
        let calls = (1..300).map(|number| {
            let client = client.clone();
            tokio::task::spawn_local(async move { (number, client.call(&number, TEST_TIMEOUT).await) })
        });
        for call in calls.collect::<Vec<_>>() {
            let (number, response) = call.await.unwrap();
            assert_eq!(response, Ok(number * 2));
        }
    });
}

#[test]
fn responses_arrive_in_any_order() {
    run(async {
        let listener = listener().await;
        let address = listener.local_address();
        let release = Rc::new(Notify::new());
        let released = release.clone();
        tokio::task::spawn_local(serve_rpc(listener, move |number: u64| {
            let released = released.clone();
            async move {
                if number == 1 {
                    released.notified().await;
                }
                number
            }
        }));
        let client = RpcClient::<u64, u64>::new("server", address);
        let slow = {
            let client = client.clone();
            tokio::task::spawn_local(async move { client.call(&1, TEST_TIMEOUT).await })
        };
        assert_eq!(client.call(&2, TEST_TIMEOUT).await, Ok(2));
        release.notify_one();
        assert_eq!(slow.await.unwrap(), Ok(1));
    });
}

#[test]
fn a_call_without_response_times_out_and_the_connection_stays_open() {
    run(async {
        let (address, _server) = start_doubling_server().await;
        let client = RpcClient::<u64, u64>::new("server", address);
        assert_eq!(client.call(&0, Duration::from_millis(20)).await, Err(RpcError::TimedOut));
        assert_eq!(client.call(&4, TEST_TIMEOUT).await, Ok(8));
    });
}

#[test]
fn a_call_to_an_unreachable_server_is_not_sent_and_later_calls_fail_at_once() {
    run(async {
        let address = listener().await.local_address();
        let client = RpcClient::<u64, u64>::new("server", address);
        assert_eq!(client.call(&1, TEST_TIMEOUT).await, Err(RpcError::NotSent));
        assert!(client.is_backing_off());
        assert_eq!(client.call(&1, TEST_TIMEOUT).await, Err(RpcError::NotSent));
    });
}

#[test]
fn a_lost_connection_fails_its_calls_and_the_next_call_reconnects() {
    run(async {
        let listener = listener().await;
        let address = listener.local_address();
        let client = RpcClient::<u64, u64>::new("server", address);
        let call = {
            let client = client.clone();
            tokio::task::spawn_local(async move { client.call(&1, TEST_TIMEOUT).await })
        };
        let (mut reader, writer) = listener.accept().await.unwrap().split();
        assert!(reader.next_body().await.unwrap().is_some());
        writer.close();
        assert_eq!(call.await.unwrap(), Err(RpcError::Closed));
        tokio::task::spawn_local(serve_rpc(listener, async |number: u64| number + 1));
        assert_eq!(client.call(&1, TEST_TIMEOUT).await, Ok(2));
    });
}

#[test]
fn a_client_moves_to_another_address() {
    run(async {
        let (first, _first_server) = start_doubling_server().await;
        let second = listener().await;
        let second_address = second.local_address();
        tokio::task::spawn_local(serve_rpc(second, async |number: u64| number + 1));
        let client = RpcClient::<u64, u64>::new("server", first);
        assert_eq!(client.call(&10, TEST_TIMEOUT).await, Ok(20));
        client.set_address(second_address);
        assert_eq!(client.call(&10, TEST_TIMEOUT).await, Ok(11));
    });
}

#[test]
fn dropping_the_client_closes_its_connection() {
    run(async {
        let listener = listener().await;
        let client = RpcClient::<u64, u64>::new("server", listener.local_address());
        let (accepted_sender, accepted) = oneshot::channel();
        let server = tokio::task::spawn_local(async move {
            let connection = listener.accept().await.unwrap();
            let seen = Rc::new(RefCell::new(Some(accepted_sender)));
            let handler = Rc::new(move |number: u64| {
                if let Some(sender) = seen.take() {
                    let _ = sender.send(());
                }
                async move { number }
            });
            opalrun_net::serve_connection(connection, handler).await.unwrap();
        });
        assert_eq!(client.call(&1, TEST_TIMEOUT).await, Ok(1));
        accepted.await.unwrap();
        drop(client);
        server.await.unwrap();
    });
}
