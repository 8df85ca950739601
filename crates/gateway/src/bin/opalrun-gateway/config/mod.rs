//! What a gateway is told: the file's form, and the one check that every configuration passes before it holds.

pub mod file;
pub mod history;
pub mod owner;
pub mod store;
mod strict;
pub mod trial;

use crate::{events::Form, fleet};
use opalrun_gateway::Options;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use std::{fmt, net::SocketAddr, path::PathBuf};
use strict::At;
use trial::Terms;

/// A worker as discovery shows it.
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

/// A list of workers in discovery's form.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerList {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<WorkerEntry>,
}

#[derive(Debug, Clone)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes that it may use.
    pub memory: usize,
    pub counter: Option<SocketAddr>,
    /// Where the operators' calls are taken, if anywhere.
    pub admin: Option<SocketAddr>,
    pub known: Vec<WorkerEntry>,
    /// The version of that list, if it is a whole one.
    pub known_version: Option<u64>,
    pub options: Options,
    /// A new version that does worse goes back by itself, on these terms.
    pub trial: Option<Terms>,
    /// Where the last good configuration is kept.
    pub state: Option<PathBuf>,
    /// How the log is written.
    pub log: Option<Form>,
    /// The other gateways, where they are to know each other.
    pub fleet: Option<fleet::Terms>,
    /// The file as it was read: one that replaces it must hold what it held.
    text: Value,
}

impl Config {
    /// What may be meant, and hardly is.
    pub fn notes(&self) -> Vec<Problem> {
        let empty = [("settings.Classes", &self.options.classes), ("settings.Plans", &self.options.plans)];
        let empty = empty.into_iter().filter(|(_, names)| names.is_empty());
        empty.map(|(key, _)| Problem::of(key, "is empty: every request is refused")).collect()
    }
}

/// The fewest descriptors that leave some for clients and workers.
pub const LEAST_SOCKETS: u64 = 64;
/// What is told of one file at most: its errors, and the bytes of each.
const TOLD: (usize, usize) = (50, 300);
/// Changes that a plan names at most.
const NAMED: usize = 200;
/// What holds from the next start on only.
const WAITS: [&str; 7] = ["name", "listen", "seed", "limits", "admin", "known", "state"];

/// One thing that is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The key; empty: the file as a whole.
    pub path: String,
    pub reason: String,
}

impl Problem {
    pub fn of(path: impl Into<String>, reason: impl fmt::Display) -> Self {
        let cut = |text: String| text.chars().take(TOLD.1).collect();
        Self { path: cut(path.into()), reason: cut(reason.to_string()) }
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

/// All that is wrong with a configuration; never empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problems(Vec<Problem>);

impl Problems {
    pub fn one(path: &str, reason: impl fmt::Display) -> Self {
        Self(vec![Problem::of(path, reason)])
    }

    fn all(mut problems: Vec<Problem>) -> Result<(), Self> {
        if problems.is_empty() {
            return Ok(());
        }
        let rest = problems.len().saturating_sub(TOLD.0);
        problems.truncate(TOLD.0);
        if rest > 0 {
            problems.push(Problem::of("", format!("{rest} more")));
        }
        Err(Self(problems))
    }
}

impl fmt::Display for Problems {
    /// One line, whatever the file held.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            let line = problem.to_string().replace(char::is_control, " ");
            write!(f, "{}{line}", if i > 0 { "; " } else { "" })?;
        }
        Ok(())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    Added,
    Removed,
    Changed,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    pub path: String,
    pub what: What,
}

/// What a configuration would change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Plan {
    pub changes: Vec<Change>,
    /// Changes that are not named, as there are too many.
    pub more: usize,
    /// Keys that wait for the next start.
    pub waits: Vec<String>,
    /// What would be taken and is hardly meant.
    pub notes: Vec<Problem>,
}

impl Plan {
    fn note(&mut self, at: At, what: What) {
        if self.changes.len() < NAMED {
            let path = at.to_string().chars().take(TOLD.1).collect();
            self.changes.push(Change { path, what });
        } else {
            self.more += 1;
        }
    }

    fn compare(&mut self, at: At, old: &Value, new: &Value) {
        match (old, new) {
            (Value::Object(old), Value::Object(new)) => {
                for (key, value) in old {
                    match new.get(key) {
                        Some(new) => self.compare(At::Key(&at, key), value, new),
                        None => self.note(At::Key(&at, key), What::Removed),
                    }
                }
                let added = new.keys().filter(|k| !old.contains_key(*k));
                added.for_each(|key| self.note(At::Key(&at, key), What::Added));
            }
            (Value::Array(old), Value::Array(new)) => {
                for i in 0..old.len().max(new.len()) {
                    let at = At::Index(&at, i);
                    match (old.get(i), new.get(i)) {
                        (Some(old), Some(new)) => self.compare(at, old, new),
                        (Some(_), None) => self.note(at, What::Removed),
                        (None, _) => self.note(at, What::Added),
                    }
                }
            }
            _ if old == new => {}
            _ => self.note(at, What::Changed),
        }
    }

    fn between(old: &Value, new: &Value) -> Self {
        let mut plan = Self { waits: waits(old, new), ..Self::default() };
        plan.compare(At::Top, old, new);
        plan
    }
}

/// The keys of `new` that wait for the next start.
fn waits(old: &Value, new: &Value) -> Vec<String> {
    let differs = |key: &&str| old.get(*key) != new.get(*key);
    let mut waits: Vec<String> = WAITS.into_iter().filter(differs).map(str::to_owned).collect();
    // One that was not there at the start has no connections, one that goes keeps them.
    let has = |file: &Value| file.get("counter").is_some_and(|c| !c.is_null());
    if has(old) != has(new) {
        waits.push("counter".to_owned());
    }
    waits
}

/// The keys of a file, read one by one so that all that is wrong is found.
struct Keys<'a> {
    file: &'a Value,
    problems: Vec<Problem>,
}

impl<'a> Keys<'a> {
    fn at(&self, path: &str) -> Option<&'a Value> {
        path.split('.').try_fold(self.file, |v, key| v.get(key)).filter(|v| !v.is_null())
    }

    fn may<T: DeserializeOwned>(&mut self, path: &str) -> Option<T> {
        match T::deserialize(self.at(path)?) {
            Ok(value) => Some(value),
            Err(e) => {
                self.problems.push(Problem::of(path, e));
                None
            }
        }
    }

    fn need<T: DeserializeOwned>(&mut self, path: &str) -> Option<T> {
        let before = self.problems.len();
        let value = self.may(path);
        if value.is_none() && self.problems.len() == before {
            self.problems.push(Problem::of(path, "is missing"));
        }
        value
    }

    fn known(&mut self) -> (Vec<WorkerEntry>, Option<u64>) {
        let (version, full) = (self.need("known.version"), self.need("known.full"));
        let mut entries = Vec::new();
        let servers = self.at("known.servers").and_then(Value::as_array);
        if servers.is_none() {
            self.problems.push(Problem::of("known.servers", "is no list"));
        }
        for (i, entry) in servers.into_iter().flatten().enumerate() {
            match WorkerEntry::deserialize(entry) {
                Ok(entry) => entries.push(entry),
                Err(e) => self.problems.push(Problem::of(format!("known.servers[{i}]"), e)),
            }
        }
        (entries, version.filter(|_| full == Some(true)))
    }

    fn options(&mut self) -> Option<Options> {
        let Some(settings) = self.at("settings").filter(|s| s.is_object()) else {
            self.problems.push(Problem::of("settings", "is missing, or no object"));
            return None;
        };
        let options = match Options::read(settings) {
            Ok(options) => options,
            Err(errors) => {
                let problem =
                    |e: &opalrun_gateway::OptionsError| Problem::of(format!("settings.{}", e.path), e.fault);
                self.problems.extend(errors.iter().map(problem));
                return None;
            }
        };
        // Under a millisecond nothing would be kept, or come up.
        let times =
            [("ConnIdle", options.connection_idle_timeout), ("ConnectTimeout", options.connect_timeout)];
        for (key, _) in times.into_iter().filter(|(_, v)| !(1e-3..=3600.0).contains(v)) {
            self.problems.push(Problem::of(format!("settings.Limits.{key}"), "is no usable time"));
        }
        if let Err(e) = options.settings.check() {
            self.problems.push(Problem::of("settings", e));
        }
        Some(options)
    }
}

/// Reads a configuration and checks all of it, against the one that holds where there is one: the
/// configuration and what it changes, or all that is wrong with it.
pub fn check(text: &[u8], present: Option<&Config>) -> Result<(Config, Plan), Problems> {
    let (text, doubled) =
        strict::parse(text).map_err(|e| Problems::one("", format!("the configuration is malformed: {e}")))?;
    let problems = doubled.into_iter().map(|path| Problem::of(path, "stands more than once")).collect();
    let mut keys = Keys { file: &text, problems };
    let (name, listen, discovery) = (keys.need("name"), keys.need("listen"), keys.need("discovery"));
    let seed = keys.need::<String>("seed").map(|seed| u64::from_str_radix(&seed, 16));
    if let Some(Err(_)) = seed {
        keys.problems.push(Problem::of("seed", "is not a hexadecimal number"));
    }
    let (memory, sockets) = (keys.need::<f64>("limits.memory_mb"), keys.need::<u64>("limits.sockets"));
    if let Some(n) = sockets.filter(|n| *n < LEAST_SOCKETS) {
        keys.problems
            .push(Problem::of("limits.sockets", format!("{n} are too few: {LEAST_SOCKETS} at least")));
    }
    let (counter, admin, state) = (keys.may("counter"), keys.may("admin"), keys.may("state"));
    let (trial, log) = (keys.may::<Terms>("trial"), keys.may::<Form>("log"));
    let fleet = keys.may::<fleet::Terms>("fleet");
    if trial.as_ref().is_some_and(|t| !t.usable()) {
        keys.problems
            .push(Problem::of("trial", "length_s, worse_by and least must be above 0, worse_by under 1"));
    }
    let ((known, known_version), options) = (keys.known(), keys.options());
    let mut problems = keys.problems;
    if let Some(present) = present {
        let mut gone = Vec::new();
        missing(At::Top, &present.text, &text, &mut gone);
        let told = |path: &String| !problems.iter().any(|p| p.path == *path);
        let gone: Vec<String> = gone.into_iter().filter(told).collect();
        problems.extend(
            gone.into_iter().map(|path| Problem::of(path, "is missing, or of another kind than it was")),
        );
        if let Some(options) = &options {
            let old = &present.options;
            if options.classes.is_empty() {
                problems.push(Problem::of("settings.Classes", "is empty"));
            }
            if !options.plans.starts_with(&old.plans) {
                problems
                    .push(Problem::of("settings.Plans", "may only grow at its end: its places are in use"));
            }
            if !options.zones.starts_with(&old.zones) {
                problems.push(Problem::of("settings.Dcs", "may only grow at its end: its places are in use"));
            }
        }
    }
    Problems::all(problems)?;
    let whole = (|| {
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
            text,
        })
    })();
    let config = whole.ok_or_else(|| Problems::one("", "the configuration is incomplete"))?;
    let mut plan = present.map(|p| Plan::between(&p.text, &config.text)).unwrap_or_default();
    plan.notes = config.notes();
    Ok((config, plan))
}

/// The keys of `old` that `new` lacks or holds as another kind of value, at any depth. Of a list's entries
/// each new one needs what every old one had.
fn missing(at: At, old: &Value, new: &Value, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Null, _) => {}
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in old {
                missing(At::Key(&at, key), value, new.get(key).unwrap_or(&Value::Null), found);
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
                missing(At::Index(&at, i), &common, entry, found);
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

    /// A good file of every key.
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
        check(file().to_string().as_bytes(), None).expect("a good file").0
    }

    fn refused(new: &Value) -> Vec<String> {
        let problems = check(new.to_string().as_bytes(), Some(&config())).expect_err("refused").0;
        problems.into_iter().map(|p| p.path).collect()
    }

    #[test]
    fn a_key_that_is_gone_or_of_another_kind_is_found_at_any_depth() {
        let old = json!({"a": {"b": 1, "c": null}, "list": [{"x": 1, "odd": 2}, {"x": 2}], "on": true});
        let lacks = |new: Value| {
            let mut found = Vec::new();
            missing(At::Top, &old, &new, &mut found);
            found
        };
        assert_eq!(lacks(old.clone()), Vec::<String>::new());
        assert!(lacks(json!({"a": {"b": 2.5}, "list": [{"x": 3}], "on": false, "new": 1})).is_empty());
        assert_eq!(lacks(json!({"a": {}, "list": []})), ["a.b", "on"]);
        assert_eq!(lacks(json!({"a": {"b": "1"}, "list": [{"x": 1}, {}], "on": true})), ["a.b", "list[1].x"]);
        assert_eq!(lacks(json!([])), [""]);
    }

    #[test]
    fn all_that_is_wrong_is_told_at_once_each_with_its_key() {
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
        let found = refused(&bad);
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
        let double = file().to_string().replacen("\"Me\":0", "\"Me\":0,\"Me\":1", 1);
        let problems = check(double.as_bytes(), None).expect_err("a doubled key");
        assert_eq!(problems.to_string(), "settings.Me: stands more than once");
        let many = json!({"settings": {"Classes": vec![json!({"Effect": 1}); 500]}});
        let problems = check(many.to_string().as_bytes(), None).expect_err("all of it is wrong").0;
        assert_eq!(problems.len(), TOLD.0 + 1, "bounded");
    }

    #[test]
    fn what_customers_hang_on_may_only_grow_at_its_end() {
        for (key, value) in [("Plans", json!([])), ("Dcs", json!(["b", "a"])), ("Classes", json!([]))] {
            let mut bad = file();
            bad["settings"][key] = value;
            assert_eq!(refused(&bad), [format!("settings.{key}")]);
        }
        let mut more = file();
        more["settings"]["Dcs"] = json!(["a", "b"]);
        more["limits"]["memory_mb"] = json!(32);
        more["counter"] = json!("127.0.0.1:9");
        let (config, plan) = check(more.to_string().as_bytes(), Some(&config())).expect("it grows");
        assert_eq!(config.options.zones, ["a", "b"]);
        let paths: Vec<(&str, What)> = plan.changes.iter().map(|c| (&*c.path, c.what)).collect();
        let changed = |path| (path, What::Changed);
        assert_eq!(
            paths,
            [changed("counter"), changed("limits.memory_mb"), ("settings.Dcs[1]", What::Added)]
        );
        assert_eq!(plan.waits, ["limits"]);
    }

    #[test]
    fn no_bytes_make_it_panic_and_what_it_takes_is_what_the_file_says() {
        let good = file().to_string().into_bytes();
        let present = config();
        let mut taken = 0;
        for seed in 0..4000 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut bytes = good.clone();
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(..bytes.len());
                match rng.u32(..6) {
                    0 => bytes.truncate(at.max(1)),
                    4 | 5 => {
                        // Another number, where there is one.
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
            if let Ok((config, plan)) = check(&bytes, Some(&present)) {
                taken += 1;
                let (text, _) = strict::parse(&bytes).expect("it was read");
                assert_eq!(config.text, text);
                assert_eq!(plan.changes.is_empty(), text == present.text);
                assert_eq!(config.options, Options::read(&text["settings"]).expect("it was read"));
                // Taken once, it changes nothing more.
                let (_, again) = check(&bytes, Some(&config)).expect("it fits itself");
                assert_eq!(again, Plan::default());
            } else {
                let problems = check(&bytes, Some(&present)).expect_err("the same again");
                assert!(problems.to_string().lines().count() == 1, "one line");
            }
        }
        assert!(taken > 100, "{taken} of them are files all the same");
    }
}
