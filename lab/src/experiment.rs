//! Comparison of several runs: two builds on the same seeds, or one scenario key at several values.

use serde::Serialize;
use toml::{Table, Value};

/// A metric by which runs are compared: its name and how it is read from a verdict.
pub type Figure = (&'static str, fn(&crate::judge::Verdict) -> f64);

/// Metrics that a comparison shows.
pub const FIGURES: [Figure; 9] = [
    ("score", |v| v.score),
    ("goodput", |v| v.goodput),
    ("beyond %", |v| 100.0 * v.beyond_share),
    ("refused with room %", |v| 100.0 * v.refused_with_room_share),
    ("attempts a try", |v| v.amplification),
    ("worst second", |v| v.worst_amplification),
    ("recovery s", |v| v.recovery.as_ref().and_then(|r| r.after_s).unwrap_or(f64::NAN)),
    ("latency 99% ms", |v| v.latency_ms[2]),
    ("CPU us a try", |v| v.cpu_us),
];

/// Mean of paired differences with its 95% confidence interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Difference {
    pub mean: f64,
    /// Half the width of the confidence interval; infinite for a single pair.
    pub half: f64,
    /// Number of pairs.
    pub pairs: usize,
}

/// Two-sided 95% quantiles of Student's t-distribution, by degrees of freedom from 1 on.
const STUDENT: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

impl Difference {
    /// Computes the mean of the second value less the first over all pairs; `None` without a pair of finite values.
    #[must_use]
    pub fn of(pairs: &[(f64, f64)]) -> Option<Self> {
        let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).filter(|d| d.is_finite()).collect();
        let n = differences.len();
        if n == 0 {
            return None;
        }
        let mean = differences.iter().sum::<f64>() / n as f64;
        // A single pair gives no estimate of the variance.
        let half = if n == 1 {
            f64::INFINITY
        } else {
            let variance = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (n - 1) as f64;
            STUDENT.get(n - 2).copied().unwrap_or(1.96) * (variance / n as f64).sqrt()
        };
        Some(Self { mean, half, pairs: n })
    }

    /// Whether the confidence interval excludes 0.
    #[must_use]
    pub fn clear(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// A path that does not name a key of a scenario.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path:?} does not name a scenario key")]
pub struct UnknownKey {
    path: String,
}

/// Sets the key at `path` of a scenario's table, such as `load.use`, `fault[0].for_s` or `class[1].share`.
///
/// # Errors
/// The path does not name a key.
pub fn set_key(table: &mut Table, path: &str, value: Value) -> Result<(), UnknownKey> {
    let wrong = || UnknownKey { path: path.to_owned() };
    let mut at = table;
    let mut steps = path.split('.').peekable();
    while let Some(step) = steps.next() {
        let (key, index) = match step.split_once('[') {
            Some((key, rest)) => {
                let index = rest.strip_suffix(']').and_then(|i| i.parse::<usize>().ok());
                (key, Some(index.ok_or_else(wrong)?))
            }
            None => (step, None),
        };
        if key.is_empty() {
            return Err(wrong());
        }
        if steps.peek().is_none() && index.is_none() {
            at.insert(key.to_owned(), value);
            return Ok(());
        }
        let next = at.entry(key).or_insert_with(|| Value::Table(Table::new()));
        at = match index {
            Some(i) => next.as_array_mut().and_then(|a| a.get_mut(i)).and_then(Value::as_table_mut),
            None => next.as_table_mut(),
        }
        .ok_or_else(wrong)?;
    }
    Err(wrong())
}

/// Parses a TOML value; text that is no TOML value becomes a string.
#[must_use]
pub fn parse_value(text: &str) -> Value {
    let parsed = format!("v = {text}").parse::<Table>().ok().and_then(|mut t| t.remove("v"));
    parsed.unwrap_or_else(|| Value::String(text.to_owned()))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_difference_is_paired_and_has_an_interval() {
        let d = Difference::of(&[(1.0, 1.5), (2.0, 2.4), (3.0, 3.6)]).expect("three pairs");
        assert!((d.mean - 0.5).abs() < 1e-9 && (d.half - 4.303 * 0.1 / 3_f64.sqrt()).abs() < 1e-3, "{d:?}");
        assert!(d.clear());
        assert!(!Difference::of(&[(1.0, 1.5)]).expect("a pair").clear(), "one pair has an infinite interval");
        assert!(!Difference::of(&[(1.0, 2.0), (2.0, 1.0)]).expect("pairs").clear());
        assert_eq!(Difference::of(&[(f64::NAN, 1.0)]), None);
    }

    #[test]
    fn any_key_can_be_set() {
        let mut table: Table = "length_s = 1\n[[fault]]\nat_s = 1".parse().expect("TOML");
        set_key(&mut table, "load.use", parse_value("0.85")).expect("a key");
        set_key(&mut table, "fault[0].for_s", parse_value("3")).expect("a key");
        set_key(&mut table, "name", parse_value("a b")).expect("a key");
        assert_eq!(table["load"]["use"].as_float(), Some(0.85));
        assert_eq!(table["fault"][0]["for_s"].as_integer(), Some(3));
        assert_eq!(table["name"].as_str(), Some("a b"));
        for path in ["", "fault[1].at_s", "fault[x].at_s", "length_s.x", "fault[0]"] {
            assert!(set_key(&mut table, path, parse_value("1")).is_err(), "{path}");
        }
    }
}
