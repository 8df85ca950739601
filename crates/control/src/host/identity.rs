//! The identity of this process, stored in its data directory.

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

/// Name of the file in the data directory.
const FILE_NAME: &str = "identity";
/// Format version of the file.
const FORMAT: u32 = 1;

/// The identity of this process, and the membership with which its groups were bootstrapped.
#[derive(Archive, Serialize, Deserialize, Debug, Clone, PartialEq)]
pub(super) struct Identity {
    pub identity: NodeIdentity,
    /// Membership with which the groups were bootstrapped; empty in a process that joined later.
    pub genesis: Membership,
}

impl Identity {
    /// Reads the identity; returns `None` if none is stored.
    pub fn load(directory: &DataDirectory) -> Result<Option<Self>, HostError> {
        let file = VersionedFile::new(directory, FILE_NAME, FORMAT);
        match file.read().context(error::StorageSnafu)? {
            Some(file) => {
                decode(&file.content).map(Some).context(error::UnreadableSnafu { what: "the identity" })
            }
            None => Ok(None),
        }
    }

    /// Reads the identity, or creates and stores one if none is stored. At the first start of the whole system a
    /// seed's identity is a hash of its control address, so that all seeds agree on the first members. Otherwise the
    /// identity is random.
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

/// Returns a random number, seeded by the operating system.
pub(super) fn random_number() -> u64 {
    RandomState::new().hash_one(std::process::id())
}
