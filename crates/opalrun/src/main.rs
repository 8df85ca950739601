//! The program of the serving tier: one subcommand for each role, and commands for people.
#![forbid(unsafe_code)]

mod check;
mod exit;
mod flags;
mod logging;
mod operator;
mod roles;
mod state;
mod table;

use flags::{ConfigurationCmd, OpalrunCmd, StoreCmd, TierCmd};
use std::{process::ExitCode, time::Duration};

fn main() -> ExitCode {
    logging::start();
    let ended = match flags::parse().subcommand {
        OpalrunCmd::Proxy(_) => roles::run(roles::Role::Proxy),
        OpalrunCmd::Agent(_) => roles::run(roles::Role::Agent),
        OpalrunCmd::Control(_) => roles::run(roles::Role::Control),
        OpalrunCmd::Store(store) => match store.subcommand {
            StoreCmd::Run(_) => roles::run(roles::Role::Store),
            StoreCmd::Retire(retire) => operator::retire_store(
                &retire.node,
                &retire.control,
                retire.deadline_s.map_or(operator::USUAL_DEADLINE, Duration::from_secs),
                retire.follow,
            ),
        },
        OpalrunCmd::Configuration(configuration) => match configuration.subcommand {
            ConfigurationCmd::Put(put) => operator::put_configuration(&put.file, &put.control, put.if_match),
            ConfigurationCmd::Get(get) => operator::get_configuration(&get.control),
        },
        OpalrunCmd::Tier(tier) => match tier.subcommand {
            TierCmd::Show(show) => operator::show_tier(&show.control, show.json),
        },
        OpalrunCmd::Check(check) => check::file(check.kind, &check.file),
        OpalrunCmd::State(state) => state::look_at(state.action, state.role, &state.folder, state.json),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            exit::status(&message)
        }
    }
}
