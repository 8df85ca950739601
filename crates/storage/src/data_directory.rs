//! The data directory of a process.

use crate::{Disk, StorageError, SystemDisk, error::from_io};
use std::{
    path::{Path, PathBuf},
    sync::Arc,
};

/// Suffix of temporary files. The next version of a versioned file is written to one before it is renamed.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

/// The data directory of a process, on a [`Disk`].
#[derive(Debug, Clone)]
pub struct DataDirectory {
    disk: Arc<dyn Disk>,
    path: PathBuf,
}

impl DataDirectory {
    /// Opens the directory on the machine's disk. Creates it if it is missing, and removes temporary files left by an
    /// interrupted write of an earlier process.
    ///
    /// # Errors
    /// [`StorageError::Io`] or [`StorageError::Full`].
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, StorageError> {
        Self::open_on(Arc::new(SystemDisk), path)
    }

    /// Same as [`open`](Self::open), on the given disk.
    ///
    /// # Errors
    /// [`StorageError::Io`] or [`StorageError::Full`].
    pub fn open_on(disk: Arc<dyn Disk>, path: impl Into<PathBuf>) -> Result<Self, StorageError> {
        let directory = Self { disk, path: path.into() };
        directory
            .disk
            .create_directory(&directory.path)
            .map_err(from_io("create directory", &directory.path))?;
        directory.remove_temporary_files()?;
        Ok(directory)
    }

    /// Path of the directory.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the names of the files in the directory, sorted.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    pub fn list(&self) -> Result<Vec<String>, StorageError> {
        let mut names = self.disk.list(&self.path).map_err(from_io("list", &self.path))?;
        names.sort_unstable();
        Ok(names)
    }

    pub(crate) fn disk(&self) -> &dyn Disk {
        &*self.disk
    }

    pub(crate) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        self.disk.sync_directory(&self.path).map_err(from_io("sync directory", &self.path))
    }

    /// Removes a file and syncs the directory, so that the removal is durable.
    pub(crate) fn remove(&self, name: &str) -> Result<(), StorageError> {
        let path = self.file(name);
        self.disk.remove(&path).map_err(from_io("remove", path))?;
        self.sync()
    }

    fn remove_temporary_files(&self) -> Result<(), StorageError> {
        for name in self.list()? {
            if name.ends_with(TEMPORARY_SUFFIX) {
                self.remove(&name)?;
            }
        }
        Ok(())
    }
}
