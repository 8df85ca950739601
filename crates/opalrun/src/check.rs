//! `opalrun check`: validates files without starting a role.

use crate::operator::lines_of;
use opalrun_configuration::{Configuration, Problem};
use opalrun_settings::{Settings, SettingsError};
use opalrun_wire::ResultCode;
use snafu::{ResultExt, Snafu};
use std::{
    io,
    path::{Path, PathBuf},
    str::FromStr,
};

/// The kind of a file to check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckedKind {
    /// The settings of a process, in TOML.
    Settings,
    /// A configuration as sent by the operator, in JSON.
    Configuration,
}

/// The error for an unknown kind of file on the command line.
#[derive(Debug, Snafu)]
#[snafu(display("{kind:?} is neither settings nor configuration"))]
pub struct UnknownKind {
    kind: String,
}

impl FromStr for CheckedKind {
    type Err = UnknownKind;

    fn from_str(text: &str) -> Result<Self, UnknownKind> {
        match text {
            "settings" => Ok(Self::Settings),
            "configuration" => Ok(Self::Configuration),
            other => UnknownKindSnafu { kind: other }.fail(),
        }
    }
}

/// Why a check failed.
#[derive(Debug, Snafu)]
pub enum CheckError {
    /// The settings can't be read or are invalid.
    #[snafu(display("{source}"))]
    InvalidSettings {
        /// The error, with all problems found.
        source: SettingsError,
    },
    /// The configuration file can't be read.
    #[snafu(display("{}: {}: {source}", ResultCode::CONFIGURATION_INVALID, path.display()))]
    ReadConfiguration {
        /// Path of the file.
        path: PathBuf,
        /// The error from the operating system.
        source: io::Error,
    },
    /// The configuration is invalid. The message has one line for each problem.
    #[snafu(display(
        "{}: {}: {} problems{}",
        ResultCode::CONFIGURATION_INVALID,
        path.display(),
        problems.len(),
        lines_of(problems)
    ))]
    InvalidConfiguration {
        /// Path of the file.
        path: PathBuf,
        /// All problems found.
        problems: Vec<Problem>,
    },
}

/// Checks a file, and prints a confirmation if it is valid.
///
/// # Errors
/// The file can't be read, or is invalid.
pub fn file(kind: CheckedKind, file: &Path) -> Result<(), CheckError> {
    match kind {
        CheckedKind::Settings => settings(file),
        CheckedKind::Configuration => configuration(file),
    }
}

fn settings(file: &Path) -> Result<(), CheckError> {
    let settings = Settings::load(file).context(InvalidSettingsSnafu)?;
    let problems = settings.contradictions();
    if !problems.is_empty() {
        let source = SettingsError::Invalid { path: file.to_owned(), problems };
        return Err(CheckError::InvalidSettings { source });
    }
    println!("{}: the settings of {} are valid", file.display(), settings.node_name);
    Ok(())
}

fn configuration(file: &Path) -> Result<(), CheckError> {
    let body = std::fs::read(file).context(ReadConfigurationSnafu { path: file })?;
    match Configuration::parse(&body) {
        Ok(configuration) => {
            println!("{}: generation {} is valid", file.display(), configuration.generation);
            Ok(())
        }
        Err(problems) => InvalidConfigurationSnafu { path: file, problems }.fail(),
    }
}
