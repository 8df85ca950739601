//! The recovery folder stays readable between versions: golden files of its records and of a whole journal.

use super::{
    disk::Folder,
    downtime::Moment,
    frame::{self, End},
    journal::{self, Journal},
    record::{Entered, Record},
};
use crate::{
    config::WorkerEntry,
    golden::{case, check},
};
use opalrun_gateway::Ledger;
use std::path::Path;

fn moment() -> Moment {
    Moment { boot: "boot-1".into(), up: 120.5 }
}

fn customer(plan: u32, up: f64) -> Entered {
    let ledger = Ledger { spread: 4, window: 17, lease: 2.5, owed: 1.0, share: 0.75, level: Some(11.5) };
    Entered { plan, up, ledger }
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

/// Every kind of record, in an order in which a process writes them.
fn records() -> Vec<(&'static str, Record)> {
    let unknown = Ledger { level: None, ..customer(0, 0.0).ledger };
    let customers = vec![
        ("customer-1".to_owned(), customer(0, 130.0)),
        ("customer-2".to_owned(), Entered { ledger: unknown, ..customer(1, 131.25) }),
    ];
    vec![
        ("begin", Record::Begin { name: "n0".into(), at: moment(), spent: Some(7.25) }),
        ("plans", Record::Plans(vec!["basic".into(), "carrier".into()])),
        ("customers", Record::Customers(customers)),
        ("hand_out", Record::Hand { id: "worker-2".into(), out: true }),
        ("hand_in", Record::Hand { id: "worker-3".into(), out: false }),
        ("workers", Record::Workers { version: 9, workers: vec![worker()] }),
        ("end", Record::End { up: 140.0 }),
    ]
}

#[test]
fn records_are_read_and_written_as_an_earlier_version_wrote_them() {
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
            let mut read = Vec::new();
            assert_eq!(frame::read(bytes, |record| read.push(record)), End::Whole);
            read.pop().expect("a record")
        },
    );
}

#[test]
fn a_journal_of_an_earlier_version_adds_up_to_the_same_state() {
    let journal_file = || {
        let mut bytes = frame::head();
        records().iter().for_each(|(_, record)| frame::write(record, &mut bytes));
        bytes
    };
    check("recovery_folder", &[case("journal", journal_file())], Clone::clone, <[u8]>::to_vec);

    let golden = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/recovery_folder/journal.bin");
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::copy(golden, folder.path().join("journal")).expect("a copy");
    let disk = || Folder::new(folder.path());
    let reading = journal::read(&mut disk()).expect("a journal in order").expect("a journal");
    assert_eq!((reading.records, &reading.end), (7, &End::Whole));
    let image = reading.image;
    assert_eq!((image.name.as_str(), &image.at, image.last), ("n0", &moment(), 140.0));
    assert_eq!((image.spent, image.ended), (Some(7.25), true));
    assert_eq!(image.plans, ["basic", "carrier"]);
    assert_eq!(image.customers.len(), 2);
    assert_eq!(image.customers["customer-1"], customer(0, 130.0));
    assert_eq!(image.aside.iter().collect::<Vec<_>>(), ["worker-2"]);
    assert_eq!(image.workers, Some((9, vec![worker()])));

    let later = Moment { up: 150.0, ..moment() };
    let (_, found) = Journal::open(disk(), "n0", &later).expect("a journal in order");
    assert!(found.refused.is_none() && found.image.ended);
    assert_eq!(
        found.image.customers["customer-1"].ledger.lease, 2.5,
        "it ended in good order: its leases stand"
    );
}
