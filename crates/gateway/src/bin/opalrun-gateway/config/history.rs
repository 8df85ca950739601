//! The configuration's history: the version in force and the last few before it. Does no I/O.

use opalrun_gateway::Time;
use serde::Serialize;
use sha2::{Digest, Sha256};
use std::{collections::VecDeque, rc::Rc};

/// Largest number of versions, the one in force included, and of bytes that the files of earlier versions may take.
const MAX_HISTORY: (usize, usize) = (8, 1 << 20);

/// What put a version in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The process was started with it.
    Start,
    /// The process was started with an invalid file and used the last good configuration instead.
    LastGood,
    /// The file was reloaded on SIGHUP.
    Signal,
    /// The process took over from another one.
    Upgrade,
    /// An operator rolled back the version before it.
    WayBack,
    /// The version before it failed its trial, which rolled it back.
    Trial,
}

/// A version of the configuration that is or was in force.
#[derive(Debug, Clone, Serialize)]
pub struct Version {
    pub number: u64,
    pub sha256: String,
    /// When the version was put in force, in Unix seconds.
    pub taken: Time,
    pub by: Cause,
    /// Length of the file.
    pub bytes: usize,
    /// Number of the version that a rollback of this one restores.
    pub before: Option<u64>,
    /// The file; `None` once it was dropped to limit the memory used.
    #[serde(skip)]
    pub text: Option<Rc<[u8]>>,
}

/// A file's bytes and their SHA-256 in hexadecimal.
#[derive(Debug, Clone)]
pub struct ConfigText {
    pub text: Rc<[u8]>,
    pub sha256: String,
}

impl From<Vec<u8>> for ConfigText {
    fn from(text: Vec<u8>) -> Self {
        let sha256 = Sha256::digest(&text).iter().map(|b| format!("{b:02x}")).collect();
        Self { text: text.into(), sha256 }
    }
}

/// The version in force and earlier ones.
#[derive(Debug)]
pub struct History {
    in_force: Version,
    /// Earlier versions, the oldest first.
    earlier: VecDeque<Version>,
}

impl History {
    pub fn new(file: ConfigText, taken: Time, by: Cause) -> Self {
        let earlier = VecDeque::new();
        let in_force = Version {
            number: 1,
            sha256: file.sha256,
            taken,
            by,
            bytes: file.text.len(),
            before: None,
            text: Some(file.text),
        };
        Self { in_force, earlier }
    }

    /// The version in force.
    pub fn in_force(&self) -> &Version {
        &self.in_force
    }

    /// Earlier versions, the newest first.
    pub fn earlier(&self) -> impl Iterator<Item = &Version> {
        self.earlier.iter().rev()
    }

    /// Numbers the present version after `number`, the version of the process that this one takes over from.
    pub fn continue_from(&mut self, number: u64) {
        (self.in_force.number, self.in_force.by) = (number.saturating_add(1), Cause::Upgrade);
    }

    /// The version that a rollback restores; `None` if there is none or its file was dropped.
    pub fn rollback_target(&self) -> Option<&Version> {
        let before = self.in_force.before?;
        self.earlier.iter().find(|v| v.number == before).filter(|v| v.text.is_some())
    }

    /// Puts another version in force. After a rollback, the next one restores the version before the restored one, so
    /// that repeated rollbacks go further back instead of alternating.
    pub fn put_in_force(&mut self, file: ConfigText, taken: Time, by: Cause) {
        let before = match by {
            Cause::WayBack | Cause::Trial => self.rollback_target().and_then(|v| v.before),
            _ => Some(self.in_force.number),
        };
        let next = Version {
            number: self.in_force.number + 1,
            sha256: file.sha256,
            taken,
            by,
            bytes: file.text.len(),
            before,
            text: Some(file.text),
        };
        self.earlier.push_back(std::mem::replace(&mut self.in_force, next));
        while self.earlier.len() >= MAX_HISTORY.0 {
            self.earlier.pop_front();
        }
        let mut remaining_bytes = MAX_HISTORY.1;
        for version in self.earlier.iter_mut().rev() {
            match remaining_bytes.checked_sub(version.bytes) {
                Some(remaining) if version.text.is_some() => remaining_bytes = remaining,
                _ => version.text = None,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeated_rollbacks_restore_successively_earlier_versions() {
        let mut history = History::new(b"one".to_vec().into(), 0.0, Cause::Start);
        assert!(history.rollback_target().is_none());
        history.put_in_force(b"two".to_vec().into(), 1.0, Cause::Signal);
        history.put_in_force(b"three".to_vec().into(), 2.0, Cause::Signal);
        for (number, text) in [(2, b"two"), (1, b"one")] {
            let back = history.rollback_target().expect("an earlier version");
            assert_eq!((back.number, back.text.as_deref()), (number, Some(&text[..])));
            history.put_in_force(text.to_vec().into(), 3.0, Cause::WayBack);
        }
        assert!(history.rollback_target().is_none(), "the first version can't be rolled back");
        assert_eq!((history.in_force().number, history.in_force().sha256.len()), (5, 64));
        history.put_in_force(b"six".to_vec().into(), 4.0, Cause::Signal);
        assert_eq!(history.rollback_target().map(|v| v.number), Some(5));
    }

    #[test]
    fn history_is_bounded_and_rollbacks_restore_earlier_files() {
        for seed in 0..12 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut history = History::new(b"0".to_vec().into(), 0.0, Cause::Start);
            // Model: the files that successive rollbacks restore.
            let mut stack: Vec<Vec<u8>> = vec![b"0".to_vec()];
            for i in 1..60 {
                if rng.u32(..3) > 0 {
                    let length = if rng.u32(..8) == 0 { MAX_HISTORY.1 / 2 } else { rng.usize(1..2000) };
                    let text = vec![(i % 251) as u8; length];
                    history.put_in_force(text.clone().into(), f64::from(i), Cause::Signal);
                    stack.push(text);
                } else if let Some(text) = history.rollback_target().and_then(|v| v.text.clone()) {
                    stack.pop();
                    assert_eq!(stack.last().map(Vec::as_slice), Some(&*text));
                    history.put_in_force(text.to_vec().into(), f64::from(i), Cause::WayBack);
                }
                assert!(history.earlier.len() < MAX_HISTORY.0);
                let kept = history.earlier.iter().filter(|v| v.text.is_some()).map(|v| v.bytes);
                assert!(kept.sum::<usize>() <= MAX_HISTORY.1);
                assert_eq!(history.in_force().text.as_deref(), stack.last().map(Vec::as_slice));
                let numbers: Vec<u64> = history.earlier.iter().map(|v| v.number).collect();
                assert!(numbers.is_sorted() && numbers.iter().all(|n| *n < history.in_force().number));
            }
        }
    }
}
