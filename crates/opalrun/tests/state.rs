//! `opalrun state`: offline inspection of data directories.

use opalrun_storage::{DataDirectory, RecordLog, RecordLogOptions};
use opalrun_store::{Identity, record::Record};
use opalrun_wire::{
    feed::partition_of,
    ids::Epoch,
    store::{CountEntry, Turn},
};
use std::{
    collections::BTreeMap,
    path::Path,
    process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_opalrun")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Returns the content of all files in a directory, by name.
fn content(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap());
    entries
        .map(|entry| (entry.file_name().into_string().unwrap(), std::fs::read(entry.path()).unwrap()))
        .collect()
}

fn count(program: &str) -> Record {
    let entries = vec![CountEntry { holder: 1, sequence: 1, taken: 30 }];
    Record::Program { program: program.to_owned(), entries }
}

fn turn(id: &str) -> Record {
    let turn = Turn {
        id: id.to_owned(),
        ancestors: Vec::new(),
        input: b"a prompt that must not be printed".to_vec(),
        output: Vec::new(),
        retention_ms: 60_000,
        worker: String::new(),
    };
    Record::Turn { turn, keep_ms: 60_000 }
}

/// Writes the data directory of a store with one program and two turns. Returns the identity of the store.
fn write_store(folder: &Path) -> u64 {
    let directory = DataDirectory::open(folder).unwrap();
    let identity = Identity::load_or_create(&directory, true).unwrap();
    let mut log = RecordLog::open(&directory, "store", RecordLogOptions::default(), |_, _| {}).unwrap();
    for record in [Record::Epoch(Epoch(7)), count("program"), turn("one"), turn("two")] {
        log.append(&record.encode());
        log.sync().unwrap();
    }
    identity.number.0
}

/// Returns the path of the only segment of the store's log.
fn segment(folder: &Path) -> std::path::PathBuf {
    let name = content(folder)
        .into_keys()
        .find(|name| Path::new(name).extension().is_some_and(|extension| extension == "log"))
        .unwrap();
    folder.join(name)
}

#[test]
fn show_prints_numbers_and_no_content() {
    let folder = tempfile::tempdir().unwrap();
    let identity = write_store(folder.path());
    let before = content(folder.path());
    let path = folder.path().to_str().unwrap();
    let output = run(&["state", "show", "store", path, "--json"]);
    assert!(output.status.success(), "{output:?}");
    let shown: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let store = &shown["store"];
    assert_eq!(store["identity"].as_u64(), Some(identity));
    assert_eq!(store["epoch"], 7);
    assert_eq!(store["next_record"], 4);
    let partitions = store["partitions"].as_array().unwrap();
    let programs = partitions.iter().find(|p| p["partition"] == partition_of("program").0).unwrap();
    assert_eq!(programs["programs"], 1);
    let turns: u64 = partitions.iter().map(|p| p["turns"].as_u64().unwrap()).sum();
    assert_eq!(turns, 2);
    let output = run(&["state", "show", "store", path]);
    let table = text(&output.stdout);
    assert!(table.contains(&format!("store {identity}")) && table.contains("partitions"), "{table}");
    assert!(!table.contains("prompt"), "the content of turns is printed: {table}");
    assert_eq!(content(folder.path()), before, "the data directory was changed");
}

#[test]
fn a_torn_tail_is_reported_as_a_repair_and_not_changed() {
    let folder = tempfile::tempdir().unwrap();
    write_store(folder.path());
    let segment = segment(folder.path());
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes.truncate(bytes.len() - 3);
    std::fs::write(&segment, &bytes).unwrap();
    let output = run(&["state", "verify", "store", folder.path().to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
    assert!(text(&output.stdout).contains("would be truncated to"), "{output:?}");
    assert_eq!(std::fs::read(&segment).unwrap(), bytes);
}

#[test]
fn damage_is_reported_with_its_result_code() {
    let folder = tempfile::tempdir().unwrap();
    write_store(folder.path());
    let segment = segment(folder.path());
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes[70] ^= 1;
    std::fs::write(&segment, &bytes).unwrap();
    let path = folder.path().to_str().unwrap();
    for arguments in [["state", "verify", "store", path], ["state", "show", "store", path]] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(6), "{output:?}");
        assert!(text(&output.stderr).starts_with("E602: "), "{output:?}");
    }
}

#[test]
fn a_directory_without_state_is_reported() {
    let folder = tempfile::tempdir().unwrap();
    for role in ["control", "store"] {
        let output = run(&["state", "show", role, folder.path().to_str().unwrap()]);
        assert_eq!(output.status.code(), Some(6));
        assert!(text(&output.stderr).starts_with("E605: "), "{output:?}");
    }
    let output = run(&["state", "verify", "store", "/nonexistent/folder"]);
    assert_eq!(output.status.code(), Some(6));
    assert!(!Path::new("/nonexistent").exists());
    let output = run(&["state", "show", "proxy", "/tmp"]);
    assert_eq!(output.status.code(), Some(64));
}
