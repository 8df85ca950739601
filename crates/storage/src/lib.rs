//! Crash-safe storage: versioned files that are replaced atomically, and append-only logs of records.
//!
//! All access goes through the [`Disk`] trait, so that tests can use a [`MemoryDisk`] to simulate power losses, full
//! disks and I/O errors. Calls block; processes make them from a dedicated disk thread.
#![forbid(unsafe_code)]

mod data_directory;
mod disk;
mod error;
mod memory_disk;
mod read_only_disk;
mod record_log;
mod system_disk;
mod versioned_file;

pub use data_directory::DataDirectory;
pub use disk::{Disk, DiskFile};
pub use error::StorageError;
pub use memory_disk::{MemoryDisk, PowerLoss};
pub use read_only_disk::ReadOnlyDisk;
pub use record_log::{RecordLog, RecordLogOptions};
pub use system_disk::SystemDisk;
pub use versioned_file::{VersionedContent, VersionedFile};
