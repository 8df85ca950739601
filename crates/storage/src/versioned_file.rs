//! A file that is replaced atomically: each version is written to a temporary file, synced and renamed.
//!
//! Layout: magic (8 bytes), format version of the content (u32), length of the content (u64), CRC-32 of the content (u32),
//! content. Integers are little-endian.

use crate::{DataDirectory, StorageError, data_directory::TEMPORARY_SUFFIX, error::from_io};
use std::path::{Path, PathBuf};

/// Magic bytes at the start of a versioned file.
const MAGIC: &[u8; 8] = b"OPALFILE";
/// Size in bytes of the header that precedes the content.
const HEADER_BYTES: usize = 24;

/// The content of a [`VersionedFile`], with its format version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedContent {
    /// Format version of the content.
    pub format: u32,
    /// The content, without the file header.
    pub content: Vec<u8>,
}

/// A file that is replaced atomically. Reads return either the old or the new content, even after a power loss.
#[derive(Debug, Clone)]
pub struct VersionedFile {
    directory: DataDirectory,
    name: String,
    format: u32,
}

impl VersionedFile {
    /// Creates a handle of the file `name` in `directory`. Content is written with format version `format`. Content of
    /// older versions can be read as well; the caller must interpret it.
    #[must_use]
    pub fn new(directory: &DataDirectory, name: impl Into<String>, format: u32) -> Self {
        Self { directory: directory.clone(), name: name.into(), format }
    }

    /// Reads the current content; returns `None` before the first write.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`], [`StorageError::Newer`] or [`StorageError::Io`].
    pub fn read(&self) -> Result<Option<VersionedContent>, StorageError> {
        let path = self.path();
        let Some(bytes) = self.directory.disk().read(&path).map_err(from_io("read", &path))? else {
            return Ok(None);
        };
        self.parse(bytes).map(Some)
    }

    /// Replaces the content. When this returns successfully, the new content is durable.
    ///
    /// # Errors
    /// [`StorageError::Full`] or [`StorageError::Io`]. The old content is still in place, except after a failed sync of
    /// the directory: then the file has either the old or the new content.
    pub fn write(&self, content: &[u8]) -> Result<(), StorageError> {
        let temporary = self.directory.file(&format!("{}{TEMPORARY_SUFFIX}", self.name));
        if let Err(error) = self.write_temporary(&temporary, content) {
            // Frees the space. If the removal fails too, the file is removed when the directory is opened next.
            let _ = self.directory.disk().remove(&temporary);
            return Err(error);
        }
        let path = self.path();
        self.directory.disk().rename(&temporary, &path).map_err(from_io("rename", path))?;
        self.directory.sync()
    }

    /// Removes the file, durably. Reads then return `None`, as before the first write.
    ///
    /// # Errors
    /// [`StorageError::Io`].
    pub fn remove(&self) -> Result<(), StorageError> {
        self.directory.remove(&self.name)
    }

    fn path(&self) -> PathBuf {
        self.directory.file(&self.name)
    }

    fn write_temporary(&self, temporary: &Path, content: &[u8]) -> Result<(), StorageError> {
        let mut header = [0; HEADER_BYTES];
        header[..8].copy_from_slice(MAGIC);
        header[8..12].copy_from_slice(&self.format.to_le_bytes());
        header[12..20].copy_from_slice(&(content.len() as u64).to_le_bytes());
        header[20..].copy_from_slice(&crc32fast::hash(content).to_le_bytes());
        let mut file = self.directory.disk().create(temporary).map_err(from_io("create", temporary))?;
        file.write_all(&header).map_err(from_io("write", temporary))?;
        file.write_all(content).map_err(from_io("write", temporary))?;
        file.sync().map_err(from_io("sync", temporary))
    }

    fn parse(&self, mut bytes: Vec<u8>) -> Result<VersionedContent, StorageError> {
        let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
            return Err(self.corrupt("the file is shorter than its header"));
        };
        if &header[..8] != MAGIC {
            return Err(self.corrupt("the magic bytes are not those of a versioned file"));
        }
        let format = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
        if format > self.format {
            return Err(StorageError::Newer { path: self.path(), format, known: self.format });
        }
        let checksum = u32::from_le_bytes([header[20], header[21], header[22], header[23]]);
        let mut length = [0; 8];
        length.copy_from_slice(&header[12..20]);
        if u64::from_le_bytes(length) != (bytes.len() - HEADER_BYTES) as u64 {
            return Err(self.corrupt("the length does not match the header"));
        }
        bytes.drain(..HEADER_BYTES);
        if crc32fast::hash(&bytes) != checksum {
            return Err(self.corrupt("the checksum does not match"));
        }
        Ok(VersionedContent { format, content: bytes })
    }

    fn corrupt(&self, damage: &'static str) -> StorageError {
        StorageError::Corrupt { path: self.path(), offset: 0, damage }
    }
}
