//! `opalrun-gateway state show|verify|compact FOLDER`.

use super::{
    disk::Folder,
    downtime::Moment,
    frame::End,
    journal::{self, Journal, JournalError, Reading},
    journal_writer::lock,
};
use clap::Subcommand;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// Looks after the state that a gateway keeps on disk. Status 0: it is whole; 1: it is damaged, and where; 2: wrong use,
/// or no journal there.
#[derive(Debug, Subcommand)]
pub enum State {
    /// Says what the journal holds; changes nothing.
    Show {
        /// The folder that `state` in the configuration names.
        folder: PathBuf,
        /// All of it, as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Reads the journal to its end and says whether it is whole; changes nothing.
    Verify {
        /// The folder that `state` in the configuration names.
        folder: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
    /// Writes the journal anew, without what has been overtaken. The gateway must not run.
    Compact {
        /// The folder that `state` in the configuration names.
        folder: PathBuf,
        /// As JSON.
        #[arg(long)]
        json: bool,
    },
}

const DAMAGED: u8 = 1;
const UNUSABLE: u8 = 2;

/// Why a folder's journal can't be shown or compacted.
#[derive(Debug, Snafu)]
enum ToolError {
    #[snafu(display("{}: no journal is there", folder.display()))]
    NoJournal { folder: PathBuf },
    #[snafu(display("{}: {source}", folder.display()))]
    Journal { folder: PathBuf, source: JournalError },
    #[snafu(display("{}: {source}", folder.display()))]
    Disk { folder: PathBuf, source: std::io::Error },
    #[snafu(display("{}: a gateway uses it", folder.display()))]
    InUse { folder: PathBuf },
    #[snafu(display("{}: {end}; start the gateway, which mends it", folder.display()))]
    Damaged { folder: PathBuf, end: End },
    #[snafu(display("{}: it ended in good order and holds leases; it is left as it is", folder.display()))]
    HoldsLeases { folder: PathBuf },
}

/// Reads a folder's journal.
fn read(folder: &Path) -> Result<Reading, ToolError> {
    let reading = journal::read(&mut Folder::new(folder)).context(JournalSnafu { folder })?;
    reading.context(NoJournalSnafu { folder })
}

fn summary(reading: &Reading) -> Value {
    let Reading { image, end, records, bytes } = reading;
    let damage = match end {
        End::Whole => Value::Null,
        End::Damaged { at, left, .. } => json!({"at": at, "left": left, "why": end.to_string()}),
    };
    json!({
        "gateway": image.name, "bytes": bytes, "records": records, "customers": image.customers.len(),
        "out_by_hand": image.aside, "plans": image.plans, "ended_in_good_order": image.ended,
        "others_count_as_spent": image.spent.is_some() || *end != End::Whole, "damage": damage,
        "workers": image.workers.as_ref().map_or(0, |(_, w)| w.len()), "boot": image.at.boot, "up_s": image.last,
    })
}

fn status(reading: &Reading) -> ExitCode {
    if reading.end == End::Whole { ExitCode::SUCCESS } else { ExitCode::from(DAMAGED) }
}

fn show(reading: &Reading, all: bool) {
    let Reading { image, end, records, bytes } = reading;
    if all {
        let mut whole = summary(reading);
        whole["state"] = json!(image);
        println!("{whole}");
        return;
    }
    println!("gateway {:?}: {bytes} bytes, {records} records, {end}", image.name);
    println!(
        "{} customers, {}",
        image.customers.len(),
        if image.ended { "ended in good order" } else { "not ended" }
    );
    image.aside.iter().for_each(|id| println!("worker {id:?} is out by hand"));
    println!("{} workers listed", image.workers.as_ref().map_or(0, |(_, w)| w.len()));
    for (id, entered) in &image.customers {
        let (plan, l) = (image.plans.get(entered.plan as usize).map_or("?", String::as_str), &entered.ledger);
        let level = l.level.map_or("unknown".to_owned(), |level| format!("{level:.2}"));
        println!(
            "customer {id:?} of {plan:?}: lease {:.2} in window {}, owed {:.2}, share {:.2}, level {level}, {:.1} s old",
            l.lease,
            l.window,
            l.owed,
            l.share,
            image.last - entered.up
        );
    }
}

/// Writes the journal anew; returns its length in bytes.
fn compact(folder: &Path) -> Result<u64, ToolError> {
    let _lock = lock(folder).context(DiskSnafu { folder })?.context(InUseSnafu { folder })?;
    let reading = read(folder)?;
    ensure!(reading.end == End::Whole, DamagedSnafu { folder, end: reading.end });
    let now = Moment { boot: reading.image.at.boot.clone(), up: reading.image.last };
    let (mut journal, _) =
        Journal::open(Folder::new(folder), &reading.image.name, &now).context(DiskSnafu { folder })?;
    ensure!(!reading.image.ended, HoldsLeasesSnafu { folder });
    journal.renew().context(DiskSnafu { folder })?;
    Ok(journal.bytes())
}

/// Carries out one of the calls.
pub fn run(call: &State) -> ExitCode {
    let folder = match call {
        State::Show { folder, .. } | State::Verify { folder, .. } | State::Compact { folder, .. } => folder,
    };
    let reading = match read(folder) {
        Ok(reading) => reading,
        Err(why) => {
            eprintln!("opalrun-gateway: {why}");
            return ExitCode::from(UNUSABLE);
        }
    };
    match call {
        State::Show { json, .. } => show(&reading, *json),
        State::Verify { json: true, .. } => println!("{}", summary(&reading)),
        State::Verify { .. } => println!("{}: {}", folder.display(), reading.end),
        State::Compact { json, .. } => match compact(folder) {
            Ok(after) if *json => println!("{}", json!({"before": reading.bytes, "after": after})),
            Ok(after) => println!("{}: {} bytes, {after} now", folder.display(), reading.bytes),
            Err(why) => {
                eprintln!("opalrun-gateway: {why}");
                let damaged = reading.end != End::Whole;
                return ExitCode::from(if damaged { DAMAGED } else { UNUSABLE });
            }
        },
    }
    status(&reading)
}
