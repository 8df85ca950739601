//! The schema of the JSON body. Field names are those of the operators' documentation; unknown fields are ignored.
//!
//! Numbers other than the generation are parsed as floating-point, because an operator's tool may write `60` as `60.0`.

use crate::Problem;
use facet::Facet;
use opalrun_wire::ResultCode;

/// Maximum nesting depth of arrays and objects; the known fields need five levels.
const MAX_DEPTH: usize = 64;
/// Location of problems that concern the entire body.
const ENTIRE_BODY: &str = "body";

/// The JSON body of a configuration.
#[derive(Debug, Facet)]
pub(crate) struct Document {
    /// Generation of the configuration. Negative if the number is negative or out of range, because `facet-json` wraps
    /// numbers that do not fit.
    pub(crate) generation: i64,
    pub(crate) routes: Vec<RouteDocument>,
    pub(crate) services: Vec<ServiceDocument>,
    pub(crate) limits: Option<LimitsDocument>,
}

/// An element of `routes`.
#[derive(Debug, Facet)]
pub(crate) struct RouteDocument {
    pub(crate) name: String,
    pub(crate) host: String,
    pub(crate) path_prefix: String,
    pub(crate) route_type: Option<String>,
    pub(crate) timeout_ms: Option<f64>,
    pub(crate) target_latency_ms: Option<f64>,
    pub(crate) priority: Option<f64>,
    pub(crate) backend: Option<String>,
    pub(crate) traffic_split: Option<Vec<DestinationDocument>>,
    pub(crate) max_attempts: Option<f64>,
    pub(crate) retained: Option<bool>,
    pub(crate) retention_s: Option<f64>,
    pub(crate) session_affinity: Option<bool>,
    pub(crate) resumable: Option<bool>,
    pub(crate) gap_aim_ms: Option<f64>,
}

/// An element of `traffic_split`.
#[derive(Debug, Facet)]
pub(crate) struct DestinationDocument {
    pub(crate) backend: String,
    pub(crate) weight: f64,
}

/// An element of `services`.
#[derive(Debug, Facet)]
pub(crate) struct ServiceDocument {
    pub(crate) name: String,
    pub(crate) health_path: Option<String>,
    pub(crate) max_connections: Option<f64>,
    pub(crate) engine: Option<EngineDocument>,
}

/// The `engine` object of a service.
#[derive(Debug, Facet)]
pub(crate) struct EngineDocument {
    pub(crate) capacity: Option<f64>,
    pub(crate) kv_capacity: Option<f64>,
    pub(crate) chunk_tokens: Option<f64>,
    pub(crate) models: Option<Vec<ModelDocument>>,
}

/// An element of an engine's `models`.
#[derive(Debug, Facet)]
pub(crate) struct ModelDocument {
    pub(crate) name: String,
}

/// The `limits` object.
#[derive(Debug, Facet)]
pub(crate) struct LimitsDocument {
    pub(crate) max_header_bytes: Option<f64>,
    pub(crate) max_body_bytes: Option<f64>,
    pub(crate) header_timeout_ms: Option<f64>,
    pub(crate) idle_timeout_ms: Option<f64>,
}

/// Parses a body.
///
/// # Errors
/// A problem with [`ResultCode::CONFIGURATION_UNREADABLE`] if the body is not valid JSON, or if a field is missing or has
/// the wrong type.
pub(crate) fn read(body: &[u8]) -> Result<Document, Problem> {
    let text = std::str::from_utf8(body).map_err(|error| unreadable(&error))?;
    if nested_deeper_than(body, MAX_DEPTH) {
        return Err(unreadable(&format_args!("nested more than {MAX_DEPTH} levels deep")));
    }
    check_syntax(text)?;
    facet_json::from_str(text).map_err(|error| schema_mismatch(&error))
}

/// Checks with `serde_json` that the text is exactly one JSON value, because `facet-json` stops at the end of the first
/// value and accepts surplus commas.
fn check_syntax(text: &str) -> Result<(), Problem> {
    serde_json::from_str::<serde::de::IgnoredAny>(text).map_err(|error| unreadable(&error))?;
    Ok(())
}

/// Returns the problem of a body that is not valid JSON.
fn unreadable(cause: &impl ToString) -> Problem {
    Problem::new(ENTIRE_BODY, ResultCode::CONFIGURATION_UNREADABLE, cause.to_string())
}

/// Returns the problem of a field that is missing or has the wrong type.
fn schema_mismatch(error: &facet_json::DeserializeError) -> Problem {
    let path = if let Some(path) = &error.path { path.format() } else { String::new() };
    let path = path.trim_start_matches('.');
    let kind = error.kind.to_string();
    // Some messages continue with the Rust types being deserialized, which mean nothing to operators.
    let message = kind.split(" at Path {").next().unwrap_or_default();
    let location = if path.is_empty() { ENTIRE_BODY } else { path };
    Problem::new(location, ResultCode::CONFIGURATION_UNREADABLE, message)
}

/// Returns whether arrays and objects are nested deeper than `limit`. The parser recurses at each level, so deep nesting
/// would overflow the stack.
fn nested_deeper_than(body: &[u8], limit: usize) -> bool {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut escaped = false;
    for byte in body {
        if in_string {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => in_string = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            return true;
        }
    }
    false
}
