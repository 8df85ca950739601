//! Whether a peer that this process needs can be reached, and when its absence is worth a line in the log.

use std::{fmt::Display, iter::Sum, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time without the peer before the first warning. Shorter absences are part of restarts and failovers.
const WARN_AFTER: Duration = Duration::from_secs(3);
/// Least time between two warnings about the same peer.
const WARN_INTERVAL: Duration = Duration::from_secs(30);

/// Follows the attempts to reach a peer: a process that can't reach one says so after three seconds, again at most once
/// every thirty, and once more when the peer is there.
#[derive(Debug)]
pub struct Reachability {
    /// What the process waits for, for the log.
    peer: &'static str,
    /// Since when the peer is missing; `None` while it is there, and before the first attempt has failed.
    missing_since: Option<Instant>,
    /// Attempts that failed since then.
    attempts: u64,
    /// All attempts that have failed.
    failed_attempts: u64,
    warned_at: Option<Instant>,
    /// A warning was logged since the peer is missing.
    has_warned: bool,
}

/// A peer that is worth a warning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// For how long it has been missing.
    pub duration: Duration,
    /// Attempts that failed meanwhile.
    pub attempts: u64,
}

impl Reachability {
    /// A peer that has not been needed yet.
    #[must_use]
    pub fn new(peer: &'static str) -> Self {
        Self {
            peer,
            missing_since: None,
            attempts: 0,
            failed_attempts: 0,
            warned_at: None,
            has_warned: false,
        }
    }

    /// An attempt that began at `began` has failed by `now`. Returns the absence where it is time to warn.
    pub fn attempt_failed(&mut self, began: Instant, now: Instant) -> Option<Absence> {
        let since = *self.missing_since.get_or_insert(began);
        self.attempts += 1;
        self.failed_attempts += 1;
        let duration = now.saturating_duration_since(since);
        let is_due =
            self.warned_at.is_none_or(|warned_at| now.saturating_duration_since(warned_at) >= WARN_INTERVAL);
        if duration < WARN_AFTER || !is_due {
            return None;
        }
        self.warned_at = Some(now);
        self.has_warned = true;
        Some(Absence { duration, attempts: self.attempts })
    }

    /// The peer is there. Returns the absence that has ended, if there was a warning about it.
    pub fn reached(&mut self, now: Instant) -> Option<Absence> {
        let since = self.missing_since.take();
        let attempts = std::mem::take(&mut self.attempts);
        let has_warned = std::mem::take(&mut self.has_warned);
        let duration = now.saturating_duration_since(since?);
        has_warned.then_some(Absence { duration, attempts })
    }

    /// As [`Self::attempt_failed`] by now; logs the warning.
    pub fn log_failure(&mut self, address: SocketAddr, began: Instant, error: impl Display) {
        if let Some(Absence { duration, attempts }) = self.attempt_failed(began, Instant::now()) {
            tracing::warn!(
                peer = self.peer,
                %address,
                attempts,
                waited_s = duration.as_secs(),
                last_error = %error,
                "waiting for a peer that can't be reached"
            );
        }
    }

    /// As [`Self::reached`] by now; logs the end of what was warned about.
    pub fn log_reached(&mut self, address: SocketAddr) {
        if let Some(Absence { duration, attempts }) = self.reached(Instant::now()) {
            tracing::info!(
                peer = self.peer,
                %address,
                attempts,
                waited_s = duration.as_secs(),
                "the peer is reached"
            );
        }
    }

    /// What is counted for metrics.
    #[must_use]
    pub fn count(&self) -> PeerCount {
        PeerCount {
            missing: usize::from(self.missing_since.is_some()),
            failed_attempts: self.failed_attempts,
        }
    }
}

/// Peers of one kind, as metrics count them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCount {
    /// Peers that could not be reached at the last attempt.
    pub missing: usize,
    /// Attempts that have failed since the start.
    pub failed_attempts: u64,
}

impl Sum for PeerCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::default(), |sum, count| Self {
            missing: sum.missing + count.missing,
            failed_attempts: sum.failed_attempts + count.failed_attempts,
        })
    }
}
