//! Orders and questions of people to a running tier, through its control processes.

mod client;
mod retry;
mod tables;

use client::{Answer, Call};
use facet::Facet;
use hyper::body::Bytes;
use opalrun_configuration::Configuration;
use opalrun_control::tier_view::TierView;
use opalrun_wire::ResultCode;
use std::{future::Future, net::SocketAddr, path::Path, time::Duration};
use tokio::{
    runtime,
    task::LocalSet,
    time::{Instant, sleep},
};

/// How long a question, or a configuration, may take until a clear answer.
const LIMIT: Duration = Duration::from_secs(10);
/// How long an order to a store machine may be sent again: no longer than an acknowledgement may take.
const RETIRE_LIMIT: Duration = Duration::from_secs(4);
/// Pause between looks at how far the emptying of a store is.
const FOLLOW_PAUSE: Duration = Duration::from_secs(1);
/// How long the emptying of a store machine may take where nothing else is said.
pub const USUAL_DEADLINE: Duration = Duration::from_secs(10);
const OK: u16 = 200;

/// A refusal as control processes word it.
#[derive(Facet, Debug)]
struct Refusal {
    code: String,
    reason: String,
}

/// How far the emptying of a store machine is.
#[derive(Facet, Debug)]
struct RetireBody {
    state: String,
}

/// Puts a configuration in force.
///
/// # Errors
/// Where the file is invalid, the order is refused, or no clear answer comes.
pub fn put_configuration(file: &Path, addresses: &[SocketAddr], if_match: u64) -> Result<(), String> {
    let body = std::fs::read(file)
        .map_err(|error| format!("{}: {}: {error}", ResultCode::CONFIGURATION_INVALID, file.display()))?;
    let generation = checked_generation(&body)?;
    let call = Call {
        method: "PUT",
        path: "/opalrun/config".to_owned(),
        if_match: Some(if_match),
        body: Bytes::from(body),
    };
    let answer = run(client::send(addresses, &call, LIMIT))?;
    accepted(&answer)?;
    println!("generation {generation} is acknowledged{}", sent(&answer));
    Ok(())
}

fn checked_generation(body: &[u8]) -> Result<u64, String> {
    let invalid = |problems: Vec<opalrun_configuration::Problem>| {
        let lines: Vec<String> = problems.iter().map(|problem| format!("\n  {problem}")).collect();
        format!("{}: not sent: {} problems{}", ResultCode::CONFIGURATION_INVALID, lines.len(), lines.concat())
    };
    Configuration::parse(body).map(|configuration| configuration.generation).map_err(invalid)
}

/// Prints the newest configuration as it was sent.
///
/// # Errors
/// Where there is none, or no clear answer comes.
pub fn get_configuration(addresses: &[SocketAddr]) -> Result<(), String> {
    let answer = run(client::send(addresses, &Call::get("/opalrun/config"), LIMIT))?;
    accepted(&answer)?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(())
}

/// Prints the tier as a control process sees it.
///
/// # Errors
/// Where no clear answer comes.
pub fn show_tier(addresses: &[SocketAddr], as_json: bool) -> Result<(), String> {
    let answer = run(client::send(addresses, &Call::get("/opalrun/tier"), LIMIT))?;
    accepted(&answer)?;
    if as_json {
        println!("{}", String::from_utf8_lossy(&answer.body));
        return Ok(());
    }
    let view: TierView = facet_json::from_slice(&answer.body).map_err(|error| {
        format!("{}: what the control process tells can't be read: {error}", ResultCode::PROTOCOL_VERSION)
    })?;
    print!("{}", tables::tier(&view));
    Ok(())
}

/// Orders that a store machine be emptied, and may wait until it is.
///
/// # Errors
/// Where the order is refused, no clear answer comes, or the machine is not empty in time.
pub fn retire_store(
    node: &str,
    addresses: &[SocketAddr],
    deadline: Duration,
    follow: bool,
) -> Result<(), String> {
    run(async {
        let began = Instant::now();
        let state = order_retirement(node, addresses, deadline).await?;
        println!("{node}: {}", in_words(&state));
        if follow && state != "completed" {
            follow_retirement(node, addresses, began, deadline).await?;
        }
        Ok(())
    })
}

async fn order_retirement(
    node: &str,
    addresses: &[SocketAddr],
    deadline: Duration,
) -> Result<String, String> {
    let call = Call {
        method: "POST",
        path: format!("/opalrun/retire/{node}"),
        if_match: None,
        body: Bytes::from(format!("{{\"deadline_s\":{}}}", deadline.as_secs())),
    };
    let answer = client::send(addresses, &call, RETIRE_LIMIT).await?;
    accepted(&answer)?;
    read_state(&answer)
}

async fn follow_retirement(
    node: &str,
    addresses: &[SocketAddr],
    began: Instant,
    deadline: Duration,
) -> Result<(), String> {
    while began.elapsed() < deadline {
        sleep(FOLLOW_PAUSE).await;
        let answer = client::send(addresses, &Call::get(format!("/opalrun/retire/{node}")), LIMIT).await?;
        accepted(&answer)?;
        let state = read_state(&answer)?;
        if state == "completed" {
            println!("{node}: {}", in_words(&state));
            return Ok(());
        }
    }
    let seconds = deadline.as_secs();
    Err(format!("{}: {node} is not empty after {seconds} s; the tier goes on", ResultCode::ORDER_UNFINISHED))
}

fn read_state(answer: &Answer) -> Result<String, String> {
    let body: RetireBody = facet_json::from_slice(&answer.body)
        .map_err(|error| format!("{}: the answer can't be read: {error}", ResultCode::PROTOCOL_VERSION))?;
    Ok(body.state)
}

fn in_words(state: &str) -> &str {
    match state {
        "active" => "is being emptied; keep it running",
        "completed" => "is empty: it can be taken away",
        other => other,
    }
}

/// Whether an answer is a success.
fn accepted(answer: &Answer) -> Result<(), String> {
    if answer.status == OK {
        return Ok(());
    }
    match facet_json::from_slice::<Refusal>(&answer.body) {
        Ok(refusal) => Err(format!("{}: {}{}", refusal.code, refusal.reason, sent(answer))),
        Err(_) => Err(format!("{}: answered {}{}", ResultCode::ORDER_REFUSED, answer.status, sent(answer))),
    }
}

/// How often a call was sent, where that was more than once.
fn sent(answer: &Answer) -> String {
    if answer.tries == 1 { String::new() } else { format!(" (sent {} times)", answer.tries) }
}

fn run<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, work)
}
