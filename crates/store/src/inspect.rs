//! A summary of a store's data directory for operators: numbers and sizes, never contents.

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

/// What a store has on disk.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct StoreOnDisk {
    /// Its identity.
    pub identity: NodeIdentity,
    /// Whether its disk was empty at the first start of the whole system.
    pub bootstrap: bool,
    /// The highest epoch of the store map that it has learned.
    pub epoch: Epoch,
    /// Size of the log in bytes.
    pub log_bytes: u64,
    /// The number of the log's oldest record.
    pub first_record: u64,
    /// The number that the next record gets.
    pub next_record: u64,
    /// Bytes of memory of the live data, an estimate.
    pub live_bytes: u64,
    /// The partitions of which it has data. Some may be placed on another store by now; only the store map says so.
    pub partitions: Vec<PartitionOnDisk>,
}

/// What is on disk of a partition.
#[derive(Facet, Debug, Clone, PartialEq, Eq)]
pub struct PartitionOnDisk {
    /// Its number.
    pub partition: Partition,
    /// Programs with a count.
    pub programs: u64,
    /// Turns.
    pub turns: u64,
    /// Bytes of memory of its live data, an estimate.
    pub bytes: u64,
}

/// Why a data directory can't be inspected.
#[derive(Debug, Snafu)]
pub enum InspectError {
    /// The directory has no identity of a store.
    #[snafu(display("{}: {}: no store has kept its state here", ResultCode::STATE_MISSING, path.display()))]
    Missing {
        /// The directory.
        path: PathBuf,
    },
    /// The state can't be read.
    #[snafu(transparent)]
    Unreadable {
        /// The cause.
        source: StoreError,
    },
}

/// Inspects a data directory. Nothing is changed if it was opened on a
/// [`ReadOnlyDisk`](opalrun_storage::ReadOnlyDisk).
///
/// # Errors
/// [`InspectError::Missing`] where no store has run in it, [`InspectError::Unreadable`] where its state can't be read.
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
