//! Scores the candidate workers of a request; the lowest score is the best.

use crate::proxy::balance::{
    Balancer, PromptSegment, SelectionCriteria, WorkerId, subset::rendezvous, worker::WorkerEntry,
};
use fnv::FnvHashMap;
use std::time::Duration;

/// Range of the random term of a score, smaller than any relevant difference.
const TIE_BREAK_RANGE: f64 = 1e-3;
/// Cost of each request in flight at a worker, in prompt tokens.
const TOKENS_PER_RUNNING_REQUEST: f64 = 250.0;
/// Additional cost of each queued request of another gatekeeper, in prompt tokens.
const TOKENS_PER_WAITING_REQUEST: f64 = 1000.0;
/// Penalty for each rank in the rendezvous order of workers, in prompt tokens.
const TOKENS_PER_RANK: f64 = 60.0;
/// Weight of uncached tokens of a shared prefix: their prefill also delays other requests at the worker.
const SHARED_PREFIX_WEIGHT: f64 = 1.2;
/// Fraction of the prompt assumed to be cached at the worker that answered the previous turn.
const CONTINUED_PROMPT_CACHED_SHARE: f64 = 0.8;
/// Number of ranks that are distinguished.
const MAX_RANKS: usize = 6;
/// Penalty for a worker outside this gatekeeper's subset, in prompt tokens.
const OUTSIDE_SUBSET_PENALTY_TOKENS: f64 = 2000.0;
/// Penalty for a worker in another zone, in prompt tokens: traffic between zones is billed.
const OTHER_ZONE_PENALTY_TOKENS: f64 = 500.0;
/// Penalty for each recent failure, in prompt tokens.
const FAILURE_PENALTY_TOKENS: f64 = 3000.0;
/// Penalty for each recent failure at services without a language model, as a share of the worker's slots.
const FAILURE_PENALTY_LOAD: f64 = 0.4;
/// Factor by which a failure weighs more for a request that is not idempotent.
const NON_IDEMPOTENT_WEIGHT: f64 = 2.0;
/// Penalty for a worker without a free slot, in prompt tokens.
const NO_FREE_SLOT_PENALTY_TOKENS: f64 = 100_000.0;
/// Penalty for a worker without an idle connection, in requests. Among equally loaded workers it prefers one that needs
/// no connection set-up; it is less than one request, so that it never outweighs a difference in load.
const NEW_CONNECTION_PENALTY_REQUESTS: f64 = 0.5;
/// Penalty for a worker in another zone, as a share of its slots.
const OTHER_ZONE_PENALTY_LOAD: f64 = 0.1;
/// Penalty for a worker during its warm-up, as a share of its slots.
const WARMUP_PENALTY_LOAD: f64 = 0.5;

/// Inputs of the score that are shared by all candidates of one request.
pub(super) struct ScoringContext<'a> {
    /// The first [`MAX_RANKS`] workers in the rendezvous order of the request's prompt, with their ranks.
    ranks: FnvHashMap<&'a WorkerId, usize>,
    /// Average number of recent failures over the candidates.
    average_failures: f64,
    /// Number of leading prompt tokens expected to be cached at every worker because of other gatekeepers' requests.
    cached_by_others: u32,
}

impl Balancer {
    /// Computes the inputs that are shared by all candidates of a request.
    pub(super) fn scoring_context<'a>(
        &self,
        now: Duration,
        candidates: &[(&'a WorkerId, &WorkerEntry)],
        criteria: &SelectionCriteria<'_>,
    ) -> ScoringContext<'a> {
        ScoringContext {
            ranks: self.ranks(candidates, criteria.prompt_segments),
            average_failures: average_failures(now, candidates),
            cached_by_others: self.cached_by_others(now, criteria.prompt_segments),
        }
    }

    /// Score of a candidate with all penalties; ties are broken at random.
    pub(super) fn total_score(
        &self,
        now: Duration,
        (id, worker): (&WorkerId, &WorkerEntry),
        criteria: &SelectionCriteria<'_>,
        context: &ScoringContext<'_>,
    ) -> f64 {
        let failures = (worker.health.recent_failures(now) - context.average_failures).max(0.0);
        self.base_score(now, (id, worker), criteria, context)
            + self.failure_penalty(failures, criteria)
            + self.connection_penalty(id, worker, criteria)
            + fastrand::f64() * TIE_BREAK_RANGE
    }

    /// The first workers in the rendezvous order of a prompt, with their ranks.
    fn ranks<'a>(
        &self,
        candidates: &[(&'a WorkerId, &WorkerEntry)],
        segments: &[PromptSegment],
    ) -> FnvHashMap<&'a WorkerId, usize> {
        // The first segment is shared by many requests and the last one belongs to the session. A single preferred
        // worker for a shared prefix would be overloaded while each gatekeeper sees only a small part of its load.
        let key_segment = if self.workers.has_subset { segments.last() } else { segments.first() };
        let Some(key) = key_segment.filter(|_| self.kv_cache_tokens > 0).map(|segment| segment.id) else {
            return FnvHashMap::default();
        };
        let mut order: Vec<((bool, bool, u64), &'a WorkerId)> = candidates
            .iter()
            .map(|(id, worker)| ((worker.in_subset, worker.local, rendezvous(key, id)), *id))
            .collect();
        order.sort_unstable_by(|a, b| b.cmp(a));
        order.into_iter().take(MAX_RANKS).enumerate().map(|(rank, (_, id))| (id, rank)).collect()
    }

    /// Prompt tokens to be processed before the request at a worker, or its load as a share of its slots for services
    /// without a language model.
    fn base_score(
        &self,
        now: Duration,
        (id, worker): (&WorkerId, &WorkerEntry),
        criteria: &SelectionCriteria<'_>,
        context: &ScoringContext<'_>,
    ) -> f64 {
        if self.kv_cache_tokens == 0 {
            return load_score(now, worker);
        }
        let rank = context.ranks.get(id).copied().unwrap_or(MAX_RANKS);
        let is_previous = criteria.previous_worker == Some(&**id);
        let mut cached =
            worker.prefixes.cached_tokens(criteria.prompt_segments).max(context.cached_by_others);
        if !self.workers.has_subset && rank == 0 && cached == 0 && criteria.prompt_segments.len() > 1 {
            // Other gatekeepers compute the same first rank, so one of them has probably sent the prefix to this
            // worker.
            cached = criteria.prompt_segments.first().map_or(0, |segment| segment.tokens) / 2;
        }
        let total_tokens: u32 = criteria.prompt_segments.iter().map(|segment| segment.tokens).sum();
        if is_previous {
            cached = cached.max((f64::from(total_tokens) * CONTINUED_PROMPT_CACHED_SHARE) as u32);
        }
        let own = criteria.prompt_segments.last().map_or(0, |segment| segment.tokens);
        let uncached_own = own.min(total_tokens.saturating_sub(cached));
        let uncached_shared = total_tokens.saturating_sub(own).saturating_sub(cached);
        let uncached = f64::from(uncached_own)
            + f64::from(uncached_shared) * SHARED_PREFIX_WEIGHT
            + f64::from(worker.prefill_tokens);
        let load = worker.load(now);
        let running = load.total() * TOKENS_PER_RUNNING_REQUEST;
        let waiting = load.others_waiting * TOKENS_PER_WAITING_REQUEST;
        let no_free_slot =
            if load.total() >= f64::from(worker.capacity) { NO_FREE_SLOT_PENALTY_TOKENS } else { 0.0 };
        let affinity = rank as f64 * TOKENS_PER_RANK + self.preference_penalty(worker);
        uncached + running + waiting + no_free_slot + affinity
    }

    /// Number of leading prompt tokens expected to be cached at every worker because of other gatekeepers' requests.
    fn cached_by_others(&self, now: Duration, segments: &[PromptSegment]) -> u32 {
        let [shared, _, ..] = segments else { return 0 };
        if !self.workers.has_subset {
            return 0;
        }
        let gatekeepers = self.workers.subset.gatekeepers;
        let probability =
            self.popularity.cached_probability(now, shared.id, gatekeepers, self.workers.ready_count);
        (f64::from(shared.tokens) * probability) as u32
    }

    /// Penalty for a worker outside the subset or the zone of this gatekeeper.
    fn preference_penalty(&self, worker: &WorkerEntry) -> f64 {
        let outside =
            if worker.in_subset || !self.workers.has_subset { 0.0 } else { OUTSIDE_SUBSET_PENALTY_TOKENS };
        let other_zone = if worker.local { 0.0 } else { OTHER_ZONE_PENALTY_TOKENS };
        outside + other_zone
    }

    /// Penalty for failures above the average of the candidates.
    fn failure_penalty(&self, failures: f64, criteria: &SelectionCriteria<'_>) -> f64 {
        let per_failure =
            if self.kv_cache_tokens == 0 { FAILURE_PENALTY_LOAD } else { FAILURE_PENALTY_TOKENS };
        let weight = if criteria.idempotent { 1.0 } else { NON_IDEMPOTENT_WEIGHT };
        failures * per_failure * weight
    }

    /// Penalty for having to open a connection; zero for language models, where connection set-up is short compared
    /// with the prefill.
    fn connection_penalty(
        &self,
        id: &WorkerId,
        worker: &WorkerEntry,
        criteria: &SelectionCriteria<'_>,
    ) -> f64 {
        let is_negligible = self.kv_cache_tokens > 0;
        if is_negligible
            || criteria.has_idle_connection.is_none_or(|has_idle_connection| has_idle_connection(id))
        {
            return 0.0;
        }
        NEW_CONNECTION_PENALTY_REQUESTS / f64::from(worker.capacity.max(1))
    }
}

/// Average number of recent failures over the candidates. Only failures above it count, because failures that affect
/// all workers alike are probably not caused by the workers.
fn average_failures(now: Duration, candidates: &[(&WorkerId, &WorkerEntry)]) -> f64 {
    let total: f64 = candidates.iter().map(|(_, worker)| worker.health.recent_failures(now)).sum();
    total / candidates.len().max(1) as f64
}

/// Load as a share of the slots, with the penalties for another zone and for warm-up.
fn load_score(now: Duration, worker: &WorkerEntry) -> f64 {
    let slots = f64::from(worker.capacity.max(1));
    let mut score = worker.load(now).total() / slots;
    if !worker.local {
        score += OTHER_ZONE_PENALTY_LOAD;
    }
    if worker.is_warming_up(now) {
        score += WARMUP_PENALTY_LOAD;
    }
    score
}
