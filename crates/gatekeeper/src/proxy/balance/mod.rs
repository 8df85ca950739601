//! Selects the worker for each request from the control feed, the workers' load reports and recent failures.
//!
//! A worker of a language-model service is scored by the number of prompt tokens that it has to process before the
//! request's first output token: the uncached tokens of the request's own prompt and the prompts of other requests that
//! are still in prefill. Rendezvous hashing maps each prompt to preferred workers that every gatekeeper computes alike,
//! also after a restart. While few gatekeepers share the service, the key is the first prompt segment, so that a prefix
//! that many sessions share is cached on few workers. When many gatekeepers share it, the key is the session's own last
//! segment, because popular prefixes are then cached on every worker. A worker of any other service is scored by its
//! load as a share of its slots.

mod answer_time;
mod decay;
mod health;
mod load;
mod popularity;
mod prefix;
mod score;
mod subset;
#[cfg(test)]
mod tests;
mod worker;
mod worker_set;

pub use load::LoadReport;
pub use prefix::PromptSegment;

use crate::proxy::balance::{
    answer_time::AnswerTime, popularity::Popularity, worker::WorkerEntry, worker_set::WorkerSet,
};
use opalrun_wire::feed;
use std::sync::Arc;
use std::{rc::Rc, time::Duration};

/// Identifies one incarnation of a worker.
pub type WorkerId = Arc<str>;

/// Queue length at a worker up to which requests of the highest priority are admitted, as a share of its slots.
const QUEUE_SHARE: f64 = 1.0;
/// The same limit for language models, whose requests occupy their slots for longer.
const MODEL_QUEUE_SHARE: f64 = 0.5;
/// Reduction of the queue limit for each lower priority, as a fraction of the limit.
const QUEUE_SHARE_REDUCTION_PER_RANK: f64 = 0.25;
/// Lowest priority that is distinguished; lower ones are treated like it.
const MAX_RANK: u32 = 4;

/// Share of its slots from which a worker counts as busy, so that slower answers are expected of it.
const BUSY_SHARE: f64 = 0.25;

/// Returns whether an idle connection to a worker is open.
pub type HasIdleConnection<'a> = &'a dyn Fn(&WorkerId) -> bool;

/// Criteria by which a worker is selected for a request.
#[derive(Clone, Default)]
pub struct SelectionCriteria<'a> {
    /// Segments of the prompt, in order.
    pub prompt_segments: &'a [PromptSegment],
    /// Workers to which this request has already been sent.
    pub attempted: &'a [WorkerId],
    /// Worker that answered the previous turn, possibly through another gatekeeper.
    pub previous_worker: Option<&'a str>,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// The request belongs to a program that has already started, which raises its priority by one.
    pub continues_program: bool,
    /// The request may be executed more than once.
    pub idempotent: bool,
    /// Tells which workers have an idle connection; `None` if this is unknown.
    pub has_idle_connection: Option<HasIdleConnection<'a>>,
}

/// Reason why no worker can take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoWorker {
    /// No ready worker is known to which the request has not been sent yet.
    Absent,
    /// The queue of every candidate is full.
    Full,
}

/// The worker selected for a request, with its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedWorker {
    /// Id of the worker.
    pub id: WorkerId,
    /// Address of the worker, `host:port`.
    pub address: Rc<str>,
}

/// Capacity that a request occupies at a worker until it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSlot {
    worker: WorkerId,
    prompt_tokens: u32,
    /// When the request was sent; `None` once the time to the start of its answer has been recorded.
    sent_at: Option<Duration>,
}

impl WorkerSlot {
    /// Id of the worker.
    #[must_use]
    pub fn worker(&self) -> &str {
        &self.worker
    }
}

/// Selects among the workers of one service and records the outcome of each request.
#[derive(Debug)]
pub struct Balancer {
    workers: WorkerSet,
    /// Capacity of a worker's KV cache in tokens; 0 for a service without a language model.
    kv_cache_tokens: u32,
    /// Statistics of the time from sending a request to the start of its answer.
    answer_time: AnswerTime,
    /// Recent request rate of each shared prompt prefix.
    popularity: Popularity,
}

impl Balancer {
    /// Returns a balancer without workers for a gatekeeper in `zone`; `gatekeeper` is its key in rendezvous hashing.
    #[must_use]
    pub fn new(zone: &str, gatekeeper: u64) -> Self {
        Self {
            workers: WorkerSet::new(zone, gatekeeper),
            kv_cache_tokens: 0,
            answer_time: AnswerTime::default(),
            popularity: Popularity::default(),
        }
    }

    /// Sets the number of gatekeepers that share the service.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        self.workers.set_gatekeepers(gatekeepers);
    }

    /// Sets the capacity of a worker's KV cache in tokens; 0 for a service without a language model.
    pub fn set_kv_cache_tokens(&mut self, tokens: u32) {
        self.kv_cache_tokens = tokens;
    }

    /// Replaces the list of the service's workers by the feed's; workers that are missing from it are no longer
    /// selected.
    pub fn set_workers<'a>(&mut self, now: Duration, workers: impl Iterator<Item = &'a feed::Worker>) {
        self.workers.set_workers(now, workers);
    }

    /// Whether at least one worker of the service accepts requests.
    #[must_use]
    pub fn has_ready_worker(&self) -> bool {
        self.workers.iter().any(|(_, worker)| worker.is_ready())
    }

    /// Sets the workers at which other gatekeepers have reported failures; workers of other services are ignored. If
    /// more than a third of this service's workers are suspected, the cause is probably not the workers, and only
    /// failures that this gatekeeper has seen count.
    pub fn set_suspects(&mut self, now: Duration, suspects: &[String]) {
        self.workers.set_suspects(now, suspects);
    }

    /// Returns the failures that have not been reported to control yet and marks them as reported.
    pub fn take_failures(&mut self) -> Vec<feed::WorkerFailures> {
        self.workers.take_failures()
    }

    /// Ids of all workers.
    pub fn worker_ids(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.iter().map(|(id, _)| id)
    }

    /// Whether a worker accepts new requests.
    #[must_use]
    pub fn is_ready(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(WorkerEntry::is_ready)
    }

    /// Selects the worker with the lowest score whose queue has room for the request.
    ///
    /// # Errors
    /// If no candidate is ready, or the queue of each is full.
    pub fn select_worker(
        &self,
        now: Duration,
        criteria: &SelectionCriteria<'_>,
    ) -> Result<SelectedWorker, NoWorker> {
        let candidates = self.candidates(now, criteria);
        if candidates.is_empty() {
            return Err(NoWorker::Absent);
        }
        let context = self.scoring_context(now, &candidates, criteria);
        let mut best: Option<(f64, &WorkerId, &WorkerEntry)> = None;
        let mut rejected = false;
        for (id, worker) in &candidates {
            if self.is_full(now, worker, criteria) {
                rejected = true;
                continue;
            }
            let score = self.total_score(now, (id, worker), criteria, &context);
            if best.as_ref().is_none_or(|(best_score, ..)| score < *best_score) {
                best = Some((score, *id, *worker));
            }
        }
        match best {
            Some((_, id, worker)) => Ok(SelectedWorker { id: id.clone(), address: worker.address.clone() }),
            None if rejected => Err(NoWorker::Full),
            None => Err(NoWorker::Absent),
        }
    }

    /// Ready workers to which the request has not been sent, without the ejected ones unless these are the majority.
    fn candidates(&self, now: Duration, criteria: &SelectionCriteria<'_>) -> Vec<(&WorkerId, &WorkerEntry)> {
        let ready =
            || self.workers.iter().filter(|(id, entry)| entry.is_ready() && !criteria.attempted.contains(id));
        let healthy: Vec<_> =
            ready().filter(|(_, worker)| worker.health.may_attempt(now, criteria.idempotent)).collect();
        // If more than half are ejected, the cause is probably not the workers.
        if healthy.len() * 2 >= ready().count() { healthy } else { ready().collect() }
    }

    /// Whether a worker's queue has reached the limit for the priority of this request.
    fn is_full(&self, now: Duration, worker: &WorkerEntry, criteria: &SelectionCriteria<'_>) -> bool {
        let continues_program =
            criteria.continues_program || worker.prefixes.has_last_segment(criteria.prompt_segments);
        let rank = criteria.priority.min(MAX_RANK).saturating_sub(u32::from(continues_program));
        let share = if self.kv_cache_tokens > 0 { MODEL_QUEUE_SHARE } else { QUEUE_SHARE };
        let share = share * (1.0 - QUEUE_SHARE_REDUCTION_PER_RANK * f64::from(rank));
        let max_load = f64::from(worker.capacity) * (1.0 + share);
        worker.load(now).total() >= max_load.max(1.0)
    }

    // ---- Events of a request at a worker ----

    /// Records that a request is being sent to a worker and returns the capacity that it occupies there.
    pub fn request_sent(&mut self, now: Duration, id: &WorkerId, segments: &[PromptSegment]) -> WorkerSlot {
        let kv_cache_tokens = self.kv_cache_tokens;
        if let Some(prefix) = segments.first().filter(|_| self.workers.has_subset) {
            self.popularity.record(now, prefix.id);
        }
        let mut prompt_tokens = 0;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.in_flight += 1;
            worker.health.attempt_started(now);
            if kv_cache_tokens > 0 {
                let total_tokens: u32 = segments.iter().map(|segment| segment.tokens).sum();
                prompt_tokens = total_tokens.saturating_sub(worker.prefixes.cached_tokens(segments));
                worker.prefixes.insert(segments, kv_cache_tokens);
                worker.prefill_tokens += prompt_tokens;
            }
        }
        WorkerSlot { worker: id.clone(), prompt_tokens, sent_at: Some(now) }
    }

    /// Records that the worker has started to answer, which means that the prompt's prefill has ended.
    pub fn answer_started(&mut self, now: Duration, slot: &mut WorkerSlot, report: Option<LoadReport>) {
        self.record_answer_time(now, slot);
        let Some(worker) = self.workers.get_mut(&slot.worker) else { return };
        worker.prefill_tokens = worker.prefill_tokens.saturating_sub(slot.prompt_tokens);
        slot.prompt_tokens = 0;
        if let Some(report) = report {
            worker.record_load(now, report);
        }
    }

    /// Records the time to the start of an answer, or the time waited so far if the attempt timed out before that.
    pub fn record_answer_time(&mut self, now: Duration, slot: &mut WorkerSlot) {
        if let Some(sent_at) = slot.sent_at.take() {
            self.answer_time.record(now.saturating_sub(sent_at));
        }
    }

    /// Longest usual time to the start of an answer, from the service's recent answers; `None` with too few samples or
    /// while the worker is busy.
    #[must_use]
    pub fn answer_start_limit(&self, now: Duration, id: &str) -> Option<Duration> {
        let worker = self.workers.get(id)?;
        let busy = worker.load(now).total() >= f64::from(worker.capacity) * BUSY_SHARE;
        if busy { None } else { self.answer_time.normal_limit() }
    }

    /// Records that the attempt has succeeded so far, which ends an ejection of the worker.
    pub fn attempt_succeeded(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.attempt_succeeded(now);
        }
    }

    /// Records that the worker has rejected a request, with its load report if it sent one.
    pub fn attempt_rejected(&mut self, now: Duration, slot: &WorkerSlot, report: Option<LoadReport>) {
        let Some(worker) = self.workers.get_mut(&slot.worker) else { return };
        match report {
            Some(report) => {
                worker.record_load(now, report);
                if report.has_free_slots() {
                    worker.health.possible_failure(now);
                }
            }
            None => worker.assume_full(now),
        }
    }

    /// Records a failed attempt: the connection broke, the response was invalid, or the worker reported an error of its
    /// own.
    pub fn attempt_failed(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.attempt_failed(now);
        }
    }

    /// Records that an answer has not started within the usual limit. The answer may still arrive, so the worker is not
    /// ejected.
    pub fn answer_overdue(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.answer_overdue(now);
        }
    }

    /// Records that no answer arrived before the request's deadline.
    pub fn request_timed_out(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.possible_failure(now);
        }
    }

    /// Records that another worker now answers at this worker's address. It gets no requests until the feed gives a new
    /// address.
    pub fn worker_replaced(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.replaced = true;
        }
    }

    /// Releases the capacity that a request occupied at its worker.
    pub fn request_ended(&mut self, slot: &WorkerSlot) {
        let Some(worker) = self.workers.get_mut(&slot.worker) else { return };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        worker.prefill_tokens = worker.prefill_tokens.saturating_sub(slot.prompt_tokens);
        if !worker.listed && worker.in_flight == 0 {
            self.workers.remove(&slot.worker);
        }
    }

    /// Number of requests of this gatekeeper in flight at a worker.
    #[must_use]
    pub fn in_flight(&self, id: &str) -> u32 {
        self.workers.get(id).map_or(0, |worker| worker.in_flight)
    }
}
