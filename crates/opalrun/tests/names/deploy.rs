//! Keys of the deploy files. The values may change.

use crate::support::repository;

/// Returns the keys of a file, each prefixed with its table.
fn keys(file: &str) -> Vec<String> {
    let text = std::fs::read_to_string(repository().join("deploy").join(file)).unwrap();
    let mut table = String::new();
    let mut keys = Vec::new();
    for line in text.lines().filter(|line| !line.starts_with('#')) {
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            table = format!("{name}.");
        } else if let Some((key, _)) = line.split_once(" = ") {
            keys.push(format!("{table}{key}"));
        }
    }
    keys
}

#[test]
fn the_system_file_keeps_its_keys() {
    let mut expected = vec!["build".to_owned(), "packages".to_owned()];
    for role in ["proxy", "agent", "control", "store"] {
        expected.extend(["run", "on", "share", "serves"].map(|key| format!("roles.{role}.{key}")));
    }
    assert_eq!(keys("system.toml"), expected);
}

#[test]
fn the_balancer_file_keeps_its_keys() {
    assert_eq!(keys("balancer.toml"), ["build", "run", "sim", "policy", "node", "packages"]);
}
