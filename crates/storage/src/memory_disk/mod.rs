//! An in-memory disk for tests, with simulated power losses, capacity limits, I/O errors and corruption.

mod content;

use crate::{Disk, DiskFile};
pub use content::PowerLoss;
use content::{Content, ContentChange, SplitMix};
use std::{
    collections::BTreeMap,
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// An in-memory disk. Clones share the same content.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    shared: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    directories: Vec<PathBuf>,
    /// Content of all files ever created. A removed file stays here without a name.
    files: Vec<Content>,
    /// Path of each file and its index in `files`, including unsynced renames and removals.
    names: BTreeMap<PathBuf, usize>,
    /// Entries of `names` as of the last sync of the file's directory.
    durable_names: BTreeMap<PathBuf, usize>,
    /// Maximum total size of all files in bytes; `None` for no limit.
    capacity: Option<usize>,
    /// Number of operations that still succeed before all others fail; `None` if no failure is set.
    operations_left: Option<u64>,
    /// Number of operations since the disk was created.
    operations: u64,
    /// Number of power losses so far. Handles opened before the last one fail.
    incarnation: u64,
}

impl MemoryDisk {
    /// Creates an empty disk without a capacity limit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the maximum total size of all files in bytes; `None` removes the limit.
    pub fn set_capacity(&self, bytes: Option<usize>) {
        self.state().capacity = bytes;
    }

    /// Makes all operations (writes, truncations, syncs, creations, renames and removals) fail after this many more have
    /// succeeded; `None` turns failures off.
    pub fn fail_after(&self, operations: Option<u64>) {
        self.state().operations_left = operations;
    }

    /// Returns the number of operations counted by [`fail_after`](Self::fail_after) since the disk was created.
    #[must_use]
    pub fn operations(&self) -> u64 {
        self.state().operations
    }

    /// Returns the total size of all files, in bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        let state = self.state();
        state.names.values().map(|file| state.files[*file].current.len()).sum()
    }

    /// Simulates a power loss and a restart. Handles of files that were open fail from now on.
    pub fn lose_power(&self, loss: PowerLoss) {
        self.state().lose_power(loss);
    }

    /// Changes the content of a file in place, durably, to simulate corruption by a disk fault.
    pub fn damage(&self, path: &Path, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let Some(file) = state.names.get(path).copied() else {
            return;
        };
        let content = &mut state.files[file];
        change(&mut content.current);
        content.durable = content.current.clone();
        content.unsynced.clear();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn begin_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match &mut self.operations_left {
            None => Ok(()),
            Some(0) => Err(io::Error::other("simulated disk failure")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
        }
    }

    fn used(&self) -> usize {
        self.names.values().map(|file| self.files[*file].current.len()).sum()
    }

    fn lose_power(&mut self, loss: PowerLoss) {
        let mut random = SplitMix(match loss {
            PowerLoss::Random { seed } => seed,
            _ => 0,
        });
        self.names = match loss {
            PowerLoss::DropAll => self.durable_names.clone(),
            PowerLoss::KeepAll => self.names.clone(),
            PowerLoss::Random { .. } => self.random_names(&mut random),
        };
        self.durable_names = self.names.clone();
        for content in &mut self.files {
            content.lose_power(loss, &mut random);
        }
        self.operations_left = None;
        self.incarnation += 1;
    }

    fn random_names(&self, random: &mut SplitMix) -> BTreeMap<PathBuf, usize> {
        let mut names = BTreeMap::new();
        let all: std::collections::BTreeSet<_> = self.names.keys().chain(self.durable_names.keys()).collect();
        for path in all {
            let source = if random.next().is_multiple_of(2) { &self.names } else { &self.durable_names };
            if let Some(file) = source.get(path) {
                names.insert(path.clone(), *file);
            }
        }
        names
    }
}

impl Disk for MemoryDisk {
    fn create_directory(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        if !state.directories.iter().any(|known| known == path) {
            state.directories.push(path.to_path_buf());
        }
        Ok(())
    }

    fn list(&self, directory: &Path) -> io::Result<Vec<String>> {
        let state = self.state();
        let inside = state.names.keys().filter(|path| path.parent() == Some(directory));
        Ok(inside.filter_map(|path| Some(path.file_name()?.to_string_lossy().into_owned())).collect())
    }

    fn read(&self, path: &Path) -> io::Result<Option<Vec<u8>>> {
        let state = self.state();
        Ok(state.names.get(path).map(|file| state.files[*file].current.clone()))
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.state();
        state.begin_operation()?;
        let file = if let Some(file) = state.names.get(path).copied() {
            state.files[file].change(ContentChange::Truncate { length: 0 });
            file
        } else {
            state.files.push(Content::default());
            let file = state.files.len() - 1;
            state.names.insert(path.to_path_buf(), file);
            file
        };
        Ok(self.handle(&state, path, file, 0))
    }

    fn open_at(&self, path: &Path, position: u64) -> io::Result<Box<dyn DiskFile>> {
        let state = self.state();
        let file = state.names.get(path).copied().ok_or(io::ErrorKind::NotFound)?;
        Ok(self.handle(&state, path, file, position as usize))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_path_buf(), file);
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        state.names.remove(path).map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
    }

    fn sync_directory(&self, path: &Path) -> io::Result<()> {
        let mut state = self.state();
        state.begin_operation()?;
        state.durable_names.retain(|name, _| name.parent() != Some(path));
        let inside: Vec<_> = state.names.iter().filter(|(name, _)| name.parent() == Some(path)).collect();
        let inside: Vec<_> = inside.into_iter().map(|(name, file)| (name.clone(), *file)).collect();
        state.durable_names.extend(inside);
        Ok(())
    }
}

impl MemoryDisk {
    fn handle(&self, state: &State, path: &Path, file: usize, position: usize) -> Box<dyn DiskFile> {
        Box::new(MemoryFile {
            disk: self.clone(),
            path: path.to_path_buf(),
            file,
            position,
            incarnation: state.incarnation,
        })
    }
}

/// A file of a [`MemoryDisk`], open for writing.
#[derive(Debug)]
struct MemoryFile {
    disk: MemoryDisk,
    path: PathBuf,
    /// Index of the content in the disk's `files`.
    file: usize,
    /// Byte offset of the next write.
    position: usize,
    /// Incarnation of the disk when the file was opened.
    incarnation: u64,
}

impl MemoryFile {
    fn operate(&mut self, action: impl FnOnce(&mut Self, &mut State) -> io::Result<()>) -> io::Result<()> {
        let disk = self.disk.clone();
        let mut state = disk.state();
        if state.incarnation != self.incarnation {
            return Err(io::Error::other("the file was opened before a simulated power loss"));
        }
        state.begin_operation()?;
        action(self, &mut state)
    }
}

impl DiskFile for MemoryFile {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.operate(|file, state| {
            let end = file.position + bytes.len();
            let growth = end.saturating_sub(state.files[file.file].current.len());
            let free = state.capacity.map_or(usize::MAX, |capacity| capacity.saturating_sub(state.used()));
            let fitting = bytes.len() - growth.saturating_sub(free).min(bytes.len());
            let change = ContentChange::Write { position: file.position, bytes: bytes[..fitting].to_vec() };
            state.files[file.file].change(change);
            file.position += fitting;
            if fitting < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.operate(|file, state| {
            let content = &mut state.files[file.file];
            content.durable = content.current.clone();
            content.unsynced.clear();
            let is_new = !state.durable_names.values().any(|known| *known == file.file);
            if is_new && state.names.get(&file.path) == Some(&file.file) {
                state.durable_names.insert(file.path.clone(), file.file);
            }
            Ok(())
        })
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.operate(|file, state| {
            state.files[file.file].change(ContentChange::Truncate { length: length as usize });
            file.position = length as usize;
            Ok(())
        })
    }
}
