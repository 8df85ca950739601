//! The command line.

use crate::exit;
use std::path::PathBuf;

xflags::xflags! {
    /// Serves agent programs: gatekeepers, control processes and stores, one process a role.
    ///
    /// The settings file of a role is named by the variable OPALRUN_CONFIG. Exit statuses and the
    /// result codes that begin messages are listed in docs/results.md.
    ///
    /// Examples:
    ///   OPALRUN_CONFIG=/etc/opalrun/settings.toml opalrun control
    ///   opalrun check settings /etc/opalrun/settings.toml
    ///   opalrun check configuration routes.json
    cmd opalrun {
        /// Carries requests of clients to workers.
        cmd proxy {}
        /// Keeps the link to the control processes for the proxy of the same machine.
        cmd agent {}
        /// Knows the machines and keeps the configuration.
        cmd control {}
        /// Keeps what programs have spent and said.
        cmd store {}
        /// Checks a file without starting anything.
        cmd check {
            /// Checks a settings file.
            cmd settings {
                /// The file, in TOML.
                required file: PathBuf
            }
            /// Checks a configuration as the operator sends it.
            cmd configuration {
                /// The file, in JSON.
                required file: PathBuf
            }
        }
    }
}

/// Reads the command line; ends the process after `--help` and where it is wrong.
pub fn parse() -> Opalrun {
    match Opalrun::from_env() {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            println!("{error}");
            std::process::exit(0)
        }
        Err(error) => {
            eprintln!("{error}\n\nopalrun --help lists the commands.");
            std::process::exit(exit::USAGE.into())
        }
    }
}
