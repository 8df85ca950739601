//! Reads the configuration file, guarding against pipes, folders, huge files and concurrent writes.

use std::{
    fmt,
    fs::{File, Metadata, OpenOptions},
    io::{self, Read},
    os::unix::fs::OpenOptionsExt,
    path::Path,
    time::SystemTime,
};

/// Largest file in bytes; a list of thousands of workers takes a tenth of it.
pub const MAX_FILE_BYTES: u64 = 4 << 20;
/// How many times the file is read if it changes while it is being read.
const MAX_READS: usize = 3;

/// Why the file could not be read.
#[derive(Debug)]
pub enum FileError {
    System(io::Error),
    /// It is a folder, a pipe or the like.
    NotAFile,
    /// It is longer than `MAX_FILE_BYTES`; its length in bytes.
    TooLong(u64),
    /// It was written to during each read.
    Changing,
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(e) => write!(f, "the configuration can't be read: {e}"),
            Self::NotAFile => f.write_str("the configuration can't be read: not a regular file"),
            Self::TooLong(n) => {
                write!(f, "the configuration is too long: {n} bytes, at most {MAX_FILE_BYTES} are allowed")
            }
            Self::Changing => f.write_str("the configuration can't be read: it changed during each read"),
        }
    }
}

/// Reads the complete file at `path`. If the file is replaced meanwhile, returns its former contents.
pub fn read(path: &Path) -> Result<Vec<u8>, FileError> {
    for _ in 0..MAX_READS {
        // Opening a pipe without a writer must not block.
        let mut options = OpenOptions::new();
        let file = options.read(true).custom_flags(libc::O_NONBLOCK).open(path).map_err(FileError::System)?;
        if let Some(text) = read_unchanged(&file)? {
            return Ok(text);
        }
    }
    Err(FileError::Changing)
}

/// Length and modification time of a file, by which a change is detected.
fn fingerprint(metadata: &Metadata) -> (u64, Option<SystemTime>) {
    (metadata.len(), metadata.modified().ok())
}

/// Reads an open file; `None`: it changed while it was being read.
fn read_unchanged(file: &File) -> Result<Option<Vec<u8>>, FileError> {
    let before = file.metadata().map_err(FileError::System)?;
    if !before.is_file() {
        return Err(FileError::NotAFile);
    }
    if before.len() > MAX_FILE_BYTES {
        return Err(FileError::TooLong(before.len()));
    }
    let mut text = Vec::with_capacity(before.len() as usize + 1);
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text).map_err(FileError::System)?;
    let after = file.metadata().map_err(FileError::System)?;
    Ok((fingerprint(&before) == fingerprint(&after) && text.len() as u64 == after.len()).then_some(text))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::process::Command;

    #[test]
    fn pipes_folders_and_long_files_are_rejected_without_blocking() {
        let folder = std::env::temp_dir().join(format!("opalrun-gateway-file-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a writable folder");
        let path = folder.join("c.json");
        assert!(matches!(read(&path), Err(FileError::System(e)) if e.kind() == io::ErrorKind::NotFound));
        assert!(matches!(read(&folder), Err(FileError::NotAFile)));
        let pipe = folder.join("pipe");
        assert!(Command::new("mkfifo").arg(&pipe).status().expect("mkfifo runs").success());
        assert!(matches!(read(&pipe), Err(FileError::NotAFile)));
        let long = File::create(&path).expect("a file");
        long.set_len(100 << 20).expect("a sparse file");
        assert!(matches!(read(&path), Err(FileError::TooLong(n)) if n == 100 << 20));
        std::fs::write(&path, "{}").expect("a file");
        assert_eq!(read(&path).expect("a file"), b"{}");
        // A write between the two checks of the metadata is detected.
        let file = File::open(&path).expect("a file");
        let before = file.metadata().expect("a file");
        std::fs::write(&path, "{\"longer\": 1}").expect("a file");
        assert_ne!(fingerprint(&before), fingerprint(&file.metadata().expect("a file")));
        std::fs::remove_dir_all(&folder).expect("its own folder");
    }
}
