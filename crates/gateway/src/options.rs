//! Reads the settings object as the operators write it: the module's settings, and the names and limits
//! that whoever carries out the actions needs beside them.

use crate::interface::*;
use serde_json::Value;
use std::{cell::RefCell, fmt};

/// The settings object, read. Build one with [`Options::read`].
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Options {
    /// What [`crate::Gateway::new`] takes.
    pub settings: Settings,
    /// Names of the request classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// The longest time in seconds that a client of any class waits.
    pub max_deadline: f64,
    /// A server closes a connection that has stood idle for this many seconds.
    pub connection_idle_timeout: f64,
    /// A connection that is not up after this many seconds has failed.
    pub connect_timeout: f64,
}

/// A value of the settings object that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OptionsError {
    /// Where it stands, such as `Limits.SendCap` or `Classes[1].Slo`.
    pub path: String,
    /// What is wrong with it.
    pub fault: OptionsFault,
}

/// What is wrong with a value of the settings object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum OptionsFault {
    /// It is of another kind than the named one.
    Kind(&'static str),
    /// It is not above 0.
    NotAboveZero,
    /// It is below 0.
    Negative,
    /// It is larger than anything that makes sense there.
    TooLarge,
    /// It is none of the names known there.
    Unknown,
}

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Options.{} {}", self.path, self.fault)
    }
}

impl fmt::Display for OptionsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind(kind) => write!(f, "is not {kind}"),
            Self::NotAboveZero => f.write_str("is not above 0"),
            Self::Negative => f.write_str("is below 0"),
            Self::TooLarge => f.write_str("is too large"),
            Self::Unknown => f.write_str("is unknown"),
        }
    }
}

impl std::error::Error for OptionsError {}

/// No setting is as large: seconds, units or counts.
const LARGEST: f64 = 1e12;

/// An object, read by key; unknown keys are ignored. What can't be used is noted, and its default stands.
struct Keys<'a> {
    value: &'a Value,
    path: String,
    errors: &'a RefCell<Vec<OptionsError>>,
}

impl<'a> Keys<'a> {
    fn at(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
    fn note(&self, key: &str, fault: OptionsFault) {
        self.errors.borrow_mut().push(OptionsError { path: self.at(key), fault });
    }
    fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|v| !v.is_null())
    }
    fn sub(&self, key: &str) -> Keys<'a> {
        let value = self.get(key).unwrap_or(&Value::Null);
        if !value.is_null() && !value.is_object() {
            self.note(key, OptionsFault::Kind("an object"));
        }
        Keys { value, path: self.at(key), errors: self.errors }
    }
    fn list(&self, key: &str) -> Vec<Keys<'a>> {
        let value = self.get(key);
        if value.is_some_and(|v| !v.is_array()) {
            self.note(key, OptionsFault::Kind("a list"));
        }
        let entries = value.and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        let entry = |(i, value)| Keys { value, path: format!("{}[{i}]", self.at(key)), errors: self.errors };
        entries.iter().enumerate().map(entry).collect()
    }
    /// The number under `key`, 0 at least.
    fn num(&self, key: &str, default: f64) -> f64 {
        let Some(value) = self.get(key) else { return default };
        let fault = match value.as_f64() {
            None => OptionsFault::Kind("a number"),
            Some(v) if v < 0.0 => OptionsFault::Negative,
            Some(v) if v > LARGEST => OptionsFault::TooLarge,
            Some(v) => return v,
        };
        self.note(key, fault);
        default
    }
    fn above_zero(&self, key: &str, default: f64) -> f64 {
        let value = self.num(key, default);
        if value <= 0.0 {
            self.note(key, OptionsFault::NotAboveZero);
        }
        value
    }
    fn flag(&self, key: &str) -> bool {
        let value = self.get(key);
        if value.is_some_and(|v| !v.is_boolean()) {
            self.note(key, OptionsFault::Kind("true or false"));
        }
        value.and_then(Value::as_bool).unwrap_or(false)
    }
    fn text(&self, key: &str) -> &'a str {
        let value = self.get(key);
        if value.is_some_and(|v| !v.is_string()) {
            self.note(key, OptionsFault::Kind("text"));
        }
        value.and_then(Value::as_str).unwrap_or("")
    }
}

/// A class and its deadline.
fn class(keys: &Keys) -> (Class, f64) {
    let deadline = keys.above_zero("Deadline", 1.0);
    let mut class = Class::default();
    class.latency_target = keys.num("Slo", class.latency_target);
    class.value = keys.num("Worth", class.value);
    class.late_value = keys.num("LateWorth", 0.0);
    class.streamed = keys.flag("Streamed");
    let group = match keys.text("Group") {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    class.effect = match keys.text("Effect") {
        "idempotent" => Effect::Idempotent,
        "deduplicated" => Effect::Deduplicated { group, window: keys.num("Window", 0.0) },
        "at_most_once" => Effect::AtMostOnce,
        _ => {
            keys.note("Effect", OptionsFault::Unknown);
            Effect::AtMostOnce
        }
    };
    (class, deadline)
}

fn plan(keys: &Keys) -> Plan {
    Plan {
        rate: keys.num("QuotaRate", 0.0),
        burst: keys.num("Depth", 0.0),
        max_open_attempts: keys.num("Open", 0.0) as u32,
        unit_value: keys.num("Pays", 1.0),
        excess_value: keys.num("ExcessWorth", 0.0),
        overrun_cost: keys.num("OverrunCost", 0.0),
        ceiling_rate: keys.num("CeilingRate", 0.0),
        ceiling_burst: keys.num("CeilingBurst", 0.0),
    }
}

impl Options {
    /// Reads a settings object; a missing key has its default.
    ///
    /// # Errors
    /// All values that can't be used.
    pub fn read(value: &Value) -> Result<Self, Vec<OptionsError>> {
        let errors = RefCell::default();
        let keys = Keys { value, path: String::new(), errors: &errors };
        let (limits, domain, rules) = (keys.sub("Limits"), keys.sub("Domain"), keys.sub("Rules"));
        let mut s = Settings::default();
        s.gateway_index = keys.num("Me", 0.0) as u32;
        s.gateway_count = keys.num("PeersTotal", 1.0) as u32;
        s.zone = keys.num("Locality", 0.0) as u32;
        s.min_event_interval = keys.num("Step", s.min_event_interval);
        let deadlines: Vec<f64>;
        (s.classes, deadlines) = keys.list("Classes").iter().map(class).unzip();
        let longest = deadlines.into_iter().fold(0.0, f64::max);
        s.plans = keys.list("Plans").iter().map(plan).collect();
        s.must_subscribe = keys.text("Discovery") == "ask";
        s.has_counter = domain.flag("HasCounter");
        s.counter_timeout = domain.num("CountLimit", s.counter_timeout);
        s.max_request_units = domain.num("MaxUnits", s.max_request_units);
        s.post_paid = domain.flag("PostPaid");
        s.may_probe = limits.flag("MayProbe");
        s.may_cancel = limits.flag("Cancelling");
        s.hedging_allowed = limits.flag("SecondCopies");
        s.max_attempts = limits.above_zero("SendCap", 1.0) as u32;
        s.max_open_requests = limits.num("OpenCap", f64::from(u32::MAX)) as u32;
        s.retry_after = limits.flag("RetryAfter");
        s.max_retry_after = limits.num("MaxRetryAfter", s.max_retry_after);
        s.initial_capacity_share = rules.num("ColdFrom", s.initial_capacity_share);
        s.warm_up = rules.num("Cold", s.warm_up);
        s.overload_factor = rules.num("FallMultiple", s.overload_factor);
        s.overload_window = rules.num("Fall", s.overload_window);
        let names = |key: &str| keys.list(key).iter().map(|k| k.text("Name").to_owned()).collect();
        let zones = keys.list("Dcs");
        let zones = zones.iter().map(|z| z.value.as_str().unwrap_or("").to_owned()).collect();
        let zones: Vec<String> = zones;
        if !zones.is_empty() && s.zone as usize >= zones.len() {
            keys.note("Locality", OptionsFault::Unknown);
        }
        let (classes, plans) = (names("Classes"), names("Plans"));
        let connection_idle_timeout = limits.num("ConnIdle", 30.0);
        let connect_timeout = limits.num("ConnectTimeout", 0.25);
        let errors = errors.take();
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self {
            settings: s,
            classes,
            plans,
            zones,
            max_deadline: longest,
            connection_idle_timeout,
            connect_timeout,
        })
    }
}
