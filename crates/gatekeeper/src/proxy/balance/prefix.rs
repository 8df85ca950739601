//! Estimates which prompt segments a worker has in its prefix cache, from the requests sent to it.

use fnv::FnvHashMap;

/// Fraction of a worker's KV cache assumed to hold prompt prefixes.
const CACHED_SHARE: f64 = 0.6;
/// Maximum number of segments tracked for one worker.
const MAX_SEGMENTS: usize = 512;

/// One segment of a prompt, identified by its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifier of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

impl PromptSegment {
    /// Parses the `Prompt-Prefix` header: comma-separated `ID:TOKENS` with hexadecimal ids. A malformed entry ends the
    /// list.
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
    last_use: u64,
}

/// Segments sent to one worker, evicted in the order of least recent use.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    segments: FnvHashMap<u64, CachedSegment>,
    tokens: u64,
    use_count: u64,
}

impl PrefixCache {
    /// Number of leading prompt tokens that the worker has probably cached. A segment counts only if all preceding
    /// segments are cached completely.
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

    /// Whether the last segment of the prompt, which belongs to its session alone, has been sent to the worker.
    pub fn has_last_segment(&self, segments: &[PromptSegment]) -> bool {
        segments.last().is_some_and(|segment| self.segments.contains_key(&segment.id))
    }

    /// Records that a prompt was sent to the worker, whose KV cache holds `kv_cache_tokens` tokens.
    pub fn insert(&mut self, segments: &[PromptSegment], kv_cache_tokens: u32) {
        self.use_count += 1;
        for segment in segments {
            let cached_segment =
                self.segments.entry(segment.id).or_insert(CachedSegment { tokens: 0, last_use: 0 });
            self.tokens += u64::from(segment.tokens.saturating_sub(cached_segment.tokens));
            cached_segment.tokens = cached_segment.tokens.max(segment.tokens);
            cached_segment.last_use = self.use_count;
        }
        let max_tokens = (f64::from(kv_cache_tokens) * CACHED_SHARE) as u64;
        if self.tokens > max_tokens || self.segments.len() > MAX_SEGMENTS {
            self.evict_least_recently_used();
        }
    }

    /// Evicts the least recently used quarter.
    fn evict_least_recently_used(&mut self) {
        let mut last_uses: Vec<u64> =
            self.segments.values().map(|cached_segment| cached_segment.last_use).collect();
        last_uses.sort_unstable();
        let Some(oldest) = last_uses.get(last_uses.len() / 4).copied() else { return };
        self.segments.retain(|_, cached_segment| cached_segment.last_use > oldest);
        self.tokens = self.segments.values().map(|cached_segment| u64::from(cached_segment.tokens)).sum();
    }
}
