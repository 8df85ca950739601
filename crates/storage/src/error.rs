//! Errors of disk operations.

use opalrun_wire::ResultCode;
use snafu::Snafu;
use std::{io, path::PathBuf};

/// Why a disk operation failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StorageError {
    /// The disk is full. Nothing was written; space taken by a partial write has been freed.
    #[snafu(display("{}: the disk is full at {}", ResultCode::DISK_FULL, path.display()))]
    Full {
        /// Path of the file being written.
        path: PathBuf,
    },
    /// A file is damaged at a place that a power loss can't have damaged, because it had been synced.
    #[snafu(display("{}: {} is damaged at byte {offset}: {damage}", ResultCode::DISK_CORRUPT, path.display()))]
    Corrupt {
        /// Path of the damaged file.
        path: PathBuf,
        /// Byte offset in the file at which the damaged part begins.
        offset: u64,
        /// What is damaged or inconsistent, as text for operators.
        damage: &'static str,
    },
    /// The format version of a file is newer than this version of the program supports.
    #[snafu(display(
        "{}: {} has format version {format}, this program supports versions up to {known}",
        ResultCode::DISK_NEWER,
        path.display()
    ))]
    Newer {
        /// Path of the file.
        path: PathBuf,
        /// Format version found in the file.
        format: u32,
        /// Newest format version that this program supports.
        known: u32,
    },
    /// An operation of the operating system failed.
    #[snafu(display("{}: can't {operation} {}: {source}", ResultCode::DISK_FAILED, path.display()))]
    Io {
        /// The operation, as a verb for messages: `read`, `sync`.
        operation: &'static str,
        /// Path of the file or directory.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// An earlier write failed and could not be undone. The log must be opened again before further writes.
    #[snafu(display(
        "{}: {} rejects writes after an earlier failure, until it is opened again",
        ResultCode::DISK_FAILED,
        path.display()
    ))]
    Failed {
        /// Path of the log's last segment.
        path: PathBuf,
    },
}

impl StorageError {
    /// Returns the result code of the error, as listed in `docs/results.md`.
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Full { .. } => ResultCode::DISK_FULL,
            Self::Corrupt { .. } => ResultCode::DISK_CORRUPT,
            Self::Newer { .. } => ResultCode::DISK_NEWER,
            Self::Io { .. } | Self::Failed { .. } => ResultCode::DISK_FAILED,
        }
    }

    /// Returns whether the operation failed because the disk is full.
    #[must_use]
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Full { .. })
    }
}

/// Returns a function that maps an operating system error from `operation` on `path` to a [`StorageError`].
pub(crate) fn from_io(
    operation: &'static str,
    path: impl Into<PathBuf>,
) -> impl FnOnce(io::Error) -> StorageError {
    let path = path.into();
    move |source| match source.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            StorageError::Full { path }
        }
        _ => StorageError::Io { operation, path, source },
    }
}
