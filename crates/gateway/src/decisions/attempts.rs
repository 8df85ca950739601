//! Attempts of a request, their retries and hedged requests, and the request's one final answer.

use super::{
    Gateway, MAX_SAVED_RETRIES, RATE_MEMORY, SPARE_CAPACITY, TimerPurpose, decay::add_decaying,
    window::window,
};
use crate::{
    interface::{Action, Effect, Group, JobId, Reason, Status},
    state::{Attempt, AttemptState, Customer, Job},
};

/// Share of the latency target after which a hedged attempt may be sent.
const HEDGE_LATENCY_SHARE: f64 = 0.4;
/// Retries or hedged attempts that each first attempt adds to the retry budget: too few to feed an overload.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.1;

impl Gateway {
    /// Sends a request's first attempt, or refuses the request if no server may take it.
    pub(super) fn send_first(&mut self, id: JobId) {
        self.state.retry_budget =
            (self.state.retry_budget + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED_RETRIES);
        if !self.send_attempt(&id) {
            self.finish(&id, self.settings.max_retry_after, Reason::NoServer);
        }
    }

    /// Sends one more attempt if the request's class, its deadline and a server's slow-start budget allow it;
    /// returns whether it was sent.
    pub(super) fn send_attempt(&mut self, id: &JobId) -> bool {
        let Some(mut job) = self.jobs.remove(id) else { return false };
        let class = &job.class;
        let useful_until =
            if class.late_value > 0.0 { f64::INFINITY } else { job.arrived + class.latency_target };
        let timeout =
            (useful_until - 2.0 * self.settings.min_event_interval).min(job.request.expires) - self.now;
        let attempts_left = !job.unrepeatable && job.attempts.len() < job.max_attempts;
        let server =
            if attempts_left && timeout > 0.0 && !job.finished { self.choose_server(&job) } else { None };
        if let Some(server) = &server {
            // Warming servers count by their present warmth: counted in full, more of them would lower the
            // rate per warm server, and with it the slow-start budget of each of them, again and again.
            let warmth = |at: &usize| self.warmth(&self.state.servers[&self.running_servers[*at]]);
            let warm_servers: f64 = self.subset.iter().map(warmth).sum();
            let host = self.state.servers.get_mut(server).expect("chosen from the list");
            host.inflight += 1.0;
            self.inflight += 1.0;
            let zone = self.state.zones.all.get_mut(&host.zone);
            zone.into_iter().for_each(|z| add_decaying(&mut z.attempts_sent, self.now, 1.0, RATE_MEMORY));
            host.slow_start.level -= job.request.units.max(1.0);
            if let Some(customer) = self.state.customers.get_mut(&job.request.customer) {
                customer.open_attempts += 1;
            }
            let units = job.request.units / warm_servers.max(1.0);
            add_decaying(&mut self.state.units_per_warm_server, self.now, units, RATE_MEMORY);
            let (to, paid_from, send_by) = (server.clone(), job.paid_from, self.deduplicated_until(&job));
            // A request that is not deduplicated for any time has no further attempt, so it may be sent late.
            let send_by = if send_by > self.now { send_by } else { f64::INFINITY };
            self.actions.push(Action::Send { job: id.clone(), server: to, timeout, send_by, paid_from });
            job.attempts.push(Attempt {
                server: server.clone(),
                sent: self.now,
                state: AttemptState::InFlight,
            });
            let delay = (HEDGE_LATENCY_SHARE * class.latency_target).max(3.0 * self.state.latency);
            if job.hedging_allowed && delay < timeout {
                self.set_timer(self.now + delay, TimerPurpose::Hedge(id.clone()));
            }
        }
        self.jobs.insert(id.clone(), job);
        server.is_some()
    }

    /// Records how an attempt ended and, if the request is still open with no attempt in flight, retries it
    /// or gives its final answer.
    pub(super) fn attempt_ended(
        &mut self,
        id: &JobId,
        attempt: u32,
        status: Status,
        over: bool,
        settled: Option<f64>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(ended) = job.attempts.get_mut(attempt as usize) else { return };
        if ended.state == AttemptState::InFlight {
            let unsent = matches!(status, Status::ConnectFailed | Status::NotSent);
            ended.state = if unsent || status == Status::Rejected {
                AttemptState::NotRun
            } else {
                AttemptState::MayHaveRun
            };
            job.unsent_units = if unsent { job.unsent_units } else { 0.0 };
            if let Some(customer) = self.state.customers.get_mut(&job.request.customer) {
                customer.open_attempts = customer.open_attempts.saturating_sub(1);
                if let Some(units) = settled {
                    customer.owed += units - job.request.units;
                }
            }
        }
        let (idle, streaming) = (job.in_flight() == 0, job.streaming);
        if over || job.finished {
            return self.close_request(id);
        }
        if streaming || !idle {
            return;
        }
        if self.state.retry_budget >= 1.0
            && status != Status::Timeout
            && self.has_capacity(1.0)
            && self.send_attempt(id)
        {
            self.state.retry_budget -= 1.0;
            return;
        }
        self.finish(id, self.state.latency, Reason::AttemptsFailed);
    }

    /// Sends a hedged attempt if the request still waits for one attempt and there is spare capacity.
    pub(super) fn send_hedge(&mut self, id: &JobId) {
        let waits = self.jobs.get(id).is_some_and(|j| !j.finished && !j.streaming && j.in_flight() == 1);
        if waits
            && self.state.retry_budget >= 1.0
            && self.has_capacity(SPARE_CAPACITY)
            && self.send_attempt(id)
        {
            self.state.retry_budget -= 1.0;
        }
    }

    /// Gives the one final answer: a refusal if a client's retry is known to do no harm, else a failure.
    pub(super) fn finish(&mut self, id: &JobId, retry_after: f64, reason: Reason) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.finished) else { return };
        let never_ran = job.attempts.iter().all(|a| a.state == AttemptState::NotRun);
        if never_ran
            || matches!(job.class.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. })
        {
            let max_retry_after = if self.settings.retry_after { self.settings.max_retry_after } else { 0.0 };
            let retry_after = retry_after.max(0.0).min(max_retry_after);
            self.actions.push(Action::Refuse { job: id.clone(), retry_after, reason });
        } else {
            self.actions.push(Action::Fail { job: id.clone() });
        }
        self.close_request(id);
    }

    /// Marks a request as finished and drops it once no attempt is in flight. Units that were taken for it
    /// and never sent go back to the customer's lease if the window that granted them still runs.
    pub(super) fn close_request(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.finished = true;
        let done = if job.in_flight() == 0 { self.jobs.remove(id) } else { None };
        let Some(Job { request, unsent_units, arrived, .. }) = done.filter(|j| j.unsent_units > 0.0) else {
            return;
        };
        let customer = self.state.customers.get_mut(&request.customer);
        let same_window = |c: &&mut Customer| {
            c.window == window(&self.settings.plans[c.plan], &request.customer, arrived).0
        };
        customer.filter(same_window).into_iter().for_each(|c| c.lease += unsent_units);
    }
}
