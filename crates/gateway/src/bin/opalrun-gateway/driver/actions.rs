//! Executes the actions that the decisions return.

use super::{
    Driver,
    open_request::{Answer, Attempt, Spending},
    requests::AttemptCaller,
    timer_queue::Due,
};
use crate::workers::{AttemptLimits, Trace};
use opalrun_gateway::{Action, Event, JobId, Load, ServerId, Status, Time};
use std::{rc::Rc, time::Duration};
use tracing::{Level, debug, enabled, info, warn};

impl Driver {
    pub(super) fn execute(self: &Rc<Self>, now: Time, action: Action) {
        match action {
            Action::Send { job, server, timeout, send_by, paid_from } => {
                self.log_request(&job, "sent", Some(&server), paid_from.text());
                self.report_spending(&job);
                self.send_attempt(now, job, server, timeout, send_by);
            }
            Action::Refuse { job, retry_after, reason } => {
                self.log_request(&job, "refused", None, reason.text());
                self.answer(&job, Answer::Rejected(retry_after));
            }
            Action::Fail { job } => self.answer(&job, Answer::Failed),
            Action::Cancel { job, attempt } => self.stop_attempt(&job, attempt, Status::Cancelled),
            Action::Timer { token, at } => self.set_timer(at, Due::Decision(token)),
            Action::Probe { server } => self.probe(server),
            Action::Count { counter, amount, ttl } => match &self.counter {
                Some(client) => {
                    let number = client.call(self, counter, amount, ttl);
                    let limit = self.options.borrow().settings.counter_timeout;
                    self.set_timer(now + limit, Due::CounterCall(number));
                }
                None => {
                    let status = Status::ConnectFailed;
                    self.events.borrow_mut().push_back(Event::CounterAnswered {
                        counter,
                        status,
                        total: 0.0,
                        elapsed: 0.0,
                    });
                }
            },
            Action::Log(text) => info!("{text}"),
            // The program follows discovery's list all the time, without being asked to.
            Action::Subscribe => {}
            other => warn!("ignored unknown action of the decisions: {other:?}"),
        }
    }

    /// Logs one step of a request at level debug, under the client's transaction id. Returns at once when that level is off.
    pub(super) fn log_request(&self, job: &JobId, what: &str, worker: Option<&ServerId>, why: &str) {
        if !enabled!(Level::DEBUG) {
            return;
        }
        if let Some(open) = self.open_requests.borrow().get(job) {
            let txn = open.forward.txn.to_str().unwrap_or_default();
            let options = self.options.borrow();
            let plan = options.plans.get(open.plan).map_or("", String::as_str);
            debug!(txn, plan, again = open.repeat, worker = worker.map(|w| &**w), why, "{what}");
        }
    }

    /// Reports a request's units to the fleet and the journal when its first attempt is sent; later attempts report nothing.
    fn report_spending(&self, job: &JobId) {
        let spending =
            self.open_requests.borrow_mut().get_mut(job).and_then(|open| open.unreported_spending.take());
        let Some(Spending { customer, plan, units }) = spending else { return };
        self.fleet.borrow().iter().for_each(|fleet| fleet.record_spending(&customer, plan, units));
        self.recovery.borrow().iter().for_each(|recovery| recovery.record_send(&customer));
    }

    /// Sends the final answer of a request, unless it has had one, and cancels its attempts that are not sent yet.
    pub(super) fn answer(self: &Rc<Self>, job: &JobId, answer: Answer) {
        let sender = self.open_requests.borrow_mut().get_mut(job).and_then(|o| o.answer.take());
        if let Some(sender) = sender {
            self.count_answer(matches!(answer, Answer::Failed));
            // A closed receiver means that the client has disconnected, which `client_left` handles.
            let _ = sender.send(answer);
            self.cancel_unsent(job);
            self.forget(job);
        }
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub(super) fn forget(&self, job: &JobId) {
        let mut table = self.open_requests.borrow_mut();
        if table.get(job).is_some_and(|o| o.answer.is_none() && o.attempts.iter().all(Option::is_none)) {
            table.remove(job);
        }
    }

    fn send_attempt(self: &Rc<Self>, now: Time, job: JobId, server: ServerId, timeout: f64, send_by: Time) {
        let mut table = self.open_requests.borrow_mut();
        let known = self.pools.addr(&server).is_some();
        let Some(open) = table.get_mut(&job) else { return };
        let number = open.attempts.len() as u32;
        // A time-out of 0 means the time that is left until the request expires, which also bounds any other time-out.
        let remaining = open.expires - now;
        let attempt_timeout = if timeout == 0.0 { remaining } else { timeout.min(remaining) };
        let over = open.answer.is_none();
        if !known || over || attempt_timeout <= 0.0 {
            open.attempts.push(None);
            drop(table);
            self.forget(&job);
            let (status, load) = (Status::NotSent, Load::default());
            let event = Event::AttemptEnded {
                job,
                attempt: number,
                server,
                status,
                elapsed: 0.0,
                over,
                settled: None,
                load,
            };
            return self.events.borrow_mut().push_back(event);
        }
        let (driver, trace, forward) = (self.clone(), Trace::default(), open.forward.clone());
        let send_by = send_by.is_finite().then(|| self.clock.instant(send_by));
        let task = tokio::task::spawn_local({
            let (caller, trace, server) =
                (AttemptCaller { driver, job: job.clone(), number }, trace.clone(), server.clone());
            async move {
                let limits = AttemptLimits { timeout: attempt_timeout, send_by };
                let ending = caller
                    .driver
                    .workers
                    .attempt(&server, &forward, limits, &trace, &caller.driver.budget, &caller)
                    .await;
                caller.driver.attempt_ended(&caller.job, number, ending);
            }
        });
        let (is_uploading, task) = (open.upload_timeout.is_some(), task.abort_handle());
        open.attempts.push(Some(Attempt {
            server,
            sent: now,
            timeout: attempt_timeout,
            forwarded: None,
            trace,
            task,
        }));
        drop(table);
        if !is_uploading {
            self.set_timer(now + attempt_timeout, Due::Attempt(job, number));
        }
    }

    fn probe(self: &Rc<Self>, server: ServerId) {
        let (driver, limit) = (self.clone(), Duration::from_secs_f64(self.options.borrow().connect_timeout));
        tokio::task::spawn_local(async move {
            let probed = tokio::time::timeout(limit, driver.workers.probe(&server)).await.ok();
            let (status, load) = probed.map_or((Status::Timeout, Load::default()), |p| (p.status, p.load));
            driver.post(Event::ProbeEnded { server, status, load });
        });
    }
}
