//! The log: one line per event on standard error, as text or as JSON.
//!
//! The level is checked first, so events below it are never formatted.

use serde::Deserialize;
use serde_json::{Map, Value};
use std::{
    fmt,
    str::FromStr,
    sync::{
        OnceLock,
        atomic::{AtomicBool, Ordering},
    },
};
use tracing::{
    Event, Subscriber,
    field::{Field, Visit},
    level_filters::LevelFilter,
};
use tracing_subscriber::{
    Registry,
    fmt::{FmtContext, FormatEvent, FormatFields, format::Writer},
    layer::SubscriberExt,
    registry::LookupSpan,
    reload,
    util::SubscriberInitExt,
};

/// Format and level of the log: `log` in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFormat {
    pub form: LogStyle,
    pub level: Level,
}

/// Format of the log's lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogStyle {
    #[default]
    Text,
    Json,
}

/// The lowest level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    Error,
    Warn,
    #[default]
    Info,
    /// Includes the steps of each request.
    Debug,
}

impl FromStr for LogFormat {
    type Err = &'static str;

    /// Parses `FORM:LEVEL`, such as `json:debug`; either part may be omitted together with the colon.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut form = Self::default();
        for word in text.split(':') {
            match word {
                "text" => form.form = LogStyle::Text,
                "json" => form.form = LogStyle::Json,
                "error" => form.level = Level::Error,
                "warn" => form.level = Level::Warn,
                "info" => form.level = Level::Info,
                "debug" => form.level = Level::Debug,
                _ => return Err("must be FORM:LEVEL, form text or json, level error, warn, info or debug"),
            }
        }
        Ok(form)
    }
}

impl Level {
    fn filter(self) -> LevelFilter {
        match self {
            Self::Error => LevelFilter::ERROR,
            Self::Warn => LevelFilter::WARN,
            Self::Info => LevelFilter::INFO,
            Self::Debug => LevelFilter::DEBUG,
        }
    }
}

static JSON: AtomicBool = AtomicBool::new(false);
static LEVEL: OnceLock<reload::Handle<LevelFilter, Registry>> = OnceLock::new();

/// Format and level from `NODE_LOG`, which override the configuration; `None` if it is not set.
fn from_environment() -> Result<Option<LogFormat>, &'static str> {
    let Some(text) = std::env::var_os("NODE_LOG").filter(|t| !t.is_empty()) else { return Ok(None) };
    text.to_str().ok_or("is not valid UTF-8")?.parse().map(Some)
}

/// Installs the log; to be called once per process.
///
/// # Errors
/// `NODE_LOG` is invalid; the log then has its default format and level.
pub fn init() -> Result<(), &'static str> {
    let (level, handle) = reload::Layer::new(Level::default().filter());
    let lines = tracing_subscriber::fmt::layer().with_writer(std::io::stderr).event_format(LineFormatter);
    tracing_subscriber::registry().with(level).with(lines).init();
    LEVEL.get_or_init(|| handle);
    from_environment().map(|form| set(form.unwrap_or_default()))
}

/// Applies the format and level of `NODE_LOG`, else of the configuration, else the default.
pub fn apply(configured: Option<LogFormat>) {
    set(from_environment().ok().flatten().or(configured).unwrap_or_default());
}

fn set(form: LogFormat) {
    JSON.store(form.form == LogStyle::Json, Ordering::Relaxed);
    // Fails only if the subscriber is gone, which lives as long as the process.
    let _ = LEVEL.get().map(|level| level.reload(form.level.filter()));
}

/// Formats an event as one line.
struct LineFormatter;

impl<S, N> FormatEvent<S, N> for LineFormatter
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut fields = Fields::default();
        event.record(&mut fields);
        if JSON.load(Ordering::Relaxed) {
            fields.0.insert("level".into(), event.metadata().level().as_str().into());
            return writeln!(to, "{}", Value::Object(fields.0));
        }
        let message = fields.0.remove("message");
        write!(to, "opalrun-gateway: {}", message.as_ref().and_then(Value::as_str).unwrap_or_default())?;
        for (name, value) in fields.0 {
            write!(to, " {name}={value}")?;
        }
        writeln!(to)
    }
}

/// Collects an event's fields as JSON values.
#[derive(Default)]
struct Fields(Map<String, Value>);

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        // Control characters from a file or peer must not break the line.
        let text = format!("{value:?}").replace(char::is_control, " ");
        self.0.insert(field.name().into(), text.into());
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name().into(), value.replace(char::is_control, " ").into());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.insert(field.name().into(), value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.0.insert(field.name().into(), value.into());
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.0.insert(field.name().into(), value.into());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn node_log_is_parsed_as_format_and_level_in_any_order() {
        assert_eq!("json:debug".parse(), Ok(LogFormat { form: LogStyle::Json, level: Level::Debug }));
        assert_eq!("warn".parse(), Ok(LogFormat { form: LogStyle::Text, level: Level::Warn }));
        assert_eq!("text".parse(), Ok(LogFormat::default()));
        assert!("xml".parse::<LogFormat>().is_err() && "".parse::<LogFormat>().is_err());
    }
}
