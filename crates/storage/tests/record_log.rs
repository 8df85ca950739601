//! Record logs and versioned files after power losses, on full disks and with corrupted content.

use opalrun_storage::{
    DataDirectory, MemoryDisk, PowerLoss, RecordLog, RecordLogOptions, StorageError, SystemDisk,
    VersionedContent, VersionedFile,
};
use std::{collections::BTreeMap, path::Path, sync::Arc};

const FOLDER: &str = "/data";
const SMALL_SEGMENTS: RecordLogOptions = RecordLogOptions { segment_bytes: 300 };

type Records = BTreeMap<u64, Vec<u8>>;

fn open(disk: &MemoryDisk) -> Result<(RecordLog, Records), StorageError> {
    let directory = DataDirectory::open_on(Arc::new(disk.clone()), FOLDER)?;
    let mut records = Records::new();
    let log = RecordLog::open(&directory, "test", SMALL_SEGMENTS, |number, bytes| {
        records.split_off(&number);
        records.insert(number, bytes.to_vec());
    })?;
    let mut records = records.split_off(&log.first_record());
    records.split_off(&log.next_record());
    Ok((log, records))
}

/// The expected state of a log, as a map.
#[derive(Debug, Default, Clone, PartialEq)]
struct Model {
    records: Records,
    /// Number of the next record.
    next: u64,
}

/// Performs a random operation on a log. Returns its result and the model as of a successful operation.
fn random_operation(
    log: &mut RecordLog,
    model: &Model,
    random: &mut fastrand::Rng,
) -> (Result<(), StorageError>, Model) {
    let mut after = model.clone();
    let result = match random.u8(0..10) {
        0 if model.next > 0 => {
            let from = random.u64(log.first_record()..=model.next);
            after.records.split_off(&from);
            after.next = from;
            log.truncate_from(from)
        }
        1 if random.u8(0..4) == 0 => {
            let start = model.next + random.u64(1..20);
            after.records.clear();
            after.next = start;
            log.reset(start)
        }
        2 => {
            let before = random.u64(0..=model.next);
            log.drop_before(before)
        }
        _ => {
            for _ in 0..random.usize(1..4) {
                let record: Vec<u8> = (0..random.usize(0..90)).map(|_| random.u8(..)).collect();
                let number = log.append(&record);
                assert_eq!(number, after.next);
                after.records.insert(number, record);
                after.next += 1;
            }
            log.sync()
        }
    };
    (result, after)
}

/// Returns whether a log matches a model: the next record number is equal, and so are all records from the log's oldest on.
fn matches(found: &Records, next: u64, model: &Model) -> bool {
    let oldest = found.keys().next().copied().unwrap_or(next);
    next == model.next && *found == model.records.clone().split_off(&oldest)
}

#[test]
fn a_power_loss_leaves_the_log_as_before_or_after_the_interrupted_operation() {
    for seed in 0..40 {
        for operations in 0..60 {
            check_power_loss_after(seed, operations, PowerLoss::Random { seed: seed * 1000 + operations });
        }
        check_power_loss_after(seed, seed % 30, PowerLoss::DropAll);
        check_power_loss_after(seed, seed % 30, PowerLoss::KeepAll);
    }
}

/// Interrupts a random sequence of operations after `operations` disk operations with a power loss, and checks the log.
fn check_power_loss_after(seed: u64, operations: u64, loss: PowerLoss) {
    let disk = MemoryDisk::new();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut model = Model::default();
    let (mut log, _) = open(&disk).unwrap();
    disk.fail_after(Some(operations));
    let mut interrupted = None;
    for _ in 0..60 {
        let (result, after) = random_operation(&mut log, &model, &mut random);
        if result.is_err() {
            interrupted = Some(after);
            break;
        }
        model = after;
        model.records = model.records.split_off(&log.first_record());
    }
    drop(log);
    disk.lose_power(loss);
    let (mut log, found) = open(&disk).unwrap();
    let next = log.next_record();
    // A reset is not atomic: it first empties the log and then sets the next record number.
    let emptied = found.is_empty() && model.records.first_key_value().is_none_or(|(first, _)| *first == next);
    let is_expected =
        matches(&found, next, &model) || interrupted.is_some_and(|after| matches(&found, next, &after));
    assert!(
        is_expected || emptied,
        "seed {seed}, {operations} operations: found {found:?}, next record {next}, expected {model:?}"
    );
    // Records can be appended to the log after the power loss.
    let number = log.append(b"after");
    log.sync().unwrap();
    drop(log);
    let (_, found) = open(&disk).unwrap();
    assert_eq!(found.get(&number).map(Vec::as_slice), Some(&b"after"[..]));
}

#[test]
fn a_write_to_a_full_disk_fails_and_frees_its_space() {
    let disk = MemoryDisk::new();
    disk.set_capacity(Some(1000));
    let (mut log, _) = open(&disk).unwrap();
    let mut written = 0;
    let error = loop {
        log.append(&[7; 100]);
        match log.sync() {
            Ok(()) => written += 1,
            Err(error) => break error,
        }
    };
    assert!(error.is_full(), "{error}");
    assert_eq!(log.next_record(), written);
    let used = disk.used();
    log.append(&[8; 100]);
    assert!(log.sync().unwrap_err().is_full());
    assert_eq!(disk.used(), used);
    log.drop_before(written).unwrap();
    assert_eq!(log.append(&[9; 100]), written);
    log.sync().unwrap();
    drop(log);
    let (_, found) = open(&disk).unwrap();
    assert_eq!(found.get(&written), Some(&vec![9; 100]));
}

#[test]
fn a_torn_tail_is_truncated_and_damage_before_it_is_an_error() {
    let disk = MemoryDisk::new();
    let (mut log, _) = open(&disk).unwrap();
    for record in [b"first", b"secnd", b"third"] {
        log.append(record);
        log.sync().unwrap();
    }
    drop(log);
    let path = Path::new(FOLDER).join("test-0000000000000000.log");
    let last = |bytes: &mut Vec<u8>| *bytes.last_mut().unwrap() ^= 1;
    disk.damage(&path, last);
    let (log, found) = open(&disk).unwrap();
    assert_eq!((found.len(), log.next_record()), (2, 2));
    drop(log);
    disk.damage(&path, |bytes| bytes[60] ^= 1);
    let error = open(&disk).unwrap_err();
    assert!(matches!(error, StorageError::Corrupt { .. }), "{error}");
}

#[test]
fn a_newer_format_is_rejected() {
    let disk = MemoryDisk::new();
    let directory = DataDirectory::open_on(Arc::new(disk), FOLDER).unwrap();
    VersionedFile::new(&directory, "file", 2).write(b"two").unwrap();
    assert_eq!(
        VersionedFile::new(&directory, "file", 3).read().unwrap(),
        Some(VersionedContent { format: 2, content: b"two".to_vec() })
    );
    let error = VersionedFile::new(&directory, "file", 1).read().unwrap_err();
    assert!(matches!(error, StorageError::Newer { format: 2, known: 1, .. }), "{error}");
}

#[test]
fn a_power_loss_leaves_a_versioned_file_with_the_old_or_the_new_content() {
    for seed in 0..300 {
        let disk = MemoryDisk::new();
        let file = |disk: &MemoryDisk| {
            let directory = DataDirectory::open_on(Arc::new(disk.clone()), FOLDER).unwrap();
            VersionedFile::new(&directory, "file", 1)
        };
        file(&disk).write(b"old").unwrap();
        disk.fail_after(Some(seed % 8));
        let written = file(&disk).write(b"new");
        disk.lose_power(PowerLoss::Random { seed });
        let content = file(&disk).read().unwrap().unwrap().content;
        assert!(content == b"new" || (written.is_err() && content == b"old"), "seed {seed}");
    }
}

#[test]
fn versioned_files_and_logs_work_on_the_machines_disk() {
    let folder = tempfile::tempdir().unwrap();
    let directory = DataDirectory::open_on(Arc::new(SystemDisk), folder.path().join("deep/er")).unwrap();
    let file = VersionedFile::new(&directory, "file", 1);
    assert!(file.read().unwrap().is_none());
    file.write(b"one").unwrap();
    file.write(b"two").unwrap();
    assert_eq!(file.read().unwrap(), Some(VersionedContent { format: 1, content: b"two".to_vec() }));
    let mut log =
        RecordLog::open(&directory, "log", SMALL_SEGMENTS, |_, _| panic!("a new log has no records"))
            .unwrap();
    for number in 0..50_u64 {
        assert_eq!(log.append(&number.to_le_bytes()), number);
        log.sync().unwrap();
    }
    log.truncate_from(45).unwrap();
    log.drop_before(20).unwrap();
    drop(log);
    let mut last = None;
    let log = RecordLog::open(&directory, "log", SMALL_SEGMENTS, |number, bytes| {
        assert_eq!(bytes, number.to_le_bytes());
        last = Some(number);
    })
    .unwrap();
    assert_eq!((last, log.next_record()), (Some(49), 45));
    assert!(log.first_record() > 0 && log.first_record() <= 20);
}
