//! Checks of files, without starting anything.

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

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckedKind {
    /// The settings of a process.
    Settings,
    /// A configuration as the operator sends it.
    Configuration,
}

/// A kind of file that can't be checked.
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

/// What is wrong with a file.
#[derive(Debug, Snafu)]
pub enum CheckError {
    /// The settings can't be read, or are wrong.
    #[snafu(display("{source}"))]
    InvalidSettings {
        /// All that is wrong with them.
        source: SettingsError,
    },
    /// The configuration can't be read from its file.
    #[snafu(display("{}: {}: {source}", ResultCode::CONFIGURATION_INVALID, path.display()))]
    ReadConfiguration {
        /// The file.
        path: PathBuf,
        /// The failure of the file system.
        source: io::Error,
    },
    /// The configuration is wrong. The text has one line a problem.
    #[snafu(display(
        "{}: {}: {} problems{}",
        ResultCode::CONFIGURATION_INVALID,
        path.display(),
        problems.len(),
        lines_of(problems)
    ))]
    InvalidConfiguration {
        /// The file.
        path: PathBuf,
        /// All that is wrong with it.
        problems: Vec<Problem>,
    },
}

/// Checks a file.
///
/// # Errors
/// All that is wrong with it.
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
    println!("{}: settings of {} are in order", file.display(), settings.node_name);
    Ok(())
}

fn configuration(file: &Path) -> Result<(), CheckError> {
    let body = std::fs::read(file).context(ReadConfigurationSnafu { path: file })?;
    match Configuration::parse(&body) {
        Ok(configuration) => {
            println!("{}: generation {} is in order", file.display(), configuration.generation);
            Ok(())
        }
        Err(problems) => InvalidConfigurationSnafu { path: file, problems }.fail(),
    }
}
