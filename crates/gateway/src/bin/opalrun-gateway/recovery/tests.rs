//! The journal on a disk that loses what was not synced, tears the last write at every byte, is full, or fails.

use super::{
    disk::Disk,
    downtime::{Away, Moment},
    frame::{self, End},
    journal::{self, Journal, JournalError, MOST},
    record::{Entered, Image, MOST_CUSTOMERS, Record},
};
use opalrun_gateway::Ledger;
use std::{
    cell::RefCell,
    collections::BTreeMap,
    io::{self, ErrorKind},
    rc::Rc,
};

/// A file's bytes, of which the first `synced` are safe.
#[derive(Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

#[derive(Default)]
struct Platter {
    files: Vec<Content>,
    /// Names as the process sees them, and as they were at the last sync of the folder.
    names: BTreeMap<String, usize>,
    safe: BTreeMap<String, usize>,
    /// Names as each change since then left them.
    changes: Vec<BTreeMap<String, usize>>,
    /// Calls so far; the power goes with call `dies`, and call `fails` fails half done.
    calls: usize,
    dies: Option<usize>,
    fails: Option<(usize, ErrorKind)>,
}

/// A disk in memory.
#[derive(Clone, Default)]
struct Fake(Rc<RefCell<Platter>>);

impl Platter {
    /// Counts a call: how much of it is done, and its error.
    fn call(&mut self, length: usize) -> (usize, io::Result<()>) {
        self.calls += 1;
        let now = self.calls;
        if self.dies.is_some_and(|at| now >= at) {
            // What the dying call wrote is there, unsynced; after it nothing happens.
            return (if self.dies == Some(now) { length } else { 0 }, Err(ErrorKind::BrokenPipe.into()));
        }
        match self.fails {
            Some((at, kind)) if at == now => (length / 2, Err(kind.into())),
            _ => (length, Ok(())),
        }
    }

    fn changed(&mut self, names: BTreeMap<String, usize>) {
        self.names = names.clone();
        self.changes.push(names);
    }
}

impl Fake {
    /// The disk after the power went: the first `renames` changes of names that were not synced, and `torn`
    /// bytes of what was not synced of each file.
    fn after(&self, renames: usize, torn: usize) -> Self {
        let old = self.0.borrow();
        let names = match renames {
            0 => old.safe.clone(),
            n => old.changes[n - 1].clone(),
        };
        let left = |c: &Content| {
            let bytes = c.bytes[..(c.synced + torn).min(c.bytes.len())].to_vec();
            Content { synced: bytes.len(), bytes }
        };
        let files = old.files.iter().map(left).collect();
        let new = Platter { files, safe: names.clone(), names, ..Platter::default() };
        Self(Rc::new(RefCell::new(new)))
    }

    /// The disks that there may be after the power went, with every `step`th byte to tear at.
    fn afters(&self, step: usize) -> impl Iterator<Item = Self> + '_ {
        let old = self.0.borrow();
        let most = old.files.iter().map(|c| c.bytes.len() - c.synced).max().unwrap_or(0);
        let renames = old.changes.len();
        drop(old);
        (0..=renames).flat_map(move |r| (0..=most).step_by(step).map(move |t| self.after(r, t)))
    }

    fn put(&self, name: &str, bytes: Vec<u8>) {
        let mut platter = self.0.borrow_mut();
        let number = platter.files.len();
        platter.files.push(Content { synced: bytes.len(), bytes });
        platter.names.insert(name.into(), number);
        platter.safe = platter.names.clone();
    }

    fn get(&self, name: &str) -> Option<Vec<u8>> {
        let platter = self.0.borrow();
        platter.names.get(name).map(|n| platter.files[*n].bytes.clone())
    }
}

impl Disk for Fake {
    fn read(&mut self, name: &str, most: u64) -> io::Result<Option<(Vec<u8>, u64)>> {
        Ok(self.get(name).map(|b| (b[..b.len().min(most as usize)].to_vec(), b.len() as u64)))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        let mut platter = self.0.borrow_mut();
        let (done, result) = platter.call(1);
        if done > 0 {
            let (mut names, number) = (platter.names.clone(), platter.files.len());
            platter.files.push(Content::default());
            names.insert(name.into(), number);
            platter.changed(names);
        }
        result
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut platter = self.0.borrow_mut();
        let number = *platter.names.get(name).ok_or(ErrorKind::NotFound)?;
        let (done, result) = platter.call(bytes.len());
        platter.files[number].bytes.extend_from_slice(&bytes[..done]);
        result
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut platter = self.0.borrow_mut();
        let number = *platter.names.get(name).ok_or(ErrorKind::NotFound)?;
        let (_, result) = platter.call(0);
        if result.is_ok() {
            platter.files[number].synced = platter.files[number].bytes.len();
        }
        result
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut platter = self.0.borrow_mut();
        let (done, result) = platter.call(1);
        if done > 0 {
            let mut names = platter.names.clone();
            let number = names.remove(from).ok_or(ErrorKind::NotFound)?;
            names.insert(to.into(), number);
            platter.changed(names);
        }
        result
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut platter = self.0.borrow_mut();
        let (_, result) = platter.call(0);
        if result.is_ok() {
            platter.safe = platter.names.clone();
            platter.changes.clear();
        }
        result
    }
}

fn at(up: f64) -> Moment {
    Moment { boot: "boot".into(), up }
}

/// Customers `0..count`, each with `round` units owed.
fn batch(count: usize, round: usize) -> Vec<Record> {
    let ledger = Ledger { spread: 2, owed: round as f64, lease: 3.0, share: 1.0, ..Ledger::default() };
    let entered = Entered { plan: 0, up: 10.0 + round as f64 * 1e-3, ledger };
    vec![Record::Customers((0..count).map(|i| (format!("customer-{i}"), entered.clone())).collect())]
}

fn owed(image: &Image) -> Vec<f64> {
    image.customers.values().map(|e| e.ledger.owed).collect()
}

fn open(disk: &Fake) -> (Journal<Fake>, journal::Found) {
    Journal::open(disk.clone(), "n0", &at(20.0)).expect("a disk that can be read")
}

const ROUNDS: usize = 6;

/// Begins a journal and writes rounds until something fails; returns the last round that was acknowledged.
fn play(disk: &Fake, customers: usize) -> Option<usize> {
    let (mut journal, _) = Journal::open(disk.clone(), "n0", &at(10.0)).expect("a disk that can be read");
    journal.renew().ok()?;
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
fn power_lost_at_any_call_and_torn_at_any_byte_leaves_what_was_acknowledged_or_later() {
    // So many customers that the file is written anew on the way.
    for (customers, step) in [(2, 1), (1500, 40_009)] {
        let whole = Fake::default();
        assert_eq!(play(&whole, customers), Some(ROUNDS));
        let calls = whole.0.borrow().calls;
        let mut seen = 0;
        for dies in 1..=calls {
            let disk = Fake::default();
            disk.0.borrow_mut().dies = Some(dies);
            let acknowledged = play(&disk, customers);
            for after in disk.afters(step) {
                seen += 1;
                let (_, found) = open(&after);
                assert!(found.refused.is_none(), "call {dies}: {:?}", found.refused);
                let least = acknowledged.unwrap_or(0) as f64;
                let values = owed(&found.image);
                let known = if acknowledged.is_some_and(|round| round > 0) { customers } else { 0 };
                assert!(values.len() >= known, "call {dies}: {} customers", values.len());
                assert!(
                    values.iter().all(|v| (least..=least + 1.0).contains(v)),
                    "call {dies}: {least} {values:?}"
                );
                let damaged = found.end.as_ref().is_some_and(|end| *end != End::Whole);
                assert_eq!(found.image.spent.is_some(), damaged, "call {dies}");
            }
        }
        assert!(seen > calls, "{seen}");
    }
}

#[test]
fn a_call_that_fails_loses_nothing_once_a_later_one_succeeds() {
    let whole = Fake::default();
    play(&whole, 3);
    let calls = whole.0.borrow().calls;
    for kind in [ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem, ErrorKind::Other] {
        for fails in 1..=calls {
            let disk = Fake::default();
            disk.0.borrow_mut().fails = Some((fails, kind));
            let (mut journal, _) = Journal::open(disk.clone(), "n0", &at(10.0)).expect("readable");
            let mut errors = usize::from(journal.renew().is_err());
            for round in 1..=ROUNDS {
                errors += usize::from(journal.write(batch(3, round)).is_err());
            }
            assert_eq!(errors, 1, "call {fails}");
            // The last one may be the one that failed: the next has all of it.
            journal.write(Vec::new()).expect("the disk is well again");
            for after in disk.afters(1) {
                let (_, found) = open(&after);
                assert_eq!(
                    (found.end, owed(&found.image)),
                    (Some(End::Whole), vec![ROUNDS as f64; 3]),
                    "call {fails}"
                );
            }
        }
    }
}

#[test]
fn a_flipped_byte_is_found_and_what_came_before_it_holds() {
    let disk = Fake::default();
    play(&disk, 2);
    let bytes = disk.get("journal").expect("a journal");
    let mut damaged = 0;
    for place in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[place] ^= 1 << bit;
            let disk = Fake::default();
            disk.put("journal", flipped.clone());
            let (_, found) = open(&disk);
            // Nobody but that record's reader may notice, so it has to.
            assert!(found.image.spent.is_some(), "byte {place}, bit {bit}");
            match (found.refused, found.end) {
                (Some((_, aside)), None) => assert_eq!(disk.get(&aside), Some(flipped)),
                (None, Some(End::Damaged { at, left, .. })) => {
                    damaged += 1;
                    assert!(at <= place && at + left == bytes.len(), "byte {place}: {at} and {left}");
                    assert!(owed(&found.image).iter().all(|v| (1.0..=ROUNDS as f64).contains(v)));
                }
                other => panic!("byte {place}, bit {bit}: {other:?}"),
            }
        }
    }
    assert!(damaged > bytes.len(), "{damaged}");
}

#[test]
fn any_bytes_are_read_without_a_panic_and_within_bounds() {
    let cases: u64 = std::env::var("FUZZ_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(20_000);
    let disk = Fake::default();
    play(&disk, 40);
    let good = disk.get("journal").expect("a journal");
    let mut rng = fastrand::Rng::with_seed(7);
    let mut read = [0usize; 3];
    for case in 0..cases {
        let mut bytes = good.clone();
        match case % 3 {
            // Noise with a good head, or none.
            0 => {
                bytes.truncate(rng.usize(..40));
                let length = rng.usize(..600);
                bytes.extend(std::iter::repeat_with(|| rng.u8(..)).take(length));
            }
            // Parts of good ones, moved about.
            1 => {
                let (from, length) = (rng.usize(..bytes.len()), rng.usize(..200));
                let part: Vec<u8> = bytes.iter().skip(from).take(length).copied().collect();
                let to = rng.usize(..bytes.len());
                bytes.splice(to..to, part);
            }
            // A record with a good checksum over bytes that are noise.
            _ => {
                bytes.truncate(12 + rng.usize(..3));
                let length = rng.usize(..80);
                let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(length).collect();
                let length = (noise.len() as u32).to_le_bytes();
                let mut sum = crc32fast::Hasher::new();
                sum.update(&length);
                sum.update(&noise);
                bytes.truncate(12);
                bytes.extend([&length[..], &sum.finalize().to_le_bytes(), &noise].concat());
            }
        }
        let disk = Fake::default();
        disk.put("journal", bytes);
        let (_, found) = open(&disk);
        assert!(found.image.customers.len() <= MOST_CUSTOMERS);
        read[match found.end {
            None => 0,
            Some(End::Whole) => 1,
            Some(End::Damaged { .. }) => 2,
        }] += 1;
    }
    assert!(read[0] > 0 && read[2] > 0, "{read:?}");
}

#[test]
fn another_gateway_s_file_and_a_newer_form_are_kept_aside_and_never_overwritten() {
    let theirs = Fake::default();
    play(&theirs, 1);
    let mut newer = theirs.get("journal").expect("a journal");
    newer[8] = 9;
    let disk = Fake::default();
    disk.put("journal", newer.clone());
    let (mut journal, found) = open(&disk);
    let (why, aside) = found.refused.expect("not ours");
    assert_eq!(
        (why.to_string(), aside.as_str()),
        ("it has form 9, and this program knows 1".into(), "journal.aside-1")
    );
    assert!(found.image.spent.is_some(), "nobody knows what its customers have spent");
    journal.renew().expect("a disk that is well");
    assert_eq!(disk.get(&aside), Some(newer));
    // Another gateway's, again and again: at last nothing is done rather than something lost.
    let other = Fake::default();
    for number in 1..=8 {
        other.put("journal", theirs.get("journal").expect("a journal"));
        let (_, found) = Journal::open(other.clone(), "n1", &at(20.0)).expect("room for it");
        let (why, aside) = found.refused.expect("not ours");
        assert!(matches!(why, JournalError::Other(name) if name == "n0"));
        assert_eq!(aside, format!("journal.aside-{number}"));
    }
    other.put("journal", theirs.get("journal").expect("a journal"));
    assert!(Journal::open(other.clone(), "n1", &at(20.0)).is_err());
    assert_eq!(other.get("journal"), theirs.get("journal"));
}

#[test]
fn leases_are_left_by_an_end_in_good_order_alone_and_found_once() {
    let plans = ["plan".to_owned()];
    let leases = |found: &journal::Found| -> f64 {
        found.image.kept(found.away, &plans).customers.iter().map(|(.., ledger)| ledger.lease).sum()
    };
    let disk = Fake::default();
    let (mut journal, _) = Journal::open(disk.clone(), "n0", &at(10.0)).expect("readable");
    journal.write([vec![Record::Plans(plans.to_vec())], batch(2, 1)].concat()).expect("written");
    let (_, found) = open(&disk);
    assert_eq!(leases(&found), 0.0, "it was killed");
    journal.write([batch(2, 1), vec![Record::End { up: 10.5 }]].concat()).expect("written");
    let (mut heir, found) = open(&disk);
    assert_eq!(leases(&found), 6.0);
    assert_eq!(found.away, Away { least: 9.49, most: Some(9.51) });
    // The heir has them from here on; should it die in any way after, nobody finds them again.
    heir.renew().expect("written");
    for after in disk.afters(1) {
        for _ in 0..5 {
            let (mut journal, found) = open(&after);
            assert_eq!(leases(&found), 0.0);
            journal.renew().expect("written");
        }
    }
}

#[test]
fn times_are_carried_over_boots_at_the_least_and_plans_by_name() {
    let mut image = Image::new("n0", at(100.0), vec!["a".into(), "b".into()]);
    let entered = |plan, up| Entered { plan, up, ledger: Ledger { share: 1.0, ..Ledger::default() } };
    image.add(Record::Customers(vec![("x".into(), entered(1, 108.0)), ("y".into(), entered(0, 110.0))]));
    let other = Moment { boot: "other".into(), up: 3.01 };
    let away = image.carry_on(&other);
    assert_eq!((away.most, away.least), (None, 3.0));
    let kept = image.kept(away, &["b".into(), "c".into()]);
    let told: Vec<_> =
        kept.customers.iter().map(|(id, plan, ago, _)| (id.to_string(), *plan, *ago)).collect();
    let [(id, plan, ago)] = &told[..] else { panic!("{told:?}") };
    assert_eq!((id.as_str(), *plan), ("x", 0), "the other one's plan is gone");
    assert!((ago - 5.0).abs() < 1e-9, "3 s since the boot, 2 s before the last that was heard: {ago}");
}

#[test]
fn too_many_customers_leave_the_rest_for_spent_and_the_idle_make_room_first() {
    let entered = |up| Entered { plan: 0, up, ledger: Ledger::default() };
    let batch = |from: usize, up| {
        Record::Customers((from..from + MOST_CUSTOMERS).map(|i| (i.to_string(), entered(up))).collect())
    };
    let mut image = Image::new("n0", at(0.0), Vec::new());
    image.add(batch(0, 1.0));
    image.add(batch(MOST_CUSTOMERS, 1000.0));
    assert!(image.customers.len() == MOST_CUSTOMERS && image.spent.is_none(), "the idle ones went");
    image.add(Record::Customers(vec![("one more".into(), entered(1000.0))]));
    assert!(image.customers.len() == MOST_CUSTOMERS && image.spent == Some(1000.0));
}

#[test]
fn a_file_past_all_bounds_is_read_so_far_and_its_rest_counts_as_spent() {
    struct Long(Vec<u8>);
    impl Disk for Long {
        fn read(&mut self, _: &str, most: u64) -> io::Result<Option<(Vec<u8>, u64)>> {
            assert!(most <= MOST);
            Ok(Some((self.0.clone(), MOST * 3)))
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
    let disk = Fake::default();
    play(&disk, 2);
    let (_, found) =
        Journal::open(Long(disk.get("journal").expect("one")), "n0", &at(20.0)).expect("readable");
    assert!(found.image.spent.is_some() && found.image.customers.len() == 2);
    assert!(matches!(found.end, Some(End::Damaged { .. })));
}

/// Figures for docs/recovery.md: `cargo test --release --bin opalrun-gateway -- --ignored --nocapture reading_100`.
#[test]
#[ignore = "prints figures"]
fn reading_100_000_customers() {
    let image = {
        let mut image = Image::new("n0", at(0.0), vec!["plan".into()]);
        let ledger =
            Ledger { spread: 3, window: 51_090_002, share: 1.5, level: Some(7.25), ..Ledger::default() };
        let all = (0..100_000u64).map(|i| {
            let id = format!("{:016x}", i.wrapping_mul(0x9E37_79B9_7F4A_7C15));
            (id, Entered { plan: 0, up: 1.0, ledger: ledger.clone() })
        });
        image.add(Record::Customers(all.collect()));
        image
    };
    let mut bytes = frame::head();
    image.snapshot().for_each(|record| frame::write(&record, &mut bytes));
    let disk = Fake::default();
    disk.put("journal", bytes.clone());
    let start = std::time::Instant::now();
    let (_, found) = open(&disk);
    println!("{} customers, {} bytes, {:?}", found.image.customers.len(), bytes.len(), start.elapsed());
}
