//! When a worker's session ends for silence, in the judgement of the owner of its shard.
//!
//! The owner must not blame workers for its own absence: when it has just become the owner, was out of touch or did not
//! run for a while, every session gets a full period anew.

use std::{collections::HashMap, time::Duration};

/// Heartbeats that a worker may miss.
const HEARTBEATS_MISSED: u32 = 3;
/// What a heartbeat may take on its way, with the caller's next tries.
const SLACK: Duration = Duration::from_millis(1200);
/// Longest pause between two looks after which this process counts as having run all the while.
const LONGEST_PAUSE: Duration = Duration::from_millis(1000);
/// With more than this share of all sessions silent (one in this many), something else than the workers is suspected.
const SUSPICIOUS_SHARE: usize = 2;
/// Fewest silent sessions that are suspicious.
const SUSPICIOUS_COUNT: usize = 3;
/// How many periods silent sessions last when so many at once are suspicious.
const SUSPICIOUS_PERIODS: u32 = 2;

/// When each worker of a shard was heard.
#[derive(Debug)]
pub struct SilenceWatch {
    period: Duration,
    heard: HashMap<String, Duration>,
    last_look: Option<Duration>,
}

impl SilenceWatch {
    /// A watch for workers that call once a `heartbeat`.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self { period: heartbeat * HEARTBEATS_MISSED + SLACK, heard: HashMap::new(), last_look: None }
    }

    /// A worker was heard.
    pub fn heard(&mut self, id: &str, now: Duration) {
        match self.heard.get_mut(id) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(id.to_owned(), now);
            }
        }
    }

    /// This process is not the owner, or is out of touch: what it knows is not to be judged by.
    pub fn suspend(&mut self) {
        self.heard.clear();
        self.last_look = None;
    }

    /// The sessions that have been silent for too long. `sessions` are all that the shard holds.
    pub fn silent<'a>(&mut self, sessions: impl Iterator<Item = &'a String>, now: Duration) -> Vec<String> {
        let ran_on = self.last_look.is_some_and(|at| now.saturating_sub(at) <= LONGEST_PAUSE);
        self.last_look = Some(now);
        if !ran_on {
            self.heard.clear();
        }
        let mut kept = HashMap::with_capacity(self.heard.len());
        let mut silences: Vec<(String, Duration)> = Vec::new();
        for id in sessions {
            let at = self.heard.get(id).copied().unwrap_or(now);
            kept.insert(id.clone(), at);
            let silence = now.saturating_sub(at);
            if silence > self.period {
                silences.push((id.clone(), silence));
            }
        }
        let suspicious = silences.len() >= SUSPICIOUS_COUNT && silences.len() * SUSPICIOUS_SHARE > kept.len();
        self.heard = kept;
        let limit = if suspicious { self.period * SUSPICIOUS_PERIODS } else { self.period };
        silences.into_iter().filter(|(_, silence)| *silence > limit).map(|(id, _)| id).collect()
    }
}
