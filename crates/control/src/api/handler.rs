//! Executes the requests of the HTTP interface.

use super::{
    heartbeat_body::read_heartbeat,
    json::json_string,
    message::{ApiAnswer, ApiRequest},
};
use crate::{
    process::{ConfigurationAnswer, ControlProcess, RetireAnswer, Unavailable},
    store_map::RetireState,
    tier_view,
};
use opalrun_wire::{ResultCode, ids::Generation};
use std::rc::Rc;
use viz::StatusCode;

/// Maximum number of problems of an invalid configuration that the answer lists.
const MAX_NAMED_PROBLEMS: usize = 20;

/// Executes a request and returns its answer.
pub(super) async fn handle(process: &Rc<ControlProcess>, request: ApiRequest) -> ApiAnswer {
    let result = match request {
        ApiRequest::Heartbeat { id, body } => heartbeat(process, &id, &body).await,
        ApiRequest::RemoveWorker { id } => {
            process.worker_sessions().remove(&id).await.map(|()| ApiAnswer::ok())
        }
        ApiRequest::PutConfiguration { if_match, body } => put_configuration(process, if_match, &body).await,
        ApiRequest::ReadConfiguration => read_configuration(process).await,
        ApiRequest::Tier => Ok(tier(process).await),
        ApiRequest::Retire { node_name } => {
            process.store_retirement().order(&node_name).await.map(retire_answer)
        }
        ApiRequest::RetireState { node_name } => {
            process.store_retirement().progress(&node_name).await.map(retire_answer)
        }
    };
    result.unwrap_or_else(|Unavailable| ApiAnswer::unavailable())
}

async fn heartbeat(process: &Rc<ControlProcess>, id: &str, body: &[u8]) -> Result<ApiAnswer, Unavailable> {
    match read_heartbeat(id, body) {
        Ok(worker) => {
            process.worker_sessions().heartbeat(worker).await.map(|target| heartbeat_answer(id, target))
        }
        Err(error) => {
            let reason = error.to_string();
            Ok(ApiAnswer::rejected(StatusCode::BAD_REQUEST, ResultCode::INSTANCE_INVALID, &reason))
        }
    }
}

/// Acknowledges a heartbeat. The answer contains the URL for later heartbeats if another address is preferred and the
/// id needs no escaping in a URL.
fn heartbeat_answer(id: &str, target: Option<String>) -> ApiAnswer {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let Some(address) = target.filter(|_| id.bytes().all(is_plain)) else { return ApiAnswer::ok() };
    let url = json_string(&format!("http://{address}/opalrun/instances/{id}"));
    ApiAnswer::new(StatusCode::OK, format!("{{\"heartbeat_url\":{url}}}"))
}

async fn put_configuration(
    process: &Rc<ControlProcess>,
    if_match: Option<Generation>,
    body: &[u8],
) -> Result<ApiAnswer, Unavailable> {
    let Some(if_match) = if_match else {
        return Ok(invalid_configuration("If-Match header is missing or not a generation number"));
    };
    Ok(match process.configuration().put(if_match, body.to_vec()).await? {
        ConfigurationAnswer::Accepted => ApiAnswer::ok(),
        ConfigurationAnswer::Conflict { current } => ApiAnswer::rejected(
            StatusCode::PRECONDITION_FAILED,
            ResultCode::CONFIGURATION_CONFLICT,
            &format!("the current generation is {current}"),
        ),
        ConfigurationAnswer::NotAbove { generation, current } => {
            invalid_configuration(&format!("generation: {generation} is not above {current}"))
        }
        ConfigurationAnswer::Invalid { problems } => {
            let named = problems.iter().take(MAX_NAMED_PROBLEMS).map(ToString::to_string);
            invalid_configuration(&named.collect::<Vec<_>>().join("; "))
        }
    })
}

fn invalid_configuration(reason: &str) -> ApiAnswer {
    ApiAnswer::rejected(StatusCode::BAD_REQUEST, ResultCode::CONFIGURATION_INVALID, reason)
}

async fn read_configuration(process: &Rc<ControlProcess>) -> Result<ApiAnswer, Unavailable> {
    Ok(if let Some(body) = process.configuration().read().await? {
        ApiAnswer::new(StatusCode::OK, body)
    } else {
        let reason = "there is no configuration yet";
        ApiAnswer::rejected(StatusCode::NOT_FOUND, ResultCode::NO_CONFIGURATION, reason)
    })
}

async fn tier(process: &Rc<ControlProcess>) -> ApiAnswer {
    match facet_json::to_string(&tier_view::view(process).await) {
        Ok(body) => ApiAnswer::new(StatusCode::OK, body),
        Err(_) => ApiAnswer::unavailable(),
    }
}

fn retire_answer(answer: RetireAnswer) -> ApiAnswer {
    match answer {
        RetireAnswer::State(RetireState::Active) => ApiAnswer::new(StatusCode::OK, r#"{"state":"active"}"#),
        RetireAnswer::State(RetireState::Completed) => {
            ApiAnswer::new(StatusCode::OK, r#"{"state":"completed"}"#)
        }
        RetireAnswer::UnknownNode => ApiAnswer::rejected(
            StatusCode::NOT_FOUND,
            ResultCode::UNKNOWN_NODE,
            "no store machine of this name is known",
        ),
        RetireAnswer::TooFewStores => ApiAnswer::rejected(
            StatusCode::CONFLICT,
            ResultCode::TOO_FEW_STORES,
            "too few store machines would remain",
        ),
    }
}
