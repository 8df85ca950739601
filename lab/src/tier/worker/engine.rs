//! A model worker's engine, sans I/O: batches, token memory, cached parts of prompts, preemption.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// What an engine can do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub capacity: usize,
    /// Requests that wait for a place.
    pub queue: usize,
    /// Tokens of memory.
    pub kv_capacity: u64,
    /// Tokens in each event.
    pub chunk_tokens: u64,
    /// What a step takes.
    pub step: Duration,
    /// What each running request adds to a step.
    pub step_per_running: Duration,
    /// Prompt tokens read in a step, over all requests.
    pub prefill_per_step: u64,
}

/// What a request asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The parts of the prompt and their tokens, in order.
    pub parts: Vec<(String, u64)>,
    /// Tokens that it will emit.
    pub output_tokens: u64,
    /// 0 is the most urgent.
    pub priority: u8,
}

impl Prompt {
    fn tokens(&self) -> u64 {
        self.parts.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// The engine can't take another request, or not one of this size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// How full an engine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineLoad {
    pub running: usize,
    pub waiting: usize,
    /// Tokens of memory that can't give way.
    pub kv_used: u64,
}

#[derive(Debug)]
struct Job {
    ticket: u64,
    prompt: Prompt,
    generated: u64,
    /// Prompt tokens still to be read.
    prefill_left: u64,
}

#[derive(Debug)]
struct CachedPart {
    tokens: u64,
    /// The step in which it was used last.
    last_used_step: u64,
}

/// An engine's state.
#[derive(Debug)]
pub struct Engine {
    spec: EngineSpec,
    /// In the order in which they came.
    waiting: Vec<Job>,
    /// In the order in which they were admitted.
    running: Vec<Job>,
    cached: BTreeMap<String, CachedPart>,
    steps: u64,
    next_ticket: u64,
    /// Prompt tokens read so far.
    pub prefilled: u64,
    /// Requests put back in the middle of their work.
    pub preempted: u64,
}

impl Engine {
    /// An empty engine.
    #[must_use]
    pub fn new(spec: EngineSpec) -> Self {
        let (waiting, running, cached) = (Vec::new(), Vec::new(), BTreeMap::new());
        let (steps, next_ticket, prefilled, preempted) = (0, 1, 0, 0);
        Self { spec, waiting, running, cached, steps, next_ticket, prefilled, preempted }
    }

    /// Takes a request; its ticket names it from now on.
    ///
    /// # Errors
    /// There is no place, or the request is larger than the memory.
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

    /// Drops a request.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.retain(|j| j.ticket != ticket);
        self.running.retain(|j| j.ticket != ticket);
    }

    /// Whether nothing is to be done.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// How long the next step takes.
    #[must_use]
    pub fn step_time(&self) -> Duration {
        self.spec.step + self.spec.step_per_running * self.running.len() as u32
    }

    /// How full it is.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        let kv_used = self.tokens_in_use();
        EngineLoad { running: self.running.len(), waiting: self.waiting.len(), kv_used }
    }

    /// One step: admits, reads a piece of prompts, and emits one token of each request that has been read. Returns the
    /// tickets that emitted a token, and whether that was their last.
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

    /// Puts the newest of the least urgent running requests back, if it is less urgent than this.
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

    /// Emits a token of a request; `None`: it had to give way.
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

    /// Tokens that a request adds to what is pinned.
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

    /// Drops cached parts, the least recently used first, until so many tokens fit beside what is pinned.
    fn free_tokens(&mut self, tokens: u64) -> bool {
        let tokens_in_use = self.tokens_in_use();
        if tokens_in_use + tokens > self.spec.kv_capacity {
            return false;
        }
        loop {
            let in_use = self.parts_in_use();
            let free: Vec<(&String, &CachedPart)> =
                self.cached.iter().filter(|(id, _)| !in_use.contains(id.as_str())).collect();
            let kept: u64 = free.iter().map(|(_, p)| p.tokens).sum();
            if tokens_in_use + kept + tokens <= self.spec.kv_capacity {
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
