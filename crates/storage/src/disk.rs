//! The file operations that this crate needs, so that tests can replace the disk.

use std::{fmt, io, path::Path};

/// A place for files.
pub trait Disk: fmt::Debug + Send + Sync + 'static {
    /// Makes a folder with its parents where it is missing. Its name lasts.
    ///
    /// # Errors
    /// What the operating system says.
    fn create_directory(&self, path: &Path) -> io::Result<()>;
    /// Names of the files in a folder, in no order.
    ///
    /// # Errors
    /// What the operating system says.
    fn list(&self, directory: &Path) -> io::Result<Vec<String>>;
    /// A file's bytes; `None` where there is no such file.
    ///
    /// # Errors
    /// What the operating system says.
    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Makes an empty file, or empties the one there.
    ///
    /// # Errors
    /// What the operating system says.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;
    /// Opens a file to write on from `position`.
    ///
    /// # Errors
    /// What the operating system says.
    fn open_at(&self, path: &Path, position: u64) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file and replaces what has the new name. Lasts once the folder is synced.
    ///
    /// # Errors
    /// What the operating system says.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file. Lasts once the folder is synced.
    ///
    /// # Errors
    /// What the operating system says.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes the names in a folder last.
    ///
    /// # Errors
    /// What the operating system says.
    fn sync_directory(&self, path: &Path) -> io::Result<()>;
}

/// A file open for writing.
pub trait DiskFile: fmt::Debug + Send {
    /// Writes all bytes at the file's position, which moves on.
    ///
    /// # Errors
    /// What the operating system says; a part may have been written.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was written last, and a new file's name as well.
    ///
    /// # Errors
    /// What the operating system says.
    fn sync(&mut self) -> io::Result<()>;
    /// Cuts the file off at `length` and moves the position there.
    ///
    /// # Errors
    /// What the operating system says.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}
