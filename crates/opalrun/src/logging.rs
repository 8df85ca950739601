//! Logging to standard error, with the time since the start of the process.

use tracing::Level;
use tracing_subscriber::fmt::time::uptime;

/// Installs the global log subscriber, with maximum level `INFO`.
pub fn start() {
    tracing_subscriber::fmt()
        .compact()
        .with_ansi(false)
        .with_max_level(Level::INFO)
        .with_timer(uptime())
        .with_writer(std::io::stderr)
        .init();
}
