//! The pools on real sockets.

use super::{lease::REST, *};
use std::{io::Write, net::TcpListener};

/// When a late second answer comes is the worker's business: here it comes while the clock stands.
#[test]
fn a_connection_rests_after_an_answer_and_a_second_one_that_comes_then_meets_no_request() {
    let settings =
        Settings { worker_idle_timeout: 30.0, gateway_count: 2, connect_timeout: Duration::from_millis(250) };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build_local(tokio::runtime::LocalOptions::default());
    runtime.expect("a runtime").block_on(async {
        for second in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let pools = Pools::new(8, settings, Clock::unix(), 1);
            let worker: WorkerId = "w0".into();
            pools.update_worker(&worker, listener.local_addr().ok(), 0.0, true, false);
            let mut lease = pools.lease(&worker).await.unwrap_or_else(|_| panic!("it comes up"));
            let (mut far, _) = listener.accept().expect("it has come up");
            let at = || {
                let view = pools.state.borrow().views(pools.clock.now()).pop().expect("one pool");
                (view.in_use, view.idle, view.counts.closed[CloseReason::Peer as usize])
            };
            tokio::time::pause();
            lease.connection();
            lease.release(false);
            // Half as late again as any was seen.
            tokio::time::sleep(Duration::from_millis(6)).await;
            assert_eq!(at(), (1, 0, 0), "nobody can have it yet");
            if second {
                far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray").expect("a socket");
            }
            tokio::time::sleep(REST).await;
            assert_eq!(at(), if second { (0, 0, 1) } else { (0, 1, 0) });
            tokio::time::resume();
        }
    });
}
