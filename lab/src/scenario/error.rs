//! What is wrong with a scenario file.

use std::fmt;

/// One thing wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where, such as `fault[2].at_s`.
    pub key: String,
    /// Why it is not accepted.
    pub why: String,
}

/// All that is wrong with a scenario; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid(pub Vec<Problem>);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, wrong) in self.0.iter().enumerate() {
            let key = if wrong.key.is_empty() { "the file" } else { &wrong.key };
            write!(f, "{}{key}: {}", if i > 0 { "\n" } else { "" }, wrong.why)?;
        }
        Ok(())
    }
}

impl std::error::Error for Invalid {}
