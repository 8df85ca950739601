//! Numbers that processes exchange, each with a type of its own, so that one can't be taken for another. On the wire, on
//! disk and in JSON each is the plain number.

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
    /// The identity of a control process or store: drawn at the first start on an empty disk, so a machine that lost its
    /// disk is another node.
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
    /// The epoch of a store map: rises with each change of it. 0 comes before the first map.
    Epoch(u64)
}

number! {
    /// The generation of a configuration, which the operator numbers. 0 comes before the first.
    Generation(u64)
}

number! {
    /// An offset in a shard's changes: the index of an entry in the shard's replicated log. 0 comes before the first.
    FeedOffset(u64)
}

impl Shard {
    /// The shard that holds the configuration, the control processes and the store map.
    pub const CONFIGURATION: Self = Self(0);

    /// The shard's place in a list of all shards.
    #[must_use]
    pub const fn position(self) -> usize {
        self.0 as usize
    }
}

impl Partition {
    /// The partition's place in a list of all partitions.
    #[must_use]
    pub const fn position(self) -> usize {
        self.0 as usize
    }
}

impl Epoch {
    /// The epoch of the next change of the map.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
