//! Operators' commands to a running tier, sent to its control processes.

mod attempts;
mod client;
mod error;
mod retirement;
mod retry;
mod tables;

pub use error::{OperatorError, lines_of};
pub use retirement::{DEFAULT_DEADLINE, retire_store};

use client::{Answer, Call};
use error::{
    InvalidConfigurationSnafu, ReadConfigurationSnafu, RejectedSnafu, RejectedWithoutReasonSnafu,
    StartRuntimeSnafu, UnreadableTierViewSnafu,
};
use facet::Facet;
use hyper::{StatusCode, body::Bytes};
use opalrun_configuration::Configuration;
use opalrun_control::tier_view::TierView;
use snafu::ResultExt;
use std::{future::Future, net::SocketAddr, path::Path, time::Duration};
use tokio::{runtime, task::LocalSet};

/// Time limit of a call over all attempts, for queries and for sending a configuration.
const CALL_LIMIT: Duration = Duration::from_secs(10);
const CONFIGURATION_PATH: &str = "/opalrun/config";
const TIER_PATH: &str = "/opalrun/tier";

/// The response body of a rejected call.
#[derive(Facet, Debug)]
struct Rejection {
    code: String,
    reason: String,
}

/// Sends a new configuration to the control processes.
///
/// # Errors
/// The file is invalid, the call is rejected, or there is no conclusive response.
pub fn put_configuration(file: &Path, addresses: &[SocketAddr], if_match: u64) -> Result<(), OperatorError> {
    let body = std::fs::read(file).context(ReadConfigurationSnafu { path: file })?;
    let generation = checked_generation(&body)?;
    let call = Call {
        method: "PUT",
        path: CONFIGURATION_PATH.to_owned(),
        if_match: Some(if_match),
        body: Bytes::from(body),
    };
    let answer = run(client::send(addresses, &call, CALL_LIMIT))?;
    check_success(&answer)?;
    println!("generation {generation} is acknowledged{}", answer.attempts);
    Ok(())
}

fn checked_generation(body: &[u8]) -> Result<u64, OperatorError> {
    match Configuration::parse(body) {
        Ok(configuration) => Ok(configuration.generation),
        Err(problems) => InvalidConfigurationSnafu { problems }.fail(),
    }
}

/// Prints the current configuration as sent by the operator.
///
/// # Errors
/// There is no configuration, or no conclusive response.
pub fn get_configuration(addresses: &[SocketAddr]) -> Result<(), OperatorError> {
    let answer = run(client::send(addresses, &Call::get(CONFIGURATION_PATH), CALL_LIMIT))?;
    check_success(&answer)?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

/// Prints the state of the tier as reported by a control process.
///
/// # Errors
/// There is no conclusive response, or it can't be parsed.
pub fn show_tier(addresses: &[SocketAddr], as_json: bool) -> Result<(), OperatorError> {
    let answer = run(client::send(addresses, &Call::get(TIER_PATH), CALL_LIMIT))?;
    check_success(&answer)?;
    if as_json {
        println!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    }
    let view: TierView = facet_json::from_slice(&answer.body).context(UnreadableTierViewSnafu)?;
    print!("{}", tables::tier(&view));
    Ok(())
}

/// Returns an error if the response does not have status 200.
fn check_success(answer: &Answer) -> Result<(), OperatorError> {
    if answer.status == StatusCode::OK {
        return Ok(());
    }
    let attempts = answer.attempts;
    match facet_json::from_slice::<Rejection>(&answer.body) {
        Ok(Rejection { code, reason }) => RejectedSnafu { code, reason, attempts }.fail(),
        Err(_) => RejectedWithoutReasonSnafu { status: answer.status.as_u16(), attempts }.fail(),
    }
}

/// Runs the calls of a command to completion on the current thread.
fn run<T>(calls: impl Future<Output = Result<T, OperatorError>>) -> Result<T, OperatorError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context(StartRuntimeSnafu)?;
    LocalSet::new().block_on(&runtime, calls)
}
