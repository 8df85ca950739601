//! A store's identity: drawn at its first start on an empty disk, and stored there. A store that lost its disk draws
//! another one, so what it acknowledged before is never expected of it.

use crate::error::{IdentitySnafu, StorageSnafu, StoreError};
use opalrun_storage::{DataDirectory, VersionedFile};
use opalrun_wire::ids::NodeIdentity;
use snafu::{OptionExt, ResultExt};

/// Name of the versioned file in the data directory.
const FILE_NAME: &str = "identity";
/// Format of the file's content.
const FORMAT: u32 = 1;
/// The number, little-endian, and one byte for `bootstrap`.
const CONTENT_BYTES: usize = 9;

/// A store's identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// The random number that identifies the store; never 0.
    pub number: NodeIdentity,
    /// Whether the store was started with `bootstrap` in its settings when the identity was drawn: at the first start of
    /// the whole system.
    pub bootstrap: bool,
}

impl Identity {
    /// The identity on the disk; `None` on an empty one.
    ///
    /// # Errors
    /// [`StoreError::Storage`] where the disk can't be read, [`StoreError::Identity`] where the file has another content.
    pub fn load(directory: &DataDirectory) -> Result<Option<Self>, StoreError> {
        let file = VersionedFile::new(directory, FILE_NAME, FORMAT);
        match file.read().context(StorageSnafu)? {
            Some(file) => Self::decode(&file.content).context(IdentitySnafu).map(Some),
            None => Ok(None),
        }
    }

    /// The identity on the disk; on an empty one a new identity is drawn and stored before it is used.
    ///
    /// # Errors
    /// As for [`load`](Self::load), and [`StoreError::Storage`] where the disk can't be written.
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
