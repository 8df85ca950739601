//! Newtypes of the numbers that processes exchange, so that they can't be confused. On the wire, on disk and in JSON each
//! is a plain number.

use facet::Facet;
use rkyv::{Archive, Deserialize, Serialize};
use std::fmt;

macro_rules! number {
    ($(#[$attribute:meta])* $name:ident($inner:ty)) => {
        $(#[$attribute])*
        #[derive(
            Archive, Serialize, Deserialize, Facet, Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
        )]
        #[rkyv(derive(PartialEq, Eq, PartialOrd, Ord, Hash))]
        #[facet(transparent)]
        #[repr(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number! {
    /// The identity of a control process or store. It is generated at the first start on an empty disk, so a machine that
    /// lost its disk gets a new identity.
    NodeIdentity(u64)
}

number! {
    /// The number of a shard of the control state.
    Shard(u16)
}

number! {
    /// The number of a partition of the stores' data.
    Partition(u16)
}

number! {
    /// The epoch of a store map; increases with each change of the map. 0 means that there is no map yet.
    Epoch(u64)
}

number! {
    /// The generation of a configuration, assigned by the operator. 0 means that there is no configuration yet.
    Generation(u64)
}

number! {
    /// An offset in the changes of a shard: the index of an entry in the shard's replicated log. 0 precedes the first entry.
    FeedOffset(u64)
}

impl Shard {
    /// The shard with the configuration, the list of control processes and the store map.
    pub const CONFIGURATION: Self = Self(0);

    /// Returns the index of the shard in a list of all shards.
    #[must_use]
    pub const fn position(self) -> usize {
        self.0 as usize
    }
}

impl Partition {
    /// Returns the index of the partition in a list of all partitions.
    #[must_use]
    pub const fn position(self) -> usize {
        self.0 as usize
    }
}

impl Epoch {
    /// Returns the epoch of the map after its next change.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
