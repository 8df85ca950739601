//! The gateway's configuration: its format, and the validation that every version passes before it takes effect.

pub mod file;
pub mod history;
pub mod owner;
pub mod store;
mod strict;
pub mod trial;

use crate::{events::LogFormat, fleet::FleetSettings};
use opalrun_gateway::Options;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::{fmt, net::SocketAddr, path::PathBuf};
use strict::JsonPath;
use trial::TrialSettings;

/// A worker in discovery's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    pub id: String,
    #[serde(default)]
    pub addr: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub cell: u32,
    pub state: String,
    #[serde(default)]
    pub started_ms: f64,
}

/// Discovery's list of workers, or the changes since an earlier version of it.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerList {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<WorkerEntry>,
}

/// A valid configuration.
#[derive(Debug, Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Largest number of file descriptors that the process may have open.
    pub sockets: usize,
    /// Memory limit of the process, in bytes.
    pub memory: usize,
    pub counter: Option<SocketAddr>,
    /// Address of the admin API, if it is served.
    pub admin: Option<SocketAddr>,
    /// Workers to start with, before discovery has answered.
    pub known: Vec<WorkerEntry>,
    /// Discovery's version of `known`, if that is a full list.
    pub known_version: Option<u64>,
    pub options: Options,
    /// Settings of the trial after which a new version that causes more failures is rolled back; `None`: no trials.
    pub trial: Option<TrialSettings>,
    /// Folder for the gateway's state, such as the last good configuration.
    pub state: Option<PathBuf>,
    /// Format and level of the log.
    pub log: Option<LogFormat>,
    /// Settings of the exchange with other gateways, if there is to be one.
    pub fleet: Option<FleetSettings>,
    /// The file's contents. A version that replaces this one must have all of its keys.
    document: Value,
}

impl Config {
    /// Warnings about valid contents that are probably a mistake.
    pub fn notes(&self) -> Vec<Problem> {
        let empty = [("settings.Classes", &self.options.classes), ("settings.Plans", &self.options.plans)];
        let empty = empty.into_iter().filter(|(_, names)| names.is_empty());
        empty.map(|(key, _)| Problem::new(key, "is empty: every request is refused")).collect()
    }
}

/// Smallest limit of file descriptors that leaves some for clients and workers.
pub const MIN_SOCKETS: u64 = 64;
/// Largest number of errors that are reported for one file, and of characters in each.
const MAX_ERRORS: (usize, usize) = (50, 300);
/// Largest number of changes that a plan lists.
const MAX_LISTED_CHANGES: usize = 200;
/// Top-level keys whose changes take effect at the next start only.
const RESTART_KEYS: [&str; 7] = ["name", "listen", "seed", "limits", "admin", "known", "state"];

/// One error in a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path of the key; empty if the error concerns the file as a whole.
    pub path: String,
    pub reason: String,
}

impl Problem {
    pub fn new(path: impl Into<String>, reason: impl fmt::Display) -> Self {
        let truncate = |text: String| text.chars().take(MAX_ERRORS.1).collect();
        Self { path: truncate(path.into()), reason: truncate(reason.to_string()) }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            f.write_str(&self.reason)
        } else {
            write!(f, "{}: {}", self.path, self.reason)
        }
    }
}

/// All errors in a configuration; never empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problems(Vec<Problem>);

impl Problems {
    pub fn one(path: &str, reason: impl fmt::Display) -> Self {
        Self(vec![Problem::new(path, reason)])
    }

    /// Returns `Err` with the problems, shortened to `MAX_ERRORS`, if there are any.
    fn check(mut problems: Vec<Problem>) -> Result<(), Self> {
        if problems.is_empty() {
            return Ok(());
        }
        let rest = problems.len().saturating_sub(MAX_ERRORS.0);
        problems.truncate(MAX_ERRORS.0);
        if rest > 0 {
            problems.push(Problem::new("", format!("{rest} more")));
        }
        Err(Self(problems))
    }
}

impl fmt::Display for Problems {
    /// Writes one line: control characters from the file are replaced.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            let line = problem.to_string().replace(char::is_control, " ");
            write!(f, "{}{line}", if i > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

/// Kind of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ChangeKind {
    Added,
    Removed,
    Changed,
}

/// A value that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    pub path: String,
    pub what: ChangeKind,
}

/// The changes that a new configuration would make to the one in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Plan {
    pub changes: Vec<Change>,
    /// Number of changes beyond those listed.
    pub more: usize,
    /// Changed keys that take effect at the next start only.
    pub waits: Vec<String>,
    /// Warnings about valid contents that are probably a mistake.
    pub notes: Vec<Problem>,
}

impl Plan {
    fn add(&mut self, at: JsonPath, what: ChangeKind) {
        if self.changes.len() < MAX_LISTED_CHANGES {
            let path = at.to_string().chars().take(MAX_ERRORS.1).collect();
            self.changes.push(Change { path, what });
        } else {
            self.more += 1;
        }
    }

    fn compare(&mut self, at: JsonPath, old: &Value, new: &Value) {
        match (old, new) {
            (Value::Object(old), Value::Object(new)) => {
                for (key, value) in old {
                    match new.get(key) {
                        Some(new) => self.compare(JsonPath::Key(&at, key), value, new),
                        None => self.add(JsonPath::Key(&at, key), ChangeKind::Removed),
                    }
                }
                let added = new.keys().filter(|k| !old.contains_key(*k));
                added.for_each(|key| self.add(JsonPath::Key(&at, key), ChangeKind::Added));
            }
            (Value::Array(old), Value::Array(new)) => {
                for i in 0..old.len().max(new.len()) {
                    let at = JsonPath::Index(&at, i);
                    match (old.get(i), new.get(i)) {
                        (Some(old), Some(new)) => self.compare(at, old, new),
                        (Some(_), None) => self.add(at, ChangeKind::Removed),
                        (None, _) => self.add(at, ChangeKind::Added),
                    }
                }
            }
            _ if old == new => {}
            _ => self.add(at, ChangeKind::Changed),
        }
    }

    fn between(old: &Value, new: &Value) -> Self {
        let mut plan = Self { waits: keys_for_restart(old, new), ..Self::default() };
        plan.compare(JsonPath::Root, old, new);
        plan
    }
}

/// Keys of `new` that differ from `old` and take effect at the next start only.
fn keys_for_restart(old: &Value, new: &Value) -> Vec<String> {
    let differs = |key: &&str| old.get(*key) != new.get(*key);
    let mut waits: Vec<String> = RESTART_KEYS.into_iter().filter(differs).map(str::to_owned).collect();
    // The counter's client is created at the start only: its address may change, but it can't be added or removed.
    let has = |file: &Value| file.get("counter").is_some_and(|c| !c.is_null());
    if has(old) != has(new) {
        waits.push("counter".to_owned());
    }
    waits
}

/// Reads a file key by key and collects the problems, so that all of them can be reported together.
struct KeyReader<'a> {
    file: &'a Value,
    problems: Vec<Problem>,
}

impl<'a> KeyReader<'a> {
    /// The value at a path of keys; `None` if it is missing or null.
    fn at(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.file, |v, key| v.get(key)).filter(|v| !v.is_null())
    }

    /// Reads an optional value.
    fn optional<T: DeserializeOwned>(&mut self, path: &str) -> Option<T> {
        match T::deserialize(self.at(path)?) {
            Ok(value) => Some(value),
            Err(e) => {
                self.problems.push(Problem::new(path, e));
                None
            }
        }
    }

    /// Reads a required value.
    fn required<T: DeserializeOwned>(&mut self, path: &str) -> Option<T> {
        let before = self.problems.len();
        let value = self.optional(path);
        if value.is_none() && self.problems.len() == before {
            self.problems.push(Problem::new(path, "is missing"));
        }
        value
    }

    /// Reads `known`: the workers, and the list's version if the list is a full one.
    fn known(&mut self) -> (Vec<WorkerEntry>, Option<u64>) {
        let (version, full) = (self.required("known.version"), self.required("known.full"));
        let mut entries = Vec::new();
        let servers = self.at("known.servers").and_then(Value::as_array);
        if servers.is_none() {
            self.problems.push(Problem::new("known.servers", "is not a list"));
        }
        for (i, entry) in servers.into_iter().flatten().enumerate() {
            match WorkerEntry::deserialize(entry) {
                Ok(entry) => entries.push(entry),
                Err(e) => self.problems.push(Problem::new(format!("known.servers[{i}]"), e)),
            }
        }
        (entries, version.filter(|_| full == Some(true)))
    }

    /// Reads and checks `settings`.
    fn options(&mut self) -> Option<Options> {
        let Some(settings) = self.at("settings").filter(|s| s.is_object()) else {
            self.problems.push(Problem::new("settings", "is missing or not an object"));
            return None;
        };
        let options = match Options::read(settings) {
            Ok(options) => options,
            Err(errors) => {
                let problem =
                    |e: &opalrun_gateway::OptionsError| Problem::new(format!("settings.{}", e.path), e.fault);
                self.problems.extend(errors.iter().map(problem));
                return None;
            }
        };
        // Below a millisecond no connection would be kept or opened.
        let times =
            [("ConnIdle", options.connection_idle_timeout), ("ConnectTimeout", options.connect_timeout)];
        for (key, _) in times.into_iter().filter(|(_, v)| !(1e-3..=3600.0).contains(v)) {
            self.problems
                .push(Problem::new(format!("settings.Limits.{key}"), "must be from 0.001 to 3600 seconds"));
        }
        if let Err(e) = options.settings.check() {
            self.problems.push(Problem::new("settings", e));
        }
        Some(options)
    }
}

/// Parses and validates a configuration, and compares it with the one in force, if any. Returns the configuration and
/// its changes, or all problems.
pub fn check(text: &[u8], current: Option<&Config>) -> Result<(Config, Plan), Problems> {
    let (document, duplicates) =
        strict::parse(text).map_err(|e| Problems::one("", format!("the configuration is malformed: {e}")))?;
    let problems = duplicates.into_iter().map(|path| Problem::new(path, "occurs more than once")).collect();
    let mut keys = KeyReader { file: &document, problems };
    let (name, listen, discovery) =
        (keys.required("name"), keys.required("listen"), keys.required("discovery"));
    let seed = keys.required::<String>("seed").map(|seed| u64::from_str_radix(&seed, 16));
    if let Some(Err(_)) = seed {
        keys.problems.push(Problem::new("seed", "is not a hexadecimal number"));
    }
    let (memory, sockets) =
        (keys.required::<f64>("limits.memory_mb"), keys.required::<u64>("limits.sockets"));
    if let Some(n) = sockets.filter(|n| *n < MIN_SOCKETS) {
        keys.problems.push(Problem::new("limits.sockets", format!("is {n}, must be at least {MIN_SOCKETS}")));
    }
    let (counter, admin, state) = (keys.optional("counter"), keys.optional("admin"), keys.optional("state"));
    let (trial, log) = (keys.optional::<TrialSettings>("trial"), keys.optional::<LogFormat>("log"));
    let fleet = keys.optional::<FleetSettings>("fleet");
    if trial.as_ref().is_some_and(|t| !t.is_valid()) {
        keys.problems
            .push(Problem::new("trial", "length_s, worse_by and least must be above 0, worse_by under 1"));
    }
    let ((known, known_version), options) = (keys.known(), keys.options());
    let mut problems = keys.problems;
    if let Some(current) = current {
        let mut missing_paths = Vec::new();
        find_missing(JsonPath::Root, &current.document, &document, &mut missing_paths);
        let is_new = |path: &String| !problems.iter().any(|p| p.path == *path);
        let missing_paths: Vec<String> = missing_paths.into_iter().filter(is_new).collect();
        problems.extend(
            missing_paths
                .into_iter()
                .map(|path| Problem::new(path, "is missing, or of another type than before")),
        );
        if let Some(options) = &options {
            let old = &current.options;
            if options.classes.is_empty() {
                problems.push(Problem::new("settings.Classes", "is empty"));
            }
            if !options.plans.starts_with(&old.plans) {
                problems.push(Problem::new(
                    "settings.Plans",
                    "may only be extended at its end: indices are in use",
                ));
            }
            if !options.zones.starts_with(&old.zones) {
                problems.push(Problem::new(
                    "settings.Dcs",
                    "may only be extended at its end: indices are in use",
                ));
            }
        }
    }
    Problems::check(problems)?;
    let complete = (|| {
        Some(Config {
            name: name?,
            listen: listen?,
            discovery: discovery?,
            seed: seed?.ok()?,
            sockets: usize::try_from(sockets?).unwrap_or(usize::MAX),
            memory: (memory?.max(0.0) * f64::from(1 << 20)) as usize,
            counter,
            admin,
            known,
            known_version,
            options: options?,
            trial,
            state,
            log,
            fleet,
            document,
        })
    })();
    let config = complete.ok_or_else(|| Problems::one("", "the configuration is incomplete"))?;
    let mut plan = current.map(|p| Plan::between(&p.document, &config.document)).unwrap_or_default();
    plan.notes = config.notes();
    Ok((config, plan))
}

/// Collects the paths of `old`, at any depth, that `new` lacks or holds as another type of value. An entry of a list
/// must have the keys that all entries of the old list have.
fn find_missing(at: JsonPath, old: &Value, new: &Value, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Null, _) => {}
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in old {
                find_missing(JsonPath::Key(&at, key), value, new.get(key).unwrap_or(&Value::Null), found);
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            let Some(first) = old.first() else { return };
            let common = match first {
                Value::Object(keys) => {
                    let everywhere = |key: &str| old.iter().all(|e| e.get(key).is_some());
                    let kept = keys.iter().filter(|(k, _)| everywhere(k));
                    Value::Object(kept.map(|(k, v)| (k.clone(), v.clone())).collect())
                }
                other => other.clone(),
            };
            for (i, entry) in new.iter().enumerate() {
                find_missing(JsonPath::Index(&at, i), &common, entry, found);
            }
        }
        (old, new) if std::mem::discriminant(old) != std::mem::discriminant(new) => {
            found.push(at.to_string())
        }
        _ => {}
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use serde_json::json;

    /// A valid file that has every required key.
    pub fn file() -> Value {
        json!({
            "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f",
            "counter": "127.0.0.1:3", "admin": null, "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "known": {"version": 4, "full": true, "servers": [
                {"id": "w0", "addr": "127.0.0.1:4", "zone": "a", "cell": 1, "state": "SERVING", "started_ms": 0}]},
            "settings": {
                "Classes": [{"Name": "read", "Effect": "idempotent", "Slo": 0.6, "Deadline": 2.0}],
                "Dcs": ["a"], "PeersTotal": 2, "Me": 0,
                "Domain": {"HasCounter": true, "CountLimit": 0.05},
                "Limits": {"ConnIdle": 30.0, "ConnectTimeout": 0.25, "SendCap": 4},
                "Plans": [{"Name": "basic", "QuotaRate": 1.0, "Depth": 4.0}],
                "Rules": {"Cold": 16.0},
            },
        })
    }

    fn config() -> Config {
        check(file().to_string().as_bytes(), None).expect("the file is valid").0
    }

    fn rejected_paths(new: &Value) -> Vec<String> {
        let problems = check(new.to_string().as_bytes(), Some(&config())).expect_err("refused").0;
        problems.into_iter().map(|p| p.path).collect()
    }

    #[test]
    fn missing_keys_and_changed_types_are_found_at_any_depth() {
        let old = json!({"a": {"b": 1, "c": null}, "list": [{"x": 1, "odd": 2}, {"x": 2}], "on": true});
        let missing = |new: Value| {
            let mut found = Vec::new();
            find_missing(JsonPath::Root, &old, &new, &mut found);
            found
        };
        assert_eq!(missing(old.clone()), Vec::<String>::new());
        assert!(missing(json!({"a": {"b": 2.5}, "list": [{"x": 3}], "on": false, "new": 1})).is_empty());
        assert_eq!(missing(json!({"a": {}, "list": []})), ["a.b", "on"]);
        assert_eq!(
            missing(json!({"a": {"b": "1"}, "list": [{"x": 1}, {}], "on": true})),
            ["a.b", "list[1].x"]
        );
        assert_eq!(missing(json!([])), [""]);
    }

    #[test]
    fn all_problems_are_reported_together_with_their_keys() {
        let mut bad = file();
        bad["seed"] = json!("xyz");
        bad["limits"]["sockets"] = json!(3);
        bad["listen"] = json!("nowhere");
        bad["settings"]["Classes"][0]["Deadline"] = json!(-1.5);
        bad["settings"]["Limits"]["SendCap"] = json!(0);
        bad["settings"]["Domain"]["CountLimit"] = json!("soon");
        bad["settings"]["Rules"]["Cold"] = json!(1e308);
        bad["known"]["servers"][0] = json!({"id": 5});
        bad["trial"] = json!({"length_s": 0, "worse_by": 0.1, "least": 10});
        bad.as_object_mut().expect("an object").remove("name");
        let found = rejected_paths(&bad);
        for path in [
            "name",
            "seed",
            "listen",
            "limits.sockets",
            "known.servers[0]",
            "trial",
            "settings.Classes[0].Deadline",
            "settings.Limits.SendCap",
            "settings.Domain.CountLimit",
            "settings.Rules.Cold",
        ] {
            assert_eq!(found.iter().filter(|p| *p == path).count(), 1, "{path} in {found:?}");
        }
        let duplicate = file().to_string().replacen("\"Me\":0", "\"Me\":0,\"Me\":1", 1);
        let problems = check(duplicate.as_bytes(), None).expect_err("a duplicate key");
        assert_eq!(problems.to_string(), "settings.Me: occurs more than once");
        let many = json!({"settings": {"Classes": vec![json!({"Effect": 1}); 500]}});
        let problems = check(many.to_string().as_bytes(), None).expect_err("every class is invalid").0;
        assert_eq!(problems.len(), MAX_ERRORS.0 + 1, "the number of errors is bounded");
    }

    #[test]
    fn lists_with_indices_in_use_may_only_be_extended_at_their_end() {
        for (key, value) in [("Plans", json!([])), ("Dcs", json!(["b", "a"])), ("Classes", json!([]))] {
            let mut bad = file();
            bad["settings"][key] = value;
            assert_eq!(rejected_paths(&bad), [format!("settings.{key}")]);
        }
        let mut more = file();
        more["settings"]["Dcs"] = json!(["a", "b"]);
        more["limits"]["memory_mb"] = json!(32);
        more["counter"] = json!("127.0.0.1:9");
        let (config, plan) =
            check(more.to_string().as_bytes(), Some(&config())).expect("the lists are only extended");
        assert_eq!(config.options.zones, ["a", "b"]);
        let paths: Vec<(&str, ChangeKind)> = plan.changes.iter().map(|c| (&*c.path, c.what)).collect();
        let changed = |path| (path, ChangeKind::Changed);
        assert_eq!(
            paths,
            [changed("counter"), changed("limits.memory_mb"), ("settings.Dcs[1]", ChangeKind::Added)]
        );
        assert_eq!(plan.waits, ["limits"]);
    }

    #[test]
    fn mutated_files_never_panic_and_accepted_ones_are_read_exactly() {
        let good = file().to_string().into_bytes();
        let current = config();
        let mut accepted = 0;
        for seed in 0..4000 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut bytes = good.clone();
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(..bytes.len());
                match rng.u32(..6) {
                    0 => bytes.truncate(at.max(1)),
                    4 | 5 => {
                        // Changes a digit, so that many mutated files stay valid.
                        if let Some(digit) = bytes[at..].iter_mut().find(|b| b.is_ascii_digit()) {
                            *digit = b'0' + rng.u8(..10);
                        }
                    }
                    1 => bytes[at] = rng.u8(..),
                    2 => bytes.insert(at, b"0123456789{}[],:.-\"e"[rng.usize(..20)]),
                    _ => drop(bytes.remove(at)),
                }
                if bytes.len() < 2 {
                    break;
                }
            }
            if let Ok((config, plan)) = check(&bytes, Some(&current)) {
                accepted += 1;
                let (document, _) = strict::parse(&bytes).expect("valid JSON");
                assert_eq!(config.document, document);
                assert_eq!(plan.changes.is_empty(), document == current.document);
                assert_eq!(config.options, Options::read(&document["settings"]).expect("valid settings"));
                // Compared with itself, the file changes nothing.
                let (_, again) = check(&bytes, Some(&config)).expect("valid against itself");
                assert_eq!(again, Plan::default());
            } else {
                let problems = check(&bytes, Some(&current)).expect_err("rejected the second time as well");
                assert!(problems.to_string().lines().count() == 1, "problems are printed as one line");
            }
        }
        assert!(accepted > 100, "only {accepted} mutated files were accepted");
    }
}
