//! The retry policy of calls, as specified in `PROTOCOL.md`: a state machine without a clock or I/O.

use std::time::Duration;

/// Backoff before the second attempt. It doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Number of rejections with an unspecific status (such as 404) after which the last one is conclusive.
const CONCLUSIVE_REJECTIONS: u32 = 3;

/// The result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A response with this HTTP status.
    Answered(u16),
    /// No response in time, or a failed connection.
    NoAnswer,
}

/// The action that follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Return the response, which is conclusive.
    Done,
    /// Send the same call to another control process after this backoff.
    RetryAfter(Duration),
    /// Fail, because the time limit is reached without a conclusive response.
    GiveUp,
}

/// The retry state of one call.
#[derive(Debug)]
pub struct RetryPolicy {
    /// Time limit of the call, over all attempts.
    limit: Duration,
    /// Backoff before the next attempt.
    backoff: Duration,
    /// Number of rejections with an unspecific status so far.
    rejections: u32,
}

impl RetryPolicy {
    /// Creates the policy for a call with this time limit.
    pub fn new(limit: Duration) -> Self {
        Self { limit, backoff: INITIAL_BACKOFF, rejections: 0 }
    }

    /// Returns the action after an attempt; `elapsed` is the time since the start of the call.
    pub fn after(&mut self, outcome: AttemptOutcome, elapsed: Duration) -> NextStep {
        if let AttemptOutcome::Answered(status) = outcome
            && self.is_conclusive(status)
        {
            return NextStep::Done;
        }
        if elapsed + self.backoff >= self.limit {
            return NextStep::GiveUp;
        }
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(MAX_BACKOFF);
        NextStep::RetryAfter(backoff)
    }

    /// Returns whether a response with this status settles the result of the call.
    fn is_conclusive(&mut self, status: u16) -> bool {
        match status {
            200..300 | 400 | 409 | 412 | 413 | 422 => true,
            408 | 429 => false,
            401..500 => {
                self.rejections += 1;
                self.rejections >= CONCLUSIVE_REJECTIONS
            }
            _ => false,
        }
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
