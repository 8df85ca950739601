//! Tests of the pools on real sockets.

use super::{lease::RELEASE_DELAY, *};
use std::{io::Write, net::TcpListener};

/// A second response that a worker sends a few milliseconds after the first must not reach the next request. The clock
/// is paused, so that it arrives within the release delay.
#[test]
fn a_released_connection_waits_before_reuse_and_closes_if_a_second_response_arrives_meanwhile() {
    let settings =
        Settings { worker_idle_timeout: 30.0, gateway_count: 2, connect_timeout: Duration::from_millis(250) };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        for is_followed_by_stray in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let pools = Pools::new(8, settings, Clock::unix(), 1);
            let worker: WorkerId = "w0".into();
            pools.update_worker(&worker, listener.local_addr().ok(), 0.0, true, false);
            let mut lease =
                pools.lease(&worker).await.unwrap_or_else(|_| panic!("the connection is established"));
            let (mut worker_socket, _) = listener.accept().expect("a connection to accept");
            let counts = || {
                let view = pools.state.borrow().views(pools.clock.now()).pop().expect("one pool");
                (view.in_use, view.idle, view.counts.closed[CloseReason::ClosedByPeer as usize])
            };
            tokio::time::pause();
            lease.connection();
            lease.release(false);
            // 1.5 times the longest delay that was observed (4 ms).
            tokio::time::sleep(Duration::from_millis(6)).await;
            assert_eq!(counts(), (1, 0, 0), "the connection is not reusable yet");
            if is_followed_by_stray {
                worker_socket
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
                    .expect("a socket");
            }
            tokio::time::sleep(RELEASE_DELAY).await;
            assert_eq!(counts(), if is_followed_by_stray { (0, 0, 1) } else { (0, 1, 0) });
            tokio::time::resume();
        }
    });
}
