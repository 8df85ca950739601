//! Resource usage of a process, from `/proc`.

use crate::error::{MeasureError, ReadSnafu};
use snafu::ResultExt;
use std::{
    fs,
    path::{Path, PathBuf},
    time::Duration,
};

/// Length of a clock tick in `/proc/PID/stat`, which is fixed by the kernel's interface.
const TICK: Duration = Duration::from_millis(10);
/// Index of the user time among the fields that follow the command name.
const USER_TIME_FIELD: usize = 11;
/// Index of the system time among the fields that follow the command name.
const SYSTEM_TIME_FIELD: usize = 12;
/// Size in bytes of the unit of memory in `/proc/PID/status`.
const KIB: u64 = 1024;

/// Resource usage of a process since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all threads.
    pub processor: Duration,
    /// Current resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory, in bytes.
    pub peak_bytes: u64,
}

impl Usage {
    /// Reads the usage of a running process.
    ///
    /// # Errors
    /// The process has ended, or a file in `/proc` has an unexpected format.
    pub fn of(process: u32) -> Result<Self, MeasureError> {
        let folder = PathBuf::from(format!("/proc/{process}"));
        let (stat, status) = (folder.join("stat"), folder.join("status"));
        let status_text = read(&status)?;
        let memory = |key| memory_bytes(&status_text, key);
        let unexpected = |path: &Path| MeasureError::Unexpected { path: path.to_owned() };
        Ok(Self {
            processor: processor_time(&read(&stat)?).ok_or_else(|| unexpected(&stat))?,
            resident_bytes: memory("VmRSS").ok_or_else(|| unexpected(&status))?,
            peak_bytes: memory("VmHWM").ok_or_else(|| unexpected(&status))?,
        })
    }
}

fn read(path: &Path) -> Result<String, MeasureError> {
    fs::read_to_string(path).context(ReadSnafu { path })
}

/// Parses the processor time from a `stat` file. The command name is in parentheses and may itself contain spaces and
/// parentheses.
#[must_use]
pub fn processor_time(stat: &str) -> Option<Duration> {
    let (_, after_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<u32>().ok();
    Some(TICK * (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?))
}

/// Parses the value of a memory key, such as `VmRSS`, from a `status` file. Returns bytes.
#[must_use]
pub fn memory_bytes(status: &str, key: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(key)?.strip_prefix(':'))?;
    let number = line.trim().strip_suffix("kB")?.trim();
    Some(number.parse::<u64>().ok()? * KIB)
}
