//! Parses scenario files and collects all errors in them.

use super::{Invalid, Problem, Scenario, shipped};
use std::{collections::BTreeSet, path::Path};
use toml::{Table, Value};

/// Greatest number of type errors that are collected; each takes another parse.
const MAX_ERRORS: usize = 50;

impl Scenario {
    /// Parses a scenario from TOML text.
    ///
    /// # Errors
    /// All errors in the text.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            Invalid(vec![Problem { key: String::new(), why: e.message().to_owned() }])
        })?;
        Self::from_table(table)
    }

    /// Reads the TOML table of a built-in scenario by name, or of a scenario file by path.
    ///
    /// # Errors
    /// The file can't be read or is no TOML.
    pub fn load(name: &str) -> Result<Table, Invalid> {
        let wrong = |why: String| Invalid(vec![Problem { key: String::new(), why }]);
        let text = match shipped().iter().find(|(n, _)| *n == name) {
            Some((_, text)) => (*text).to_owned(),
            None => std::fs::read_to_string(Path::new(name)).map_err(|e| wrong(format!("{name}: {e}")))?,
        };
        text.parse().map_err(|e: toml::de::Error| wrong(e.to_string()))
    }

    /// Converts a TOML table to a scenario and validates it.
    ///
    /// # Errors
    /// All errors in the table.
    pub fn from_table(table: Table) -> Result<Self, Invalid> {
        let mut problems = Vec::new();
        let mut unknown = BTreeSet::new();
        let mut value = Value::Table(table);
        let read = loop {
            let mut track = serde_path_to_error::Track::new();
            let from = serde_path_to_error::Deserializer::new(value.clone(), &mut track);
            let read: Result<Self, _> = serde_ignored::deserialize(from, |path| {
                unknown.insert(path.to_string());
            });
            match read {
                Ok(read) => break Some(read),
                Err(error) => {
                    let path = track.path();
                    problems.push(Problem { key: path.to_string(), why: error.message().trim().to_owned() });
                    // Removes the invalid value and parses again, to find errors in the rest.
                    if problems.len() >= MAX_ERRORS || !remove(&mut value, &path) {
                        break None;
                    }
                }
            }
        };
        let tidy = |key: String| key.replace(".?", "");
        problems.extend(
            unknown.into_iter().map(|key| Problem { key: tidy(key), why: "is no known key".to_owned() }),
        );
        if let Some(read) = &read {
            problems.extend(read.check());
        }
        match read {
            Some(read) if problems.is_empty() => Ok(read),
            _ => Err(Invalid(problems)),
        }
    }
}

/// Removes the entry at `path` from `value`; returns `false` if it can't be removed.
fn remove(value: &mut Value, path: &serde_path_to_error::Path) -> bool {
    use serde_path_to_error::Segment;
    let steps: Vec<&Segment> = path.iter().collect();
    let Some((last, before)) = steps.split_last() else { return false };
    let mut at = value;
    for step in before {
        let next = match step {
            Segment::Map { key } => at.as_table_mut().and_then(|t| t.get_mut(key)),
            Segment::Seq { index } => at.as_array_mut().and_then(|a| a.get_mut(*index)),
            _ => None,
        };
        let Some(next) = next else { return false };
        at = next;
    }
    match last {
        Segment::Map { key } => at.as_table_mut().and_then(|t| t.remove(key)).is_some(),
        // Elements of arrays are not removed, as later elements must keep their index in error messages.
        _ => false,
    }
}
