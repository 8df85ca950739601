//! Errors of the replicated host.

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

/// Why a host can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HostError {
    /// The disk has failed, or its content is corrupt.
    #[snafu(display("{source}"))]
    Storage {
        /// Error of the storage.
        source: StorageError,
    },
    /// An undamaged file or record can't be decoded.
    #[snafu(display("{}: {what} can't be decoded: {source}", ResultCode::DISK_CORRUPT))]
    Unreadable {
        /// Description of the file or record, for the error message.
        what: &'static str,
        /// Error of the decoder.
        source: FrameError,
    },
    /// Log entries are missing after a snapshot, or within the journal.
    #[snafu(display("{}: log entry {index} of shard {shard} is missing", ResultCode::DISK_CORRUPT))]
    Gap {
        /// Shard of the log.
        shard: Shard,
        /// Index of the first missing entry.
        index: LogIndex,
    },
    /// An address in the settings can't be parsed.
    #[snafu(display("{}: {address:?} is not an IP address with a port", ResultCode::SETTINGS_INVALID))]
    Address {
        /// Address as given in the settings.
        address: String,
    },
    /// The host can't listen on its address for other control processes.
    #[snafu(display("{source}"))]
    Net {
        /// Error of the listener.
        source: NetError,
    },
    /// The disk thread can't be started.
    #[snafu(display("can't start the disk thread: {source}"))]
    Thread {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Why a running host can't continue. The process has to be restarted, which reads the state from the disk again.
#[derive(Debug, Snafu)]
pub enum HostFailure {
    /// A write to the data directory has failed.
    #[snafu(display("{source}"))]
    Write {
        /// Error of the storage.
        source: StorageError,
    },
    /// A committed snapshot received from another process can't be decoded.
    #[snafu(display("{source}"))]
    Snapshot {
        /// Error of the decoder.
        source: FrameError,
    },
}

/// Why a proposal or a read has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposeError {
    /// This process does not own the shard, or lost the ownership before the command was committed; the command will
    /// never be committed. Has the identity of the owner, if known.
    NotOwner(Option<NodeIdentity>),
    /// No majority has answered, or too many requests are in flight.
    NoQuorum,
    /// The time-out has expired. The command may still be committed and applied.
    TimedOut,
}

impl ProposeError {
    /// Returns the result code for the caller.
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
            Self::NoQuorum => "no majority has answered",
            Self::TimedOut => "not committed before the time-out",
        };
        write!(f, "{}: {what}", self.code())
    }
}

impl std::error::Error for ProposeError {}

/// Why a remote call to another process got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum CallError {
    /// The call was not carried out: there is no connection to the process, it has another identity than the one
    /// called, or it has no handler yet.
    #[snafu(display("no connection to the process, or it has another identity"))]
    Unreachable,
    /// No answer was received in time, or the connection was lost. The call may have been carried out.
    #[snafu(display("the process did not answer in time"))]
    TimedOut,
}
