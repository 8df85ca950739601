//! Tests of the journal on a simulated disk that loses unsynced data, tears the last write at any byte, is full, or fails.

use super::{
    disk::Disk,
    downtime::{BootTime, Downtime},
    frame::{self, Integrity},
    journal::{self, Journal, JournalError, MAX_JOURNAL_BYTES},
    record::{CustomerEntry, JournalState, MAX_CUSTOMERS, Record},
};
use opalrun_gateway::Ledger;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{self, ErrorKind},
    rc::Rc,
};

/// A file's bytes, of which the first `synced` survive a power loss.
#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

/// State of a simulated disk.
#[derive(Default)]
struct DiskState {
    files: Vec<Content>,
    /// File names as the process sees them, with their indexes in `files`.
    names: BTreeMap<String, usize>,
    /// File names at the last sync of the folder.
    synced_names: BTreeMap<String, usize>,
    /// File names after each change since the last sync of the folder.
    changes: Vec<BTreeMap<String, usize>>,
    /// Number of calls so far.
    calls: usize,
    /// Number of the call at which the power is lost.
    power_loss_at: Option<usize>,
    /// Number of a call that fails after half of its work, and its error.
    failure_at: Option<(usize, ErrorKind)>,
}

/// A simulated disk in memory.
#[derive(Clone, Default)]
struct FakeDisk(Rc<RefCell<DiskState>>);

impl DiskState {
    /// Counts a call, and returns how much of its `length` is done, and its result.
    fn call(&mut self, length: usize) -> (usize, io::Result<()>) {
        self.calls += 1;
        let now = self.calls;
        if self.power_loss_at.is_some_and(|at| now >= at) {
            // The call at which power is lost has its effect, unsynced; later calls have none.
            return (
                if self.power_loss_at == Some(now) { length } else { 0 },
                Err(ErrorKind::BrokenPipe.into()),
            );
        }
        match self.failure_at {
            Some((at, kind)) if at == now => (length / 2, Err(kind.into())),
            _ => (length, Ok(())),
        }
    }

    fn set_names(&mut self, names: BTreeMap<String, usize>) {
        self.names = names.clone();
        self.changes.push(names);
    }
}

impl FakeDisk {
    /// Returns a disk after the power loss, which keeps the first `renames` unsynced changes of names, and the first
    /// `torn` unsynced bytes of each file.
    fn after_power_loss(&self, renames: usize, torn: usize) -> Self {
        let old = self.0.borrow();
        let names = match renames {
            0 => old.synced_names.clone(),
            n => old.changes[n - 1].clone(),
        };
        let surviving = |c: &Content| {
            let bytes = c.bytes[..(c.synced + torn).min(c.bytes.len())].to_vec();
            Content { synced: bytes.len(), bytes }
        };
        let files = old.files.iter().map(surviving).collect();
        let new = DiskState { files, synced_names: names.clone(), names, ..DiskState::default() };
        Self(Rc::new(RefCell::new(new)))
    }

    /// Returns all disks that may result from the power loss, with writes torn at every `step`th byte.
    fn possible_outcomes(&self, step: usize) -> impl Iterator<Item = Self> + '_ {
        let old = self.0.borrow();
        let max_unsynced = old.files.iter().map(|c| c.bytes.len() - c.synced).max().unwrap_or(0);
        let renames = old.changes.len();
        drop(old);
        (0..=renames)
            .flat_map(move |r| (0..=max_unsynced).step_by(step).map(move |t| self.after_power_loss(r, t)))
    }

    fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut disk = self.0.borrow_mut();
        let number = disk.files.len();
        disk.files.push(Content { synced: bytes.len(), bytes });
        disk.names.insert(name.into(), number);
        disk.synced_names = disk.names.clone();
    }

    fn get(&self, name: &str) -> Option<Vec<u8>> {
        let disk = self.0.borrow();
        disk.names.get(name).map(|n| disk.files[*n].bytes.clone())
    }
}

impl Disk for FakeDisk {
    fn read(&mut self, name: &str, max_bytes: u64) -> io::Result<Option<(Vec<u8>, u64)>> {
        Ok(self.get(name).map(|b| (b[..b.len().min(max_bytes as usize)].to_vec(), b.len() as u64)))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let (done, result) = disk.call(1);
        if done > 0 {
            let (mut names, number) = (disk.names.clone(), disk.files.len());
            disk.files.push(Content::default());
            names.insert(name.into(), number);
            disk.set_names(names);
        }
        result
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let number = *disk.names.get(name).ok_or(ErrorKind::NotFound)?;
        let (done, result) = disk.call(bytes.len());
        disk.files[number].bytes.extend_from_slice(&bytes[..done]);
        result
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let number = *disk.names.get(name).ok_or(ErrorKind::NotFound)?;
        let (_, result) = disk.call(0);
        if result.is_ok() {
            disk.files[number].synced = disk.files[number].bytes.len();
        }
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let (done, result) = disk.call(1);
        if done > 0 {
            let mut names = disk.names.clone();
            let number = names.remove(from).ok_or(ErrorKind::NotFound)?;
            names.insert(to.into(), number);
            disk.set_names(names);
        }
        result
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut disk = self.0.borrow_mut();
        let (_, result) = disk.call(0);
        if result.is_ok() {
            disk.synced_names = disk.names.clone();
            disk.changes.clear();
        }
        result
    }
}

fn at(uptime: f64) -> BootTime {
    BootTime { boot_id: "boot".into(), uptime }
}

/// A record of customers `0..count`, each of which owes `round` units to the counter.
fn batch(count: usize, round: usize) -> Vec<Record> {
    let ledger = Ledger { spread: 2, owed: round as f64, lease: 3.0, share: 1.0, ..Ledger::default() };
    let entry = CustomerEntry { plan: 0, uptime: 10.0 + round as f64 * 1e-3, ledger };
    vec![Record::Customers((0..count).map(|i| (format!("customer-{i}"), entry.clone())).collect())]
}

fn owed(state: &JournalState) -> Vec<f64> {
    state.customers.values().map(|e| e.ledger.owed).collect()
}

fn open(disk: &FakeDisk) -> (Journal<FakeDisk>, journal::FoundJournal) {
    Journal::open(disk.clone(), "n0", &at(20.0)).expect("the disk is readable")
}

const ROUNDS: usize = 6;

/// Creates a journal and writes one batch a round until a call fails. Returns the last round that was acknowledged, or
/// `None` if creating the journal failed.
fn write_rounds(disk: &FakeDisk, customers: usize) -> Option<usize> {
    let (mut journal, _) = Journal::open(disk.clone(), "n0", &at(10.0)).expect("the disk is readable");
    journal.rewrite().ok()?;
    let written = |round| journal.write(batch(customers, round)).is_ok();
    Some(
        (1..=ROUNDS)
            .take_while({
                let mut written = written;
                move |round| written(*round)
            })
            .last()
            .unwrap_or(0),
    )
}

#[test]
fn a_power_loss_at_any_call_and_byte_keeps_all_acknowledged_writes() {
    // With 1500 customers the journal is rewritten on the way.
    for (customers, step) in [(2, 1), (1500, 40_009)] {
        let intact = FakeDisk::default();
        assert_eq!(write_rounds(&intact, customers), Some(ROUNDS));
        let calls = intact.0.borrow().calls;
        let mut outcomes = 0;
        for power_loss_at in 1..=calls {
            let disk = FakeDisk::default();
            disk.0.borrow_mut().power_loss_at = Some(power_loss_at);
            let acknowledged = write_rounds(&disk, customers);
            for outcome in disk.possible_outcomes(step) {
                outcomes += 1;
                let (_, found) = open(&outcome);
                assert!(found.rejected.is_none(), "call {power_loss_at}: {:?}", found.rejected);
                let min_owed = acknowledged.unwrap_or(0) as f64;
                let values = owed(&found.state);
                let min_customers = if acknowledged.is_some_and(|round| round > 0) { customers } else { 0 };
                assert!(values.len() >= min_customers, "call {power_loss_at}: {} customers", values.len());
                assert!(
                    values.iter().all(|v| (min_owed..=min_owed + 1.0).contains(v)),
                    "call {power_loss_at}: at least {min_owed} owed, found {values:?}"
                );
                let damaged = found.integrity.as_ref().is_some_and(|i| *i != Integrity::Complete);
                assert_eq!(found.state.others_spent_at.is_some(), damaged, "call {power_loss_at}");
            }
        }
        assert!(outcomes > calls, "{outcomes} outcomes of {calls} calls");
    }
}

#[test]
fn a_failed_call_loses_nothing_once_a_later_write_succeeds() {
    let intact = FakeDisk::default();
    write_rounds(&intact, 3);
    let calls = intact.0.borrow().calls;
    for kind in [ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem, ErrorKind::Other] {
        for failure_at in 1..=calls {
            let disk = FakeDisk::default();
            disk.0.borrow_mut().failure_at = Some((failure_at, kind));
            let (mut journal, _) =
                Journal::open(disk.clone(), "n0", &at(10.0)).expect("the disk is readable");
            let mut errors = usize::from(journal.rewrite().is_err());
            for round in 1..=ROUNDS {
                errors += usize::from(journal.write(batch(3, round)).is_err());
            }
            assert_eq!(errors, 1, "call {failure_at}");
            // If the last write failed, the next one repairs the journal.
            journal.write(Vec::new()).expect("the disk works again");
            for outcome in disk.possible_outcomes(1) {
                let (_, found) = open(&outcome);
                assert_eq!(
                    (found.integrity, owed(&found.state)),
                    (Some(Integrity::Complete), vec![ROUNDS as f64; 3]),
                    "call {failure_at}"
                );
            }
        }
    }
}

#[test]
fn a_flipped_bit_is_detected_and_the_records_before_it_are_kept() {
    let disk = FakeDisk::default();
    write_rounds(&disk, 2);
    let bytes = disk.get("journal").expect("a journal");
    let mut damaged = 0;
    for offset in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[offset] ^= 1 << bit;
            let disk = FakeDisk::default();
            disk.put("journal", flipped.clone());
            let (_, found) = open(&disk);
            // The reader is the only one that can detect the damage.
            assert!(found.state.others_spent_at.is_some(), "byte {offset}, bit {bit}");
            match (found.rejected, found.integrity) {
                (Some((_, preserved_as)), None) => assert_eq!(disk.get(&preserved_as), Some(flipped)),
                (None, Some(Integrity::Damaged { offset: damaged_at, unread_bytes, .. })) => {
                    damaged += 1;
                    assert!(
                        damaged_at <= offset && damaged_at + unread_bytes == bytes.len(),
                        "byte {offset}: damaged at {damaged_at}, {unread_bytes} bytes unread"
                    );
                    assert!(owed(&found.state).iter().all(|v| (1.0..=ROUNDS as f64).contains(v)));
                }
                other => panic!("byte {offset}, bit {bit}: {other:?}"),
            }
        }
    }
    assert!(damaged > bytes.len(), "{damaged} damaged records found");
}

#[test]
fn random_bytes_are_read_without_a_panic_and_within_the_limits() {
    let cases: u64 = std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000);
    let disk = FakeDisk::default();
    write_rounds(&disk, 40);
    let valid = disk.get("journal").expect("a journal");
    let mut rng = fastrand::Rng::with_seed(7);
    // Cases that were rejected, complete, and damaged.
    let mut counts = [0usize; 3];
    for case in 0..cases {
        let mut bytes = valid.clone();
        match case % 3 {
            // Random bytes after a valid or cut header.
            0 => {
                bytes.truncate(rng.usize(..40));
                let length = rng.usize(..600);
                bytes.extend(std::iter::repeat_with(|| rng.u8(..)).take(length));
            }
            // A valid journal with a part copied to another offset.
            1 => {
                let (from, length) = (rng.usize(..bytes.len()), rng.usize(..200));
                let copied: Vec<u8> = bytes.iter().skip(from).take(length).copied().collect();
                let to = rng.usize(..bytes.len());
                bytes.splice(to..to, copied);
            }
            // A record of random bytes with a valid checksum.
            _ => {
                bytes.truncate(12 + rng.usize(..3));
                let length = rng.usize(..80);
                let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(length).collect();
                let length = (noise.len() as u32).to_le_bytes();
                let mut hasher = crc32fast::Hasher::new();
                hasher.update(&length);
                hasher.update(&noise);
                bytes.truncate(12);
                bytes.extend([&length[..], &hasher.finalize().to_le_bytes(), &noise].concat());
            }
        }
        let disk = FakeDisk::default();
        disk.put("journal", bytes);
        let (_, found) = open(&disk);
        assert!(found.state.customers.len() <= MAX_CUSTOMERS);
        counts[match found.integrity {
            None => 0,
            Some(Integrity::Complete) => 1,
            Some(Integrity::Damaged { .. }) => 2,
        }] += 1;
    }
    assert!(counts[0] > 0 && counts[2] > 0, "rejected, complete, damaged: {counts:?}");
}

#[test]
fn journals_of_other_gateways_and_newer_formats_are_preserved() {
    let foreign = FakeDisk::default();
    write_rounds(&foreign, 1);
    let mut newer = foreign.get("journal").expect("a journal");
    newer[8] = 9;
    let disk = FakeDisk::default();
    disk.put("journal", newer.clone());
    let (mut journal, found) = open(&disk);
    let (reason, preserved_as) = found.rejected.expect("the journal is rejected");
    assert_eq!(
        (reason.to_string(), preserved_as.as_str()),
        ("it has format version 9, and this program reads version 1".into(), "journal.aside-1")
    );
    assert!(found.state.others_spent_at.is_some(), "what its customers have spent is unknown");
    journal.rewrite().expect("the disk works");
    assert_eq!(disk.get(&preserved_as), Some(newer));
    // Once the maximum number of journals is preserved, opening fails and the journal is left as it is.
    let other = FakeDisk::default();
    for number in 1..=8 {
        other.put("journal", foreign.get("journal").expect("a journal"));
        let (_, found) = Journal::open(other.clone(), "n1", &at(20.0)).expect("it can be preserved");
        let (reason, preserved_as) = found.rejected.expect("the journal is rejected");
        assert!(matches!(reason, JournalError::OtherGateway(name) if name == "n0"));
        assert_eq!(preserved_as, format!("journal.aside-{number}"));
    }
    other.put("journal", foreign.get("journal").expect("a journal"));
    assert!(Journal::open(other.clone(), "n1", &at(20.0)).is_err());
    assert_eq!(other.get("journal"), foreign.get("journal"));
}

#[test]
fn leases_are_restored_once_and_only_after_a_clean_shutdown() {
    let plans = ["plan".to_owned()];
    let leases = |found: &journal::FoundJournal| -> f64 {
        found
            .state
            .to_recovered(found.downtime, &plans)
            .customers
            .iter()
            .map(|(.., ledger)| ledger.lease)
            .sum()
    };
    let disk = FakeDisk::default();
    let (mut journal, _) = Journal::open(disk.clone(), "n0", &at(10.0)).expect("the disk is readable");
    journal.write([vec![Record::Plans(plans.to_vec())], batch(2, 1)].concat()).expect("written");
    let (_, found) = open(&disk);
    assert_eq!(leases(&found), 0.0, "no leases without a clean shutdown");
    journal.write([batch(2, 1), vec![Record::CleanShutdown { uptime: 10.5 }]].concat()).expect("written");
    let (mut successor, found) = open(&disk);
    assert_eq!(leases(&found), 6.0);
    assert_eq!(found.downtime, Downtime { min: 9.49, max: Some(9.51) });
    // The successor owns the leases from here on: whatever a power loss leaves, no later process finds them again.
    successor.rewrite().expect("written");
    for outcome in disk.possible_outcomes(1) {
        for _ in 0..5 {
            let (mut journal, found) = open(&outcome);
            assert_eq!(leases(&found), 0.0);
            journal.rewrite().expect("written");
        }
    }
}

#[test]
fn a_reboot_rebases_times_by_the_minimum_downtime_and_plans_are_matched_by_name() {
    let mut state = JournalState::new("n0", at(100.0), vec!["a".into(), "b".into()]);
    let entry =
        |plan, uptime| CustomerEntry { plan, uptime, ledger: Ledger { share: 1.0, ..Ledger::default() } };
    state.apply(Record::Customers(vec![("x".into(), entry(1, 108.0)), ("y".into(), entry(0, 110.0))]));
    let rebooted = BootTime { boot_id: "other".into(), uptime: 3.01 };
    let downtime = state.rebase(&rebooted);
    assert_eq!((downtime.max, downtime.min), (None, 3.0));
    let recovered = state.to_recovered(downtime, &["b".into(), "c".into()]);
    let customers: Vec<_> =
        recovered.customers.iter().map(|(id, plan, age, _)| (id.to_string(), *plan, *age)).collect();
    let [(id, plan, age)] = &customers[..] else { panic!("{customers:?}") };
    assert_eq!((id.as_str(), *plan), ("x", 0), "the other customer's plan is gone");
    assert!((age - 5.0).abs() < 1e-9, "3 s since the boot, and 2 s older than the latest record: {age}");
}

#[test]
fn above_the_maximum_idle_customers_are_removed_first_and_then_others_count_as_spent() {
    let entry = |uptime| CustomerEntry { plan: 0, uptime, ledger: Ledger::default() };
    let batch = |from: usize, uptime| {
        Record::Customers((from..from + MAX_CUSTOMERS).map(|i| (i.to_string(), entry(uptime))).collect())
    };
    let mut state = JournalState::new("n0", at(0.0), Vec::new());
    state.apply(batch(0, 1.0));
    state.apply(batch(MAX_CUSTOMERS, 1000.0));
    assert!(
        state.customers.len() == MAX_CUSTOMERS && state.others_spent_at.is_none(),
        "idle customers are removed"
    );
    state.apply(Record::Customers(vec![("one more".into(), entry(1000.0))]));
    assert!(state.customers.len() == MAX_CUSTOMERS && state.others_spent_at == Some(1000.0));
}

#[test]
fn a_file_above_the_maximum_length_is_read_up_to_it_and_others_count_as_spent() {
    /// A disk whose journal is reported as longer than the maximum.
    struct OversizedJournal(Vec<u8>);
    impl Disk for OversizedJournal {
        fn read(&mut self, _: &str, max_bytes: u64) -> io::Result<Option<(Vec<u8>, u64)>> {
            assert!(max_bytes <= MAX_JOURNAL_BYTES);
            Ok(Some((self.0.clone(), MAX_JOURNAL_BYTES * 3)))
        }
        fn create(&mut self, _: &str) -> io::Result<()> {
            Ok(())
        }
        fn append(&mut self, _: &str, _: &[u8]) -> io::Result<()> {
            Ok(())
        }
        fn sync(&mut self, _: &str) -> io::Result<()> {
            Ok(())
        }
        fn rename(&mut self, _: &str, _: &str) -> io::Result<()> {
            Ok(())
        }
        fn sync_folder(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let disk = FakeDisk::default();
    write_rounds(&disk, 2);
    let (_, found) =
        Journal::open(OversizedJournal(disk.get("journal").expect("a journal")), "n0", &at(20.0))
            .expect("the disk is readable");
    assert!(found.state.others_spent_at.is_some() && found.state.customers.len() == 2);
    assert!(matches!(found.integrity, Some(Integrity::Damaged { .. })));
}

/// Prints the time to read the journal of 100,000 customers, for docs/recovery.md: `cargo test --release --bin opalrun-gateway -- --ignored --nocapture reading_100`.
#[test]
#[ignore = "prints a measurement"]
fn reading_100_000_customers() {
    let state = {
        let mut state = JournalState::new("n0", at(0.0), vec!["plan".into()]);
        let ledger =
            Ledger { spread: 3, window: 51_090_002, share: 1.5, level: Some(7.25), ..Ledger::default() };
        let all = (0..100_000u64).map(|i| {
            let id = format!("{:016x}", i.wrapping_mul(0x9E37_79B9_7F4A_7C15));
            (id, CustomerEntry { plan: 0, uptime: 1.0, ledger: ledger.clone() })
        });
        state.apply(Record::Customers(all.collect()));
        state
    };
    let mut bytes = frame::header();
    state.snapshot_records().for_each(|record| frame::write(&record, &mut bytes));
    let disk = FakeDisk::default();
    disk.put("journal", bytes.clone());
    let start = std::time::Instant::now();
    let (_, found) = open(&disk);
    println!("{} customers, {} bytes, {:?}", found.state.customers.len(), bytes.len(), start.elapsed());
}
