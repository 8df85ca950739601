//! Running a role until it ends.

use opalrun_net::signals;
use opalrun_settings::Settings;
use std::fmt::Display;
use tokio::{runtime, task::LocalSet};

/// What a process does.
#[derive(Debug, Clone, Copy)]
pub enum Role {
    /// Carries requests of clients to workers.
    Proxy,
    /// Keeps the link to the control processes.
    Agent,
    /// Knows the machines and keeps the configuration.
    Control,
    /// Keeps what programs have spent and said.
    Store,
}

/// Runs a role with the settings that the environment names.
///
/// # Errors
/// The message of what ended it, beginning with a result code where there is one.
pub fn run(role: Role) -> Result<(), String> {
    let settings = Settings::from_environment().map_err(text)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().map_err(text)?;
    let tasks = LocalSet::new();
    let ended = tasks.block_on(&runtime, async {
        signals::install().map_err(text)?;
        tracing::info!(?role, node = settings.node_name, zone = settings.zone, "starting");
        tokio::task::spawn_local(watch_settings(settings.clone()));
        match role {
            Role::Proxy => opalrun_gatekeeper::proxy::run(settings).await.map_err(text),
            Role::Agent => opalrun_gatekeeper::agent::run(settings).await.map_err(text),
            Role::Control => opalrun_control::run(settings).await.map_err(text),
            Role::Store => opalrun_store::run(settings).await.map_err(text),
        }
    });
    tracing::info!(?role, ok = ended.is_ok(), "ended");
    runtime.shutdown_background();
    ended
}

/// Checks the settings file after each SIGHUP; a wrong one changes nothing.
async fn watch_settings(settings: Settings) {
    loop {
        signals::settings_changed().await;
        match settings.reload() {
            Ok(_) => tracing::info!("the settings file was read again"),
            Err(error) => tracing::warn!(%error, "the settings file is wrong: the former settings stay"),
        }
    }
}

fn text(error: impl Display) -> String {
    error.to_string()
}
