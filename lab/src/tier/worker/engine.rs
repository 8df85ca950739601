//! Simulated inference engine of a model worker, without I/O: batching, KV cache, cached prompt parts, preemption.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Limits and speed of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Maximum number of running requests.
    pub capacity: usize,
    /// Maximum number of waiting requests.
    pub queue: usize,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: u64,
    /// Tokens per stream event.
    pub chunk_tokens: u64,
    /// Base duration of a step.
    pub step: Duration,
    /// Additional duration of a step for each running request.
    pub step_per_running: Duration,
    /// Prompt tokens that are prefilled per step, over all requests.
    pub prefill_per_step: u64,
}

/// A request to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Ids and lengths in tokens of the prompt's parts, in order.
    pub parts: Vec<(String, u64)>,
    /// Tokens that the request will emit.
    pub output_tokens: u64,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
}

impl Prompt {
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// The engine has no free slot, or the request exceeds its KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    pub running: usize,
    pub waiting: usize,
    /// Tokens in the KV cache that belong to running requests and can't be evicted.
    pub kv_used: u64,
}

#[derive(Debug)]
struct Job {
    ticket: u64,
    prompt: Prompt,
    generated: u64,
    /// Prompt tokens that are not yet prefilled.
    prefill_left: u64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u64,
    /// Number of the step in which the part was last used.
    last_used_step: u64,
}

/// State of an engine.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    /// Waiting requests; preempted ones are appended.
    waiting: Vec<Job>,
    /// Running requests in the order in which they were started.
    running: Vec<Job>,
    cached: BTreeMap<String, CachedPart>,
    steps: u64,
    next_ticket: u64,
    /// Prompt tokens prefilled so far.
    pub prefilled: u64,
    /// Number of preemptions of running requests so far.
    pub preempted: u64,
}

impl Engine {
    /// Creates an engine without requests.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        let (waiting, running, cached) = (Vec::new(), Vec::new(), BTreeMap::new());
        let (steps, next_ticket, prefilled, preempted) = (0, 1, 0, 0);
        Self { spec, waiting, running, cached, steps, next_ticket, prefilled, preempted }
    }

    /// Queues a request and returns its ticket.
    ///
    /// # Errors
    /// There is no free slot, or the request exceeds the KV cache.
    pub fn admit(&mut self, prompt: Prompt) -> Result<u64, Full> {
        let slots = self.spec.capacity + self.spec.queue;
        if self.running.len() + self.waiting.len() >= slots
            || prompt.tokens() + prompt.output_tokens > self.spec.kv_capacity
        {
            return Err(Full);
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push(Job { ticket, prompt, generated: 0, prefill_left: 0 });
        Ok(ticket)
    }

    /// Removes a request.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.retain(|j| j.ticket != ticket);
        self.running.retain(|j| j.ticket != ticket);
    }

    /// Whether no request is waiting or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the duration of the next step.
    #[must_use]
    pub fn step_time(&self) -> Duration {
        self.spec.step + self.spec.step_per_running * self.running.len() as u32
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        let kv_used = self.tokens_in_use();
        EngineLoad { running: self.running.len(), waiting: self.waiting.len(), kv_used }
    }

    /// Runs one step: starts waiting requests, prefills prompts up to the step's limit, and emits one token of each request
    /// whose prompt was prefilled before. Returns the tickets that emitted a token, and whether it was their last.
    pub fn step(&mut self) -> Vec<(u64, bool)> {
        self.steps += 1;
        self.admit_waiting();
        let read: BTreeSet<u64> =
            self.running.iter().filter(|j| j.prefill_left == 0).map(|j| j.ticket).collect();
        self.prefill();
        let mut emitted = Vec::new();
        for ticket in read {
            if let Some(last) = self.emit(ticket) {
                emitted.push((ticket, last));
            }
        }
        emitted
    }

    fn admit_waiting(&mut self) {
        while let Some(at) = self.most_urgent_waiting() {
            let priority = self.waiting[at].prompt.priority;
            let new = self.new_tokens(&self.waiting[at]);
            if self.running.len() < self.spec.capacity && self.free_tokens(new) {
                let job = self.waiting.remove(at);
                self.start(job);
            } else if !self.preempt_below(priority) {
                return;
            }
        }
    }

    fn most_urgent_waiting(&self) -> Option<usize> {
        let slots = self.waiting.iter().enumerate();
        slots.min_by_key(|(_, job)| (job.prompt.priority, job.ticket)).map(|(at, _)| at)
    }

    /// Preempts the newest of the least urgent running requests if it is less urgent than `priority`. Returns whether one
    /// was preempted.
    fn preempt_below(&mut self, priority: u8) -> bool {
        let less = self.running.iter().filter(|j| j.prompt.priority > priority);
        let Some(ticket) = less.max_by_key(|j| (j.prompt.priority, j.ticket)).map(|j| j.ticket) else {
            return false;
        };
        self.preempt(ticket);
        true
    }

    fn preempt(&mut self, ticket: u64) {
        let Some(at) = self.running.iter().position(|j| j.ticket == ticket) else { return };
        let job = self.running.remove(at);
        self.waiting.push(job);
        self.preempted += 1;
    }

    fn start(&mut self, mut job: Job) {
        job.prefill_left = job.generated;
        let mut all_before = true;
        for (id, tokens) in &job.prompt.parts {
            match self.cached.get_mut(id) {
                Some(part) if all_before => part.last_used_step = self.steps,
                _ => {
                    all_before = false;
                    job.prefill_left += tokens;
                }
            }
        }
        self.running.push(job);
    }

    fn prefill(&mut self) {
        let mut budget = self.spec.prefill_per_step;
        let mut read = Vec::new();
        for job in &mut self.running {
            if job.prefill_left == 0 {
                continue;
            }
            let chunk = job.prefill_left.min(budget);
            job.prefill_left -= chunk;
            budget -= chunk;
            self.prefilled += chunk;
            if job.prefill_left == 0 {
                read.extend(job.prompt.parts.iter().cloned());
            }
        }
        for (id, tokens) in read {
            self.cached.insert(id, CachedPart { tokens, last_used_step: self.steps });
        }
    }

    /// Emits a token of a request and returns whether it was the last; `None`: the request was preempted.
    fn emit(&mut self, ticket: u64) -> Option<bool> {
        while !self.free_tokens(1) {
            let lowest_priority = self.running.iter().max_by_key(|j| (j.prompt.priority, j.ticket))?.ticket;
            self.preempt(lowest_priority);
            if lowest_priority == ticket {
                return None;
            }
        }
        let at = self.running.iter().position(|j| j.ticket == ticket)?;
        let job = &mut self.running[at];
        job.generated += 1;
        let last = job.generated >= job.prompt.output_tokens;
        if last {
            self.running.remove(at);
        }
        Some(last)
    }

    /// Returns the tokens that a request would add to those in use.
    fn new_tokens(&self, job: &Job) -> u64 {
        let in_use = self.parts_in_use();
        let new = job.prompt.parts.iter().filter(|(id, _)| !in_use.contains(id.as_str()));
        new.map(|(_, tokens)| tokens).sum::<u64>() + job.generated
    }

    fn parts_in_use(&self) -> BTreeSet<&str> {
        self.running.iter().flat_map(|j| &j.prompt.parts).map(|(id, _)| id.as_str()).collect()
    }

    fn tokens_in_use(&self) -> u64 {
        let mut parts = BTreeMap::new();
        for (id, tokens) in self.running.iter().flat_map(|j| &j.prompt.parts) {
            parts.insert(id.as_str(), *tokens);
        }
        parts.values().sum::<u64>() + self.running.iter().map(|j| j.generated).sum::<u64>()
    }

    /// Evicts unused cached parts, least recently used first, until `tokens` more fit. Returns whether they fit.
    fn free_tokens(&mut self, tokens: u64) -> bool {
        let tokens_in_use = self.tokens_in_use();
        if tokens_in_use + tokens > self.spec.kv_capacity {
            return false;
        }
        loop {
            let in_use = self.parts_in_use();
            let free: Vec<(&String, &CachedPart)> =
                self.cached.iter().filter(|(id, _)| !in_use.contains(id.as_str())).collect();
            let unused_tokens: u64 = free.iter().map(|(_, p)| p.tokens).sum();
            if tokens_in_use + unused_tokens + tokens <= self.spec.kv_capacity {
                return true;
            }
            let Some(oldest) = free.iter().min_by_key(|(_, p)| p.last_used_step).map(|(id, _)| (*id).clone())
            else {
                return true;
            };
            self.cached.remove(&oldest);
        }
    }
}

#[cfg(test)]
#[path = "engine_tests.rs"]
mod tests;
