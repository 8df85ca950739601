//! The file operations that this crate needs, as traits, so that tests can replace the disk.

use std::{fmt, io, path::Path};

/// Operations on a disk. An operation is durable (survives a power loss) only where its documentation says so.
pub trait Disk: fmt::Debug + Send + Sync + 'static {
    /// Creates a directory and its missing parents, durably.
    ///
    /// # Errors
    /// The error from the operating system.
    fn create_directory(&self, path: &Path) -> io::Result<()>;
    /// Returns the names of the files in a directory, in unspecified order.
    ///
    /// # Errors
    /// The error from the operating system.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;
    /// Returns the content of a file, or `None` if the file does not exist.
    ///
    /// # Errors
    /// The error from the operating system.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Creates an empty file, or truncates an existing one to length 0.
    ///
    /// # Errors
    /// The error from the operating system.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;
    /// Opens an existing file for writing, positioned at byte offset `position`.
    ///
    /// # Errors
    /// The error from the operating system.
    fn open_at(&self, path: &Path, position: u64) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file, replacing an existing file with the new name. Durable once the directory is synced.
    ///
    /// # Errors
    /// The error from the operating system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file. Durable once the directory is synced.
    ///
    /// # Errors
    /// The error from the operating system.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Syncs a directory: makes creations, renames and removals of its files durable.
    ///
    /// # Errors
    /// The error from the operating system.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;
}

/// A file open for writing.
pub trait DiskFile: fmt::Debug + Send {
    /// Writes all bytes at the current position and advances the position past them.
    ///
    /// # Errors
    /// The error from the operating system; some of the bytes may have been written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all earlier writes to the file durable, and for a new file its directory entry as well.
    ///
    /// # Errors
    /// The error from the operating system.
    fn sync(&mut self) -> io::Result<()>;
    /// Truncates the file to `length` bytes and moves the position to its new end.
    ///
    /// # Errors
    /// The error from the operating system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}
