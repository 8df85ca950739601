//! Queue of the driver's timers, ordered by due time.

use opalrun_gateway::{JobId, Time};
use std::{cmp::Ordering, collections::BinaryHeap};

/// Stale timers that the queue may hold in addition to twice the timers kept at the last clean-up.
pub const MAX_STALE_TIMERS: usize = 4096;

/// What a timer is for.
#[derive(Debug)]
pub enum Due {
    /// A timer that the decisions have set, with their token.
    Decision(u64),
    /// The time-out of an attempt: request and number of the attempt.
    Attempt(JobId, u32),
    /// The last-resort deadline of a request.
    Deadline(JobId),
    /// The time-out of a call to the counter, with the call's number.
    CounterCall(u64),
}

#[derive(Debug)]
struct Timer {
    at: Time,
    /// Sequence number: timers with the same due time fire in the order in which they were set.
    order: u64,
    due: Due,
}

impl Ord for Timer {
    /// Reversed, as `BinaryHeap` yields its greatest element first and the earliest timer is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.order.cmp(&self.order))
    }
}

impl PartialOrd for Timer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Timer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Timer {}

/// Priority queue of timers, the earliest first.
#[derive(Debug)]
pub struct TimerQueue {
    timers: BinaryHeap<Timer>,
    next_order: u64,
    /// Number of timers above which stale ones are removed.
    compact_above: usize,
}

impl Default for TimerQueue {
    fn default() -> Self {
        Self { timers: BinaryHeap::new(), next_order: 0, compact_above: MAX_STALE_TIMERS }
    }
}

impl TimerQueue {
    /// Adds a timer. Returns whether it is now the earliest.
    pub fn push(&mut self, at: Time, due: Due, is_stale: impl Fn(&Due) -> bool) -> bool {
        self.next_order += 1;
        let is_earliest = self.timers.peek().is_none_or(|timer| at < timer.at);
        self.timers.push(Timer { at, order: self.next_order, due });
        if self.timers.len() > self.compact_above {
            // With client time-outs of minutes, nearly all requests end long before their deadline timers are due.
            self.timers.retain(|timer| !is_stale(&timer.due));
            self.compact_above = 2 * self.timers.len() + MAX_STALE_TIMERS;
        }
        is_earliest
    }

    /// Due time of the earliest timer that is not stale; removes stale timers before it.
    pub fn next_due(&mut self, is_stale: impl Fn(&Due) -> bool) -> Option<Time> {
        while let Some(timer) = self.timers.peek() {
            if !is_stale(&timer.due) {
                return Some(timer.at);
            }
            self.timers.pop();
        }
        None
    }

    /// Removes and returns the earliest timer.
    pub fn pop(&mut self) -> Option<Due> {
        self.timers.pop().map(|timer| timer.due)
    }

    /// Number of timers in the queue, stale ones included.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.timers.len()
    }
}
