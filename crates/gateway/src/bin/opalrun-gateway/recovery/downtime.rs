//! Bounds on how long a process was down.
//!
//! The wall clock is not used, because it may have been set in between. Within one boot the kernel's uptime gives both bounds.

use serde::{Deserialize, Serialize};
use std::{fs, path::Path};

/// Resolution of the kernel's uptime, in seconds.
const UPTIME_RESOLUTION_S: f64 = 0.01;

/// A point in time, as the uptime of one boot of the machine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct BootTime {
    /// The kernel's boot id; empty if unknown.
    #[serde(rename = "boot")]
    pub boot_id: String,
    /// Seconds since that boot.
    #[serde(rename = "up")]
    pub uptime: f64,
}

impl BootTime {
    /// Reads the current boot id and uptime from the proc file system at `proc`; the default value if the uptime is missing
    /// or invalid.
    pub fn now(proc: &Path) -> Self {
        let read = |name: &str| fs::read_to_string(proc.join(name)).unwrap_or_default();
        let boot_id = read("sys/kernel/random/boot_id").trim().to_owned();
        let uptime = read("uptime").split_whitespace().next().and_then(|uptime| uptime.parse::<f64>().ok());
        match uptime.filter(|uptime| uptime.is_finite() && *uptime >= 0.0) {
            Some(uptime) => Self { boot_id, uptime },
            None => Self::default(),
        }
    }
}

/// Bounds on the time between two points, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Downtime {
    /// Lower bound.
    #[serde(rename = "least")]
    pub min: f64,
    /// Upper bound; `None` if it can't be determined.
    #[serde(rename = "most")]
    pub max: Option<f64>,
}

/// Returns bounds on the time from `from` to the later point `to`.
pub fn downtime_between(from: &BootTime, to: &BootTime) -> Downtime {
    let is_same_boot = !from.boot_id.is_empty() && from.boot_id == to.boot_id;
    match to.uptime - from.uptime {
        elapsed if is_same_boot && elapsed >= 0.0 => Downtime {
            min: (elapsed - UPTIME_RESOLUTION_S).max(0.0),
            max: Some(elapsed + UPTIME_RESOLUTION_S),
        },
        // An uptime that went back within one boot, or an unknown boot, gives no bounds.
        _ if is_same_boot || to.boot_id.is_empty() || from.boot_id.is_empty() => {
            Downtime { min: 0.0, max: None }
        }
        // The machine has rebooted after `from`: at least the uptime of the new boot has passed.
        _ => Downtime { min: (to.uptime - UPTIME_RESOLUTION_S).max(0.0), max: None },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(boot_id: &str, uptime: f64) -> BootTime {
        BootTime { boot_id: boot_id.into(), uptime }
    }

    #[test]
    fn one_boot_gives_both_bounds_and_a_reboot_gives_the_lower_bound_only() {
        let same = downtime_between(&at("a", 100.0), &at("a", 105.0));
        assert!((same.min - 4.99).abs() < 1e-9 && same.max.is_some_and(|m| (m - 5.01).abs() < 1e-9));
        let rebooted = downtime_between(&at("a", 100.0), &at("b", 30.0));
        assert!((rebooted.min - 29.99).abs() < 1e-9 && rebooted.max.is_none());
        // An uptime that went back, or an unknown boot, gives no bounds.
        for (from, to) in
            [(at("a", 5.0), at("a", 4.0)), (at("", 1.0), at("", 9.0)), (at("", 1.0), at("b", 9.0))]
        {
            assert_eq!(downtime_between(&from, &to), Downtime { min: 0.0, max: None }, "{from:?} {to:?}");
        }
        assert_eq!(downtime_between(&at("a", 1.0), &at("", 9.0)), Downtime { min: 0.0, max: None });
    }

    #[test]
    fn missing_or_invalid_proc_files_give_the_default_boot_time() {
        let folder = tempfile::tempdir().expect("a temporary folder");
        assert_eq!(BootTime::now(folder.path()), BootTime::default());
        fs::create_dir_all(folder.path().join("sys/kernel/random")).expect("the folder is created");
        fs::write(folder.path().join("sys/kernel/random/boot_id"), "b-1\n").expect("the file is written");
        for (text, uptime) in [("12.5 3.0\n", Some(12.5)), ("-1 2", None), ("NaN 1", None), ("", None)] {
            fs::write(folder.path().join("uptime"), text).expect("the file is written");
            let want = uptime.map_or_else(BootTime::default, |uptime| at("b-1", uptime));
            assert_eq!(BootTime::now(folder.path()), want, "{text:?}");
        }
    }
}
