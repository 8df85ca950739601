//! Errors that end the store process.

use opalrun_net::NetError;
use opalrun_settings::SettingsError;
use opalrun_storage::StorageError;
use opalrun_wire::{ResultCode, frame::FrameError};
use snafu::Snafu;

/// Error that ends the store process.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// A setting that the store role requires is missing.
    #[snafu(display("{source}"))]
    Settings {
        /// Error of the settings.
        source: SettingsError,
    },
    /// The data directory can't be read or written.
    #[snafu(display("{source}"))]
    Storage {
        /// Error of the storage layer.
        source: StorageError,
    },
    /// A log record has a valid checksum, but this version can't decode it.
    #[snafu(display("{}: record {number} of the log can't be read: {source}", ResultCode::DISK_CORRUPT))]
    Record {
        /// Number of the record in the log.
        number: u64,
        /// Error of the decoder.
        source: FrameError,
    },
    /// The content of the identity file does not have the length that this version writes.
    #[snafu(display("{}: the file with the store's identity can't be read", ResultCode::DISK_CORRUPT))]
    Identity,
    /// The store can't listen on its peer address.
    #[snafu(display("{source}"))]
    Listen {
        /// Error of the listener.
        source: NetError,
    },
    /// A write to the log failed while the store was running.
    #[snafu(display("{code}: writing to the log failed"))]
    DiskFailed {
        /// Result code of the failed write.
        code: ResultCode,
    },
}
