//! Settings files of the processes, as the platform would write them.

use super::judge::Bounds;
use std::{
    fmt::Write as _,
    net::{Ipv4Addr, SocketAddr},
    path::Path,
};

/// Class of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Serves client traffic: a proxy and its agent.
    Edge,
    /// Runs the control plane.
    Core,
    /// Stores data.
    Storage,
}

impl Class {
    /// Returns the roles that run on it, by the names of the program's subcommands.
    #[must_use]
    pub fn roles(self) -> &'static [&'static str] {
        match self {
            Self::Edge => &["agent", "proxy"],
            Self::Core => &["control"],
            Self::Storage => &["store"],
        }
    }

    /// Returns its name in settings and in machine names.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Edge => "edge",
            Self::Core => "core",
            Self::Storage => "storage",
        }
    }

    /// Returns the `serves` setting of a role: what it serves to callers outside of the tier.
    fn serves(self, role: &str) -> &'static str {
        match (self, role) {
            (Self::Edge, "proxy") => "[\"edge\"]",
            (Self::Edge, _) => "[]",
            (Self::Core, _) => "[\"control\"]",
            (Self::Storage, _) => "[\"storage\"]",
        }
    }
}

/// Ports, identical on every machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    pub frontend: u16,
    pub readiness: u16,
    pub control: u16,
    /// First and last port for traffic among the tier's processes.
    pub inner: (u16, u16),
}

impl Default for Ports {
    fn default() -> Self {
        Self { frontend: 8149, readiness: 8141, control: 8144, inner: (7380, 7395) }
    }
}

/// Values of one settings file.
#[derive(Debug)]
pub struct SettingsFile<'a> {
    pub machine: &'a str,
    pub class: Class,
    pub role: &'a str,
    pub ip: Ipv4Addr,
    pub zone: &'a str,
    pub zones: &'a [String],
    pub ports: Ports,
    pub seeds: &'a [SocketAddr],
    pub bootstrap: bool,
    pub data_dir: &'a Path,
    pub hosts_lost: usize,
    pub heartbeat_ms: u64,
    pub bounds: Bounds,
}

impl SettingsFile<'_> {
    /// Returns the file's text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        let has_disk = self.class != Class::Edge;
        let mut line = |key: &str, value: String| {
            // Writing into a string does not fail.
            let _ = writeln!(text, "{key} = {value}");
        };
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        line("node_name", quoted(self.machine));
        line("role", quoted(self.role));
        line("machine_class", quoted(self.class.name()));
        line("serves", self.class.serves(self.role).to_owned());
        line("ip", quoted(&self.ip.to_string()));
        line("zone", quoted(self.zone));
        line("region", quoted("region-1"));
        line("port_range", format!("[{}, {}]", self.ports.inner.0, self.ports.inner.1));
        line("seed_nodes", format!("[{}]", seeds.join(", ")));
        line("bootstrap", self.bootstrap.to_string());
        line("counts_for_quorum", has_disk.to_string());
        if has_disk {
            line("data_dir", quoted(&self.data_dir.display().to_string()));
        }
        line("discovery", quoted("registration"));
        line("entry_type", quoted("anycast"));
        line("heartbeat_ms", self.heartbeat_ms.to_string());
        line(
            "guarantees",
            r#"["base", "drain", "config", "cost", "recover", "agent", "stream", "engine"]"#.into(),
        );
        line("a_key_of_a_later_version", "[1, \"two\"]".to_owned());
        self.tables(&mut text);
        text
    }

    fn tables(&self, text: &mut String) {
        text.push_str("\n[zones]\n");
        for zone in self.zones {
            let _ = writeln!(text, "{zone} = \"region-1\"");
        }
        text.push_str("\n[listen]\n");
        let mut listen = |key: &str, port: u16| {
            let _ = writeln!(text, "{key} = \"{}:{port}\"", self.ip);
        };
        match (self.class, self.role) {
            (Class::Edge, "proxy") => {
                listen("frontend", self.ports.frontend);
                listen("readiness", self.ports.readiness);
            }
            (Class::Core, _) => listen("control_plane", self.ports.control),
            _ => {}
        }
        let _ = write!(
            text,
            "\n[limits]\ncpu_quota = 0.5\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nbandwidth_mbps = 1000.0\n\
             disk_mb = {}\n\n[fault_tolerance]\nhosts_lost = {}\nzones = 0\nregions = 0\n",
            if self.class == Class::Edge { 0 } else { 128 },
            self.hosts_lost
        );
        let bounds = &self.bounds;
        let _ = write!(
            text,
            "\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = {}\nack_ms = 4000\ncatch_up_s = 4.4\n\
             drain_ms = {}\ngrace_s = {}\nloss_slack_ms = 200\nconfig_apply_ms = {}\ndowngrade_ms = {}\n\
             skew_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 0\ncompletion_s = 10\nsettle_ms = 1000\n",
            bounds.contact_ms,
            bounds.drain_ms,
            bounds.grace_ms as f64 / 1e3,
            bounds.config_apply_ms,
            bounds.downgrade_ms
        );
    }
}

/// Returns a value in quotation marks. Names and paths in this lab contain none themselves.
fn quoted(value: &str) -> String {
    format!("\"{value}\"")
}
