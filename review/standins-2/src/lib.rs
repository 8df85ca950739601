//! Stand-ins and the start of a small deployment for the scripts of the second review. Only the standard library is used.

pub mod client;
pub mod http;
pub mod operator;
pub mod record;
pub mod tier;
pub mod worker;

use std::time::Duration;

/// Whether the disruption of the case is to happen: `TROUBLE=0` leaves it out.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits for `condition`, at most for `limit`; returns whether it came true.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = std::time::Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if std::time::Instant::now() >= end {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
