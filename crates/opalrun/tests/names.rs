//! Names and numbers that operators, workers and clients depend on. None of them may change.
//!
//! Each is written here literally, as in the documentation, and not taken from the source code.

#[path = "names/command_line.rs"]
mod command_line;

#[path = "names/configuration.rs"]
mod configuration;

#[path = "names/deploy.rs"]
mod deploy;

#[path = "names/headers.rs"]
mod headers;

#[path = "names/json.rs"]
mod json;

#[path = "names/results.rs"]
mod results;

#[path = "names/settings.rs"]
mod settings;

#[path = "names/support.rs"]
mod support;
