//! The command line.

use crate::{
    check::CheckedKind,
    exit,
    state::{StateAction, StatefulRole},
};
use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serves agent programs: gatekeepers, control processes and stores, with one process for each role.
    ///
    /// The environment variable OPALRUN_CONFIG has the path of the settings file of a role. Exit
    /// statuses, and the result codes at the start of messages, are listed in docs/results.md.
    ///
    /// Examples:
    ///   OPALRUN_CONFIG=/etc/opalrun/settings.toml opalrun control
    ///   opalrun check settings /etc/opalrun/settings.toml
    ///   opalrun check configuration routes.json
    ///   opalrun state show control /var/lib/opalrun/control --json
    ///   opalrun state verify store /var/lib/opalrun/store
    ///   opalrun tier show --control 10.1.0.42:8144
    ///   opalrun configuration get --control 10.1.0.42:8144 --control 10.2.0.43:8144
    ///   opalrun configuration put routes.json --control 10.1.0.42:8144 --if-match 7
    ///   opalrun store retire storage-2 --control 10.1.0.42:8144 --deadline-s 60 --follow
    cmd opalrun {
        /// Runs the proxy role: forwards client requests to workers.
        cmd proxy {}
        /// Runs the agent role: subscribes to the control processes on behalf of the proxy on the same machine.
        cmd agent {}
        /// Runs the control role: tracks the machines of the tier and stores the configuration.
        cmd control {}
        /// Runs the store role (stores budgets and turns of programs), or retires a store machine.
        cmd store {
            /// Runs the role; this is the default subcommand.
            default cmd run {}
            /// Moves the data of a store machine to other stores, so that the machine can be removed.
            cmd retire {
                /// Name of the machine.
                required node: String
                /// Control address of a control machine; may be repeated, the addresses are tried in turn.
                repeated --control control: SocketAddr
                /// Seconds within which the data should be moved; 10 by default.
                optional --deadline-s deadline_s: u64
                /// Waits until the data is moved or the deadline has passed.
                optional --follow
            }
        }
        /// Reads or changes the configuration of a running tier.
        cmd configuration {
            /// Sets a new configuration.
            cmd put {
                /// Configuration file, in JSON.
                required file: PathBuf
                /// Control address of a control machine; may be repeated, the addresses are tried in turn.
                repeated --control control: SocketAddr
                /// Generation of the configuration that is replaced; 0 for the first configuration.
                required --if-match generation: u64
            }
            /// Prints the current configuration.
            cmd get {
                /// Control address of a control machine; may be repeated, the addresses are tried in turn.
                repeated --control control: SocketAddr
            }
        }
        /// Inspects a running tier.
        cmd tier {
            /// Prints the state of the tier as reported by a control process.
            cmd show {
                /// Control address of a control machine; may be repeated, the addresses are tried in turn.
                repeated --control control: SocketAddr
                /// Prints JSON instead of tables.
                optional --json
            }
        }
        /// Checks a file without starting a role.
        cmd check {
            /// Kind of the file: settings (TOML) or configuration (JSON, as sent by the operator).
            required kind: CheckedKind
            /// File to check.
            required file: PathBuf
        }
        /// Inspects the data directory of a process without changing it. The process must not be running.
        cmd state {
            /// Action: show (prints numbers and sizes, never content) or verify (reads everything and prints problems).
            required action: StateAction
            /// Role of the process: control or store.
            required role: StatefulRole
            /// Data directory: data_dir in the settings.
            required folder: PathBuf
            /// Prints JSON instead of text.
            optional --json
        }
    }
}

impl Opalrun {
    /// Returns whether the command calls control processes but has no `--control` address.
    fn lacks_control(&self) -> bool {
        let control = match &self.subcommand {
            OpalrunCmd::Store(store) => match &store.subcommand {
                StoreCmd::Retire(retire) => &retire.control,
                StoreCmd::Run(_) => return false,
            },
            OpalrunCmd::Configuration(configuration) => match &configuration.subcommand {
                ConfigurationCmd::Put(put) => &put.control,
                ConfigurationCmd::Get(get) => &get.control,
            },
            OpalrunCmd::Tier(tier) => match &tier.subcommand {
                TierCmd::Show(show) => &show.control,
            },
            _ => return false,
        };
        control.is_empty()
    }
}

/// Parses the command line. Exits the process after `--help`, and if the command line is invalid.
pub fn parse() -> Opalrun {
    match Opalrun::from_env() {
        Ok(flags) if flags.lacks_control() => {
            eprintln!(
                "--control ADDRESS is required: the address of a control process\n\nopalrun --help lists the commands."
            );
            std::process::exit(exit::USAGE.into())
        }
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
