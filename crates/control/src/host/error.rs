//! The errors of the replicated host.

use opalrun_net::NetError;
use opalrun_replication::LogIndex;
use opalrun_storage::StorageError;
use opalrun_wire::{
    ResultCode,
    frame::FrameError,
    ids::{NodeIdentity, Shard},
};
use snafu::Snafu;
use std::{fmt, io};

/// Why the host can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HostError {
    /// The disk failed, or what is on it can't be read.
    #[snafu(display("{source}"))]
    Storage {
        /// Why.
        source: StorageError,
    },
    /// A file without damage can't be decoded.
    #[snafu(display("{}: {what} can't be read: {source}", ResultCode::DISK_CORRUPT))]
    Unreadable {
        /// What can't be decoded.
        what: &'static str,
        /// Why.
        source: FrameError,
    },
    /// Entries are missing between a snapshot and the journal.
    #[snafu(display("{}: shard {shard} lacks entry {index}", ResultCode::DISK_CORRUPT))]
    Gap {
        /// The shard.
        shard: Shard,
        /// The first entry that is missing.
        index: LogIndex,
    },
    /// An address in the settings can't be parsed.
    #[snafu(display("{}: {address:?} is no address", ResultCode::SETTINGS_INVALID))]
    Address {
        /// The address.
        address: String,
    },
    /// The address for other control processes can't be listened on.
    #[snafu(display("{source}"))]
    Net {
        /// Why.
        source: NetError,
    },
    /// The thread for the disk can't be started.
    #[snafu(display("the disk's thread can't be started: {source}"))]
    Thread {
        /// Why.
        source: io::Error,
    },
}

/// Why a host that ran can't go on: only opening what is on disk again can help.
#[derive(Debug, Snafu)]
pub enum HostFailure {
    /// A write to the disk has failed.
    #[snafu(display("{source}"))]
    Write {
        /// Why.
        source: StorageError,
    },
    /// A snapshot that another process sent was committed and can't be decoded.
    #[snafu(display("{source}"))]
    Snapshot {
        /// Why.
        source: FrameError,
    },
}

/// Why a proposal or a read was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This process does not own the shard, or lost it before the command was committed: it never will be. Names the
    /// owner, if known.
    NotOwner(Option<NodeIdentity>),
    /// No majority answers.
    NoQuorum,
    /// It took too long. What was proposed may be applied all the same.
    TimedOut,
}

impl ProposeError {
    /// The numbered result code.
    #[must_use]
    pub fn code(self) -> ResultCode {
        match self {
            Self::NotOwner(_) => ResultCode::NOT_OWNER,
            Self::NoQuorum | Self::TimedOut => ResultCode::NO_QUORUM,
        }
    }
}

impl fmt::Display for ProposeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = match self {
            Self::NotOwner(_) => "another process owns the shard",
            Self::NoQuorum => "no majority answers",
            Self::TimedOut => "not committed in time",
        };
        write!(f, "{}: {what}", self.code())
    }
}

impl std::error::Error for ProposeError {}

/// Why a call of another process brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// There is no link: the call was not sent.
    #[snafu(display("there is no link to the process"))]
    Unreachable,
    /// No answer came in time, or the link broke.
    #[snafu(display("the process did not answer"))]
    TimedOut,
}
