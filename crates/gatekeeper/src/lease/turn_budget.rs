//! Parses the budget headers of a turn.

use opalrun_wire::ResultCode;
use snafu::{OptionExt, Snafu, ensure};

/// Largest accepted budget or number of units; a larger value is treated as a client error.
const MAX_UNITS: u64 = 1_000_000_000_000_000;
/// Largest accepted number of digits, leading zeros included.
const MAX_DIGITS: usize = 20;

/// The budget of a turn's program and the maximum of the turn itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnBudget {
    /// Units that all turns of the program together may emit.
    pub budget: u64,
    /// Units that this turn may emit.
    pub max_units: u64,
}

/// A budget header is missing, malformed or out of range. Answered with 400.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}: the header `{header}` is missing or invalid", ResultCode::TURN_TERMS_INVALID))]
pub struct TurnBudgetError {
    /// Name of the header.
    header: &'static str,
}

impl TurnBudget {
    /// Parses the value of `Budget`, such as `1080`, and that of `Token-Usage`, such as `1840,135`: the prompt's tokens
    /// and the maximum number of output tokens.
    ///
    /// # Errors
    /// A value is missing, not an integer or out of range.
    pub fn parse(budget: Option<&str>, usage: Option<&str>) -> Result<Self, TurnBudgetError> {
        let budget = budget.and_then(units).context(TurnBudgetSnafu { header: "Budget" })?;
        let (prompt, max_units) = usage
            .and_then(|value| value.split_once(','))
            .context(TurnBudgetSnafu { header: "Token-Usage" })?;
        units(prompt).context(TurnBudgetSnafu { header: "Token-Usage" })?;
        let max_units = units(max_units).context(TurnBudgetSnafu { header: "Token-Usage" })?;
        ensure!(max_units > 0, TurnBudgetSnafu { header: "Token-Usage" });
        Ok(Self { budget, max_units })
    }
}

/// Parses an unsigned integer of at most [`MAX_DIGITS`] digits and at most [`MAX_UNITS`]; signs are not accepted.
fn units(text: &str) -> Option<u64> {
    let text = text.trim();
    let is_digits =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = is_digits.then(|| text.parse().ok()).flatten()?;
    (number <= MAX_UNITS).then_some(number)
}
