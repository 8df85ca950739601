//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Longest time of a run.
const LIMIT: Duration = Duration::from_secs(117);

/// Writes lines to `record.txt`; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file in the folder of the case. A run that takes longer than [`LIMIT`] is given up with status 2; the
    /// processes of the tier end with this one.
    ///
    /// # Panics
    /// If the file can't be created.
    #[must_use]
    pub fn create(folder: &Path) -> Self {
        thread::spawn(|| {
            thread::sleep(LIMIT);
            eprintln!("the run has taken too long");
            std::process::exit(2);
        });
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
