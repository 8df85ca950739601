//! The file system of the machine.

use crate::{Disk, DiskFile};
use std::{
    fs::{self, File, OpenOptions},
    io::{self, Seek, SeekFrom, Write},
    path::Path,
};

/// The file system of the machine, accessed through the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemDisk;

impl Disk for SystemDisk {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        if path.is_dir() {
            return Ok(());
        }
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            self.create_directory(parent)?;
            fs::create_dir(path)?;
            return self.sync_directory(parent);
        }
        fs::create_dir(path)
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(directory)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        match fs::read(path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let file = OpenOptions::new().write(true).create(true).truncate(true).open(path)?;
        Ok(Box::new(SystemFile(file)))
    }

    fn open_at(&self, path: &Path, position: u64) -> io::Result<Box<dyn DiskFile>> {
        let mut file = OpenOptions::new().write(true).open(path)?;
        file.seek(SeekFrom::Start(position))?;
        Ok(Box::new(SystemFile(file)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

#[derive(Debug)]
struct SystemFile(File);

impl DiskFile for SystemFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)?;
        self.0.seek(SeekFrom::Start(length))?;
        Ok(())
    }
}
