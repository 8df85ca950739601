//! Bodies on their way through: gathered whole while they are short, passed on in pieces when they are not.

mod forwarding;
mod gathered;
mod request;
mod response;
#[cfg(test)]
mod tests;
mod upload;

pub use forwarding::Forwarding;
pub use gathered::{Gathered, MemoryBudget};
pub use request::RequestBody;
pub use response::{Piece, ResponseBody};
pub use upload::{BodyError, Request, Unwanted, Upload, drain, gather};

use std::time::Duration;

/// Most bytes of a body that are gathered, either way: a longer one streams.
pub const GATHERED: usize = 64 * 1024;
/// Most bytes of a request's body.
pub const LONGEST: u64 = 32 << 20;
/// A client that sends a body sends so many bytes a second at least ...
const SLOWEST: f64 = 24.0 * 1024.0;
/// ... and never keeps a reader waiting for longer than this.
const SILENT: Duration = Duration::from_secs(2);
