//! The record of a run: what was sent, answered and run, with times.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Begins the record in a file.
pub fn begin(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Seconds since the beginning of the record.
pub fn seconds() -> f64 {
    RECORD.get().map_or(0.0, |(start, _)| start.elapsed().as_secs_f64())
}

/// Writes a line.
pub fn line(text: &str) {
    let at = seconds();
    println!("{at:8.3} {text}");
    if let Some((_, file)) = RECORD.get() {
        if let Ok(mut file) = file.lock() {
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }
}

#[macro_export]
macro_rules! note {
    ($($arg:tt)*) => { $crate::record::line(&format!($($arg)*)) };
}
