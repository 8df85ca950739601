//! Which parts of prompts a worker has probably kept, by what was sent there.

use fnv::FnvHashMap;

/// Share of a worker's memory that is taken to keep parts of prompts.
const KEPT_SHARE: f64 = 0.6;
/// Most parts that are remembered of one worker.
const MAX_PARTS: usize = 512;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptPart {
    /// Reads `Prompt-Prefix`: `ID:TOKENS` separated by commas, the ids in hex. What can't be read ends the list.
    #[must_use]
    pub fn parse_all(text: &str) -> Vec<Self> {
        text.split(',').map_while(Self::parse).collect()
    }

    fn parse(text: &str) -> Option<Self> {
        let (id, tokens) = text.trim().split_once(':')?;
        Some(Self { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    }
}

#[derive(Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// Parts that were sent to a worker; the least recently used are forgotten first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    parts: FnvHashMap<u64, Kept>,
    tokens: u64,
    uses: u64,
}

impl PrefixCache {
    /// Tokens at the beginning of the prompt that the worker has probably kept: a part counts only if all before it
    /// are kept whole.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let mut cached = 0;
        for part in parts {
            let Some(kept) = self.parts.get(&part.id) else { break };
            cached += kept.tokens.min(part.tokens);
            if kept.tokens < part.tokens {
                break;
            }
        }
        cached
    }

    /// Whether the prompt's last part, which is its session's own, was sent to the worker before.
    pub fn knows_last(&self, parts: &[PromptPart]) -> bool {
        parts.last().is_some_and(|part| self.parts.contains_key(&part.id))
    }

    /// The parts have been sent to the worker, whose memory holds `memory_tokens`.
    pub fn insert(&mut self, parts: &[PromptPart], memory_tokens: u32) {
        self.uses += 1;
        for part in parts {
            let kept = self.parts.entry(part.id).or_insert(Kept { tokens: 0, used: 0 });
            self.tokens += u64::from(part.tokens.saturating_sub(kept.tokens));
            kept.tokens = kept.tokens.max(part.tokens);
            kept.used = self.uses;
        }
        let most = (f64::from(memory_tokens) * KEPT_SHARE) as u64;
        if self.tokens > most || self.parts.len() > MAX_PARTS {
            self.forget_oldest();
        }
    }

    /// Forgets the quarter that was not used for longest.
    fn forget_oldest(&mut self) {
        let mut uses: Vec<u64> = self.parts.values().map(|kept| kept.used).collect();
        uses.sort_unstable();
        let Some(oldest) = uses.get(uses.len() / 4).copied() else { return };
        self.parts.retain(|_, kept| kept.used > oldest);
        self.tokens = self.parts.values().map(|kept| u64::from(kept.tokens)).sum();
    }
}
