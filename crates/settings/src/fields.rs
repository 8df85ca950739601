//! Reading typed values out of a table, with a note of each one that is missing or wrong.

use crate::Problem;
use std::{cell::RefCell, net::SocketAddr, time::Duration};
use toml::{Table, Value};

/// Longest value that a message repeats, in characters.
const SHOWN_CHARACTERS: usize = 60;
/// Longest duration that a setting may name, in seconds.
const MAX_SECONDS: f64 = 1e6;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The values of one table.
pub(crate) struct Fields<'a> {
    /// Stands before keys in messages: the table's name and a point, or nothing.
    prefix: &'static str,
    table: Option<&'a Table>,
    problems: &'a RefCell<Vec<Problem>>,
}

impl<'a> Fields<'a> {
    pub(crate) fn root(table: &'a Table, problems: &'a RefCell<Vec<Problem>>) -> Self {
        Self { prefix: "", table: Some(table), problems }
    }

    /// The table under `key`; one that is missing has no values.
    pub(crate) fn table(&self, key: &str, prefix: &'static str) -> Fields<'a> {
        let table = match self.present(key) {
            Some(Value::Table(table)) => Some(table),
            Some(other) => {
                self.wrong(key, other, "a table");
                None
            }
            None => None,
        };
        Fields { prefix, table, problems: self.problems }
    }

    /// All keys with text, of a table that may hold any.
    pub(crate) fn texts(&self) -> impl Iterator<Item = (String, String)> {
        let pairs = self.table.into_iter().flatten();
        pairs.filter_map(|(key, value)| Some((key.clone(), value.as_str()?.to_owned())))
    }

    pub(crate) fn text(&self, key: &str) -> String {
        self.required(key, "a text that is not empty", text)
    }

    pub(crate) fn text_or_empty(&self, key: &str) -> String {
        self.optional(key, "a text", text).unwrap_or_default()
    }

    pub(crate) fn optional_text(&self, key: &str) -> Option<String> {
        self.optional(key, "a text", text)
    }

    pub(crate) fn text_list(&self, key: &str) -> Vec<String> {
        self.optional(key, "a list of texts", |value| list(value, text)).unwrap_or_default()
    }

    pub(crate) fn truth(&self, key: &str) -> bool {
        self.required(key, "true or false", Value::as_bool)
    }

    pub(crate) fn address(&self, key: &str) -> Option<SocketAddr> {
        self.optional(key, "an IP address and a port", address)
    }

    pub(crate) fn loopback_address(&self, key: &str) -> Option<SocketAddr> {
        let loopback = |value: &Value| address(value).filter(|address| address.ip().is_loopback());
        self.optional(key, "a loopback address and a port", loopback)
    }

    pub(crate) fn address_list(&self, key: &str) -> Vec<SocketAddr> {
        let addresses = |value: &Value| list(value, address).filter(|addresses| !addresses.is_empty());
        self.required(key, "a list of one or more IP addresses with ports", addresses)
    }

    /// A number, 0 or more.
    pub(crate) fn number(&self, key: &str) -> f64 {
        self.required(key, "a number, 0 or more", number)
    }

    /// A number above 0.
    pub(crate) fn positive(&self, key: &str) -> f64 {
        self.required(key, "a number above 0", |value| number(value).filter(|number| *number > 0.0))
    }

    pub(crate) fn whole(&self, key: &str) -> u64 {
        self.required(key, "a whole number, 0 or more", whole)
    }

    /// A duration whose key ends in `_ms` or `_s`; `usual` where it is missing.
    pub(crate) fn duration_or(&self, key: &str, usual: Duration) -> Duration {
        let wanted = "a number of at most 1,000,000 seconds";
        self.optional(key, wanted, |value| duration(key, value)).unwrap_or(usual)
    }

    /// A duration above 0 whose key ends in `_ms` or `_s`.
    pub(crate) fn positive_duration(&self, key: &str) -> Duration {
        let above_zero = |value: &Value| duration(key, value).filter(|duration| !duration.is_zero());
        self.required(key, "a number above 0", above_zero)
    }

    pub(crate) fn required<T: Default>(
        &self,
        key: &str,
        wanted: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> T {
        if self.present(key).is_none() {
            self.problem(key, None, wanted);
            return T::default();
        }
        self.optional(key, wanted, read).unwrap_or_default()
    }

    fn optional<T>(&self, key: &str, wanted: &'static str, read: impl Fn(&Value) -> Option<T>) -> Option<T> {
        let value = self.present(key)?;
        let read = read(value);
        if read.is_none() {
            self.wrong(key, value, wanted);
        }
        read
    }

    /// The value under `key`, unless it is missing or an empty text.
    fn present(&self, key: &str) -> Option<&'a Value> {
        self.table?.get(key).filter(|value| value.as_str() != Some(""))
    }

    fn wrong(&self, key: &str, value: &Value, wanted: &'static str) {
        let shown = value.to_string().chars().take(SHOWN_CHARACTERS).collect();
        self.problem(key, Some(shown), wanted);
    }

    fn problem(&self, key: &str, value: Option<String>, wanted: &'static str) {
        let key = format!("{}{key}", self.prefix);
        self.problems.borrow_mut().push(Problem { key, value, wanted });
    }
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn list<T>(value: &Value, read: impl Fn(&Value) -> Option<T>) -> Option<Vec<T>> {
    value.as_array()?.iter().map(read).collect()
}

fn number(value: &Value) -> Option<f64> {
    let number = value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64))?;
    (number.is_finite() && number >= 0.0).then_some(number)
}

fn whole(value: &Value) -> Option<u64> {
    let number = number(value)?;
    (number.fract() == 0.0 && number < u32::MAX.into()).then_some(number as u64)
}

fn duration(key: &str, value: &Value) -> Option<Duration> {
    let number = number(value)?;
    let seconds = if key.ends_with("_ms") { number / MILLISECONDS_PER_SECOND } else { number };
    (seconds <= MAX_SECONDS).then(|| Duration::from_secs_f64(seconds))
}
