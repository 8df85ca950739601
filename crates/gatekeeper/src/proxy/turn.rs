//! What a request is as a turn of a program: its share of the budget, and what is retained of it.

use crate::{lease::TurnLease, proxy::event_stream::Event};
use bytes::Bytes;
use opalrun_store_client::StoreClient;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// What a request is as a turn of a program. A request that is none has neither.
#[derive(Default)]
pub struct Turn {
    /// Its share of the budget.
    pub(super) lease: Option<TurnLease<Rc<StoreClient>>>,
    /// Tokens in each event.
    pub(super) event_units: u64,
    /// What is to be stored of it; `None` where its route does not retain turns.
    pub(super) retained: Option<Retained>,
}

/// What is stored of a turn.
pub(super) struct Retained {
    /// Ids of the turns before it.
    pub(super) ancestors: Vec<String>,
    /// The body of its request, without the turns before it.
    pub(super) input: Bytes,
    /// The data of its events so far.
    pub(super) output: RefCell<Vec<u8>>,
    /// How long it is to be stored.
    pub(super) retention: Duration,
    /// The worker that answered the turn before.
    pub(super) previous_worker: String,
}

impl Turn {
    /// An event is about to go to the client.
    pub fn record_event(&self, event: &Event) {
        if !event.has_data() {
            return;
        }
        if let Some(lease) = &self.lease {
            lease.record_units(self.event_units);
        }
        if let Some(retained) = &self.retained {
            event.append_data(&mut retained.output.borrow_mut());
        }
    }

    /// The worker that answered the turn before this one.
    #[must_use]
    pub fn previous_worker(&self) -> Option<&str> {
        let worker = self.retained.as_ref()?.previous_worker.as_str();
        (!worker.is_empty()).then_some(worker)
    }
}
