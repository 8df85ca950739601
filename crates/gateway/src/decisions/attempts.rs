//! Attempts of a request, their retries and hedges, and its one final answer.

use super::{
    Due, Gateway, MAX_SAVED_RETRIES, RATE_MEMORY, SPARE_CAPACITY, decay::add_decaying, window::window,
};
use crate::{
    interface::{Action, Effect, Group, JobId, Reason, Status},
    state::{Attempt, Customer, Job, Ran},
};

/// Share of the aim after which a second copy may go out.
const HEDGE_LATENCY_SHARE: f64 = 0.4;
/// Further attempts that each first send allows: too few to feed an overload.
const RETRIES_PER_SEND: f64 = 0.1;

impl Gateway {
    pub(super) fn send_first(&mut self, id: JobId) {
        self.state.further = (self.state.further + RETRIES_PER_SEND).min(MAX_SAVED_RETRIES);
        if !self.send_attempt(&id) {
            self.finish(&id, self.settings.max_retry_after, Reason::NoServer);
        }
    }

    /// Begins an attempt where the rules and a server's bound allow one.
    pub(super) fn send_attempt(&mut self, id: &JobId) -> bool {
        let Some(mut job) = self.jobs.remove(id) else { return false };
        let class = &job.class;
        let useful = if class.late_value > 0.0 { f64::INFINITY } else { job.arrived + class.latency_target };
        let timeout = (useful - 2.0 * self.settings.min_event_interval).min(job.request.expires) - self.now;
        let tries = !job.once && job.attempts.len() < job.max_attempts;
        let server = if tries && timeout > 0.0 && !job.over { self.choose_server(&job) } else { None };
        if let Some(server) = &server {
            // Cold ones count by their warmth at that time: else the more of them there are, the less each
            // is given, and with that the less again.
            let warmth = |at: &usize| self.warmth(&self.state.servers[&self.names[*at]]);
            let fleet: f64 = self.own.iter().map(warmth).sum();
            let host = self.state.servers.get_mut(server).expect("chosen from the list");
            host.inflight += 1.0;
            self.inflight += 1.0;
            let zone = self.state.zones.all.get_mut(&host.zone);
            zone.into_iter().for_each(|z| add_decaying(&mut z.sent, self.now, 1.0, RATE_MEMORY));
            host.cold.level -= job.request.units.max(1.0);
            if let Some(customer) = self.state.customers.get_mut(&job.request.customer) {
                customer.open += 1;
            }
            let units = job.request.units / fleet.max(1.0);
            add_decaying(&mut self.state.warm_units, self.now, units, RATE_MEMORY);
            let (to, paid_from, send_by) = (server.clone(), job.paid, self.repeats_until(&job));
            let send_by = if send_by > self.now { send_by } else { f64::INFINITY }; // No repeat may follow.
            self.out.push(Action::Send { job: id.clone(), server: to, timeout, send_by, paid_from });
            job.attempts.push(Attempt { server: server.clone(), sent: self.now, ran: Ran::Out });
            let delay = (HEDGE_LATENCY_SHARE * class.latency_target).max(3.0 * self.state.latency);
            if job.hedging_allowed && delay < timeout {
                self.set_timer(self.now + delay, Due::Hedge(id.clone()));
            }
        }
        self.jobs.insert(id.clone(), job);
        server.is_some()
    }

    pub(super) fn attempt_ended(
        &mut self,
        id: &JobId,
        attempt: u32,
        status: Status,
        over: bool,
        settled: Option<f64>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Some(tried) = job.attempts.get_mut(attempt as usize) else { return };
        if tried.ran == Ran::Out {
            let unsent = matches!(status, Status::ConnectFailed | Status::NotSent);
            tried.ran = if unsent || status == Status::Rejected { Ran::Never } else { Ran::Maybe };
            job.drawn = if unsent { job.drawn } else { 0.0 };
            if let Some(customer) = self.state.customers.get_mut(&job.request.customer) {
                customer.open = customer.open.saturating_sub(1);
                if let Some(units) = settled {
                    customer.owed += units - job.request.units;
                }
            }
        }
        let (idle, streaming) = (job.out() == 0, job.streaming);
        if over || job.over {
            return self.forget(id);
        }
        if streaming || !idle {
            return;
        }
        if self.state.further >= 1.0
            && status != Status::Timeout
            && self.has_capacity(1.0)
            && self.send_attempt(id)
        {
            self.state.further -= 1.0;
            return;
        }
        self.finish(id, self.state.latency, Reason::AttemptsFailed);
    }

    pub(super) fn send_hedge(&mut self, id: &JobId) {
        let waits = self.jobs.get(id).is_some_and(|j| !j.over && !j.streaming && j.out() == 1);
        if waits && self.state.further >= 1.0 && self.has_capacity(SPARE_CAPACITY) && self.send_attempt(id) {
            self.state.further -= 1.0;
        }
    }

    /// Gives the one final answer, refusing where a retry is known to do no harm.
    pub(super) fn finish(&mut self, id: &JobId, retry_after: f64, why: Reason) {
        let Some(job) = self.jobs.get(id).filter(|j| !j.over) else { return };
        let clean = job.attempts.iter().all(|a| a.ran == Ran::Never);
        if clean
            || matches!(job.class.effect, Effect::Idempotent | Effect::Deduplicated { group: Group::All, .. })
        {
            let most = if self.settings.retry_after { self.settings.max_retry_after } else { 0.0 };
            let retry_after = retry_after.max(0.0).min(most);
            self.out.push(Action::Refuse { job: id.clone(), retry_after, reason: why });
        } else {
            self.out.push(Action::Fail { job: id.clone() });
        }
        self.forget(id);
    }

    /// The request is over; it is kept only while attempts are out. What was drawn for it and never sent is
    /// there for the next, in the window that it was granted in.
    pub(super) fn forget(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.over = true;
        let done = if job.out() == 0 { self.jobs.remove(id) } else { None };
        let Some(Job { request, drawn, arrived, .. }) = done.filter(|j| j.drawn > 0.0) else { return };
        let customer = self.state.customers.get_mut(&request.customer);
        let granted = |c: &&mut Customer| {
            c.window == window(&self.settings.plans[c.plan], &request.customer, arrived).0
        };
        customer.filter(granted).into_iter().for_each(|c| c.lease += drawn);
    }
}
