//! Reads the settings object as operators write it: the settings of the decisions, and the names and limits that the
//! program needs to carry out their actions.

use crate::interface::*;
use serde_json::Value;
use std::{cell::RefCell, fmt};

/// The parsed settings object. Build one with [`Options::read`].
#[derive(Debug, Clone, Default, PartialEq)]
#[non_exhaustive]
pub struct Options {
    /// The settings for [`crate::Gateway::new`].
    pub settings: Settings,
    /// Names of the request classes, by index.
    pub classes: Vec<String>,
    /// Names of the plans, by index.
    pub plans: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// The longest deadline of all classes: the time in seconds that a client waits.
    pub max_deadline: f64,
    /// Time in seconds after which a server closes an idle connection.
    pub connection_idle_timeout: f64,
    /// Time-out of a connection attempt, in seconds.
    pub connect_timeout: f64,
}

/// An invalid value in the settings object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OptionsError {
    /// Path of the value, such as `Limits.SendCap` or `Classes[1].Slo`.
    pub path: String,
    /// Why it is invalid.
    pub fault: OptionsFault,
}

/// Why a value of the settings object is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum OptionsFault {
    /// It is not of the named type.
    Kind(&'static str),
    /// It is not above 0.
    NotAboveZero,
    /// It is below 0.
    Negative,
    /// It is above the largest accepted value.
    TooLarge,
    /// It is not one of the accepted names.
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

/// Largest accepted number, whether of seconds, units or objects.
const MAX_NUMBER: f64 = 1e12;

/// An object that is read by key; unknown keys are ignored. An invalid value is recorded in `errors` and replaced by
/// its default.
struct Keys<'a> {
    value: &'a Value,
    path: String,
    errors: &'a RefCell<Vec<OptionsError>>,
}

impl<'a> Keys<'a> {
    /// The path of `key` from the root of the settings object.
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }
    fn record_error(&self, key: &str, fault: OptionsFault) {
        self.errors.borrow_mut().push(OptionsError { path: self.path_of(key), fault });
    }
    /// The value under `key`; `null` counts as missing.
    fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|v| !v.is_null())
    }
    fn object(&self, key: &str) -> Keys<'a> {
        let value = self.get(key).unwrap_or(&Value::Null);
        if !value.is_null() && !value.is_object() {
            self.record_error(key, OptionsFault::Kind("an object"));
        }
        Keys { value, path: self.path_of(key), errors: self.errors }
    }
    fn list(&self, key: &str) -> Vec<Keys<'a>> {
        let value = self.get(key);
        if value.is_some_and(|v| !v.is_array()) {
            self.record_error(key, OptionsFault::Kind("a list"));
        }
        let entries = value.and_then(Value::as_array).map_or(&[][..], Vec::as_slice);
        let entry =
            |(i, value)| Keys { value, path: format!("{}[{i}]", self.path_of(key)), errors: self.errors };
        entries.iter().enumerate().map(entry).collect()
    }
    /// The number under `key`, which must not be negative.
    fn number(&self, key: &str, default: f64) -> f64 {
        let Some(value) = self.get(key) else { return default };
        let fault = match value.as_f64() {
            None => OptionsFault::Kind("a number"),
            Some(v) if v < 0.0 => OptionsFault::Negative,
            Some(v) if v > MAX_NUMBER => OptionsFault::TooLarge,
            Some(v) => return v,
        };
        self.record_error(key, fault);
        default
    }
    /// The number under `key`, which must be above 0.
    fn above_zero(&self, key: &str, default: f64) -> f64 {
        let value = self.number(key, default);
        if value <= 0.0 {
            self.record_error(key, OptionsFault::NotAboveZero);
        }
        value
    }
    fn flag(&self, key: &str) -> bool {
        let value = self.get(key);
        if value.is_some_and(|v| !v.is_boolean()) {
            self.record_error(key, OptionsFault::Kind("true or false"));
        }
        value.and_then(Value::as_bool).unwrap_or(false)
    }
    fn text(&self, key: &str) -> &'a str {
        let value = self.get(key);
        if value.is_some_and(|v| !v.is_string()) {
            self.record_error(key, OptionsFault::Kind("text"));
        }
        value.and_then(Value::as_str).unwrap_or("")
    }
}

/// Reads a class and its deadline in seconds.
fn class(keys: &Keys) -> (Class, f64) {
    let deadline = keys.above_zero("Deadline", 1.0);
    let mut class = Class::default();
    class.latency_target = keys.number("Slo", class.latency_target);
    class.value = keys.number("Worth", class.value);
    class.late_value = keys.number("LateWorth", 0.0);
    class.streamed = keys.flag("Streamed");
    let group = match keys.text("Group") {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    class.effect = match keys.text("Effect") {
        "idempotent" => Effect::Idempotent,
        "deduplicated" => Effect::Deduplicated { group, window: keys.number("Window", 0.0) },
        "at_most_once" => Effect::AtMostOnce,
        _ => {
            keys.record_error("Effect", OptionsFault::Unknown);
            Effect::AtMostOnce
        }
    };
    (class, deadline)
}

fn plan(keys: &Keys) -> Plan {
    Plan {
        rate: keys.number("QuotaRate", 0.0),
        burst: keys.number("Depth", 0.0),
        max_open_attempts: keys.number("Open", 0.0) as u32,
        unit_value: keys.number("Pays", 1.0),
        excess_value: keys.number("ExcessWorth", 0.0),
        overrun_cost: keys.number("OverrunCost", 0.0),
        ceiling_rate: keys.number("CeilingRate", 0.0),
        ceiling_burst: keys.number("CeilingBurst", 0.0),
    }
}

impl Options {
    /// Reads a settings object; a missing key stands for its default.
    ///
    /// # Errors
    /// Returns all invalid values.
    pub fn read(value: &Value) -> Result<Self, Vec<OptionsError>> {
        let errors = RefCell::default();
        let keys = Keys { value, path: String::new(), errors: &errors };
        let (limits, domain, rules) = (keys.object("Limits"), keys.object("Domain"), keys.object("Rules"));
        let mut s = Settings::default();
        s.gateway_index = keys.number("Me", 0.0) as u32;
        s.gateway_count = keys.number("PeersTotal", 1.0) as u32;
        s.zone = keys.number("Locality", 0.0) as u32;
        s.min_event_interval = keys.number("Step", s.min_event_interval);
        let deadlines: Vec<f64>;
        (s.classes, deadlines) = keys.list("Classes").iter().map(class).unzip();
        let max_deadline = deadlines.into_iter().fold(0.0, f64::max);
        s.plans = keys.list("Plans").iter().map(plan).collect();
        s.must_subscribe = keys.text("Discovery") == "ask";
        s.has_counter = domain.flag("HasCounter");
        s.counter_timeout = domain.number("CountLimit", s.counter_timeout);
        s.max_request_units = domain.number("MaxUnits", s.max_request_units);
        s.post_paid = domain.flag("PostPaid");
        s.may_probe = limits.flag("MayProbe");
        s.may_cancel = limits.flag("Cancelling");
        s.hedging_allowed = limits.flag("SecondCopies");
        s.max_attempts = limits.above_zero("SendCap", 1.0) as u32;
        s.max_open_requests = limits.number("OpenCap", f64::from(u32::MAX)) as u32;
        s.retry_after = limits.flag("RetryAfter");
        s.max_retry_after = limits.number("MaxRetryAfter", s.max_retry_after);
        s.initial_capacity_share = rules.number("ColdFrom", s.initial_capacity_share);
        s.warm_up = rules.number("Cold", s.warm_up);
        s.overload_factor = rules.number("FallMultiple", s.overload_factor);
        s.overload_window = rules.number("Fall", s.overload_window);
        let names = |key: &str| keys.list(key).iter().map(|k| k.text("Name").to_owned()).collect();
        let zones = keys.list("Dcs");
        let zones = zones.iter().map(|z| z.value.as_str().unwrap_or("").to_owned()).collect();
        let zones: Vec<String> = zones;
        if !zones.is_empty() && s.zone as usize >= zones.len() {
            keys.record_error("Locality", OptionsFault::Unknown);
        }
        let (classes, plans) = (names("Classes"), names("Plans"));
        let connection_idle_timeout = limits.number("ConnIdle", 30.0);
        let connect_timeout = limits.number("ConnectTimeout", 0.25);
        let errors = errors.take();
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self {
            settings: s,
            classes,
            plans,
            zones,
            max_deadline,
            connection_idle_timeout,
            connect_timeout,
        })
    }
}
