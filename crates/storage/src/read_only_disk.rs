//! A read-only view of the machine's disk: repairs that a process makes at its start are recorded instead of executed.

use crate::{Disk, DiskFile, SystemDisk};
use std::{
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, PoisonError},
};

/// A read-only view of the machine's disk. Modifications succeed without effect and are recorded as text for operators,
/// so that the code that opens a data directory can be used to inspect it.
#[derive(Debug, Clone, Default)]
pub struct ReadOnlyDisk {
    skipped_changes: Arc<Mutex<Vec<String>>>,
}

impl ReadOnlyDisk {
    /// Creates a disk without recorded changes.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the changes that were skipped so far, as text for operators, oldest first.
    #[must_use]
    pub fn skipped_changes(&self) -> Vec<String> {
        self.skipped_changes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn skip(&self, change: String) {
        self.skipped_changes.lock().unwrap_or_else(PoisonError::into_inner).push(change);
    }

    fn open_read_only(&self, path: &Path) -> Box<dyn DiskFile> {
        Box::new(ReadOnlyFile { disk: self.clone(), path: path.to_owned() })
    }
}

impl Disk for ReadOnlyDisk {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        if path.is_dir() {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::NotFound, "no such directory"))
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        SystemDisk.list(directory)
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        SystemDisk.read(path)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        self.skip(format!("{} would be written", path.display()));
        Ok(self.open_read_only(path))
    }

    fn open_at(&self, path: &Path, _position: u64) -> io::Result<Box<dyn DiskFile>> {
        Ok(self.open_read_only(path))
    }

    fn rename(&self, from: &Path, _to: &Path) -> io::Result<()> {
        self.skip(format!("{} would be renamed", from.display()));
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.skip(format!("{} would be removed: it is an incomplete temporary file", path.display()));
        Ok(())
    }

    fn sync_directory(&self, _path: &Path) -> io::Result<()> {
        Ok(())
    }
}

/// A file handle whose writes have no effect.
#[derive(Debug)]
struct ReadOnlyFile {
    disk: ReadOnlyDisk,
    path: PathBuf,
}

impl DiskFile for ReadOnlyFile {
    fn write_all(&mut self, _bytes: &[u8]) -> io::Result<()> {
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let path = self.path.display();
        self.disk.skip(format!("{path} would be truncated to {length} bytes: its end was never synced"));
        Ok(())
    }
}
