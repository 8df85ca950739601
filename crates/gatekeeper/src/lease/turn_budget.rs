//! What a turn says of its budget.

use opalrun_wire::ResultCode;
use snafu::{OptionExt, Snafu, ensure};

/// The largest budget or number of units that is taken for meant.
const MAX_UNITS: u64 = 1_000_000_000_000_000;
/// Digits that such a number may have.
const MAX_DIGITS: usize = 20;

/// A turn's budget, and the maximum that the turn itself may emit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnBudget {
    /// Units that all turns of the program may emit together.
    pub budget: u64,
    /// Units that this turn may emit.
    pub max_units: u64,
}

/// A header of a turn that can't be meant: the answer is 400.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{}: the header `{header}` is missing or absurd", ResultCode::TURN_TERMS_INVALID))]
pub struct TurnBudgetError {
    /// The header.
    header: &'static str,
}

impl TurnBudget {
    /// Reads the values of `Budget` (`1080`) and of `Token-Usage` (`1840,135`: of the prompt, and the most out).
    ///
    /// # Errors
    /// One of them is missing, not a whole number, or beyond all bounds.
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

/// A whole number in digits only.
fn units(text: &str) -> Option<u64> {
    let text = text.trim();
    let is_digits =
        !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|byte| byte.is_ascii_digit());
    let number = is_digits.then(|| text.parse().ok()).flatten()?;
    (number <= MAX_UNITS).then_some(number)
}
