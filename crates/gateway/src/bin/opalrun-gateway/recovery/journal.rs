//! The journal of one gateway: what it reads at a start, and how it grows. Knows the files and their order,
//! neither threads nor clocks.

use super::{
    disk::Disk,
    downtime::{Away, Moment},
    frame::{self, End, Head},
    record::{Image, Record},
};
use std::{fmt, io};

const NAME: &str = "journal";
const NEW: &str = "journal.new";
/// Files that were not ours to overwrite are kept as `journal.aside-1` and so on, so many at most.
const ASIDE: usize = 8;
/// Most bytes that are read: a snapshot of all customers that may be held, grown fourfold, is shorter.
pub const MOST: u64 = 128 << 20;
/// It is written anew when it has grown by so many times its snapshot, and by so many bytes.
const GROWTH: (u64, u64) = (3, 256 << 10);

/// Why a journal can't be used.
#[derive(Debug)]
pub enum JournalError {
    System(io::Error),
    /// It has another form, or is no journal: why.
    Strange(String),
    /// It is the gateway's of that name.
    Other(String),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(e) => e.fmt(f),
            Self::Strange(what) => f.write_str(what),
            Self::Other(name) => write!(f, "it belongs to the gateway {name:?}"),
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(e: io::Error) -> Self {
        Self::System(e)
    }
}

/// What a file holds.
#[derive(Debug, Clone, PartialEq)]
pub struct Reading {
    pub image: Image,
    pub end: End,
    pub records: usize,
    pub bytes: u64,
}

/// Reads a folder's journal and changes nothing; `None`: there is none.
pub fn read(disk: &mut impl Disk) -> Result<Option<Reading>, JournalError> {
    let Some((bytes, length)) = disk.read(NAME, MOST)? else { return Ok(None) };
    let (head, records) = frame::look(&bytes);
    match head {
        Head::Ours => {}
        Head::Form(form) => {
            let known = frame::FORM;
            return Err(JournalError::Strange(format!("it has form {form}, and this program knows {known}")));
        }
        Head::Strange => return Err(JournalError::Strange("it is no journal".into())),
    }
    let (mut image, mut count) = (Image::default(), 0);
    let mut end = frame::read(records, |record| {
        count += 1;
        image.add(record);
    });
    if image.name.is_empty() {
        return Err(JournalError::Strange("its first record is not whole".into()));
    }
    if let (End::Whole, true) = (&end, length > bytes.len() as u64) {
        let left = (length - bytes.len() as u64) as usize;
        end = End::Damaged { at: bytes.len(), left, why: frame::Why::Length };
    }
    Ok(Some(Reading { image, end, records: count, bytes: length }))
}

/// How a gateway's journal was found at its start.
#[derive(Debug)]
pub struct Found {
    /// As it is to be trusted; empty where nothing is.
    pub image: Image,
    pub away: Away,
    /// How the file ends; `None`: there was none, or none that could be used.
    pub end: Option<End>,
    /// Why a file was not used, and by which name it is kept.
    pub refused: Option<(JournalError, String)>,
}

/// A journal that is written to.
pub struct Journal<D> {
    disk: D,
    image: Image,
    /// Bytes of the file, and of the snapshot that it begins with.
    bytes: u64,
    snapshot: u64,
    /// What the file ends with is not known: it has to be written anew.
    doubtful: bool,
}

impl<D: Disk> Journal<D> {
    /// Opens the journal of the gateway `name`. Where nothing can be trusted, customers count as spent; a file
    /// that is not this gateway's is set aside. Nothing is written to the journal before [`Self::renew`].
    ///
    /// # Errors
    /// The file can't be read, or not set aside: it stays as it is.
    pub fn open(mut disk: D, name: &str, now: &Moment) -> io::Result<(Self, Found)> {
        let unknown = Away { least: 0.0, most: None };
        let fresh = || Image::new(name, now.clone(), Vec::new());
        let lost = || Image { spent: Some(now.up), ..fresh() };
        let read = read(&mut disk).and_then(|reading| match reading {
            Some(r) if r.image.name != name => Err(JournalError::Other(r.image.name)),
            reading => Ok(reading),
        });
        let found = match read {
            Ok(None) => Found { image: fresh(), away: unknown, end: None, refused: None },
            Ok(Some(Reading { mut image, end, .. })) => {
                let away = image.carry_on(now);
                if end != End::Whole {
                    // What is left unread may be about anybody; what came before holds.
                    (image.spent, image.ended) = (Some(now.up), false);
                }
                image.forget();
                Found { image, away, end: Some(end), refused: None }
            }
            // It may be well, and only not be readable now: nothing is overwritten.
            Err(JournalError::System(e)) => return Err(e),
            Err(why) => {
                let aside = set_aside(&mut disk)?;
                Found { image: lost(), away: unknown, end: None, refused: Some((why, aside)) }
            }
        };
        let image = Image { ended: false, ..found.image.clone() };
        Ok((Self { disk, image, bytes: 0, snapshot: 0, doubtful: true }, found))
    }

    /// From the next write on the file says this, whatever it said.
    pub fn replace(&mut self, image: Image) {
        (self.image, self.doubtful) = (image, true);
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Writes the file anew, whole or not at all.
    pub fn renew(&mut self) -> io::Result<()> {
        self.image.forget();
        let mut bytes = frame::head();
        self.image.snapshot().for_each(|record| frame::write(&record, &mut bytes));
        self.doubtful = true;
        self.disk.create(NEW)?;
        self.disk.append(NEW, &bytes)?;
        self.disk.sync(NEW)?;
        self.disk.rename(NEW, NAME)?;
        // Without this the rename itself may be lost.
        self.disk.sync_folder()?;
        (self.bytes, self.snapshot, self.doubtful) = (bytes.len() as u64, bytes.len() as u64, false);
        Ok(())
    }

    /// Writes records and syncs them. After an error it is not known what is on disk, and the next call writes
    /// the file anew.
    pub fn write(&mut self, records: Vec<Record>) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().for_each(|record| frame::write(record, &mut bytes));
        records.into_iter().for_each(|record| self.image.add(record));
        let (times, least) = GROWTH;
        let ended = self.image.ended;
        let grown = self.bytes + bytes.len() as u64 > self.snapshot + (times * self.snapshot).max(least);
        if self.doubtful || grown && !ended {
            self.renew()?;
            if !ended {
                return Ok(());
            }
        }
        // A snapshot has no leases: what an end leaves comes behind it.
        self.doubtful = true;
        self.disk.append(NAME, &bytes)?;
        self.disk.sync(NAME)?;
        (self.bytes, self.doubtful) = (self.bytes + bytes.len() as u64, false);
        Ok(())
    }
}

/// Gives a file that is not ours to overwrite a name of its own, and says which.
fn set_aside(disk: &mut impl Disk) -> io::Result<String> {
    for number in 1..=ASIDE {
        let name = format!("{NAME}.aside-{number}");
        if disk.read(&name, 0)?.is_none() {
            disk.rename(NAME, &name)?;
            disk.sync_folder()?;
            return Ok(name);
        }
    }
    Err(io::Error::other(format!("{ASIDE} files were set aside there already")))
}
