//! The command line.

use crate::{
    check::CheckedKind,
    exit,
    state::{StateAction, StatefulRole},
};
use std::{net::SocketAddr, path::PathBuf};

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
    ///   opalrun tier show --control 10.1.0.42:8144
    ///   opalrun configuration get --control 10.1.0.42:8144 --control 10.2.0.43:8144
    ///   opalrun configuration put routes.json --control 10.1.0.42:8144 --if-match 7
    ///   opalrun store retire storage-2 --control 10.1.0.42:8144 --deadline-s 60 --follow
    cmd opalrun {
        /// Carries requests of clients to workers.
        cmd proxy {}
        /// Keeps the link to the control processes for the proxy of the same machine.
        cmd agent {}
        /// Knows the machines and keeps the configuration.
        cmd control {}
        /// Keeps what programs have spent and said.
        cmd store {
            /// Runs the role, which is also what happens without a subcommand.
            default cmd run {}
            /// Has a store machine emptied, so that it can be taken away.
            cmd retire {
                /// The machine's name.
                required node: String
                /// The control address of a control machine; given several times: they are asked in turn.
                repeated --control control: SocketAddr
                /// Seconds within which it should be empty; 10 where it is not given.
                optional --deadline-s deadline_s: u64
                /// Waits until it is empty, or the time is over.
                optional --follow
            }
        }
        /// Reads and changes the operator's configuration of a running tier.
        cmd configuration {
            /// Puts a configuration in force.
            cmd put {
                /// The file, in JSON.
                required file: PathBuf
                /// The control address of a control machine; given several times: they are asked in turn.
                repeated --control control: SocketAddr
                /// The generation that it builds on; 0 for the first.
                required --if-match generation: u64
            }
            /// Prints the newest configuration.
            cmd get {
                /// The control address of a control machine; given several times: they are asked in turn.
                repeated --control control: SocketAddr
            }
        }
        /// Looks at a running tier.
        cmd tier {
            /// Prints what a control process knows of the whole tier.
            cmd show {
                /// The control address of a control machine; given several times: they are asked in turn.
                repeated --control control: SocketAddr
                /// Prints JSON.
                optional --json
            }
        }
        /// Checks a file without starting anything.
        cmd check {
            /// What it holds: settings (TOML) or configuration (JSON, as the operator sends it).
            required kind: CheckedKind
            /// The file.
            required file: PathBuf
        }
        /// Looks at what a process has on disk. The process must not run; nothing is changed.
        cmd state {
            /// What to do: show (numbers and sizes, never contents) or verify (read everything and tell what is wrong).
            required action: StateAction
            /// The role whose folder it is: control or store.
            required role: StatefulRole
            /// The folder: data_dir in the settings.
            required folder: PathBuf
            /// Prints JSON.
            optional --json
        }
    }
}

impl Opalrun {
    /// The command asks control processes, and none is named.
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

/// Reads the command line; ends the process after `--help` and where it is wrong.
pub fn parse() -> Opalrun {
    match Opalrun::from_env() {
        Ok(flags) if flags.lacks_control() => {
            eprintln!(
                "--control ADDRESS is missing: no control process to ask\n\nopalrun --help lists the commands."
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
