//! Calls of control processes over HTTP.

use super::retry::{Next, Retries, Tried};
use http_body_util::{BodyExt, Full};
use hyper::{Request, body::Bytes, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use opalrun_wire::ResultCode;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// A control process that is silent for longer is left for another one.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Bytes of a body for which one more such time is allowed.
const BODY_BYTES_A_LIMIT: usize = 1 << 20;
/// Times that a redirection is followed.
const REDIRECTIONS: usize = 2;

/// An order or a question.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The generation that a change builds on.
    pub if_match: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// A question.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: "GET", path: path.into(), if_match: None, body: Bytes::new() }
    }
}

/// A clear answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    /// How often the call was sent.
    pub tries: u32,
}

/// Sends a call to the control processes in turn until there is a clear answer.
///
/// # Errors
/// Where there is none within `limit`.
pub async fn send(addresses: &[SocketAddr], call: &Call, limit: Duration) -> Result<Answer, String> {
    let began = Instant::now();
    let mut retries = Retries::new(limit);
    let mut last = "no control process was asked".to_owned();
    for (address, tries) in addresses.iter().cycle().zip(1..) {
        let tried = follow(*address, call).await;
        let outcome = match &tried {
            Ok((status, _)) => Tried::Answered(*status),
            Err(_) => Tried::Silent,
        };
        match (retries.after(outcome, began.elapsed()), tried) {
            (Next::Done, Ok((status, body))) => return Ok(Answer { status, body, tries }),
            (Next::Again(pause), tried) => {
                last = told(*address, tried);
                sleep(pause).await;
            }
            (_, tried) => {
                last = told(*address, tried);
                break;
            }
        }
    }
    Err(format!(
        "{}: no clear answer within {:.1} s; the last: {last}",
        ResultCode::CONTROL_UNREACHABLE,
        limit.as_secs_f64()
    ))
}

fn told(address: SocketAddr, tried: Result<(u16, Bytes), String>) -> String {
    match tried {
        Ok((status, body)) => format!("{address} answered {status} {}", String::from_utf8_lossy(&body)),
        Err(why) => format!("{address}: {why}"),
    }
}

/// One try, with redirections followed.
async fn follow(address: SocketAddr, call: &Call) -> Result<(u16, Bytes), String> {
    let (mut address, mut call) = (address, call.clone());
    for _ in 0..REDIRECTIONS {
        match try_once(address, &call).await? {
            (status, body, None) => return Ok((status, body)),
            (_, _, Some((to, path))) => (address, call.path) = (to, path),
        }
    }
    let (status, body, _) = try_once(address, &call).await?;
    Ok((status, body))
}

/// Where an answer sends its caller.
type Redirection = Option<(SocketAddr, String)>;

async fn try_once(address: SocketAddr, call: &Call) -> Result<(u16, Bytes, Redirection), String> {
    let limit = SILENCE_LIMIT * (1 + call.body.len() / BODY_BYTES_A_LIMIT) as u32;
    match timeout(limit, exchange(address, call)).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("silent for {:.1} s", limit.as_secs_f64())),
    }
}

async fn exchange(address: SocketAddr, call: &Call) -> Result<(u16, Bytes, Redirection), String> {
    let stream = TcpStream::connect(address).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    tokio::task::spawn_local(connection);
    let mut request = Request::builder()
        .method(call.method)
        .uri(&call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(generation) = call.if_match {
        request = request.header(header::IF_MATCH, generation);
    }
    let request = request.body(Full::new(call.body.clone())).map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let status = response.status().as_u16();
    let redirection = (status == 307).then(|| location(response.headers())).flatten();
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?.to_bytes();
    Ok((status, body, redirection))
}

fn location(headers: &header::HeaderMap) -> Redirection {
    let location = headers.get(header::LOCATION)?.to_str().ok()?;
    let (address, path) = location.strip_prefix("http://")?.split_once('/')?;
    Some((address.parse().ok()?, format!("/{path}")))
}
