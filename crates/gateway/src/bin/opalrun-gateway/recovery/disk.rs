//! The file operations that the journal needs, as a trait, so that tests can simulate a disk that fails.

use std::{
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind, Read, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

/// Operations on the files of one folder, by file name.
pub trait Disk {
    /// Returns up to `max_bytes` from the start of a file, and the file's full length; `None` if there is no such file.
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<(Vec<u8>, u64)>>;
    /// Creates an empty file, or truncates an existing one.
    fn create(&mut self, name: &str) -> io::Result<()>;
    /// Appends to a file that was created through this object under that name, or renamed to it.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Syncs the folder itself, so that renames survive a power loss.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A folder in the file system.
pub struct Folder {
    path: PathBuf,
    open_files: HashMap<String, File>,
}

impl Folder {
    pub fn new(path: &Path) -> Self {
        Self { path: path.to_owned(), open_files: HashMap::new() }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        self.open_files.get_mut(name).ok_or_else(|| ErrorKind::NotFound.into())
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<(Vec<u8>, u64)>> {
        // Opening a pipe that has no writer must not block the process.
        let mut options = OpenOptions::new();
        let file = match options.read(true).custom_flags(libc::O_NONBLOCK).open(self.path.join(name)) {
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            file => file?,
        };
        let metadata = file.metadata()?;
        if !metadata.is_file() {
            return Err(io::Error::new(ErrorKind::InvalidInput, format!("{name} is not a regular file")));
        }
        let mut bytes = Vec::with_capacity(metadata.len().min(max_bytes) as usize);
        file.take(max_bytes).read_to_end(&mut bytes)?;
        Ok(Some((bytes, metadata.len())))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true).mode(0o600);
        let file = options.open(self.path.join(name))?;
        self.open_files.insert(name.to_owned(), file);
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        if let Some(file) = self.open_files.remove(from) {
            self.open_files.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
