//! Sets and fires timers.

use super::{
    Driver,
    open_request::{Answer, OpenRequest},
    timer_queue::Due,
};
use crate::workers::ANSWER_BUFFERING_TIME;
use opalrun_gateway::{Event, JobId, Status, Time};
use std::rc::Rc;

impl Driver {
    pub(super) fn set_timer(&self, at: Time, due: Due) {
        let is_earliest = self.timers.borrow_mut().push(at, due, |due| self.is_stale(due));
        if is_earliest {
            self.earlier_timer.notify_one();
        }
    }

    /// Whether the timer's request, attempt or counter call has ended, so that the timer needs not fire.
    fn is_stale(&self, due: &Due) -> bool {
        match due {
            Due::Decision(_) => false,
            Due::CounterCall(number) => self.counter.as_ref().is_none_or(|c| !c.is_waiting(*number)),
            Due::Attempt(job, number) => {
                let open = self.open_requests.borrow();
                let attempt =
                    open.get(job).and_then(|o| o.attempts.get(*number as usize)).and_then(Option::as_ref);
                attempt.is_none_or(|a| a.forwarded.is_some())
            }
            Due::Deadline(job) => self
                .open_requests
                .borrow()
                .get(job)
                .is_none_or(|o| o.answer.is_none() && o.forwarding().is_none()),
        }
    }

    fn fire(self: &Rc<Self>, due: Due) {
        match due {
            Due::Decision(token) => self.post(Event::Timer { token }),
            Due::Attempt(job, number) => self.stop_attempt(&job, number, Status::Timeout),
            Due::CounterCall(number) => {
                if let Some(counter) = &self.counter {
                    counter.expire(self, number);
                }
            }
            Due::Deadline(job) => self.overdue(job),
        }
    }

    /// Ends a request that is past its expiry. The decisions normally answer before; this last resort makes sure that
    /// every client gets an answer.
    fn overdue(self: &Rc<Self>, job: JobId) {
        if self.is_stale(&Due::Deadline(job.clone())) {
            return;
        }
        let forwarding = self.open_requests.borrow().get(&job).and_then(OpenRequest::forwarding);
        match forwarding {
            None => {
                self.answer(&job, Answer::Failed);
                self.post(Event::ClientDisconnected { job });
            }
            // The status is already sent. Closing the connection early shows the client that the body is incomplete.
            Some((number, stalled)) if stalled >= ANSWER_BUFFERING_TIME => {
                self.log_request(&job, "cut off", None, "worker stalled in the middle of its answer");
                self.end_attempt(&job, number, Status::Timeout);
            }
            // The worker is still sending: check again when it could have stalled for long enough.
            Some((_, stalled)) => {
                let again = self.clock.now() + (ANSWER_BUFFERING_TIME - stalled).as_secs_f64();
                self.set_timer(again, Due::Deadline(job));
            }
        }
    }

    /// Fires timers as they become due; never returns.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.timers.borrow_mut().next_due(|due| self.is_stale(due));
            match next {
                Some(at) if at <= self.clock.now() => {
                    let due = self.timers.borrow_mut().pop();
                    if let Some(due) = due {
                        self.lag.record(at, self.clock.now());
                        self.fire(due);
                    }
                }
                Some(at) => {
                    let until = tokio::time::sleep_until(self.clock.instant(at).into());
                    tokio::select! { () = until => {}, () = self.earlier_timer.notified() => {} }
                }
                None => self.earlier_timer.notified().await,
            }
        }
    }
}
