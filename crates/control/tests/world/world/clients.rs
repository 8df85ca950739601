//! Actions of the simulated clients, and the responses to them.

use super::*;

impl World {
    pub(super) fn is_answer_lost(&mut self) -> bool {
        self.random.u8(0..100) < self.faults.lost_answers_percent
    }

    pub(super) fn answer_operator(&mut self, number: usize, history_index: usize, answer: OperatorAnswer) {
        // An operator that has timed out no longer receives the response.
        let pending = self.operators[number].pending;
        if pending.is_none_or(|(waited, _)| waited != history_index) || self.is_answer_lost() {
            return;
        }
        self.history[history_index].answer = Some((self.now, answer));
        self.operators[number].pending = None;
        self.operators[number].next_request_at = self.now + self.random.u64(5..120);
        if let (OperatorAnswer::Accepted, crate::callers::OperatorRequest::Put { generation, .. }) =
            (answer, &self.history[history_index].call)
        {
            self.acknowledged.entry(*generation).or_insert(self.now);
        }
        self.operators[number].handle_answer(answer);
    }

    pub(super) fn step_operators(&mut self) {
        for number in 0..self.operators.len() {
            let now = self.now;
            if let Some((_, until)) = self.operators[number].pending
                && now >= until
            {
                self.operators[number].pending = None;
                self.operators[number].next_request_at = now + self.random.u64(20..200);
            }
            if self.are_operators_paused
                || self.operators[number].pending.is_some()
                || now < self.operators[number].next_request_at
            {
                continue;
            }
            let request = self.operators[number].next_request(&mut self.random, &mut self.next_body);
            let history_index = self.history.len();
            self.history.push(Operation { called_at: now, answer: None, call: request.clone() });
            self.operators[number].pending = Some((history_index, now + CALLER_TIMEOUT_MS));
            let kind = match request.command() {
                Some(command) => OperationKind::Propose { group: Shard(0), command },
                None => OperationKind::Read,
            };
            let slot = self.any_slot();
            self.begin_operation(slot, kind, Caller::Operator { number, history_index });
        }
    }

    /// Returns a random machine that is running or will restart.
    pub(super) fn any_slot(&mut self) -> usize {
        let known =
            |slot: &usize| self.nodes[*slot].process.is_some() || self.nodes[*slot].restarts_at.is_some();
        let slots: Vec<usize> = (0..self.nodes.len()).filter(known).collect();
        slots[self.random.usize(0..slots.len())]
    }

    pub(super) fn step_workers(&mut self) {
        for number in 0..self.workers.len() {
            let now = self.now;
            let worker = &mut self.workers[number];
            if worker.response_deadline.is_some_and(|until| now >= until) {
                worker.response_deadline = None;
            }
            if now >= worker.shuts_down_at && worker.stage == Stage::Ready {
                worker.stage = if worker.skips_draining { Stage::Removed } else { Stage::Draining };
                worker.next_request_at = now;
            }
            let is_done = worker.acknowledged.is_some_and(|(stage, _)| stage == Stage::Removed);
            if is_done || worker.response_deadline.is_some() || now < worker.next_request_at {
                continue;
            }
            worker.sequence += 1;
            worker.response_deadline = Some(now + CALLER_TIMEOUT_MS);
            worker.next_request_at = now + if worker.acknowledged.is_some() { 1200 } else { 150 };
            self.heartbeat(number);
        }
    }

    pub(super) fn heartbeat(&mut self, number: usize) {
        let slot = self.any_slot();
        let now = self.now;
        let Some(process) = &self.nodes[slot].process else { return };
        let (command, stage) = (self.workers[number].command(), self.workers[number].stage);
        if let SessionCommand::Put(worker) = &command {
            let sessions = process.shards.with_sessions(Shard(1), |sessions| sessions.is_redundant(worker));
            if sessions == Some(true) {
                let is_recent = process
                    .last_quorum_contact
                    .is_some_and(|at| now.saturating_sub(at) <= MAX_CONTACT_GAP_MS);
                if is_recent && self.nodes[slot].is_running(now) {
                    self.answer_worker(number, worker.sequence, stage);
                }
                return;
            }
        }
        let kind = OperationKind::Propose { group: Shard(1), command: encode(&command).to_vec() };
        let sequence = self.workers[number].sequence;
        self.begin_operation(slot, kind, Caller::Worker { number, sequence, stage });
    }

    pub(super) fn answer_worker(&mut self, number: usize, sequence: u64, stage: Stage) {
        // A worker that has sent another request since no longer receives the response.
        if self.workers[number].sequence != sequence || self.is_answer_lost() {
            return;
        }
        let worker = &mut self.workers[number];
        worker.response_deadline = None;
        if worker.acknowledged.is_none_or(|(known, _)| known != stage) {
            worker.acknowledged = Some((stage, self.now));
        }
        if stage == Stage::Draining && self.now > worker.shuts_down_at + 3_000 {
            worker.stage = Stage::Removed;
        }
    }

    pub(super) fn step_gatekeepers(&mut self) {
        for number in 0..self.subscribers.len() {
            let now = self.now;
            let subscriber = &mut self.subscribers[number];
            let slot = subscriber.slot % self.nodes.len();
            let node = &self.nodes[slot];
            if let Some(process) = node.process.as_ref().filter(|_| node.is_running(now)) {
                for group in 0..GROUP_COUNT {
                    let offset = subscriber.offsets.get(&Shard(group)).copied();
                    if let Some(update) = process.shards.update_since(Shard(group), offset) {
                        subscriber.apply(update);
                    }
                }
                if process.all_fresh(now) {
                    subscriber.fresh_at = now;
                    subscriber.last_fresh_or_switched_at = now;
                }
            }
            if now > subscriber.last_fresh_or_switched_at + FRESH_TIMEOUT_MS {
                let slot = self.any_slot();
                let subscriber = &mut self.subscribers[number];
                (subscriber.slot, subscriber.last_fresh_or_switched_at) = (slot, now);
            }
            if self.subscribers[number].fresh_at == now {
                self.check_fresh(number);
            }
        }
    }

    /// Checks that a fresh gatekeeper has applied everything acknowledged more than [`APPLY_DEADLINE_MS`] ago.
    pub(super) fn check_fresh(&self, number: usize) {
        let subscriber = &self.subscribers[number];
        let known_by = |at: u64| at + APPLY_DEADLINE_MS <= self.now;
        let due =
            self.acknowledged.iter().filter(|(_, at)| known_by(**at)).map(|(generation, _)| *generation);
        let newest = due.max().unwrap_or(0);
        assert!(subscriber.generation >= newest, "a fresh gatekeeper lacks generation {newest}");
        for worker in &self.workers {
            let Some((stage, at)) = worker.acknowledged else { continue };
            if stage != Stage::Ready && known_by(at) {
                assert!(
                    !subscriber.ready.contains(&worker.id),
                    "{} ms: gatekeeper fresh at machine {} still has {} as ready, acknowledged as draining or removed at {at} ms{}",
                    self.now,
                    subscriber.slot,
                    worker.id,
                    self.describe()
                );
            }
        }
    }
}
