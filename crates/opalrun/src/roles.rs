//! Runs a role until it ends.

use opalrun_control::ControlError;
use opalrun_gatekeeper::{agent::AgentError, proxy::ProxyError};
use opalrun_net::signals;
use opalrun_settings::{Settings, SettingsError};
use opalrun_store::StoreError;
use snafu::{ResultExt, Snafu};
use std::io;
use tokio::{runtime, task::LocalSet};

/// The role of a process.
#[derive(Debug, Clone, Copy)]
pub enum Role {
    /// Forwards client requests to workers.
    Proxy,
    /// Subscribes to the control processes on behalf of the local proxy.
    Agent,
    /// Tracks the machines of the tier and stores the configuration.
    Control,
    /// Stores budgets and turns of programs.
    Store,
}

/// Why a role ended with an error. The message begins with a result code if the error has one.
#[derive(Debug, Snafu)]
pub enum RoleError {
    /// The settings are missing or invalid.
    #[snafu(display("{source}"))]
    InvalidSettings {
        /// The error, with all problems found.
        source: SettingsError,
    },
    /// The async runtime can't be started.
    #[snafu(display("{source}"))]
    StartRuntime {
        /// The error from the operating system.
        source: io::Error,
    },
    /// The signal handlers can't be installed.
    #[snafu(display("{source}"))]
    InstallSignals {
        /// The error from the operating system.
        source: io::Error,
    },
    /// The proxy failed.
    #[snafu(display("{source}"))]
    Proxy {
        /// Error of the proxy.
        source: ProxyError,
    },
    /// The agent failed.
    #[snafu(display("{source}"))]
    Agent {
        /// Error of the agent.
        source: AgentError,
    },
    /// The control process failed.
    #[snafu(display("{source}"))]
    Control {
        /// Error of the control process.
        source: ControlError,
    },
    /// The store failed.
    #[snafu(display("{source}"))]
    Store {
        /// Error of the store.
        source: StoreError,
    },
}

/// Runs a role until it ends, with the settings file from the environment.
///
/// # Errors
/// The role can't be started, or failed.
pub fn run(role: Role) -> Result<(), RoleError> {
    let settings = Settings::from_environment().context(InvalidSettingsSnafu)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build().context(StartRuntimeSnafu)?;
    let tasks = LocalSet::new();
    let ended = tasks.block_on(&runtime, async {
        signals::install().context(InstallSignalsSnafu)?;
        tracing::info!(?role, node = settings.node_name, zone = settings.zone, "starting");
        // The task is dropped with the `LocalSet`, after the role has ended.
        tokio::task::spawn_local(watch_settings(settings.clone()));
        run_until_ended(role, settings).await
    });
    tracing::info!(?role, ok = ended.is_ok(), "ended");
    runtime.shutdown_background();
    ended
}

async fn run_until_ended(role: Role, settings: Settings) -> Result<(), RoleError> {
    match role {
        Role::Proxy => opalrun_gatekeeper::proxy::run(settings).await.context(ProxySnafu),
        Role::Agent => opalrun_gatekeeper::agent::run(settings).await.context(AgentSnafu),
        Role::Control => opalrun_control::run(settings).await.context(ControlSnafu),
        Role::Store => opalrun_store::run(settings).await.context(StoreSnafu),
    }
}

/// Validates the settings file after each SIGHUP and logs the result. The running role keeps its settings.
async fn watch_settings(settings: Settings) {
    loop {
        signals::settings_changed().await;
        match settings.reload() {
            Ok(_) => tracing::info!("settings file reloaded"),
            Err(error) => tracing::warn!(%error, "settings file is invalid; keeping the current settings"),
        }
    }
}
