//! The program of the serving tier: one subcommand for each role, and checks of files.
#![forbid(unsafe_code)]

mod check;
mod exit;
mod flags;
mod logging;
mod roles;
mod state;
mod table;

use flags::{CheckCmd, OpalrunCmd, StateCmd};
use std::process::ExitCode;

fn main() -> ExitCode {
    logging::start();
    let ended = match flags::parse().subcommand {
        OpalrunCmd::Proxy(_) => roles::run(roles::Role::Proxy),
        OpalrunCmd::Agent(_) => roles::run(roles::Role::Agent),
        OpalrunCmd::Control(_) => roles::run(roles::Role::Control),
        OpalrunCmd::Store(_) => roles::run(roles::Role::Store),
        OpalrunCmd::Check(check) => match check.subcommand {
            CheckCmd::Settings(settings) => check::settings(&settings.file),
            CheckCmd::Configuration(configuration) => check::configuration(&configuration.file),
        },
        OpalrunCmd::State(state) => match state.subcommand {
            StateCmd::Show(show) => state::show(show.role, &show.folder, show.json),
            StateCmd::Verify(verify) => state::verify(verify.role, &verify.folder),
        },
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            exit::status(&message)
        }
    }
}
