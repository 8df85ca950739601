//! A store's identity: a random number, generated at the first start on an empty disk and stored there. A store that lost
//! its disk generates a new identity, so that no other node expects it to have the writes that it acknowledged before.

use crate::error::{IdentitySnafu, StorageSnafu, StoreError};
use opalrun_storage::{DataDirectory, VersionedFile};
use opalrun_wire::ids::NodeIdentity;
use snafu::{OptionExt, ResultExt};

/// Name of the versioned file in the data directory.
const FILE_NAME: &str = "identity";
/// Format version of the file's content.
const FORMAT: u32 = 1;
/// Length of the file's content: the number as a little-endian `u64`, and one byte for `bootstrap`.
const CONTENT_BYTES: usize = 9;

/// Identity of a store, as stored on its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Random number that identifies the store; never 0.
    pub number: NodeIdentity,
    /// Value of the setting `bootstrap` when the identity was generated: true for the stores that were started with the
    /// first start of the whole system.
    pub bootstrap: bool,
}

impl Identity {
    /// Reads the identity from the data directory; `None` if the directory has no identity file.
    ///
    /// # Errors
    /// [`StoreError::Storage`] if the disk can't be read, [`StoreError::Identity`] if the file can't be decoded.
    pub fn load(directory: &DataDirectory) -> Result<Option<Self>, StoreError> {
        let file = VersionedFile::new(directory, FILE_NAME, FORMAT);
        match file.read().context(StorageSnafu)? {
            Some(file) => Self::decode(&file.content).context(IdentitySnafu).map(Some),
            None => Ok(None),
        }
    }

    /// Reads the identity from the data directory. If it has none, generates a new identity and writes it to disk before
    /// returning it.
    ///
    /// # Errors
    /// Those of [`load`](Self::load), and [`StoreError::Storage`] if the disk can't be written.
    pub fn load_or_create(directory: &DataDirectory, bootstrap: bool) -> Result<Self, StoreError> {
        if let Some(known) = Self::load(directory)? {
            return Ok(known);
        }
        let identity = Self { number: NodeIdentity(fastrand::u64(1..)), bootstrap };
        let file = VersionedFile::new(directory, FILE_NAME, FORMAT);
        file.write(&identity.encode()).context(StorageSnafu)?;
        Ok(identity)
    }

    fn encode(self) -> [u8; CONTENT_BYTES] {
        let mut content = [0; CONTENT_BYTES];
        content[..8].copy_from_slice(&self.number.0.to_le_bytes());
        content[8] = u8::from(self.bootstrap);
        content
    }

    fn decode(content: &[u8]) -> Option<Self> {
        let (number, rest) = content.split_first_chunk::<8>()?;
        let [bootstrap] = rest else { return None };
        Some(Self { number: NodeIdentity(u64::from_le_bytes(*number)), bootstrap: *bootstrap != 0 })
    }
}
