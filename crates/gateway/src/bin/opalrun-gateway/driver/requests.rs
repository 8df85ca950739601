//! The life cycle of a request: accepted from a client, passed to the decisions, sent to workers, answered once.

use super::{
    Driver,
    open_request::{Answer, ClientRequest, ForwardedAnswer, OpenRequest, Spending},
    request_deadline::{LAST_RESORT_DELAY, MAX_CLIENT_TIMEOUT, time_to_answer},
    timer_queue::Due,
};
use crate::workers::{Caller, Ending, may_have_run};
use opalrun_gateway::{CustomerId, Event, JobId, Request, Status};
use opalrun_transport::body::{BodyBuffer, Chunk, Forwarding, ResponseBody};
use std::{rc::Rc, time::Instant};
use tokio::sync::{mpsc, oneshot};

/// Receives the progress of one attempt from its exchange with a worker.
pub(super) struct AttemptCaller {
    pub(super) driver: Rc<Driver>,
    pub(super) job: JobId,
    pub(super) number: u32,
}

impl Caller for AttemptCaller {
    fn upload_started(&self) {
        self.driver.post(Event::Unrepeatable { job: self.job.clone() });
    }

    fn forward_answer(
        &self,
        buffer: BodyBuffer,
        length: Option<u64>,
        last_received: Instant,
    ) -> Option<(mpsc::Sender<Chunk>, Rc<Forwarding>)> {
        let (chunks, rest) = mpsc::channel(1);
        let progress = Rc::new(Forwarding::new(length, buffer.len() as usize, last_received));
        {
            let mut table = self.driver.open_requests.borrow_mut();
            let open = table.get_mut(&self.job)?;
            let attempt = open.attempts.get_mut(self.number as usize)?.as_mut()?;
            let answer = open.answer.take()?;
            attempt.forwarded =
                Some(ForwardedAnswer { since: self.driver.clock.now(), progress: progress.clone() });
            self.driver.count_answer(false);
            let _ = answer.send(Answer::Served(ResponseBody::streaming(buffer, rest, length)));
        }
        self.driver.cancel_unsent(&self.job);
        self.driver.post(Event::FirstByte { job: self.job.clone() });
        Some((chunks, progress))
    }
}

/// Whether the worker answered (`true`) or failed (`false`) an attempt that ended with `status`; `None`: the status is no
/// evidence about the worker.
fn worker_answered(status: Status) -> Option<bool> {
    match status {
        Status::Ok => Some(true),
        Status::Error | Status::Reset | Status::ConnectFailed => Some(false),
        // Healthy workers at capacity reject attempts and let them time out as well.
        _ => None,
    }
}

impl Driver {
    /// Accepts a client's request. Returns its id and the receiver of its final answer.
    pub fn accept(self: &Rc<Self>, request: ClientRequest) -> (JobId, oneshot::Receiver<Answer>) {
        self.last_job_number.set(self.last_job_number.get() + 1);
        self.used_classes.borrow_mut().get_mut(request.class).into_iter().for_each(|used| *used = true);
        let job: JobId = self.last_job_number.get().to_string().into();
        let remaining = request.remaining.min(MAX_CLIENT_TIMEOUT);
        let (answer, receiver) = oneshot::channel();
        if self.is_shutting_down.get() {
            // The decisions never see this request: only its client needs the answer.
            let _ = answer.send(Answer::Rejected(0.0));
            return (job, receiver);
        }
        let forward = Rc::new(request.forward);
        let upload_timeout = forward.upload.borrow_mut().as_mut().map(|upload| {
            let (driver, job) = (Rc::downgrade(self), job.clone());
            upload.on_end(move || driver.upgrade().iter().for_each(|driver| driver.upload_ended(&job)));
            remaining
        });
        // The client's time starts with the request's last byte, so a request that is still uploaded has no end yet.
        let now = self.clock.now();
        let expires = now
            + if upload_timeout.is_some() {
                MAX_CLIENT_TIMEOUT
            } else {
                time_to_answer(remaining, self.lag.at(now))
            };
        let customer: CustomerId = request.customer.into();
        let is_reported = self.fleet.borrow().is_some() || self.recovery.borrow().is_some();
        let unreported_spending = is_reported.then(|| Spending {
            customer: customer.clone(),
            plan: request.plan,
            units: request.units,
        });
        let peer_view = self.fleet_view(&customer);
        let open = OpenRequest {
            answer: Some(answer),
            forward,
            upload_timeout,
            expires,
            attempts: Vec::new(),
            plan: request.plan,
            repeat: request.repeat,
            unreported_spending,
        };
        self.open_requests.borrow_mut().insert(job.clone(), open);
        // Later than attempt time-outs that end at `expires`, so that the decisions can answer first.
        self.set_timer(expires + LAST_RESORT_DELAY, Due::Deadline(job.clone()));
        self.post(Event::Request(Request {
            job: job.clone(),
            units: request.units,
            expires,
            plan: request.plan,
            spread: request.spread,
            first_gateway: request.first,
            class: request.class,
            customer,
            client_retry: request.repeat,
            peer_view,
        }));
        (job, receiver)
    }

    /// Starts the deadline of a request and the time-outs of its attempts, once its last byte has arrived.
    fn upload_ended(&self, job: &JobId) {
        let now = self.clock.now();
        let mut due = Vec::new();
        if let Some(open) = self.open_requests.borrow_mut().get_mut(job) {
            let Some(remaining) = open.upload_timeout.take() else { return };
            let remaining = time_to_answer(remaining, self.lag.at(now));
            open.expires = now + remaining;
            due.push((open.expires + LAST_RESORT_DELAY, Due::Deadline(job.clone())));
            for (number, attempt) in open.attempts.iter_mut().enumerate() {
                if let Some(attempt) = attempt {
                    attempt.sent = now;
                    due.push((
                        now + attempt.timeout.min(remaining),
                        Due::Attempt(job.clone(), number as u32),
                    ));
                }
            }
        }
        due.into_iter().for_each(|(at, due)| self.set_timer(at, due));
    }

    /// Cleans up after a client that has disconnected before its answer.
    pub fn client_left(self: &Rc<Self>, job: &JobId) {
        let waiting = self.open_requests.borrow_mut().get_mut(job).is_some_and(|o| o.answer.take().is_some());
        if waiting {
            self.log_request(job, "left", None, "client disconnected");
            self.cancel_unsent(job);
            self.forget(job);
            self.post(Event::ClientDisconnected { job: job.clone() });
        }
    }

    /// Fails all open requests, and has later ones rejected on arrival, as the process is about to be killed.
    pub fn fail_all(self: &Rc<Self>) {
        self.is_shutting_down.set(true);
        let jobs: Vec<JobId> = self.open_requests.borrow().keys().cloned().collect();
        for job in jobs {
            self.answer(&job, Answer::Failed);
            self.post(Event::ClientDisconnected { job });
        }
    }

    /// Records the end of an attempt: answers the client if it brought a complete answer, and informs fleet and decisions.
    pub(super) fn attempt_ended(self: &Rc<Self>, job: &JobId, number: u32, ending: Ending) {
        let mut table = self.open_requests.borrow_mut();
        let Some(open) = table.get_mut(job) else { return };
        let Some(attempt) = open.attempts.get_mut(number as usize).and_then(Option::take) else { return };
        let answer = ending.body.and_then(|body| Some((body, open.answer.take()?)));
        if let Some((body, answer)) = answer {
            self.count_answer(false);
            // A closed receiver means that the client has disconnected, which `client_left` handles.
            let _ = answer.send(Answer::Served(ResponseBody::complete(body)));
        }
        let over = open.answer.is_none();
        drop(table);
        if over {
            self.cancel_unsent(job);
        }
        self.forget(job);
        if let (Some(fleet), Some(answered)) = (&*self.fleet.borrow(), worker_answered(ending.status)) {
            fleet.record_attempt(&attempt.server, answered);
        }
        self.post(Event::AttemptEnded {
            job: job.clone(),
            attempt: number,
            server: attempt.server,
            status: ending.status,
            elapsed: (attempt.forwarded.map_or_else(|| self.clock.now(), |forwarded| forwarded.since)
                - attempt.sent)
                .max(0.0),
            over,
            settled: None,
            load: ending.load,
        });
    }

    /// Cancels the attempts of a request that are not fully written to a worker yet, such as one that waits for a
    /// connection. Called once the request is answered or its client has disconnected, as nothing may be sent after that.
    pub(super) fn cancel_unsent(self: &Rc<Self>, job: &JobId) {
        let unsent: Vec<u32> = {
            let table = self.open_requests.borrow();
            let attempts = table.get(job).into_iter().flat_map(|o| o.attempts.iter().enumerate());
            let unsent = attempts.filter(|(_, a)| a.as_ref().is_some_and(|a| !may_have_run(&a.trace)));
            unsent.map(|(number, _)| number as u32).collect()
        };
        unsent.into_iter().for_each(|number| self.stop_attempt(job, number, Status::NotSent));
    }

    /// Aborts an attempt, unless its answer is already being forwarded to the client.
    pub(super) fn stop_attempt(self: &Rc<Self>, job: &JobId, number: u32, status: Status) {
        let begun = |o: &OpenRequest| o.attempts.get(number as usize)?.as_ref()?.forwarded.as_ref().map(drop);
        if self.open_requests.borrow().get(job).and_then(begun).is_none() {
            self.end_attempt(job, number, status);
        }
    }

    /// Aborts an attempt. Aborting its task closes the connection to the worker.
    pub(super) fn end_attempt(self: &Rc<Self>, job: &JobId, number: u32, status: Status) {
        let stopped = {
            let table = self.open_requests.borrow();
            let attempt =
                table.get(job).and_then(|o| o.attempts.get(number as usize)).and_then(Option::as_ref);
            attempt.map(|a| {
                a.task.abort();
                let ran = may_have_run(&a.trace);
                if ran && status == Status::Timeout {
                    self.pools.request_timed_out(&a.server, a.sent);
                }
                ran
            })
        };
        if let Some(may_have_run) = stopped {
            // A worker never runs a request that it has received in part, so such an attempt counts as not sent.
            let status = if may_have_run { status } else { Status::NotSent };
            self.attempt_ended(job, number, Ending::without_body(status));
        }
    }
}
