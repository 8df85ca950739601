//! Summary of a store's data directory for operators. It shows counts and sizes, never the stored content.

use crate::{
    Identity, StoreError,
    server::replay_log,
    state::{PartitionSize, StoreLimits},
};
use facet::Facet;
use opalrun_storage::DataDirectory;
use opalrun_wire::{
    ResultCode,
    ids::{Epoch, NodeIdentity, Partition},
};
use snafu::{OptionExt, Snafu};
use std::path::PathBuf;

/// Summary of a store's state on disk.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct StoreOnDisk {
    /// Identity of the store.
    pub identity: NodeIdentity,
    /// Whether the identity was generated at the first start of the whole system.
    pub bootstrap: bool,
    /// Highest epoch of the store map that the store has learned.
    pub epoch: Epoch,
    /// Size of the log in bytes.
    pub log_bytes: u64,
    /// Number of the oldest record in the log.
    pub first_record: u64,
    /// Number that the next record will get.
    pub next_record: u64,
    /// Estimated size of the live data in memory, in bytes.
    pub live_bytes: u64,
    /// Partitions of which the log holds data. Some may no longer be placed on this store; only the store map, which is
    /// not stored here, tells which.
    pub partitions: Vec<PartitionOnDisk>,
}

/// Summary of a partition's data on disk.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct PartitionOnDisk {
    /// Number of the partition.
    pub partition: Partition,
    /// Number of programs with a count.
    pub programs: u64,
    /// Number of retained turns.
    pub turns: u64,
    /// Estimated size of the partition's live data in memory, in bytes.
    pub bytes: u64,
}

/// Error of inspecting a data directory.
#[derive(Debug, Snafu)]
pub enum InspectError {
    /// The directory has no identity file of a store.
    #[snafu(display("{}: {}: the directory holds no state of a store", ResultCode::STATE_MISSING, path.display()))]
    Missing {
        /// Path of the directory.
        path: PathBuf,
    },
    /// The identity or the log can't be read.
    #[snafu(transparent)]
    Unreadable {
        /// Error of reading the state.
        source: StoreError,
    },
}

/// Summarises a data directory. Opening the log may repair it on disk, so open the directory on a
/// [`ReadOnlyDisk`](opalrun_storage::ReadOnlyDisk) to leave it unchanged.
///
/// # Errors
/// [`InspectError::Missing`] if no store has run on the directory, [`InspectError::Unreadable`] if its state can't be read.
pub fn inspect(directory: &DataDirectory) -> Result<StoreOnDisk, InspectError> {
    let identity = Identity::load(directory)?.context(MissingSnafu { path: directory.path() })?;
    let unlimited = StoreLimits { memory_bytes: usize::MAX, disk_bytes: u64::MAX };
    let (state, log) = replay_log(directory, identity.number, unlimited)?;
    let partitions = (0..).zip(state.sizes()).filter(|(_, size)| size.programs + size.turns > 0);
    Ok(StoreOnDisk {
        identity: identity.number,
        bootstrap: identity.bootstrap,
        epoch: state.epoch(),
        log_bytes: log.bytes(),
        first_record: log.first_record(),
        next_record: log.next_record(),
        live_bytes: state.live_bytes() as u64,
        partitions: partitions.map(|(number, size)| partition(number, size)).collect(),
    })
}

fn partition(number: u16, size: PartitionSize) -> PartitionOnDisk {
    PartitionOnDisk {
        partition: Partition(number),
        programs: size.programs as u64,
        turns: size.turns as u64,
        bytes: size.bytes as u64,
    }
}
