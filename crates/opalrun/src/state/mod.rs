//! What a control process or a store has on disk, looked at offline and without changing it.

mod tables;

use facet::Facet;
use opalrun_control::inspect::ControlState;
use opalrun_storage::{DataDirectory, ReadOnlyDisk};
use opalrun_store::inspect::StoreOnDisk;
use std::{path::Path, str::FromStr, sync::Arc};

/// A role with a state on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatefulRole {
    /// A control process.
    Control,
    /// A store.
    Store,
}

impl FromStr for StatefulRole {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "control" => Ok(Self::Control),
            "store" => Ok(Self::Store),
            other => Err(format!("{other:?} is neither control nor store")),
        }
    }
}

/// What was found in a folder.
#[derive(Facet, Debug)]
struct Report {
    /// The state, if the folder is a control process's and can be read.
    control: Option<ControlState>,
    /// The state, if the folder is a store's and can be read.
    store: Option<StoreOnDisk>,
    /// What is wrong, each beginning with a result code.
    problems: Vec<String>,
    /// What the process would mend by itself at its next start.
    mended_at_start: Vec<String>,
}

/// Prints what a folder holds.
///
/// # Errors
/// The problems, if there are any.
pub fn show(role: StatefulRole, folder: &Path, as_json: bool) -> Result<(), String> {
    let report = look(role, folder)?;
    if as_json {
        let text = facet_json::to_string(&report).map_err(|error| error.to_string())?;
        println!("{text}");
    } else {
        print!("{}", tables::report(&report));
    }
    outcome(report.problems)
}

/// Reads everything in a folder and tells what is wrong.
///
/// # Errors
/// The problems, if there are any.
pub fn verify(role: StatefulRole, folder: &Path) -> Result<(), String> {
    let report = look(role, folder)?;
    for mended in &report.mended_at_start {
        println!("at the next start: {mended}");
    }
    outcome(report.problems)?;
    println!("{}: everything can be read", folder.display());
    Ok(())
}

fn look(role: StatefulRole, folder: &Path) -> Result<Report, String> {
    let disk = ReadOnlyDisk::new();
    let directory =
        DataDirectory::open_on(Arc::new(disk.clone()), folder).map_err(|error| error.to_string())?;
    let (control, store, problems) = match role {
        StatefulRole::Control => {
            let found = opalrun_control::inspect::inspect(&directory);
            (found.state, None, found.problems)
        }
        StatefulRole::Store => {
            let found = opalrun_store::inspect::inspect(&directory);
            (None, found.state, found.problems)
        }
    };
    Ok(Report { control, store, problems, mended_at_start: disk.notes() })
}

fn outcome(problems: Vec<String>) -> Result<(), String> {
    if problems.is_empty() { Ok(()) } else { Err(problems.join("\n")) }
}
