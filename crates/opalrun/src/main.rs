//! The `opalrun` program of the serving tier: one subcommand for each role, and commands for operators.
#![forbid(unsafe_code)]

mod check;
mod exit;
mod flags;
mod logging;
mod operator;
mod roles;
mod state;
mod table;

use check::CheckError;
use flags::{ConfigurationCmd, OpalrunCmd, StoreCmd, TierCmd};
use operator::OperatorError;
use roles::{Role, RoleError};
use snafu::Snafu;
use state::StateError;
use std::{process::ExitCode, time::Duration};

/// Why a subcommand failed. The message is that of the source.
#[derive(Debug, Snafu)]
enum CommandError {
    /// A role ended with an error.
    #[snafu(display("{source}"), context(false))]
    Role {
        /// Error of the role.
        source: RoleError,
    },
    /// An operator's command to a running tier failed.
    #[snafu(display("{source}"), context(false))]
    Operator {
        /// Error of the command.
        #[snafu(source(from(OperatorError, Box::new)))]
        source: Box<OperatorError>,
    },
    /// The check of a file failed.
    #[snafu(display("{source}"), context(false))]
    Check {
        /// Error of the check.
        source: CheckError,
    },
    /// The inspection of a data directory failed.
    #[snafu(display("{source}"), context(false))]
    State {
        /// Error of the inspection.
        source: StateError,
    },
}

fn main() -> ExitCode {
    logging::start();
    match run(flags::parse().subcommand) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let message = error.to_string();
            eprintln!("{message}");
            exit::status(&message)
        }
    }
}

fn run(command: OpalrunCmd) -> Result<(), CommandError> {
    match command {
        OpalrunCmd::Proxy(_) => roles::run(Role::Proxy)?,
        OpalrunCmd::Agent(_) => roles::run(Role::Agent)?,
        OpalrunCmd::Control(_) => roles::run(Role::Control)?,
        OpalrunCmd::Store(store) => match store.subcommand {
            StoreCmd::Run(_) => roles::run(Role::Store)?,
            StoreCmd::Retire(retire) => operator::retire_store(
                &retire.node,
                &retire.control,
                retire.deadline_s.map_or(operator::DEFAULT_DEADLINE, Duration::from_secs),
                retire.follow,
            )?,
        },
        OpalrunCmd::Configuration(configuration) => match configuration.subcommand {
            ConfigurationCmd::Put(put) => operator::put_configuration(&put.file, &put.control, put.if_match)?,
            ConfigurationCmd::Get(get) => operator::get_configuration(&get.control)?,
        },
        OpalrunCmd::Tier(tier) => match tier.subcommand {
            TierCmd::Show(show) => operator::show_tier(&show.control, show.json)?,
        },
        OpalrunCmd::Check(check) => check::file(check.kind, &check.file)?,
        OpalrunCmd::State(state) => state::inspect(state.action, state.role, &state.folder, state.json)?,
    }
    Ok(())
}
