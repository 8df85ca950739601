//! Reads typed values from a TOML table and records every value that is missing or invalid.

use crate::Problem;
use std::{net::SocketAddr, time::Duration};
use toml::{Table, Value};

/// Maximum length in characters of a value in a message; longer ones are truncated.
const MAX_SHOWN_CHARACTERS: usize = 60;
/// Maximum duration of a setting, in seconds.
const MAX_SECONDS: f64 = 1e6;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// Reads the values of one table. A missing or invalid value is recorded as a problem and replaced by a default.
pub(crate) struct Fields<'a, 'p> {
    /// Prefix of keys in messages: the name of the table and a dot; empty at the top level.
    prefix: &'static str,
    /// The table; `None` if it is missing from the file.
    table: Option<&'a Table>,
    /// Problems found so far, in all tables.
    problems: &'p mut Vec<Problem>,
}

impl<'a, 'p> Fields<'a, 'p> {
    /// Creates a reader of the top-level values of a file.
    pub(crate) fn root(table: &'a Table, problems: &'p mut Vec<Problem>) -> Self {
        Self { prefix: "", table: Some(table), problems }
    }

    /// Returns a reader of the table under `key`. All values of a missing table are missing.
    pub(crate) fn table(&mut self, key: &str, prefix: &'static str) -> Fields<'a, '_> {
        let table = match self.get(key) {
            Some(Value::Table(table)) => Some(table),
            Some(other) => {
                self.report_invalid(key, other, "a table");
                None
            }
            None => None,
        };
        Fields { prefix, table, problems: self.problems }
    }

    /// Returns all keys with string values, for tables whose keys are not fixed.
    pub(crate) fn strings(&self) -> impl Iterator<Item = (String, String)> {
        let pairs = self.table.into_iter().flatten();
        pairs.filter_map(|(key, value)| Some((key.clone(), value.as_str()?.to_owned())))
    }

    pub(crate) fn string(&mut self, key: &str) -> String {
        self.required(key, "a non-empty string", string)
    }

    pub(crate) fn string_or_empty(&mut self, key: &str) -> String {
        self.optional(key, "a string", string).unwrap_or_default()
    }

    pub(crate) fn optional_string(&mut self, key: &str) -> Option<String> {
        self.optional(key, "a string", string)
    }

    pub(crate) fn string_list(&mut self, key: &str) -> Vec<String> {
        self.optional(key, "a list of strings", |value| list(value, string)).unwrap_or_default()
    }

    pub(crate) fn boolean(&mut self, key: &str) -> bool {
        self.required(key, "true or false", Value::as_bool)
    }

    pub(crate) fn address(&mut self, key: &str) -> Option<SocketAddr> {
        self.optional(key, "an IP address and a port", address)
    }

    pub(crate) fn loopback_address(&mut self, key: &str) -> Option<SocketAddr> {
        let loopback = |value: &Value| address(value).filter(|address| address.ip().is_loopback());
        self.optional(key, "a loopback address and a port", loopback)
    }

    /// Reads a list of at least one address.
    pub(crate) fn address_list(&mut self, key: &str) -> Vec<SocketAddr> {
        let addresses = |value: &Value| list(value, address).filter(|addresses| !addresses.is_empty());
        self.required(key, "a list of one or more IP addresses with ports", addresses)
    }

    /// Reads a number that is not negative.
    pub(crate) fn number(&mut self, key: &str) -> f64 {
        self.required(key, "a number of 0 or more", number)
    }

    /// Reads a number greater than 0.
    pub(crate) fn positive(&mut self, key: &str) -> f64 {
        self.required(key, "a number greater than 0", |value| number(value).filter(|number| *number > 0.0))
    }

    /// Reads an integer that is not negative.
    pub(crate) fn integer(&mut self, key: &str) -> u64 {
        self.required(key, "an integer of 0 or more", integer)
    }

    /// Reads a duration, in milliseconds if the key ends in `_ms`, otherwise in seconds. Returns `default` if it is missing.
    pub(crate) fn duration_or(&mut self, key: &str, default: Duration) -> Duration {
        let expected = "a duration of at most 1,000,000 seconds";
        self.optional(key, expected, |value| duration(key, value)).unwrap_or(default)
    }

    /// Reads a duration greater than 0, in milliseconds if the key ends in `_ms`, otherwise in seconds.
    pub(crate) fn positive_duration(&mut self, key: &str) -> Duration {
        let above_zero = |value: &Value| duration(key, value).filter(|duration| !duration.is_zero());
        self.required(key, "a number greater than 0", above_zero)
    }

    /// Reads a required value with `read`. Returns the default of its type if it is missing or invalid.
    fn required<T: Default>(
        &mut self,
        key: &str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> T {
        self.required_or(key, expected, read, T::default())
    }

    /// Reads a required value with `read`. Returns `fallback` if it is missing or invalid.
    pub(crate) fn required_or<T>(
        &mut self,
        key: &str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
        fallback: T,
    ) -> T {
        if self.get(key).is_none() {
            self.report(key, None, expected);
            return fallback;
        }
        self.optional(key, expected, read).unwrap_or(fallback)
    }

    /// Reads an optional value with `read`. Returns `None` if it is missing or invalid; only an invalid value is a problem.
    fn optional<T>(
        &mut self,
        key: &str,
        expected: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Option<T> {
        let value = self.get(key)?;
        let read = read(value);
        if read.is_none() {
            self.report_invalid(key, value, expected);
        }
        read
    }

    /// Returns the value under `key`, or `None` if it is missing or an empty string.
    fn get(&self, key: &str) -> Option<&'a Value> {
        self.table?.get(key).filter(|value| value.as_str() != Some(""))
    }

    fn report_invalid(&mut self, key: &str, value: &Value, expected: &'static str) {
        let shown = value.to_string().chars().take(MAX_SHOWN_CHARACTERS).collect();
        self.report(key, Some(shown), expected);
    }

    fn report(&mut self, key: &str, value: Option<String>, expected: &'static str) {
        let key = format!("{}{key}", self.prefix);
        self.problems.push(Problem { key, value, expected });
    }
}

fn string(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn list<T>(value: &Value, read: impl Fn(&Value) -> Option<T>) -> Option<Vec<T>> {
    value.as_array()?.iter().map(read).collect()
}

fn number(value: &Value) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|integer| integer as f64))?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn integer(value: &Value) -> Option<u64> {
    let number = number(value)?;
    (number.fract() == 0.0 && number < u32::MAX.into()).then_some(number as u64)
}

fn duration(key: &str, value: &Value) -> Option<Duration> {
    let number = number(value)?;
    let seconds = if key.ends_with("_ms") { number / MILLISECONDS_PER_SECOND } else { number };
    (seconds <= MAX_SECONDS).then(|| Duration::from_secs_f64(seconds))
}
