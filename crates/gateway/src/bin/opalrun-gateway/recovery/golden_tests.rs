//! Checks against golden files that this version reads and writes the records and the journal of earlier versions.

use super::{
    disk::Folder,
    downtime::BootTime,
    frame::{self, Integrity},
    journal::{self, Journal},
    record::{CustomerEntry, Record},
};
use crate::{
    config::WorkerEntry,
    golden::{case, check},
};
use opalrun_gateway::Ledger;
use std::path::Path;

fn begin_time() -> BootTime {
    BootTime { boot_id: "boot-1".into(), uptime: 120.5 }
}

fn customer(plan: u32, uptime: f64) -> CustomerEntry {
    let ledger = Ledger { spread: 4, window: 17, lease: 2.5, owed: 1.0, share: 0.75, level: Some(11.5) };
    CustomerEntry { plan, uptime, ledger }
}

fn worker() -> WorkerEntry {
    WorkerEntry {
        id: "worker-1".into(),
        addr: "127.0.0.1:8080".into(),
        zone: "zone-1".into(),
        cell: 2,
        state: "SERVING".into(),
        started_ms: 1_500.0,
    }
}

/// One record of every kind, in an order in which a process may write them, with the name of its golden file.
fn records() -> Vec<(&'static str, Record)> {
    let unknown = Ledger { level: None, ..customer(0, 0.0).ledger };
    let customers = vec![
        ("customer-1".to_owned(), customer(0, 130.0)),
        ("customer-2".to_owned(), CustomerEntry { ledger: unknown, ..customer(1, 131.25) }),
    ];
    vec![
        ("begin", Record::Begin { name: "n0".into(), at: begin_time(), others_spent_at: Some(7.25) }),
        ("plans", Record::Plans(vec!["basic".into(), "carrier".into()])),
        ("customers", Record::Customers(customers)),
        ("hand_out", Record::WorkerOffline { id: "worker-2".into(), is_offline: true }),
        ("hand_in", Record::WorkerOffline { id: "worker-3".into(), is_offline: false }),
        ("workers", Record::Workers { version: 9, workers: vec![worker()] }),
        ("end", Record::CleanShutdown { uptime: 140.0 }),
    ]
}

#[test]
fn records_match_the_encoding_of_earlier_versions() {
    let cases: Vec<_> = records().into_iter().map(|(stem, record)| case(stem, record)).collect();
    check(
        "recovery_record",
        &cases,
        |record| {
            let mut bytes = Vec::new();
            frame::write(record, &mut bytes);
            bytes
        },
        |bytes| {
            let mut decoded = Vec::new();
            assert_eq!(frame::read(bytes, |record| decoded.push(record)), Integrity::Complete);
            decoded.pop().expect("a record")
        },
    );
}

#[test]
fn replaying_a_journal_of_an_earlier_version_gives_the_same_state() {
    let journal_file = || {
        let mut bytes = frame::header();
        records().iter().for_each(|(_, record)| frame::write(record, &mut bytes));
        bytes
    };
    check("recovery_folder", &[case("journal", journal_file())], Clone::clone, <[u8]>::to_vec);

    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/recovery_folder/journal.bin");
    let folder = tempfile::tempdir().expect("a temporary folder");
    std::fs::copy(golden, folder.path().join("journal")).expect("the golden file is copied");
    let disk = || Folder::new(folder.path());
    let content = journal::read(&mut disk()).expect("a readable journal").expect("a journal");
    assert_eq!((content.records, &content.integrity), (7, &Integrity::Complete));
    let state = content.state;
    assert_eq!((state.name.as_str(), &state.at, state.latest_uptime), ("n0", &begin_time(), 140.0));
    assert_eq!((state.others_spent_at, state.shut_down_cleanly), (Some(7.25), true));
    assert_eq!(state.plans, ["basic", "carrier"]);
    assert_eq!(state.customers.len(), 2);
    assert_eq!(state.customers["customer-1"], customer(0, 130.0));
    assert_eq!(state.offline_workers.iter().collect::<Vec<_>>(), ["worker-2"]);
    assert_eq!(state.workers, Some((9, vec![worker()])));

    let later = BootTime { uptime: 150.0, ..begin_time() };
    let (_, found) = Journal::open(disk(), "n0", &later).expect("a readable journal");
    assert!(found.rejected.is_none() && found.state.shut_down_cleanly);
    assert_eq!(
        found.state.customers["customer-1"].ledger.lease, 2.5,
        "leases are restored after a clean shutdown"
    );
}
