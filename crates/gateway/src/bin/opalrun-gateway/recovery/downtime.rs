//! How long a process was away, as far as that can be proved.
//!
//! A wall clock proves nothing: it may have been set. The kernel's time since boot does, within one boot.

use serde::{Deserialize, Serialize};
use std::{fs, path::Path};

/// How coarse the kernel tells its time since boot, in seconds.
const COARSE: f64 = 0.01;

/// A moment of a machine's life.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    /// Names the boot; empty: not known.
    pub boot: String,
    /// Seconds since then.
    pub up: f64,
}

impl Moment {
    /// Now, as the kernel's files below `proc` tell it.
    pub fn now(proc: &Path) -> Self {
        let read = |name: &str| fs::read_to_string(proc.join(name)).unwrap_or_default();
        let boot = read("sys/kernel/random/boot_id").trim().to_owned();
        let up = read("uptime").split_whitespace().next().and_then(|up| up.parse::<f64>().ok());
        match up.filter(|up| up.is_finite() && *up >= 0.0) {
            Some(up) => Self { boot, up },
            None => Self::default(),
        }
    }
}

/// How long it was, in seconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Away {
    pub least: f64,
    /// None: nobody knows.
    pub most: Option<f64>,
}

/// The time from one moment to a later one.
pub fn away(from: &Moment, to: &Moment) -> Away {
    let same = !from.boot.is_empty() && from.boot == to.boot;
    match to.up - from.up {
        // A boot that goes back in its time is none that this process knows.
        gone if same && gone >= 0.0 => Away { least: (gone - COARSE).max(0.0), most: Some(gone + COARSE) },
        _ if same || to.boot.is_empty() || from.boot.is_empty() => Away { least: 0.0, most: None },
        // The machine came up after that moment.
        _ => Away { least: (to.up - COARSE).max(0.0), most: None },
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(boot: &str, up: f64) -> Moment {
        Moment { boot: boot.into(), up }
    }

    #[test]
    fn only_the_same_boot_tells_the_most_and_a_new_one_the_least() {
        let same = away(&at("a", 100.0), &at("a", 105.0));
        assert!((same.least - 4.99).abs() < 1e-9 && same.most.is_some_and(|m| (m - 5.01).abs() < 1e-9));
        let other = away(&at("a", 100.0), &at("b", 30.0));
        assert!((other.least - 29.99).abs() < 1e-9 && other.most.is_none());
        // Whatever can't be true, or isn't known, proves nothing.
        for (from, to) in
            [(at("a", 5.0), at("a", 4.0)), (at("", 1.0), at("", 9.0)), (at("", 1.0), at("b", 9.0))]
        {
            assert_eq!(away(&from, &to), Away { least: 0.0, most: None }, "{from:?} {to:?}");
        }
        assert_eq!(away(&at("a", 1.0), &at("", 9.0)), Away { least: 0.0, most: None });
    }

    #[test]
    fn the_kernel_s_files_are_read_and_may_be_missing_or_odd() {
        let folder = tempfile::tempdir().expect("a folder");
        assert_eq!(Moment::now(folder.path()), Moment::default());
        fs::create_dir_all(folder.path().join("sys/kernel/random")).expect("a folder");
        fs::write(folder.path().join("sys/kernel/random/boot_id"), "b-1\n").expect("a file");
        for (text, up) in [("12.5 3.0\n", Some(12.5)), ("-1 2", None), ("NaN 1", None), ("", None)] {
            fs::write(folder.path().join("uptime"), text).expect("a file");
            let want = up.map_or_else(Moment::default, |up| at("b-1", up));
            assert_eq!(Moment::now(folder.path()), want, "{text:?}");
        }
    }
}
