//! Tests of how long a forwarded response has been waiting for its worker.

use super::*;
use std::time::Instant;

#[test]
fn a_short_response_waits_for_its_worker_since_its_last_byte_and_a_long_one_has_no_wait() {
    let before = |ms| Instant::now().checked_sub(Duration::from_millis(ms)).unwrap();
    let short = Forwarding::new(None, 4, before(120));
    assert!(
        short.stalled() >= Some(Duration::from_millis(120)),
        "the wait counts before the first chunk was forwarded"
    );
    short.received(MAX_BUFFERED_BYTES - 4);
    assert_eq!(short.stalled(), Some(Duration::ZERO), "the client is waited for");
    short.delivered();
    assert!(short.stalled().is_some(), "a response of exactly 64 KiB is short");
    short.received(1);
    assert_eq!(short.stalled(), None, "the response is long");
    assert_eq!(Forwarding::new(Some(MAX_BUFFERED_BYTES as u64 + 1), 4, before(120)).stalled(), None);
}
