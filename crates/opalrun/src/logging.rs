//! Logs: few lines, on standard error, with the time since the process's start.

use tracing::Level;
use tracing_subscriber::fmt::time::uptime;

/// Starts logging.
pub fn start() {
    tracing_subscriber::fmt()
        .compact()
        .with_ansi(false)
        .with_max_level(Level::INFO)
        .with_timer(uptime())
        .with_writer(std::io::stderr)
        .init();
}
