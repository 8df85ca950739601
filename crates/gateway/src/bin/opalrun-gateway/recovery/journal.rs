//! The journal of one gateway: its files, how they are read at a start, and how they are written. Uses neither threads nor
//! clocks.

use super::{
    disk::Disk,
    downtime::{BootTime, Downtime},
    frame::{self, HeaderCheck, Integrity},
    record::{JournalState, Record},
};
use std::{fmt, io};

const JOURNAL_FILE: &str = "journal";
/// A new journal is written under this name, and then renamed.
const NEW_JOURNAL_FILE: &str = "journal.new";
/// Maximum number of files that are preserved as `journal.aside-1` and so on, because they belong to another gateway or are
/// not in a format that this program reads.
const MAX_PRESERVED_FILES: usize = 8;
/// Maximum bytes read of a journal. A snapshot of the maximum number of customers, grown fourfold, is shorter.
pub const MAX_JOURNAL_BYTES: u64 = 128 << 20;
/// The journal is rewritten when it has grown by this many times its snapshot, and by at least this many bytes.
const REWRITE_GROWTH: (u64, u64) = (3, 256 << 10);

/// Why a journal can't be used.
#[derive(Debug)]
pub enum JournalError {
    Io(io::Error),
    /// It has another format version, or is not a journal; the text says which.
    Unreadable(String),
    /// It belongs to the gateway of this name.
    OtherGateway(String),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => e.fmt(f),
            Self::Unreadable(reason) => f.write_str(reason),
            Self::OtherGateway(name) => write!(f, "it belongs to the gateway {name:?}"),
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

/// Content of a journal file.
#[derive(Debug, Clone, PartialEq)]
pub struct JournalContent {
    /// State after the last record that could be read.
    pub state: JournalState,
    pub integrity: Integrity,
    /// Number of records read.
    pub records: usize,
    /// Length of the file.
    pub bytes: u64,
}

/// Reads a folder's journal without changing it; `None` if there is none.
pub fn read(disk: &mut impl Disk) -> Result<Option<JournalContent>, JournalError> {
    let Some((bytes, length)) = disk.read(JOURNAL_FILE, MAX_JOURNAL_BYTES)? else { return Ok(None) };
    let (header, records) = frame::check_header(&bytes);
    match header {
        HeaderCheck::Valid => {}
        HeaderCheck::OtherVersion(version) => {
            let supported = frame::FORMAT_VERSION;
            return Err(JournalError::Unreadable(format!(
                "it has format version {version}, and this program reads version {supported}"
            )));
        }
        HeaderCheck::NotAJournal => return Err(JournalError::Unreadable("it is not a journal".into())),
    }
    let (mut state, mut count) = (JournalState::default(), 0);
    let mut integrity = frame::read(records, |record| {
        count += 1;
        state.apply(record);
    });
    if state.name.is_empty() {
        return Err(JournalError::Unreadable("its first record is damaged".into()));
    }
    if let (Integrity::Complete, true) = (&integrity, length > bytes.len() as u64) {
        let unread_bytes = (length - bytes.len() as u64) as usize;
        integrity =
            Integrity::Damaged { offset: bytes.len(), unread_bytes, cause: frame::DamageCause::Length };
    }
    Ok(Some(JournalContent { state, integrity, records: count, bytes: length }))
}

/// What a gateway found of its journal at its start.
#[derive(Debug)]
pub struct FoundJournal {
    /// The state to start from; without customers if nothing could be read.
    pub state: JournalState,
    pub downtime: Downtime,
    /// Whether the file could be read to its end; `None` if there was no file, or it was rejected.
    pub integrity: Option<Integrity>,
    /// Why a file was rejected, and the name under which it is preserved.
    pub rejected: Option<(JournalError, String)>,
}

/// A journal open for writing.
pub struct Journal<D> {
    disk: D,
    state: JournalState,
    /// Length of the file, in bytes.
    bytes: u64,
    /// Length of the snapshot that the file begins with, in bytes.
    snapshot_bytes: u64,
    /// The file's content is not known, for example after a failed write: it is rewritten at the next write.
    needs_rewrite: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal of the gateway `name`. If the file is damaged or can't be used, customers without an entry count as
    /// having spent their quota. A file that is of another gateway, or not a journal of this format, is preserved under
    /// another name. Nothing is written to the journal before [`Self::rewrite`].
    ///
    /// # Errors
    /// The file can't be read, or can't be renamed to be preserved; it is left as it is.
    pub fn open(mut disk: D, name: &str, now: &BootTime) -> io::Result<(Self, FoundJournal)> {
        let unknown = Downtime { min: 0.0, max: None };
        let fresh = || JournalState::new(name, now.clone(), Vec::new());
        let lost = || JournalState { others_spent_at: Some(now.uptime), ..fresh() };
        let read = read(&mut disk).and_then(|content| match content {
            Some(c) if c.state.name != name => Err(JournalError::OtherGateway(c.state.name)),
            content => Ok(content),
        });
        let found = match read {
            Ok(None) => FoundJournal { state: fresh(), downtime: unknown, integrity: None, rejected: None },
            Ok(Some(JournalContent { mut state, integrity, .. })) => {
                let downtime = state.rebase(now);
                if integrity != Integrity::Complete {
                    // The unread records may be about any customer; the entries read before them are valid.
                    (state.others_spent_at, state.shut_down_cleanly) = (Some(now.uptime), false);
                }
                state.remove_idle();
                FoundJournal { state, downtime, integrity: Some(integrity), rejected: None }
            }
            // The file may be intact and only temporarily unreadable, so it is not overwritten.
            Err(JournalError::Io(e)) => return Err(e),
            Err(reason) => {
                let preserved_as = preserve(&mut disk)?;
                FoundJournal {
                    state: lost(),
                    downtime: unknown,
                    integrity: None,
                    rejected: Some((reason, preserved_as)),
                }
            }
        };
        let state = JournalState { shut_down_cleanly: false, ..found.state.clone() };
        Ok((Self { disk, state, bytes: 0, snapshot_bytes: 0, needs_rewrite: true }, found))
    }

    /// Replaces the journal's content by `state`; takes effect with the next write.
    pub fn replace_state(&mut self, state: JournalState) {
        (self.state, self.needs_rewrite) = (state, true);
    }

    /// Returns the file's length in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Rewrites the file as a snapshot, atomically.
    pub fn rewrite(&mut self) -> io::Result<()> {
        self.state.remove_idle();
        let mut bytes = frame::header();
        self.state.snapshot_records().for_each(|record| frame::write(&record, &mut bytes));
        self.needs_rewrite = true;
        self.disk.create(NEW_JOURNAL_FILE)?;
        self.disk.append(NEW_JOURNAL_FILE, &bytes)?;
        self.disk.sync(NEW_JOURNAL_FILE)?;
        self.disk.rename(NEW_JOURNAL_FILE, JOURNAL_FILE)?;
        // Without a sync of the folder the rename may be lost in a power loss.
        self.disk.sync_folder()?;
        (self.bytes, self.snapshot_bytes, self.needs_rewrite) =
            (bytes.len() as u64, bytes.len() as u64, false);
        Ok(())
    }

    /// Appends records and syncs the file. After an error the file's content is not known, and the next call rewrites it.
    pub fn write(&mut self, records: Vec<Record>) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|record| frame::write(record, &mut bytes));
        records.into_iter().for_each(|record| self.state.apply(record));
        let (factor, min_bytes) = REWRITE_GROWTH;
        let is_shutdown = self.state.shut_down_cleanly;
        let has_grown = self.bytes + bytes.len() as u64
            > self.snapshot_bytes + (factor * self.snapshot_bytes).max(min_bytes);
        if self.needs_rewrite || has_grown && !is_shutdown {
            self.rewrite()?;
            if !is_shutdown {
                return Ok(());
            }
        }
        // A snapshot holds no leases, so the records of a clean shutdown are appended even after a rewrite.
        self.needs_rewrite = true;
        self.disk.append(JOURNAL_FILE, &bytes)?;
        self.disk.sync(JOURNAL_FILE)?;
        (self.bytes, self.needs_rewrite) = (self.bytes + bytes.len() as u64, false);
        Ok(())
    }
}

/// Renames a journal that must not be overwritten, and returns the name under which it is preserved.
fn preserve(disk: &mut impl Disk) -> io::Result<String> {
    for number in 1..=MAX_PRESERVED_FILES {
        let name = format!("{JOURNAL_FILE}.aside-{number}");
        if disk.read(&name, 0)?.is_none() {
            disk.rename(JOURNAL_FILE, &name)?;
            disk.sync_folder()?;
            return Ok(name);
        }
    }
    Err(io::Error::other(format!("{MAX_PRESERVED_FILES} rejected journals are preserved there already")))
}
