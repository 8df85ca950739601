//! The commands `opalrun-gateway state show|verify|compact FOLDER`, which inspect and compact a recovery journal.

use super::{
    disk::Folder,
    downtime::BootTime,
    frame::Integrity,
    journal::{self, Journal, JournalContent, JournalError},
    journal_writer::lock,
};
use clap::Subcommand;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Inspects and compacts the state that a gateway keeps on disk. Exit status 0: the journal is complete; 1: it is damaged;
/// 2: wrong usage, or no usable journal.
#[derive(Debug, Subcommand)]
pub enum State {
    /// Prints the content of the journal without changing it.
    Show {
        /// Folder that the configuration names under `state`.
        folder: PathBuf,
        /// Print the whole content as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Reads the journal to its end and prints whether it is complete, without changing it.
    Verify {
        /// Folder that the configuration names under `state`.
        folder: PathBuf,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Rewrites the journal without outdated records. The gateway must not be running.
    Compact {
        /// Folder that the configuration names under `state`.
        folder: PathBuf,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
}

const EXIT_DAMAGED: u8 = 1;
const EXIT_UNUSABLE: u8 = 2;

/// Why a folder's journal can't be shown or compacted.
#[derive(Debug, Snafu)]
enum ToolError {
    #[snafu(display("{}: no journal found", folder.display()))]
    NoJournal { folder: PathBuf },
    #[snafu(display("{}: {source}", folder.display()))]
    Journal { folder: PathBuf, source: JournalError },
    #[snafu(display("{}: {source}", folder.display()))]
    Disk { folder: PathBuf, source: std::io::Error },
    #[snafu(display("{}: in use by a running gateway", folder.display()))]
    InUse { folder: PathBuf },
    #[snafu(display("{}: {integrity}; start the gateway, which repairs it", folder.display()))]
    Damaged { folder: PathBuf, integrity: Integrity },
    #[snafu(display("{}: the gateway shut down cleanly and left leases in the journal; it is not compacted", folder.display()))]
    HoldsLeases { folder: PathBuf },
}

/// Reads a folder's journal without changing it.
fn read(folder: &Path) -> Result<JournalContent, ToolError> {
    let content = journal::read(&mut Folder::new(folder)).context(JournalSnafu { folder })?;
    content.context(NoJournalSnafu { folder })
}

fn summary(content: &JournalContent) -> Value {
    let JournalContent { state, integrity, records, bytes } = content;
    let damage = match integrity {
        Integrity::Complete => Value::Null,
        Integrity::Damaged { offset, unread_bytes, .. } => {
            json!({"at": offset, "left": unread_bytes, "why": integrity.to_string()})
        }
    };
    json!({
        "gateway": state.name, "bytes": bytes, "records": records, "customers": state.customers.len(),
        "out_by_hand": state.offline_workers, "plans": state.plans, "ended_in_good_order": state.shut_down_cleanly,
        "others_count_as_spent": state.others_spent_at.is_some() || *integrity != Integrity::Complete, "damage": damage,
        "workers": state.workers.as_ref().map_or(0, |(_, w)| w.len()), "boot": state.at.boot_id, "up_s": state.latest_uptime,
    })
}

fn exit_code(content: &JournalContent) -> ExitCode {
    if content.integrity == Integrity::Complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DAMAGED) }
}

/// Prints the content: all of it as JSON if `as_json` is set, else as text.
fn show(content: &JournalContent, as_json: bool) {
    let JournalContent { state, integrity, records, bytes } = content;
    if as_json {
        let mut report = summary(content);
        report["state"] = json!(state);
        println!("{report}");
        return;
    }
    println!("gateway {:?}: {bytes} bytes, {records} records, {integrity}", state.name);
    println!(
        "{} customers, {}",
        state.customers.len(),
        if state.shut_down_cleanly { "shut down cleanly" } else { "not shut down cleanly" }
    );
    state.offline_workers.iter().for_each(|id| println!("worker {id:?} was taken offline by an operator"));
    println!("{} workers listed", state.workers.as_ref().map_or(0, |(_, w)| w.len()));
    for (id, entry) in &state.customers {
        let (plan, l) = (state.plans.get(entry.plan as usize).map_or("?", String::as_str), &entry.ledger);
        let level = l.level.map_or("unknown".to_owned(), |level| format!("{level:.2}"));
        println!(
            "customer {id:?} of {plan:?}: lease {:.2} in window {}, owed {:.2}, share {:.2}, level {level}, {:.1} s old",
            l.lease,
            l.window,
            l.owed,
            l.share,
            state.latest_uptime - entry.uptime
        );
    }
}

/// Rewrites the journal and returns its new length in bytes.
fn compact(folder: &Path) -> Result<u64, ToolError> {
    let _lock = lock(folder).context(DiskSnafu { folder })?.context(InUseSnafu { folder })?;
    let content = read(folder)?;
    ensure!(content.integrity == Integrity::Complete, DamagedSnafu { folder, integrity: content.integrity });
    let now = BootTime { boot_id: content.state.at.boot_id.clone(), uptime: content.state.latest_uptime };
    let (mut journal, _) =
        Journal::open(Folder::new(folder), &content.state.name, &now).context(DiskSnafu { folder })?;
    ensure!(!content.state.shut_down_cleanly, HoldsLeasesSnafu { folder });
    journal.rewrite().context(DiskSnafu { folder })?;
    Ok(journal.bytes())
}

/// Runs one of the commands and returns the exit status.
pub fn run(command: &State) -> ExitCode {
    let folder = match command {
        State::Show { folder, .. } | State::Verify { folder, .. } | State::Compact { folder, .. } => folder,
    };
    let content = match read(folder) {
        Ok(content) => content,
        Err(error) => {
            eprintln!("opalrun-gateway: {error}");
            return ExitCode::from(EXIT_UNUSABLE);
        }
    };
    match command {
        State::Show { json, .. } => show(&content, *json),
        State::Verify { json: true, .. } => println!("{}", summary(&content)),
        State::Verify { .. } => println!("{}: {}", folder.display(), content.integrity),
        State::Compact { json, .. } => match compact(folder) {
            Ok(after) if *json => println!("{}", json!({"before": content.bytes, "after": after})),
            Ok(after) => println!("{}: {} bytes, {after} now", folder.display(), content.bytes),
            Err(error) => {
                eprintln!("opalrun-gateway: {error}");
                let damaged = content.integrity != Integrity::Complete;
                return ExitCode::from(if damaged { EXIT_DAMAGED } else { EXIT_UNUSABLE });
            }
        },
    }
    exit_code(&content)
}
