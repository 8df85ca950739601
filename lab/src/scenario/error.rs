//! Errors in scenario files.

use std::fmt;

/// One error in a scenario file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Path of the key, such as `fault[2].at_s`; empty if the error concerns the file as a whole.
    pub key: String,
    /// Reason why the value is not accepted.
    pub why: String,
}

/// All errors in a scenario file; never empty.
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
