//! Tests of reconnecting. The paused clock advances only while all tasks wait for timers.

use super::*;
use std::{cell::Cell, future::pending, io};
use tokio::time::Instant;

/// Runs a test with a paused clock that advances automatically to the next timer.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("the runtime can be built").block_on(test);
}

#[test]
fn a_hanging_attempt_is_abandoned_when_retry_is_notified() {
    run(async {
        let (retry, attempts, started) = (Notify::new(), Cell::new(0), Instant::now());
        let attempt = || async {
            attempts.set(attempts.get() + 1);
            match attempts.get() {
                1 => {
                    // Notified while the attempt is in flight; otherwise it might be abandoned before it starts.
                    retry.notify_one();
                    pending().await
                }
                _ => Ok::<_, io::Error>("connected"),
            }
        };
        assert_eq!(connect_persistently(attempt, &retry, || true).await, Some("connected"));
        assert_eq!((attempts.get(), started.elapsed()), (2, Duration::ZERO), "no delay between the attempts");
    });
}

#[test]
fn a_backoff_is_abandoned_when_retry_is_notified() {
    run(async {
        let (retry, attempts, started) = (Notify::new(), Cell::new(0), Instant::now());
        let attempt = || async {
            attempts.set(attempts.get() + 1);
            match attempts.get() {
                1 => {
                    retry.notify_one();
                    Err(io::Error::from(io::ErrorKind::ConnectionRefused))
                }
                _ => Ok("connected"),
            }
        };
        assert_eq!(connect_persistently(attempt, &retry, || true).await, Some("connected"));
        assert_eq!((attempts.get(), started.elapsed()), (2, Duration::ZERO));
    });
}

#[test]
fn the_backoff_doubles_up_to_its_maximum_until_the_link_is_dropped() {
    run(async {
        let (retry, attempts, started) = (Notify::new(), Cell::new(0), Instant::now());
        let attempt = || async {
            attempts.set(attempts.get() + 1);
            Err::<(), _>(io::Error::from(io::ErrorKind::ConnectionRefused))
        };
        assert_eq!(connect_persistently(attempt, &retry, || attempts.get() < 5).await, None);
        let backoffs = [1, 2, 4, 8, 8].map(|times| MIN_CONNECT_BACKOFF * times);
        assert_eq!(started.elapsed(), backoffs.iter().sum::<Duration>());
    });
}
