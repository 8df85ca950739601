//! State of a request that is a turn of a program: its reserved budget units, and the data to be stored.

use crate::{
    lease::TurnLease,
    memory::BudgetExhausted,
    proxy::event_stream::Event,
    turns::{Chain, TurnOutput},
};
use opalrun_store_client::StoreClient;
use opalrun_transport::body::Segments;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// State of a request as a turn of a program. A request that is not a turn has neither a lease nor retained data.
#[derive(Default)]
pub struct Turn {
    /// Budget units reserved for the turn; `None` when the request draws on no budget.
    pub(super) lease: Option<TurnLease<Rc<StoreClient>>>,
    /// Tokens in each event of the answer.
    pub(super) event_units: u64,
    /// Data to be stored when the answer is complete; `None` when the route does not retain turns.
    pub(super) retained: Option<Retained>,
}

/// Data to be stored of a turn.
pub(super) struct Retained {
    /// Earlier turns of the conversation, which the body for the worker refers to.
    pub(super) chain: Chain,
    /// Body of the client's request, without the earlier turns.
    pub(super) input: Segments,
    /// Data of the events received so far, from the first one of the turn on.
    pub(super) output: RefCell<TurnOutput>,
    /// How long the stores are to retain the turn.
    pub(super) retention: Duration,
}

impl Turn {
    /// Counts the tokens of an event that is about to be sent to the client. Events without data are ignored.
    pub fn count_event(&self, event: &Event) {
        if let Some(lease) = &self.lease
            && event.has_data()
        {
            lease.record_units(self.event_units);
        }
    }

    /// Adds the data of an event to the output that is stored, whether or not the client has the event already.
    ///
    /// # Errors
    /// No memory is left for it, so the turn can't be stored.
    pub fn retain_event(&self, event: &Event) -> Result<(), BudgetExhausted> {
        let Some(retained) = &self.retained else { return Ok(()) };
        retained.output.borrow_mut().add(|data| event.append_data(data))
    }

    /// Returns the id of the worker that answered the previous turn.
    #[must_use]
    pub fn previous_worker(&self) -> Option<&str> {
        self.retained.as_ref()?.chain.worker().filter(|worker| !worker.is_empty())
    }
}
