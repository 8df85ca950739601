//! Keys of the settings file.

use crate::support::{run, text};
use std::{collections::BTreeSet, path::Path};

/// Every key that the program reads, by table.
const KEYS: &[(&str, &[&str])] = &[
    (
        "",
        &[
            "node_name",
            "role",
            "machine_class",
            "serves",
            "ip",
            "zone",
            "region",
            "port_range",
            "seed_nodes",
            "bootstrap",
            "counts_for_quorum",
            "data_dir",
            "heartbeat_ms",
            "guarantees",
        ],
    ),
    ("listen", &["frontend", "readiness", "control_plane"]),
    ("figures", &["listen"]),
    ("limits", &["cpu_quota", "cores", "memory_mb", "max_fds", "bandwidth_mbps", "disk_mb"]),
    ("fault_tolerance", &["hosts_lost", "zones", "regions"]),
    (
        "bounds",
        &[
            "seed_lag_s",
            "reuse_after_s",
            "contact_ms",
            "ack_ms",
            "catch_up_s",
            "drain_ms",
            "grace_s",
            "loss_slack_ms",
            "config_apply_ms",
            "downgrade_ms",
            "skew_ms",
            "recovery_s",
            "pass_ms",
            "again_s",
            "completion_s",
            "settle_ms",
        ],
    ),
];

fn key_in(table: &str, key: &str) -> String {
    if table.is_empty() { key.to_owned() } else { format!("{table}.{key}") }
}

/// Returns the keys named in the error output of `check settings` for a file with this content.
fn reported_keys(folder: &Path, settings: &str) -> BTreeSet<String> {
    let path = folder.join("settings.toml");
    std::fs::write(&path, settings).unwrap();
    let output = run(&["check", "settings", path.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let message = text(&output.stderr);
    assert!(message.starts_with("E201: "), "{message}");
    message.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn each_key_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let mut settings = String::new();
    let mut expected = BTreeSet::new();
    for (table, keys) in KEYS {
        if !table.is_empty() {
            settings.extend(["[", table, "]\n"]);
        }
        for key in *keys {
            settings.extend([key, " = { no = \"value\" }\n"]);
            expected.insert(key_in(table, key));
        }
    }
    assert_eq!(reported_keys(folder.path(), &settings), expected);
}

#[test]
fn each_table_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let tables = ["zones", "listen", "figures", "limits", "fault_tolerance", "bounds"];
    let settings = tables.map(|table| format!("{table} = 1\n")).concat();
    let reported = reported_keys(folder.path(), &settings);
    for table in tables {
        assert!(reported.contains(table), "{table} is missing from {reported:?}");
    }
}
