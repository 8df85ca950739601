//! What a connection counts as.

use super::*;
use std::task::Poll;

fn settings() -> Settings {
    Settings {
        longest_head: 16 * 1024,
        head_time: Duration::from_millis(2600),
        first_time: Duration::from_millis(2700),
        idle_time: Duration::from_millis(2200),
        spare_time: Duration::from_millis(500),
        untaken_time: Duration::from_secs(30),
    }
}

/// How much of an answer the sockets hold is the system's business, so no test of the whole program can fill them
/// to just before an answer's end.
#[test]
fn a_connection_is_busy_until_its_client_has_taken_the_last_answer() {
    let peer = Peer::new(settings());
    peer.since.set(Instant::now() - 2 * settings().spare_time);
    assert!(peer.idle() && !peer.busy());
    peer.wrote(&Poll::Pending);
    assert!(peer.busy() && !peer.idle());
    peer.wrote(&Poll::Ready(Ok(1)));
    assert!(!peer.busy(), "all has gone out");
    assert!(!peer.idle(), "and a request may be on its way");
}
