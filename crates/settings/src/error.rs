//! Errors of a settings file.

use crate::PATH_VARIABLE;
use opalrun_wire::ResultCode;
use snafu::Snafu;
use std::{fmt, io, path::PathBuf};

/// Why a settings file can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The environment variable with the path is not set, or empty.
    #[snafu(display(
        "{}: the environment variable {PATH_VARIABLE} is not set to the path of a settings file",
        ResultCode::SETTINGS_INVALID
    ))]
    NoPath,
    /// The file can't be read.
    #[snafu(display("{}: {}: {source}", ResultCode::SETTINGS_INVALID, path.display()))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The file is not valid TOML.
    #[snafu(display("{}: {}: {source}", ResultCode::SETTINGS_INVALID, path.display()))]
    Syntax {
        /// Path of the file.
        path: PathBuf,
        /// The error from the parser, with its position in the file.
        source: toml::de::Error,
    },
    /// Settings are missing or invalid.
    #[snafu(display("{}: {}: {}", ResultCode::SETTINGS_INVALID, path.display(), list(problems)))]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// All settings that are missing or invalid.
        problems: Vec<Problem>,
    },
}

/// A setting that is missing or invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Full key of the setting, such as `limits.memory_mb`.
    pub key: String,
    /// Value from the file; `None` if the setting is missing.
    pub value: Option<String>,
    /// Description of a valid value, as text for operators.
    pub expected: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "`{}` is {value}: expected {}", self.key, self.expected),
            None => write!(f, "`{}` is missing: expected {}", self.key, self.expected),
        }
    }
}

/// Formats all problems in one line.
fn list(problems: &[Problem]) -> String {
    problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("; ")
}
