//! The identity of this process, stored on its disk.

use super::{HostError, HostOptions, addresses::peer_address, error, members::member_id};
use opalrun_replication::{Member, Membership};
use opalrun_storage::{DataDirectory, VersionedFile};
use opalrun_wire::{
    feed::stable_hash,
    frame::{decode, encode},
    ids::NodeIdentity,
};
use rkyv::{Archive, Deserialize, Serialize};
use snafu::ResultExt;
use std::hash::{BuildHasher, RandomState};

/// The name of the file in the data directory.
const FILE_NAME: &str = "identity";
/// The format of the file.
const FORMAT: u32 = 1;

/// The identity of this process, and the members that its groups began with.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) struct Identity {
    pub identity: NodeIdentity,
    /// Empty in a process that joined later.
    pub genesis: Membership,
}

impl Identity {
    /// Reads the identity; `None` on an empty disk.
    pub fn load(directory: &DataDirectory) -> Result<Option<Self>, HostError> {
        let file = VersionedFile::new(directory, FILE_NAME, FORMAT);
        match file.read().context(error::StorageSnafu)? {
            Some(file) => {
                decode(&file.content).map(Some).context(error::UnreadableSnafu { what: "the identity" })
            }
            None => Ok(None),
        }
    }

    /// Reads the identity, or draws one on an empty disk and stores it. At the first start of the whole system the
    /// identity of a seed is a hash of its address, so that all seeds know the first members.
    pub fn load_or_create(directory: &DataDirectory, options: &HostOptions) -> Result<Self, HostError> {
        if let Some(known) = Self::load(directory)? {
            return Ok(known);
        }
        let is_first_member = options.bootstrap && options.seeds.contains(&options.node.control_address);
        let created = if is_first_member {
            Self { identity: genesis_identity(&options.node.control_address), genesis: genesis(options)? }
        } else {
            Self { identity: NodeIdentity(random_number()), genesis: Membership::default() }
        };
        let file = VersionedFile::new(directory, FILE_NAME, FORMAT);
        file.write(&encode(&created)).context(error::StorageSnafu)?;
        Ok(created)
    }
}

fn genesis_identity(control_address: &str) -> NodeIdentity {
    NodeIdentity(stable_hash(format!("genesis:{control_address}").as_bytes()))
}

fn genesis(options: &HostOptions) -> Result<Membership, HostError> {
    let mut members = Vec::new();
    for seed in &options.seeds {
        let address = peer_address(seed, options.peer_port)?.to_string();
        members.push(Member { identity: member_id(genesis_identity(seed)), address, is_voter: true });
    }
    Ok(Membership::new(members))
}

/// A random number from the operating system.
pub(super) fn random_number() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
