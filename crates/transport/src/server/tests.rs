//! Tests of the state of a client connection.

use super::*;
use std::task::Poll;

fn settings() -> Settings {
    Settings {
        max_head_bytes: 16 * 1024,
        head_timeout: Duration::from_millis(2600),
        first_head_timeout: Duration::from_millis(2700),
        idle_timeout: Duration::from_millis(2200),
        eviction_min_idle: Duration::from_millis(500),
        write_stall_timeout: Duration::from_secs(30),
    }
}

fn shared(settings: Settings) -> Rc<Cell<Settings>> {
    Rc::new(Cell::new(settings))
}

/// A connection must not count as idle while the socket does not accept the rest of a response. A test of the whole
/// program cannot produce this state, since the operating system decides how much of a response the sockets buffer.
#[test]
fn a_connection_is_busy_until_the_last_response_is_written() {
    let peer = Peer::new(shared(settings()));
    peer.idle_since.set(Instant::now().checked_sub(2 * settings().eviction_min_idle).unwrap());
    assert!(peer.idle() && !peer.busy());
    peer.record_write(&Poll::Pending);
    assert!(peer.busy() && !peer.idle());
    peer.record_write(&Poll::Ready(Ok(1)));
    assert!(!peer.busy(), "the response is written");
    assert!(!peer.idle(), "the next request may be on its way");
}

/// The client relies on the idle time-out that was in force when its last response was completed.
#[test]
fn a_shorter_idle_timeout_does_not_apply_to_a_connection_that_is_already_idle() {
    let settings_of_server = shared(settings());
    let peer = Rc::new(Peer::new(settings_of_server.clone()));
    drop(ActiveRequest::new(&peer));
    let shorter = Settings { idle_timeout: settings().idle_timeout / 4, ..settings() };
    settings_of_server.set(shorter);
    assert_eq!(peer.current_idle_timeout(), settings().idle_timeout);
    drop(ActiveRequest::new(&peer));
    assert_eq!(
        peer.current_idle_timeout(),
        shorter.idle_timeout,
        "the shorter time-out applies after the next request"
    );
    settings_of_server.set(settings());
    assert_eq!(peer.current_idle_timeout(), settings().idle_timeout, "a longer time-out applies at once");
}
