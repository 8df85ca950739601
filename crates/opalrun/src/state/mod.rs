//! `opalrun state`: inspects the data directory of a control process or store offline, without changing it.

mod tables;

use facet::Facet;
use opalrun_control::inspect::ControlState;
use opalrun_storage::{DataDirectory, ReadOnlyDisk, StorageError};
use opalrun_store::inspect::StoreOnDisk;
use snafu::{ResultExt, Snafu};
use std::{error::Error, path::Path, str::FromStr, sync::Arc};

/// A role that stores state on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatefulRole {
    /// A control process.
    Control,
    /// A store.
    Store,
}

/// The error for a role on the command line that has no state on disk.
#[derive(Debug, Snafu)]
#[snafu(display("{role:?} is neither control nor store"))]
pub struct UnknownRole {
    role: String,
}

impl FromStr for StatefulRole {
    type Err = UnknownRole;

    fn from_str(text: &str) -> Result<Self, UnknownRole> {
        match text {
            "control" => Ok(Self::Control),
            "store" => Ok(Self::Store),
            other => UnknownRoleSnafu { role: other }.fail(),
        }
    }
}

/// An action on a data directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateAction {
    /// Print numbers and sizes.
    Show,
    /// Read everything and print problems.
    Verify,
}

/// The error for an unknown action on the command line.
#[derive(Debug, Snafu)]
#[snafu(display("{action:?} is neither show nor verify"))]
pub struct UnknownAction {
    action: String,
}

impl FromStr for StateAction {
    type Err = UnknownAction;

    fn from_str(text: &str) -> Result<Self, UnknownAction> {
        match text {
            "show" => Ok(Self::Show),
            "verify" => Ok(Self::Verify),
            other => UnknownActionSnafu { action: other }.fail(),
        }
    }
}

/// Why an inspection failed.
#[derive(Debug, Snafu)]
pub enum StateError {
    /// The data directory can't be opened.
    #[snafu(display("{source}"))]
    Open {
        /// Error of the disk operation.
        source: StorageError,
    },
    /// The report can't be encoded as JSON.
    #[snafu(display("{source}"))]
    Encode {
        /// Error of the JSON encoder.
        source: Box<dyn Error>,
    },
    /// The content of the data directory is missing, damaged or inconsistent.
    #[snafu(display("{}", problems.join("\n")))]
    Problems {
        /// All problems found; each message begins with a result code.
        problems: Vec<String>,
    },
}

/// The result of an inspection. Field names are part of the JSON output.
#[derive(Facet, Debug)]
struct Report {
    /// State of a control process; `None` for a store, or if the state can't be read.
    control: Option<ControlState>,
    /// State of a store; `None` for a control process, or if the state can't be read.
    store: Option<StoreOnDisk>,
    /// Problems found; each message begins with a result code.
    problems: Vec<String>,
    /// Repairs that the process would make at its next start.
    #[facet(rename = "mended_at_start")]
    repairs_at_start: Vec<String>,
}

/// Inspects a data directory. Prints its state, or for [`StateAction::Verify`] only the repairs of the next start.
///
/// # Errors
/// The directory can't be opened, or has problems.
pub fn inspect(
    action: StateAction,
    role: StatefulRole,
    folder: &Path,
    as_json: bool,
) -> Result<(), StateError> {
    let report = read(role, folder)?;
    let is_valid = report.problems.is_empty();
    match action {
        _ if as_json => println!("{}", encode(&report)?),
        StateAction::Show => print!("{}", tables::report(&report)),
        StateAction::Verify => print!("{}", tables::repairs(&report)),
    }
    if action == StateAction::Verify && is_valid && !as_json {
        println!("{}: no problems found", folder.display());
    }
    if is_valid { Ok(()) } else { ProblemsSnafu { problems: report.problems }.fail() }
}

fn encode(report: &Report) -> Result<String, StateError> {
    facet_json::to_string(report).map_err(|error| StateError::Encode { source: Box::new(error) })
}

fn read(role: StatefulRole, folder: &Path) -> Result<Report, StateError> {
    let disk = ReadOnlyDisk::new();
    let directory = DataDirectory::open_on(Arc::new(disk.clone()), folder).context(OpenSnafu)?;
    let (control, store, problems) = match role {
        StatefulRole::Control => {
            let found = opalrun_control::inspect::inspect(&directory);
            (found.state, None, found.problems.iter().map(ToString::to_string).collect())
        }
        StatefulRole::Store => match opalrun_store::inspect::inspect(&directory) {
            Ok(state) => (None, Some(state), Vec::new()),
            Err(error) => (None, None, vec![error.to_string()]),
        },
    };
    Ok(Report { control, store, problems, repairs_at_start: disk.skipped_changes() })
}
