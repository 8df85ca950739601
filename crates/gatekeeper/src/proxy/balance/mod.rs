//! Chooses the worker for a request, from what the feed, answers and failures have shown.
//!
//! A worker of a language-model service is scored by the prompt tokens that stand before the request's first token
//! there: what of its own prompt is not cached, and the prompts of others that are still being read. Rendezvous hashing
//! gives prompts homes that every gatekeeper finds again, also after a restart: with few gatekeepers a subject has one, so
//! that its shared segment is not read everywhere; with many each session has one, as what is popular is kept everywhere. A
//! worker of any other service is scored by how full it is.

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

/// Names one incarnation of a worker.
pub type WorkerId = Arc<str>;

/// Longest queue at a worker for the most urgent requests, as a share of its slots.
const QUEUE_SHARE: f64 = 1.0;
/// The same at language models, whose requests take their slots for longer.
const MODEL_QUEUE_SHARE: f64 = 0.5;
/// The segment of that share by which each lower priority shortens the queue.
const QUEUE_SHARE_STEP: f64 = 0.25;
/// Priorities from here on are treated alike.
const MAX_RANK: u32 = 4;

/// Share of its slots from which on a worker counts as busy, and may take longer than usual.
const BUSY_SHARE: f64 = 0.25;

/// Tells whether a free connection to a worker is kept.
pub type HasIdleConnection<'a> = &'a dyn Fn(&WorkerId) -> bool;

/// What the choice of a worker goes by.
#[derive(Clone, Default)]
pub struct SelectionCriteria<'a> {
    /// The segments of the prompt, in order.
    pub prompt_segments: &'a [PromptSegment],
    /// Workers at which this request was attempted before.
    pub attempted: &'a [WorkerId],
    /// The worker that answered the turn before this one, as another gatekeeper may have had it.
    pub previous_worker: Option<&'a str>,
    /// The route's rank: 0 is the most urgent.
    pub priority: u32,
    /// The request continues a program that has begun: it ranks one priority higher.
    pub continues_program: bool,
    /// The request may run more than once.
    pub idempotent: bool,
    /// Where free connections are kept; `None`: this is not known.
    pub has_idle_connection: Option<HasIdleConnection<'a>>,
}

/// Why there is no worker for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoWorker {
    /// None is known, or the request was attempted at each.
    Absent,
    /// All that might serve are full.
    Full,
}

/// A worker that was chosen, and where it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectedWorker {
    /// Its id.
    pub id: WorkerId,
    /// Its address.
    pub address: Rc<str>,
}

/// What a request occupies at a worker until it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerSlot {
    worker: WorkerId,
    prompt_tokens: u32,
    /// When the request was sent; `None` once it is known how long the answer took to begin.
    sent_at: Option<Duration>,
}

impl WorkerSlot {
    /// The worker.
    #[must_use]
    pub fn worker(&self) -> &str {
        &self.worker
    }
}

/// Chooses among the workers of one service, and learns from what happens at them.
#[derive(Debug)]
pub struct Balancer {
    workers: WorkerSet,
    /// Tokens that a worker's KV cache holds; 0: the service runs no language model.
    kv_cache_tokens: u32,
    /// How long answers take to begin.
    answer_time: AnswerTime,
    /// How often subjects were requested.
    popularity: Popularity,
}

impl Balancer {
    /// For a gatekeeper in `zone`, which `gatekeeper` tells from others.
    #[must_use]
    pub fn new(zone: &str, gatekeeper: u64) -> Self {
        Self {
            workers: WorkerSet::new(zone, gatekeeper),
            kv_cache_tokens: 0,
            answer_time: AnswerTime::default(),
            popularity: Popularity::default(),
        }
    }

    /// So many gatekeepers share the service.
    pub fn set_gatekeepers(&mut self, gatekeepers: u32) {
        self.workers.set_gatekeepers(gatekeepers);
    }

    /// Tokens that a worker's KV cache holds; 0 for a service without a language model.
    pub fn set_kv_cache_tokens(&mut self, tokens: u32) {
        self.kv_cache_tokens = tokens;
    }

    /// The feed's list of the service's workers; those that it does not name are gone.
    pub fn set_workers<'a>(&mut self, now: Duration, workers: impl Iterator<Item = &'a feed::Worker>) {
        self.workers.set_listed(now, workers);
    }

    /// Whether the service has a worker that takes requests.
    #[must_use]
    pub fn has_ready_worker(&self) -> bool {
        self.workers.iter().any(|(_, worker)| worker.is_ready())
    }

    /// Other gatekeepers report failures of these workers, of whatever service. Where these are more than a third of
    /// this service's, the fault is hardly theirs: then only what was seen here counts.
    pub fn set_suspects(&mut self, now: Duration, suspects: &[String]) {
        self.workers.set_suspects(now, suspects);
    }

    /// Takes the failures that have not been reported to control.
    pub fn take_failures(&mut self) -> Vec<feed::WorkerFailures> {
        self.workers.take_failures()
    }

    /// The ids of all workers.
    pub fn worker_ids(&self) -> impl Iterator<Item = &WorkerId> {
        self.workers.iter().map(|(id, _)| id)
    }

    /// Whether a worker still takes requests.
    #[must_use]
    pub fn is_ready(&self, id: &str) -> bool {
        self.workers.get(id).is_some_and(WorkerEntry::is_ready)
    }

    /// Chooses a worker.
    ///
    /// # Errors
    /// Where none can serve.
    pub fn select_worker(
        &self,
        now: Duration,
        choice: &SelectionCriteria<'_>,
    ) -> Result<SelectedWorker, NoWorker> {
        let candidates = self.candidates(now, choice);
        if candidates.is_empty() {
            return Err(NoWorker::Absent);
        }
        let context = self.scoring_context(now, &candidates, choice);
        let mut best: Option<(f64, &WorkerId, &WorkerEntry)> = None;
        let mut rejected = false;
        for (id, worker) in &candidates {
            if self.is_full(now, worker, choice) {
                rejected = true;
                continue;
            }
            let score = self.full_score(now, (id, worker), choice, &context);
            if best.as_ref().is_none_or(|(least, ..)| score < *least) {
                best = Some((score, *id, *worker));
            }
        }
        match best {
            Some((_, id, worker)) => Ok(SelectedWorker { id: id.clone(), address: worker.address.clone() }),
            None if rejected => Err(NoWorker::Full),
            None => Err(NoWorker::Absent),
        }
    }

    /// Ready workers at which the request was not attempted, without ejected ones unless too many are.
    fn candidates(&self, now: Duration, choice: &SelectionCriteria<'_>) -> Vec<(&WorkerId, &WorkerEntry)> {
        let ready =
            || self.workers.iter().filter(|(id, worker)| worker.is_ready() && !choice.attempted.contains(id));
        let healthy: Vec<_> =
            ready().filter(|(_, worker)| worker.health.may_attempt(now, choice.idempotent)).collect();
        // At most half may be ejected: with more the fault is hardly theirs.
        if healthy.len() * 2 >= ready().count() { healthy } else { ready().collect() }
    }

    /// Whether a worker's queue is too long for a request of this rank.
    fn is_full(&self, now: Duration, worker: &WorkerEntry, choice: &SelectionCriteria<'_>) -> bool {
        let continues_program =
            choice.continues_program || worker.prefixes.has_last_segment(choice.prompt_segments);
        let rank = choice.priority.min(MAX_RANK).saturating_sub(u32::from(continues_program));
        let share = if self.kv_cache_tokens > 0 { MODEL_QUEUE_SHARE } else { QUEUE_SHARE };
        let share = share * (1.0 - QUEUE_SHARE_STEP * f64::from(rank));
        let most = f64::from(worker.capacity) * (1.0 + share);
        worker.load(now).total() >= most.max(1.0)
    }

    // ---- What happens at a worker ----

    /// A request is on its way to a worker.
    pub fn request_sent(&mut self, now: Duration, id: &WorkerId, segments: &[PromptSegment]) -> WorkerSlot {
        let memory = self.kv_cache_tokens;
        if let Some(subject) = segments.first().filter(|_| self.workers.has_subset) {
            self.popularity.record(now, subject.id);
        }
        let mut prompt_tokens = 0;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.in_flight += 1;
            worker.health.attempt_started(now);
            if memory > 0 {
                let all: u32 = segments.iter().map(|segment| segment.tokens).sum();
                prompt_tokens = all.saturating_sub(worker.prefixes.cached_tokens(segments));
                worker.prefixes.insert(segments, memory);
                worker.prefill_tokens += prompt_tokens;
            }
        }
        WorkerSlot { worker: id.clone(), prompt_tokens, sent_at: Some(now) }
    }

    /// The worker has begun to answer: the prompt has been read.
    pub fn answer_started(&mut self, now: Duration, slot: &mut WorkerSlot, report: Option<LoadReport>) {
        self.record_answer_time(now, slot);
        let Some(worker) = self.workers.get_mut(&slot.worker) else { return };
        worker.prefill_tokens = worker.prefill_tokens.saturating_sub(slot.prompt_tokens);
        slot.prompt_tokens = 0;
        if let Some(report) = report {
            worker.reported(now, report);
        }
    }

    /// Records how long an answer took to begin, or had not begun when it timed out.
    pub fn record_answer_time(&mut self, now: Duration, slot: &mut WorkerSlot) {
        if let Some(sent_at) = slot.sent_at.take() {
            self.answer_time.add(now.saturating_sub(sent_at));
        }
    }

    /// How long an answer of this worker may take to begin, going by what was usual recently; `None`: nothing is known,
    /// or the worker is busy.
    #[must_use]
    pub fn answer_start_limit(&self, now: Duration, id: &str) -> Option<Duration> {
        let worker = self.workers.get(id)?;
        let busy = worker.load(now).total() >= f64::from(worker.capacity) * BUSY_SHARE;
        if busy { None } else { self.answer_time.usual_limit() }
    }

    /// The worker has done what it was asked to, so far.
    pub fn attempt_succeeded(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.answered(now);
        }
    }

    /// The worker rejected the request, and perhaps reported its load.
    pub fn attempt_rejected(&mut self, now: Duration, slot: &WorkerSlot, report: Option<LoadReport>) {
        let Some(worker) = self.workers.get_mut(&slot.worker) else { return };
        match report {
            Some(report) => {
                worker.reported(now, report);
                if report.has_free_slots() {
                    worker.health.suspected_failure(now);
                }
            }
            None => worker.seems_full(now),
        }
    }

    /// The connection failed, what came on it was no answer, or it was the worker's own failure.
    pub fn attempt_failed(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.failed(now);
        }
    }

    /// An answer has not begun after the longest time that is usual. It may still come, so this ejects nobody.
    pub fn answer_overdue(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.overdue(now);
        }
    }

    /// Nothing came before the request's deadline.
    pub fn request_timed_out(&mut self, now: Duration, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.health.suspected_failure(now);
        }
    }

    /// Another worker is at that address now: this one gets nothing more until the feed names another address.
    pub fn worker_replaced(&mut self, id: &str) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.replaced = true;
        }
    }

    /// The request has ended there.
    pub fn request_ended(&mut self, slot: &WorkerSlot) {
        let Some(worker) = self.workers.get_mut(&slot.worker) else { return };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        worker.prefill_tokens = worker.prefill_tokens.saturating_sub(slot.prompt_tokens);
        if !worker.listed && worker.in_flight == 0 {
            self.workers.remove(&slot.worker);
        }
    }

    /// Requests of this gatekeeper at a worker.
    #[must_use]
    pub fn in_flight(&self, id: &str) -> u32 {
        self.workers.get(id).map_or(0, |worker| worker.in_flight)
    }
}
