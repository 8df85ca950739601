//! Retires a store machine: its data is moved to other stores, after which the machine can be removed.

use super::{
    CALL_LIMIT, OperatorError, check_success,
    client::{self, Answer, Call},
    error::{RetirementUnfinishedSnafu, UnreadableAnswerSnafu},
    run,
};
use facet::Facet;
use hyper::body::Bytes;
use snafu::ResultExt;
use std::{fmt, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep};

/// Time limit for sending the command over all attempts: the maximum time for an acknowledgement.
const ORDER_LIMIT: Duration = Duration::from_secs(4);
/// Interval between queries of the progress.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Default deadline of a retirement.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// The response body of a retirement command or query.
#[derive(Facet, Debug)]
struct RetirementBody {
    state: String,
}

/// The progress of a retirement. Its display text is printed for the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
enum RetirementState {
    /// The data of the machine is being moved.
    Active,
    /// No data is left on the machine.
    Completed,
    /// A state that this version of the program does not know.
    Other(String),
}

impl From<String> for RetirementState {
    fn from(state: String) -> Self {
        match state.as_str() {
            "active" => Self::Active,
            "completed" => Self::Completed,
            _ => Self::Other(state),
        }
    }
}

impl fmt::Display for RetirementState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Active => write!(f, "is being emptied; keep it running"),
            Self::Completed => write!(f, "is empty: it can be taken away"),
            Self::Other(state) => write!(f, "{state}"),
        }
    }
}

/// Requests the retirement of a store machine. With `follow`, waits until its data has been moved.
///
/// # Errors
/// The request is rejected, there is no conclusive response, or the data is not moved before the deadline.
pub fn retire_store(
    node: &str,
    addresses: &[SocketAddr],
    deadline: Duration,
    follow: bool,
) -> Result<(), OperatorError> {
    run(async {
        let began = Instant::now();
        let state = request_retirement(node, addresses, deadline).await?;
        println!("{node}: {state}");
        if follow && state != RetirementState::Completed {
            wait_until_completed(node, addresses, began, deadline).await?;
        }
        Ok(())
    })
}

async fn request_retirement(
    node: &str,
    addresses: &[SocketAddr],
    deadline: Duration,
) -> Result<RetirementState, OperatorError> {
    let call = Call {
        method: "POST",
        path: path_of(node),
        if_match: None,
        body: Bytes::from(format!("{{\"deadline_s\":{}}}", deadline.as_secs())),
    };
    let answer = client::send(addresses, &call, ORDER_LIMIT).await?;
    read_state(&answer)
}

async fn wait_until_completed(
    node: &str,
    addresses: &[SocketAddr],
    began: Instant,
    deadline: Duration,
) -> Result<(), OperatorError> {
    while began.elapsed() < deadline {
        sleep(POLL_INTERVAL).await;
        let answer = client::send(addresses, &Call::get(path_of(node)), CALL_LIMIT).await?;
        let state = read_state(&answer)?;
        if state == RetirementState::Completed {
            println!("{node}: {state}");
            return Ok(());
        }
    }
    RetirementUnfinishedSnafu { node, deadline }.fail()
}

fn path_of(node: &str) -> String {
    format!("/opalrun/retire/{node}")
}

fn read_state(answer: &Answer) -> Result<RetirementState, OperatorError> {
    check_success(answer)?;
    let body: RetirementBody = facet_json::from_slice(&answer.body).context(UnreadableAnswerSnafu)?;
    Ok(body.state.into())
}
