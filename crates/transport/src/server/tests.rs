//! What a connection counts as.

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

/// How much of an answer the sockets hold is the system's business, so no test of the whole program can fill them
/// to just before an answer's end.
#[test]
fn a_connection_is_busy_until_its_client_has_taken_the_last_answer() {
    let peer = Peer::new(shared(settings()));
    peer.since.set(Instant::now().checked_sub(2 * settings().eviction_min_idle).unwrap());
    assert!(peer.idle() && !peer.busy());
    peer.wrote(&Poll::Pending);
    assert!(peer.busy() && !peer.idle());
    peer.wrote(&Poll::Ready(Ok(1)));
    assert!(!peer.busy(), "all has gone out");
    assert!(!peer.idle(), "and a request may be on its way");
}

/// Its client goes by the limit that held when the last answer came.
#[test]
fn an_idle_connection_may_rest_as_long_as_when_it_became_idle() {
    let settings_of_server = shared(settings());
    let peer = Rc::new(Peer::new(settings_of_server.clone()));
    drop(Busy::new(&peer));
    let shorter = Settings { idle_timeout: settings().idle_timeout / 4, ..settings() };
    settings_of_server.set(shorter);
    assert_eq!(peer.idle_limit(), settings().idle_timeout);
    drop(Busy::new(&peer));
    assert_eq!(peer.idle_limit(), shorter.idle_timeout, "from its next request on the new limit holds");
    settings_of_server.set(settings());
    assert_eq!(peer.idle_limit(), settings().idle_timeout, "a longer limit holds at once");
}
