//! Scores the workers for one request: the least score is the best.

use crate::proxy::balance::{
    Balancer, PromptSegment, SelectionCriteria, WorkerId, subset::rendezvous, worker::WorkerEntry,
};
use fnv::FnvHashMap;
use std::time::Duration;

/// Range of the random segment of a score, below any difference that counts.
const TIE_BREAK_RANGE: f64 = 1e-3;
/// Prompt tokens that one running request costs another.
const TOKENS_OF_A_RUNNING_REQUEST: f64 = 250.0;
/// Prompt tokens that one waiting request of another gatekeeper stands for.
const TOKENS_OF_A_WAITING_REQUEST: f64 = 1000.0;
/// Prompt tokens by which each rank in a subject's order of workers sets a worker back.
const TOKENS_OF_A_RANK: f64 = 60.0;
/// How much more a shared segment counts that a worker would have to prefill: it takes time from others there, too.
const SHARED_PREFIX_WEIGHT: f64 = 1.2;
/// Share of a turn's prompt that the worker of the turn before it has probably cached.
const SHARE_OF_A_CONTINUED_PROMPT: f64 = 0.8;
/// Ranks in that order that are told apart.
const RANKS: usize = 6;
/// What a worker outside this gatekeeper's subset is set back by, in prompt tokens.
const TOKENS_OUTSIDE_SUBSET: f64 = 2000.0;
/// What a worker in another zone is set back by, in prompt tokens: bytes between zones have their price.
const TOKENS_OF_ANOTHER_ZONE: f64 = 500.0;
/// What each recent failure sets a worker back by, in prompt tokens.
const TOKENS_OF_A_FAILURE: f64 = 3000.0;
/// The same at other services, as a share of its slots.
const LOAD_OF_A_FAILURE: f64 = 0.4;
/// How much more a failure counts for a request that is not idempotent.
const NON_IDEMPOTENT_WEIGHT: f64 = 2.0;
/// What a worker without a free slot is set back by, in prompt tokens.
const TOKENS_WITHOUT_FREE_SLOT: f64 = 100_000.0;
/// What a worker to which no free connection is kept is set back by, in requests: among workers that are as full as each
/// other, one that can be sent to at once is taken. Less than one request, so that no worker is crowded for it.
const REQUESTS_OF_A_CONNECTION: f64 = 0.5;
/// What a worker in another zone is set back by, as a share of its slots.
const OTHER_ZONE_LOAD: f64 = 0.1;
/// What a worker that is still warming up is set back by, as a share of its slots.
const WARMUP_LOAD: f64 = 0.5;

/// What is the same for all candidates for one request.
pub(super) struct ScoringContext<'a> {
    /// The first workers in the order of the request's subject or session, by rank.
    ranks: FnvHashMap<&'a WorkerId, usize>,
    /// Recent failures at the average candidate.
    usual_failures: f64,
    /// Tokens at the beginning of the prompt that any worker has probably cached, as other gatekeepers have sent them there.
    cached_by_others: u32,
}

impl Balancer {
    /// What is the same for all these candidates.
    pub(super) fn scoring_context<'a>(
        &self,
        now: Duration,
        candidates: &[(&'a WorkerId, &WorkerEntry)],
        choice: &SelectionCriteria<'_>,
    ) -> ScoringContext<'a> {
        ScoringContext {
            ranks: self.ranks(candidates, choice.prompt_segments),
            usual_failures: usual_failures(now, candidates),
            cached_by_others: self.cached_by_others(now, choice.prompt_segments),
        }
    }

    /// A candidate's score, with all that counts against it. Equal ones are told apart by chance.
    pub(super) fn full_score(
        &self,
        now: Duration,
        (id, worker): (&WorkerId, &WorkerEntry),
        choice: &SelectionCriteria<'_>,
        context: &ScoringContext<'_>,
    ) -> f64 {
        let failures = (worker.health.recent_failures(now) - context.usual_failures).max(0.0);
        self.score(now, (id, worker), choice, context)
            + self.setback(failures, choice)
            + self.connecting(id, worker, choice)
            + fastrand::f64() * TIE_BREAK_RANGE
    }

    /// The first workers in the order of a prompt's subject or session, by rank.
    fn ranks<'a>(
        &self,
        candidates: &[(&'a WorkerId, &WorkerEntry)],
        segments: &[PromptSegment],
    ) -> FnvHashMap<&'a WorkerId, usize> {
        // The last segment is the session's own, the first one is what many requests share: one home of that would be
        // crowded where each gatekeeper sees little of its load.
        let homed = if self.workers.has_subset { segments.last() } else { segments.first() };
        let Some(key) = homed.filter(|_| self.kv_cache_tokens > 0).map(|segment| segment.id) else {
            return FnvHashMap::default();
        };
        let mut order: Vec<((bool, bool, u64), &'a WorkerId)> = candidates
            .iter()
            .map(|(id, worker)| ((worker.in_subset, worker.local, rendezvous(key, id)), *id))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().take(RANKS).enumerate().map(|(rank, (_, id))| (id, rank)).collect()
    }

    /// How many prompt tokens, or what share of its slots, stand before a request at a worker: the least is best.
    fn score(
        &self,
        now: Duration,
        (id, worker): (&WorkerId, &WorkerEntry),
        choice: &SelectionCriteria<'_>,
        context: &ScoringContext<'_>,
    ) -> f64 {
        if self.kv_cache_tokens == 0 {
            return plain_score(now, worker);
        }
        let rank = context.ranks.get(id).copied().unwrap_or(RANKS);
        let is_previous = choice.previous_worker == Some(&**id);
        let mut cached = worker.prefixes.cached_tokens(choice.prompt_segments).max(context.cached_by_others);
        if !self.workers.has_subset && rank == 0 && cached == 0 && choice.prompt_segments.len() > 1 {
            // Another gatekeeper has probably sent the subject there.
            cached = choice.prompt_segments.first().map_or(0, |segment| segment.tokens) / 2;
        }
        let all: u32 = choice.prompt_segments.iter().map(|segment| segment.tokens).sum();
        if is_previous {
            cached = cached.max((f64::from(all) * SHARE_OF_A_CONTINUED_PROMPT) as u32);
        }
        let own = choice.prompt_segments.last().map_or(0, |segment| segment.tokens);
        let own_unread = own.min(all.saturating_sub(cached));
        let shared_unread = all.saturating_sub(own).saturating_sub(cached);
        let unread = f64::from(own_unread)
            + f64::from(shared_unread) * SHARED_PREFIX_WEIGHT
            + f64::from(worker.prefill_tokens);
        let load = worker.load(now);
        let running = load.total() * TOKENS_OF_A_RUNNING_REQUEST;
        let waiting = load.others_waiting * TOKENS_OF_A_WAITING_REQUEST;
        let full = if load.total() >= f64::from(worker.capacity) { TOKENS_WITHOUT_FREE_SLOT } else { 0.0 };
        let affinity = rank as f64 * TOKENS_OF_A_RANK + self.tokens_outside(worker);
        unread + running + waiting + full + affinity
    }

    /// Tokens at the beginning of a prompt that any worker has probably cached, as other gatekeepers have sent them there.
    fn cached_by_others(&self, now: Duration, segments: &[PromptSegment]) -> u32 {
        let [shared, _, ..] = segments else { return 0 };
        if !self.workers.has_subset {
            return 0;
        }
        let gatekeepers = self.workers.subset.gatekeepers;
        let chance = self.popularity.cached_probability(now, shared.id, gatekeepers, self.workers.ready);
        (f64::from(shared.tokens) * chance) as u32
    }

    /// What a worker is set back by that is not among those this gatekeeper prefers.
    fn tokens_outside(&self, worker: &WorkerEntry) -> f64 {
        let outside = if worker.in_subset || !self.workers.has_subset { 0.0 } else { TOKENS_OUTSIDE_SUBSET };
        let far = if worker.local { 0.0 } else { TOKENS_OF_ANOTHER_ZONE };
        outside + far
    }

    /// What failures beyond the usual set a worker back by.
    fn setback(&self, failures: f64, choice: &SelectionCriteria<'_>) -> f64 {
        let each = if self.kv_cache_tokens == 0 { LOAD_OF_A_FAILURE } else { TOKENS_OF_A_FAILURE };
        let weight = if choice.idempotent { 1.0 } else { NON_IDEMPOTENT_WEIGHT };
        failures * each * weight
    }

    /// What a connection that would have to be opened sets a worker back by. At a language model the time for it is
    /// short beside that for reading a prompt.
    fn connecting(&self, id: &WorkerId, worker: &WorkerEntry, choice: &SelectionCriteria<'_>) -> f64 {
        let costs_little = self.kv_cache_tokens > 0;
        if costs_little
            || choice.has_idle_connection.is_none_or(|has_idle_connection| has_idle_connection(id))
        {
            return 0.0;
        }
        REQUESTS_OF_A_CONNECTION / f64::from(worker.capacity.max(1))
    }
}

/// Recent failures at the average worker: where all fail alike, the fault is hardly theirs.
fn usual_failures(now: Duration, candidates: &[(&WorkerId, &WorkerEntry)]) -> f64 {
    let all: f64 = candidates.iter().map(|(_, worker)| worker.health.recent_failures(now)).sum();
    all / candidates.len().max(1) as f64
}

/// How full a worker is, with what counts against it.
fn plain_score(now: Duration, worker: &WorkerEntry) -> f64 {
    let slots = f64::from(worker.capacity.max(1));
    let mut score = worker.load(now).total() / slots;
    if !worker.local {
        score += OTHER_ZONE_LOAD;
    }
    if worker.is_warming_up(now) {
        score += WARMUP_LOAD;
    }
    score
}
