//! When an order is sent again, as `PROTOCOL.md` has it: a state machine without a clock or a socket of its own.

use std::time::Duration;

/// The first pause before an order is sent again, and the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(1000);
/// A refusal without a meaning of its own counts when it has come this often.
const REFUSALS: u32 = 3;

/// What came of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tried {
    /// An answer with this status.
    Answered(u16),
    /// No answer in time, or a connection that failed.
    Silent,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// The answer is clear.
    Done,
    /// Send the same order to another control process after this pause.
    Again(Duration),
    /// The time is over without a clear answer.
    GiveUp,
}

/// The tries of one order.
#[derive(Debug)]
pub struct Retries {
    limit: Duration,
    pause: Duration,
    refusals: u32,
}

impl Retries {
    /// Tries for an order that may take so long.
    pub fn new(limit: Duration) -> Self {
        Self { limit, pause: FIRST_PAUSE, refusals: 0 }
    }

    /// What follows from a try that ended this long after the order began.
    pub fn after(&mut self, tried: Tried, elapsed: Duration) -> Next {
        if let Tried::Answered(status) = tried
            && self.is_clear(status)
        {
            return Next::Done;
        }
        if elapsed + self.pause >= self.limit {
            return Next::GiveUp;
        }
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        Next::Again(pause)
    }

    fn is_clear(&mut self, status: u16) -> bool {
        match status {
            200..300 | 400 | 409 | 412 | 413 | 422 => true,
            408 | 429 => false,
            401..500 => {
                self.refusals += 1;
                self.refusals >= REFUSALS
            }
            _ => false,
        }
    }
}

#[cfg(test)]
#[path = "retry_tests.rs"]
mod tests;
