//! Names of the HTTP headers that clients and workers use, and the parameters that a request's headers carry.

use crate::{lease, proxy::balance::PromptSegment};
use hyper::{HeaderMap, header::HeaderName};
use snafu::{ResultExt, Snafu};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Identifier of one attempt of a client; a worker's answer repeats it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds that the sender will wait for the answer.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Id of the worker that is to serve the request; any other worker answers 421.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Priority of the request at the worker; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Id of the last event of a stream that the receiver has.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// A worker's statement that it has not run the request and will not run it.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// A worker's report of its load.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
/// A worker's signature of its answer.
pub const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Id of the program that the request belongs to.
pub const PROGRAM: HeaderName = HeaderName::from_static("program");
/// Id of the session, a sequence of turns, that the request belongs to.
pub const SESSION: HeaderName = HeaderName::from_static("session");
/// Milliseconds within which the request's program is to finish.
pub const FINISH_MS: HeaderName = HeaderName::from_static("finish-ms");
/// Tokens that all turns of a program together may emit.
pub const BUDGET: HeaderName = HeaderName::from_static("budget");
/// Tokens of the prompt, and the maximum number of output tokens.
pub const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// Segments of the prompt, for matching against the workers' prefix caches.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("prompt-prefix");
/// Id of the turn that this one continues.
pub const PREVIOUS: HeaderName = HeaderName::from_static("previous");

/// Maximum length of `Request-Id`, `Program` and `Previous`, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Why a request is answered with 400.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum BadRequest {
    /// `Request-Id` is missing, repeated, empty, too long or not text.
    #[snafu(display("the header Request-Id must occur once with 1 to {MAX_NAME_BYTES} characters"))]
    RequestId,
    /// `Budget` or `Token-Usage` is missing or invalid.
    #[snafu(display("{source}"))]
    Budget {
        /// Error that names the header.
        source: lease::TurnBudgetError,
    },
    /// `Program` is repeated, empty, too long or not text.
    #[snafu(display("the header Program must occur at most once, with 1 to {MAX_NAME_BYTES} characters"))]
    Program,
    /// `Previous` is repeated, empty, too long or not text.
    #[snafu(display("the header Previous must occur at most once, with 1 to {MAX_NAME_BYTES} characters"))]
    Previous,
}

/// The budget of a program as stated by one of its turns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProgramBudget {
    /// Id of the program.
    pub program: String,
    /// Budget of the whole program, and maximum of this turn.
    pub turn_budget: lease::TurnBudget,
}

/// Parameters of a request that its headers carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestParameters {
    /// Value of `Request-Id`.
    pub request_id: String,
    /// How long the client will wait for the answer, from `Deadline-Ms`.
    pub client_timeout: Option<Duration>,
    /// Segments of the prompt in order, from `Prompt-Prefix`.
    pub prompt_segments: Vec<PromptSegment>,
    /// Program whose budget the request draws on; `None` when it draws on no budget.
    pub program: Option<ProgramBudget>,
    /// Id of the turn that this request continues.
    pub previous: Option<String>,
    /// Id of the last event that the client has received.
    pub last_event_id: Option<u64>,
}

impl RequestParameters {
    /// Parses the headers of a request.
    ///
    /// # Errors
    /// `Request-Id` is missing, or one of `Request-Id`, `Program`, `Previous` and the budget headers is invalid. Other
    /// invalid headers are ignored.
    pub fn read(headers: &HeaderMap) -> Result<Self, BadRequest> {
        let request_id = name_header(headers, &REQUEST_ID).ok().flatten().ok_or(BadRequest::RequestId)?;
        Ok(Self {
            request_id,
            client_timeout: number_header(headers, &DEADLINE_MS).map(Duration::from_millis),
            prompt_segments: header_text(headers, &PROMPT_PREFIX)
                .map(PromptSegment::parse_all)
                .unwrap_or_default(),
            program: program_budget(headers)?,
            previous: name_header(headers, &PREVIOUS).map_err(|InvalidHeader| BadRequest::Previous)?,
            last_event_id: number_header(headers, &LAST_EVENT_ID),
        })
    }
}

/// Returns the program and budget of a turn; `None` for requests without `Program` or `Budget`, such as tool calls.
fn program_budget(headers: &HeaderMap) -> Result<Option<ProgramBudget>, BadRequest> {
    let program = name_header(headers, &PROGRAM).map_err(|InvalidHeader| BadRequest::Program)?;
    let (Some(program), true) = (program, headers.contains_key(BUDGET)) else { return Ok(None) };
    let turn_budget =
        lease::TurnBudget::parse(header_text(headers, &BUDGET), header_text(headers, &TOKEN_USAGE))
            .context(BudgetSnafu)?;
    Ok(Some(ProgramBudget { program, turn_budget }))
}

/// A header that is repeated, empty, too long or not text.
struct InvalidHeader;

/// Returns the value of a header that holds a name of 1 to [`MAX_NAME_BYTES`] bytes; `None` when it is missing.
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

/// Returns the trimmed value of a header; `None` when it is missing, repeated or not text.
pub fn header_text<'a>(headers: &'a HeaderMap, header: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(header).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}
