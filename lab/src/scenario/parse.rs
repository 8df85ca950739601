//! Reads scenario files, and finds everything that is wrong with one.

use super::{Invalid, Problem, Scenario, shipped};
use std::{collections::BTreeSet, path::Path};
use toml::{Table, Value};

/// Type errors that are looked for at most: each takes a reading of its own.
const MAX_ERRORS: usize = 50;

impl Scenario {
    /// Reads a scenario from TOML text.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            Invalid(vec![Problem { key: String::new(), why: e.message().to_owned() }])
        })?;
        Self::from_table(table)
    }

    /// Reads the table of a scenario from a file, or of one of those that ship with the lab by its name.
    ///
    /// # Errors
    /// All that is wrong with it, or that there is none.
    pub fn load(name: &str) -> Result<Table, Invalid> {
        let wrong = |why: String| Invalid(vec![Problem { key: String::new(), why }]);
        let text = match shipped().iter().find(|(n, _)| *n == name) {
            Some((_, text)) => (*text).to_owned(),
            None => std::fs::read_to_string(Path::new(name)).map_err(|e| wrong(format!("{name}: {e}")))?,
        };
        text.parse().map_err(|e: toml::de::Error| wrong(e.to_string()))
    }

    /// Reads a scenario from a table.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn from_table(table: Table) -> Result<Self, Invalid> {
        let mut wrongs = Vec::new();
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
                    wrongs.push(Problem { key: path.to_string(), why: error.message().trim().to_owned() });
                    // Without what can't be read, the rest is looked at too.
                    if wrongs.len() >= MAX_ERRORS || !remove(&mut value, &path) {
                        break None;
                    }
                }
            }
        };
        let tidy = |key: String| key.replace(".?", "");
        wrongs.extend(
            unknown.into_iter().map(|key| Problem { key: tidy(key), why: "is not known".to_owned() }),
        );
        if let Some(read) = &read {
            wrongs.extend(read.check());
        }
        match read {
            Some(read) if wrongs.is_empty() => Ok(read),
            _ => Err(Invalid(wrongs)),
        }
    }
}

/// Takes what stands at `path` out of `value`; `false`: there is nothing.
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
        // Places after it must stay where they are told: a whole entry is not taken out.
        _ => false,
    }
}
