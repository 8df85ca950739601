//! The command line.

use crate::{exit, state::StatefulRole};
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
    ///   opalrun state show control /var/lib/opalrun/control --json
    ///   opalrun state verify store /var/lib/opalrun/store
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
        /// Looks at what a process has on disk. The process must not run; nothing is changed.
        cmd state {
            /// Prints numbers and sizes, never contents.
            cmd show {
                /// The role whose folder it is: control or store.
                required role: StatefulRole
                /// The folder: data_dir in the settings.
                required folder: PathBuf
                /// Prints JSON.
                optional --json
            }
            /// Reads everything and tells what is wrong.
            cmd verify {
                /// The role whose folder it is: control or store.
                required role: StatefulRole
                /// The folder: data_dir in the settings.
                required folder: PathBuf
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
