//! Checks of files, without starting anything.

use opalrun_configuration::Configuration;
use opalrun_settings::Settings;
use opalrun_wire::ResultCode;
use std::path::Path;

/// Checks a settings file.
///
/// # Errors
/// All that is wrong with it.
pub fn settings(file: &Path) -> Result<(), String> {
    let settings = Settings::load(file).map_err(|error| error.to_string())?;
    println!("{}: settings of {} are in order", file.display(), settings.node_name);
    Ok(())
}

/// Checks a configuration as the operator sends it.
///
/// # Errors
/// All that is wrong with it, one line a problem.
pub fn configuration(file: &Path) -> Result<(), String> {
    let failed = |what: String| format!("{}: {}: {what}", ResultCode::CONFIGURATION_INVALID, file.display());
    let body = std::fs::read(file).map_err(|error| failed(error.to_string()))?;
    let configuration = Configuration::parse(&body).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|problem| format!("\n  {problem}")).collect();
        failed(format!("{} problems{}", lines.len(), lines.concat()))
    })?;
    println!("{}: generation {} is in order", file.display(), configuration.generation);
    Ok(())
}
