//! The content of a file on a [`MemoryDisk`](super::MemoryDisk): the durable state, the changes that are not synced yet,
//! and how a simulated power loss treats them.

/// Size in bytes of the unit that the simulated disk writes atomically.
const SECTOR_BYTES: usize = 512;

/// How a simulated power loss treats changes that were not synced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PowerLoss {
    /// All unsynced changes are lost.
    DropAll,
    /// All unsynced changes are kept.
    KeepAll,
    /// Each unsynced write is kept, lost or torn at random; each creation, rename and removal is kept or lost at random.
    Random {
        /// Seed of the random number generator.
        seed: u64,
    },
}

/// The content of a file, with its unsynced changes.
#[derive(Debug, Default, Clone)]
pub(super) struct Content {
    /// Content that a read returns, unsynced changes included.
    pub(super) current: Vec<u8>,
    /// Content as of the last sync.
    pub(super) durable: Vec<u8>,
    /// Changes since the last sync, oldest first.
    pub(super) unsynced: Vec<ContentChange>,
}

/// A change to a file's content.
#[derive(Debug, Clone)]
pub(super) enum ContentChange {
    /// Writes bytes at a byte offset, extending the file with zeros if needed.
    Write { position: usize, bytes: Vec<u8> },
    /// Sets the length of the file, in bytes.
    Truncate { length: usize },
}

impl ContentChange {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Self::Write { position, bytes } => {
                let end = position + bytes.len();
                if content.len() < end {
                    content.resize(end, 0);
                }
                content[*position..end].copy_from_slice(bytes);
            }
            Self::Truncate { length } => content.resize(*length, 0),
        }
    }
}

impl Content {
    /// Applies a change to the current content; it becomes durable at the next sync.
    pub(super) fn change(&mut self, change: ContentChange) {
        change.apply(&mut self.current);
        self.unsynced.push(change);
    }

    /// Simulates a power loss: applies `loss` to the unsynced changes; the result is both current and durable.
    pub(super) fn lose_power(&mut self, loss: PowerLoss, random: &mut SplitMix) {
        let mut content = std::mem::take(&mut self.durable);
        for change in std::mem::take(&mut self.unsynced) {
            match loss {
                PowerLoss::DropAll => {}
                PowerLoss::KeepAll => change.apply(&mut content),
                PowerLoss::Random { .. } => apply_randomly(&change, &mut content, random),
            }
        }
        self.current = content.clone();
        self.durable = content;
    }
}

/// Applies a change as a power loss may leave it: not at all, completely, only a prefix of it, or only some of its sectors.
fn apply_randomly(change: &ContentChange, content: &mut Vec<u8>, random: &mut SplitMix) {
    match (random.next() % 4, change) {
        (0, _) => {}
        (1, change) => change.apply(content),
        (2, ContentChange::Write { position, bytes }) => {
            let kept = random.next() as usize % (bytes.len() + 1);
            ContentChange::Write { position: *position, bytes: bytes[..kept].to_vec() }.apply(content);
        }
        (_, ContentChange::Write { position, bytes }) => {
            for (index, sector) in bytes.chunks(SECTOR_BYTES).enumerate() {
                if random.next().is_multiple_of(2) {
                    let position = position + index * SECTOR_BYTES;
                    ContentChange::Write { position, bytes: sector.to_vec() }.apply(content);
                }
            }
        }
        (_, change) => change.apply(content),
    }
}

/// The `SplitMix64` random number generator. A seed yields the same sequence in every build.
pub(super) struct SplitMix(pub(super) u64);

impl SplitMix {
    /// Returns the next random number.
    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
