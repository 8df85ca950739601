//! Exit statuses: the class of the result code in an error message. `docs/results.md` lists them.

use std::process::ExitCode;

/// Exit status for an invalid command line.
pub const USAGE: u8 = 64;
/// Exit status for a failure without a result code.
const OTHER_FAILURE: u8 = 70;
/// Number of result codes in a class. All have the same first digit, which is the exit status.
const CODES_PER_CLASS: u16 = 100;
/// Number of digits in a result code.
const CODE_DIGITS: usize = 3;

/// Returns the exit status for a failure with this message. The result code is parsed from the text, because it may come
/// from the response of another process.
pub fn status(message: &str) -> ExitCode {
    ExitCode::from(class(message).unwrap_or(OTHER_FAILURE))
}

/// Returns the class of the first result code in a message: an `E` followed by three digits.
fn class(message: &str) -> Option<u8> {
    let mut tokens = message.split(|character: char| !character.is_ascii_alphanumeric());
    let code: u16 = tokens.find_map(|token| {
        let digits = token.strip_prefix('E').filter(|digits| digits.len() == CODE_DIGITS)?;
        digits.parse().ok()
    })?;
    u8::try_from(code / CODES_PER_CLASS).ok()
}
