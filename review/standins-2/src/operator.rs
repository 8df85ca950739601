//! The operator: sends configurations and store orders, and asks another control process after a failure.

use crate::http;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Sends a configuration until it has a clear answer, at most for `limit`. Returns the status of that answer.
#[must_use]
pub fn put_configuration(controls: &[SocketAddr], if_match: u64, body: &str, limit: Duration) -> Option<u16> {
    let end = Instant::now() + limit;
    let if_match = if_match.to_string();
    let headers = [("If-Match", if_match.as_str()), ("Content-Type", "application/json")];
    for control in controls.iter().cycle() {
        if Instant::now() >= end {
            return None;
        }
        let sent = http::call(
            *control,
            "PUT",
            "/opalrun/config",
            &headers,
            body.as_bytes(),
            Duration::from_millis(1500),
        );
        match sent {
            Ok((status, _)) if status < 500 && status != 408 && status != 429 => return Some(status),
            _ => std::thread::sleep(Duration::from_millis(150)),
        }
    }
    None
}

/// Sends a call to the control processes in turn until one answers below 500, at most for `limit`.
#[must_use]
pub fn call(
    controls: &[SocketAddr],
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let end = Instant::now() + limit;
    for control in controls.iter().cycle() {
        if Instant::now() >= end {
            return None;
        }
        let sent = http::call(
            *control,
            method,
            path,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
            Duration::from_millis(1500),
        );
        match sent {
            Ok((status, body)) if status < 500 && status != 408 && status != 429 => {
                return Some((status, String::from_utf8_lossy(&body).into_owned()));
            }
            _ => std::thread::sleep(Duration::from_millis(150)),
        }
    }
    None
}
