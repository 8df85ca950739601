//! Which segments of prompts a worker has probably in its prefix cache, by what was sent there.

use fnv::FnvHashMap;

/// Share of a worker's KV cache that is assumed to hold prompt prefixes.
const CACHED_SHARE: f64 = 0.6;
/// Most segments that are remembered of one worker.
const MAX_SEGMENTS: usize = 512;

/// A segment of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Names its content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl PromptSegment {
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
struct CachedSegment {
    tokens: u32,
    used: u64,
}

/// Parts that were sent to a worker; the least recently used are evicted first.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    segments: FnvHashMap<u64, CachedSegment>,
    tokens: u64,
    uses: u64,
}

impl PrefixCache {
    /// Tokens at the beginning of the prompt that the worker has probably cached: a segment counts only if all before it
    /// are cached completely.
    pub fn cached_tokens(&self, segments: &[PromptSegment]) -> u32 {
        let mut cached = 0;
        for segment in segments {
            let Some(cached_segment) = self.segments.get(&segment.id) else { break };
            cached += cached_segment.tokens.min(segment.tokens);
            if cached_segment.tokens < segment.tokens {
                break;
            }
        }
        cached
    }

    /// Whether the prompt's last segment, which is its session's own, was sent to the worker before.
    pub fn has_last_segment(&self, segments: &[PromptSegment]) -> bool {
        segments.last().is_some_and(|segment| self.segments.contains_key(&segment.id))
    }

    /// The segments have been sent to the worker, whose KV cache holds `kv_cache_tokens`.
    pub fn insert(&mut self, segments: &[PromptSegment], kv_cache_tokens: u32) {
        self.uses += 1;
        for segment in segments {
            let cached_segment =
                self.segments.entry(segment.id).or_insert(CachedSegment { tokens: 0, used: 0 });
            self.tokens += u64::from(segment.tokens.saturating_sub(cached_segment.tokens));
            cached_segment.tokens = cached_segment.tokens.max(segment.tokens);
            cached_segment.used = self.uses;
        }
        let most = (f64::from(kv_cache_tokens) * CACHED_SHARE) as u64;
        if self.tokens > most || self.segments.len() > MAX_SEGMENTS {
            self.evict_least_recently_used();
        }
    }

    /// Evicts the quarter that was not used for longest.
    fn evict_least_recently_used(&mut self) {
        let mut uses: Vec<u64> = self.segments.values().map(|cached_segment| cached_segment.used).collect();
        uses.sort_unstable();
        let Some(oldest) = uses.get(uses.len() / 4).copied() else { return };
        self.segments.retain(|_, cached_segment| cached_segment.used > oldest);
        self.tokens = self.segments.values().map(|cached_segment| u64::from(cached_segment.tokens)).sum();
    }
}
