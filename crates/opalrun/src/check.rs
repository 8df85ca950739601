//! Checks of files, without starting anything.

use opalrun_configuration::Configuration;
use opalrun_settings::Settings;
use opalrun_wire::ResultCode;
use std::{path::Path, str::FromStr};

/// What a file holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckedKind {
    /// The settings of a process.
    Settings,
    /// A configuration as the operator sends it.
    Configuration,
}

impl FromStr for CheckedKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "settings" => Ok(Self::Settings),
            "configuration" => Ok(Self::Configuration),
            other => Err(format!("{other:?} is neither settings nor configuration")),
        }
    }
}

/// Checks a file.
///
/// # Errors
/// All that is wrong with it.
pub fn file(kind: CheckedKind, file: &Path) -> Result<(), String> {
    match kind {
        CheckedKind::Settings => settings(file),
        CheckedKind::Configuration => configuration(file),
    }
}

/// Checks a settings file.
fn settings(file: &Path) -> Result<(), String> {
    let settings = Settings::load(file).map_err(|error| error.to_string())?;
    println!("{}: settings of {} are in order", file.display(), settings.node_name);
    Ok(())
}

/// Checks a configuration as the operator sends it. The error has one line a problem.
fn configuration(file: &Path) -> Result<(), String> {
    let failed = |what: String| format!("{}: {}: {what}", ResultCode::CONFIGURATION_INVALID, file.display());
    let body = std::fs::read(file).map_err(|error| failed(error.to_string()))?;
    let configuration = Configuration::parse(&body).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|problem| format!("\n  {problem}")).collect();
        failed(format!("{} problems{}", lines.len(), lines.concat()))
    })?;
    println!("{}: generation {} is in order", file.display(), configuration.generation);
    Ok(())
}
