//! Tracks whether a peer that this process needs can be reached, and decides when its absence is logged.

use std::{fmt::Display, iter::Sum, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Absence of a peer after which the first warning is logged. Shorter absences are normal in restarts and failovers.
const WARN_AFTER: Duration = Duration::from_secs(3);
/// Minimum time between two warnings about the same peer.
const WARN_INTERVAL: Duration = Duration::from_secs(30);

/// Tracks the attempts to reach a peer. A warning is due when the peer has been unreachable for three seconds, and
/// again at most every thirty seconds; after a warning, the end of the absence is reported too.
#[derive(Debug)]
pub struct Reachability {
    /// Kind of the peer in the log.
    peer: &'static str,
    /// Start of the first failed attempt since the peer was last reached; `None` while it is reachable, and before the
    /// first attempt has failed.
    missing_since: Option<Instant>,
    /// Failed attempts since the peer was last reached.
    attempts: u64,
    /// Failed attempts since the creation.
    failed_attempts: u64,
    /// When the last warning was due.
    warned_at: Option<Instant>,
    /// A warning was due during the current absence.
    has_warned: bool,
}

/// An absence of a peer that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Absence {
    /// Time since the start of the first failed attempt.
    pub duration: Duration,
    /// Failed attempts during the absence.
    pub attempts: u64,
}

impl Reachability {
    /// Creates the state for a peer that no attempt has been made to reach yet.
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

    /// Records that an attempt which started at `started_at` has failed at `now`. Returns the absence if a warning is
    /// due.
    pub fn attempt_failed(&mut self, started_at: Instant, now: Instant) -> Option<Absence> {
        let since = *self.missing_since.get_or_insert(started_at);
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

    /// Records that the peer was reached at `now`. Returns the absence that has ended, if a warning about it was due.
    pub fn reached(&mut self, now: Instant) -> Option<Absence> {
        let since = self.missing_since.take();
        let attempts = std::mem::take(&mut self.attempts);
        let has_warned = std::mem::take(&mut self.has_warned);
        let duration = now.saturating_duration_since(since?);
        has_warned.then_some(Absence { duration, attempts })
    }

    /// As [`Self::attempt_failed`] at the present time; logs the warning if it is due.
    pub fn log_failure(&mut self, address: SocketAddr, started_at: Instant, error: impl Display) {
        if let Some(Absence { duration, attempts }) = self.attempt_failed(started_at, Instant::now()) {
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

    /// As [`Self::reached`] at the present time; logs the end of an absence that was warned about.
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

    /// Returns the counts for metrics.
    #[must_use]
    pub fn count(&self) -> PeerCount {
        PeerCount {
            missing: usize::from(self.missing_since.is_some()),
            failed_attempts: self.failed_attempts,
        }
    }
}

/// Counts for metrics of the peers of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCount {
    /// Number of peers that could not be reached at the last attempt.
    pub missing: usize,
    /// Number of attempts that have failed since the start of the process.
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
