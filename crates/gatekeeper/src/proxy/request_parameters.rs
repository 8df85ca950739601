//! What a request's headers say about how it is to be served.

use crate::{lease, proxy::balance::PromptSegment};
use hyper::{HeaderMap, header::HeaderName};
use snafu::{ResultExt, Snafu};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Names the try of a client.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds that the client will wait.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// The worker that is to serve the request.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// The rank of a request at its worker.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The last event that a client has of a stream.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// A worker's statement that it did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// A worker's report of how full it is.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// A worker's stamp on its answer.
pub const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// The program that a request belongs to.
pub const PROGRAM: HeaderName = HeaderName::from_static("program");
/// The line of turns that a request belongs to.
pub const SESSION: HeaderName = HeaderName::from_static("session");
/// Milliseconds until the request's program should have ended.
pub const FINISH_MS: HeaderName = HeaderName::from_static("finish-ms");
/// Tokens that the turns of a program may emit together.
pub const BUDGET: HeaderName = HeaderName::from_static("budget");
/// Tokens of the prompt, and the most that may come out.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// The parts of the prompt.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// The turn that this one continues from.
pub const PREVIOUS: HeaderName = HeaderName::from_static("previous");

/// Longest `Request-Id`, `Program` or `Previous`, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Why a request can't be served at all.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum BadRequest {
    /// `Request-Id` is missing, doubled, empty or too long.
    #[snafu(display("a request needs one Request-Id of 1 to {MAX_NAME_BYTES} characters"))]
    RequestId,
    /// `Budget` or `Token-Usage` can't be meant.
    #[snafu(display("{source}"))]
    Budget {
        /// Which one.
        source: lease::TurnBudgetError,
    },
    /// `Program` is doubled, empty or too long.
    #[snafu(display("Program is to be one text of 1 to {MAX_NAME_BYTES} characters"))]
    Program,
    /// `Previous` is doubled, empty or too long.
    #[snafu(display("Previous is to be one text of 1 to {MAX_NAME_BYTES} characters"))]
    Previous,
}

/// A program's budget as one of its turns names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramBudget {
    /// The program.
    pub program: String,
    /// What its turns may emit together, and this one.
    pub turn_budget: lease::TurnBudget,
}

/// What a request's headers say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestParameters {
    /// Its `Request-Id`.
    pub request_id: String,
    /// How long the client will wait, from `Deadline-Ms`.
    pub client_timeout: Option<Duration>,
    /// The parts of its prompt.
    pub prompt_segments: Vec<PromptSegment>,
    /// The program whose budget it draws on.
    pub program: Option<ProgramBudget>,
    /// The turn that it continues from.
    pub previous: Option<String>,
    /// The last event that the client has.
    pub last_event_id: Option<u64>,
}

impl RequestParameters {
    /// Reads the headers.
    ///
    /// # Errors
    /// Where one that decides what may be done can't be read.
    pub fn read(headers: &HeaderMap) -> Result<Self, BadRequest> {
        let request_id = name_header(headers, &REQUEST_ID).ok().flatten().ok_or(BadRequest::RequestId)?;
        Ok(Self {
            request_id,
            client_timeout: number_header(headers, &DEADLINE_MS).map(Duration::from_millis),
            prompt_segments: header_text(headers, &PROMPT_PREFIX)
                .map(PromptSegment::parse_all)
                .unwrap_or_default(),
            program: program(headers)?,
            previous: name_header(headers, &PREVIOUS).map_err(|InvalidHeader| BadRequest::Previous)?,
            last_event_id: number_header(headers, &LAST_EVENT_ID),
        })
    }
}

/// The terms of a turn that draws on a budget; other requests of programs name none.
fn program(headers: &HeaderMap) -> Result<Option<ProgramBudget>, BadRequest> {
    let program = name_header(headers, &PROGRAM).map_err(|InvalidHeader| BadRequest::Program)?;
    let (Some(program), true) = (program, headers.contains_key(BUDGET)) else { return Ok(None) };
    let turn_budget =
        lease::TurnBudget::parse(header_text(headers, &BUDGET), header_text(headers, &TOKEN_USAGE))
            .context(BudgetSnafu)?;
    Ok(Some(ProgramBudget { program, turn_budget }))
}

/// A header that is doubled, empty, too long or no text.
struct InvalidHeader;

/// The text of a header that names something.
fn name_header(headers: &HeaderMap, header: &HeaderName) -> Result<Option<String>, InvalidHeader> {
    if !headers.contains_key(header) {
        return Ok(None);
    }
    let value = header_text(headers, header).filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES);
    value.map(|text| Some(text.to_owned())).ok_or(InvalidHeader)
}

fn number_header(headers: &HeaderMap, header: &HeaderName) -> Option<u64> {
    header_text(headers, header)?.parse().ok()
}

/// The one value of a header; `None` where it is missing, doubled or no text.
pub fn header_text<'a>(headers: &'a HeaderMap, header: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(header).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}
