//! Begins and stores turns of programs: reserves budget units for a turn, prepends the earlier turns of its
//! conversation to its body, and stores the turn before the end of its answer is sent to the client.

use crate::{
    lease::{LeaseError, TurnLease},
    proxy::{
        Proxy,
        answer::{self, Answer},
        failed_requests::FailureReason,
        request::ForwardedRequest,
        request_parameters::LAST_EVENT_ID,
        turn::{Retained, Turn},
    },
    turns::{Chain, ChainError},
};
use hyper::StatusCode;
use opalrun_configuration::RouteType;
use opalrun_store_client::StoreClient;
use opalrun_wire::store;
use std::{cell::RefCell, rc::Rc, time::Duration};

/// `Retry-After` when the stores did not answer in time.
const STORES_RETRY_AFTER: Duration = Duration::from_millis(150);

/// `Retry-After` when no memory is left for the earlier turns of a conversation.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The turn was not stored, or it is unknown whether it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnNotStored;

impl Proxy {
    /// Reserves budget units for a turn and prepends the earlier turns of its conversation to its body. Does nothing
    /// for a request that is not on a streaming route.
    ///
    /// # Errors
    /// The answer for the client when the turn must not run.
    pub(super) async fn begin_turn(&self, request: &mut ForwardedRequest) -> Result<(), Answer> {
        let route = &request.route;
        if route.route_type != RouteType::Streaming {
            return Ok(());
        }
        let (chain, lease) = tokio::join!(self.chain(request), self.lease(request));
        let (chain, lease) = (chain?, lease?);
        let event_units = request.event_tokens;
        if !route.retained {
            request.turn = Turn { lease, event_units, retained: None };
            return Ok(());
        }
        let input = request.body.clone();
        request.body = chain.body(&input);
        let retained = Retained {
            chain,
            input,
            output: RefCell::new(self.turns.begin_output()),
            retention: route.retention,
        };
        request.turn = Turn { lease, event_units, retained: Some(retained) };
        // Set again for a worker that resumes the stream; see `ForwardedRequest::first_worker_last_event_id`.
        request.headers.remove(LAST_EVENT_ID);
        Ok(())
    }

    async fn chain(&self, request: &ForwardedRequest) -> Result<Chain, Answer> {
        let Some(previous) = request.parameters.previous.as_deref().filter(|_| request.route.retained) else {
            return Ok(Chain::default());
        };
        self.turns.chain(previous, request.deadline).await.map_err(|error| match error {
            ChainError::Unknown => answer::with_message(StatusCode::NOT_FOUND, &error.to_string()),
            ChainError::Unavailable => {
                self.failed_requests.record(request, FailureReason::TurnsUnavailable, 0);
                answer::reject(STORES_RETRY_AFTER)
            }
            ChainError::NoMemory => {
                self.failed_requests.record(request, FailureReason::NoTurnMemory, 0);
                answer::reject(NO_MEMORY_RETRY_AFTER)
            }
        })
    }

    async fn lease(&self, request: &ForwardedRequest) -> Result<Option<TurnLease<Rc<StoreClient>>>, Answer> {
        let Some(program) = &request.parameters.program else { return Ok(None) };
        let lease = self.leases.begin(&program.program, program.turn_budget).await;
        lease.map(Some).map_err(|error| match error {
            LeaseError::BudgetSpent => answer::with_message(StatusCode::PAYMENT_REQUIRED, &error.to_string()),
            LeaseError::Unavailable => {
                self.failed_requests.record(request, FailureReason::BudgetUnavailable, 0);
                answer::reject(STORES_RETRY_AFTER)
            }
        })
    }

    /// Stores a turn whose answer is complete, before the end of the answer is sent to the client. Does nothing for a
    /// turn that is not retained.
    ///
    /// # Errors
    /// The turn may not be stored, so the answer must not appear complete to the client.
    pub(super) async fn store_turn(&self, turn: &Turn, id: &str, worker: &str) -> Result<(), TurnNotStored> {
        let Some(retained) = &turn.retained else { return Ok(()) };
        let record = store::Turn {
            id: id.to_owned(),
            ancestors: retained.chain.ancestors(),
            input: retained.input.to_vec(),
            output: retained.output.borrow_mut().take_data(),
            retention_ms: u64::try_from(retained.retention.as_millis()).unwrap_or(u64::MAX),
            worker: worker.to_owned(),
        };
        self.turns.store(record).await.map_err(|_| TurnNotStored)?;
        self.metrics.turn_stored();
        Ok(())
    }
}
