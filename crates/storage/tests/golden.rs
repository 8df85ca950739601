//! Golden tests: versioned files and record logs keep the formats that an earlier build wrote.

#[path = "support/golden.rs"]
mod golden;

use opalrun_storage::{DataDirectory, RecordLog, RecordLogOptions, VersionedContent, VersionedFile};
use std::{collections::BTreeMap, fs, path::Path};

const SMALL_SEGMENTS: RecordLogOptions = RecordLogOptions { segment_bytes: 150 };
const LOG_NAME: &str = "records";

type Records = BTreeMap<u64, Vec<u8>>;

fn check_versioned_file(name: &str, format: u32, content: &[u8]) {
    // Given a file that this build writes.
    let folder = tempfile::tempdir().unwrap();
    let directory = DataDirectory::open(folder.path()).unwrap();
    let file = VersionedFile::new(&directory, "file", format);
    file.write(content).unwrap();
    let written = fs::read(folder.path().join("file")).unwrap();

    // Then it has the same bytes as the golden file.
    let golden = golden::assert_file(name, &written);

    // And the golden file is read as the same content.
    fs::write(folder.path().join("file"), golden).unwrap();
    assert_eq!(file.read().unwrap(), Some(VersionedContent { format, content: content.to_vec() }));
}

#[test]
fn versioned_files_keep_their_format() {
    check_versioned_file("versioned_file_empty.bin", 1, b"");
    check_versioned_file("versioned_file_text.bin", 1, b"content of a versioned file");
    check_versioned_file("versioned_file_format_7.bin", 7, &[0, 1, 2, 253, 254, 255]);
}

/// The records and record numbers of a log after it was opened.
#[derive(Debug, PartialEq, Eq)]
struct Contents {
    first_record: u64,
    next_record: u64,
    records: Records,
}

fn open(folder: &Path, options: RecordLogOptions) -> (RecordLog, Contents) {
    let directory = DataDirectory::open(folder).unwrap();
    let mut records = Records::new();
    let log = RecordLog::open(&directory, LOG_NAME, options, |number, bytes| {
        records.split_off(&number);
        records.insert(number, bytes.to_vec());
    })
    .unwrap();
    let (first_record, next_record) = (log.first_record(), log.next_record());
    let mut records = records.split_off(&first_record);
    records.split_off(&next_record);
    (log, Contents { first_record, next_record, records })
}

fn record(number: u64) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

fn append(log: &mut RecordLog, numbers: std::ops::Range<u64>) {
    for number in numbers {
        assert_eq!(log.append(&record(number)), number);
    }
    log.sync().unwrap();
}

fn check_log(name: &str, options: RecordLogOptions, write: impl Fn(&mut RecordLog), expected: &Contents) {
    // Given a log that this build writes.
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), options);
    write(&mut log);
    drop(log);

    // Then its segments have the same bytes as the golden segments.
    golden::assert_directory(name, folder.path());

    // And the golden log replays to the same records, and can be appended to.
    let copy = tempfile::tempdir().unwrap();
    golden::copy_directory(name, copy.path());
    let (mut log, found) = open(copy.path(), options);
    assert_eq!(found, *expected, "{name}");
    assert_eq!(log.append(b"one more"), expected.next_record);
    log.sync().unwrap();
    drop(log);
    let (_, found) = open(copy.path(), options);
    assert_eq!(found.records.get(&expected.next_record).map(Vec::as_slice), Some(&b"one more"[..]));
}

fn contents(first_record: u64, next_record: u64) -> Contents {
    let records = (first_record..next_record).map(|number| (number, record(number))).collect();
    Contents { first_record, next_record, records }
}

#[test]
fn a_log_with_one_segment_keeps_its_format() {
    let write = |log: &mut RecordLog| {
        append(log, 0..1);
        append(log, 1..4);
        assert_eq!(log.append(b""), 4);
        log.sync().unwrap();
    };
    let mut expected = contents(0, 4);
    expected.records.insert(4, Vec::new());
    expected.next_record = 5;
    check_log("record_log_one_segment", RecordLogOptions::default(), write, &expected);
}

#[test]
fn a_log_with_several_segments_keeps_its_format() {
    let write = |log: &mut RecordLog| (0..12).for_each(|number| append(log, number..number + 1));
    check_log("record_log_several_segments", SMALL_SEGMENTS, write, &contents(0, 12));
}

#[test]
fn a_log_without_its_oldest_segments_keeps_its_format() {
    let write = |log: &mut RecordLog| {
        (0..12).for_each(|number| append(log, number..number + 1));
        log.drop_before(7).unwrap();
    };
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = open(folder.path(), SMALL_SEGMENTS);
    write(&mut log);
    let first_record = log.first_record();
    assert!((1..=7).contains(&first_record));
    check_log("record_log_dropped", SMALL_SEGMENTS, write, &contents(first_record, 12));
}

#[test]
fn a_truncated_log_keeps_its_format() {
    let write = |log: &mut RecordLog| {
        append(log, 0..6);
        log.truncate_from(3).unwrap();
        append(log, 3..5);
    };
    check_log("record_log_truncated", RecordLogOptions::default(), write, &contents(0, 5));
}

#[test]
fn a_reset_log_keeps_its_format() {
    let write = |log: &mut RecordLog| {
        append(log, 0..3);
        log.reset(40).unwrap();
        append(log, 40..42);
    };
    check_log("record_log_reset", RecordLogOptions::default(), write, &contents(40, 42));
}

#[test]
fn a_log_rolled_to_a_new_segment_keeps_its_format() {
    let write = |log: &mut RecordLog| {
        append(log, 0..2);
        log.roll();
        append(log, 2..4);
    };
    check_log("record_log_rolled", RecordLogOptions::default(), write, &contents(0, 4));
}

#[test]
fn opening_a_data_directory_removes_temporary_files() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("file.tmp"), b"unfinished").unwrap();
    fs::write(folder.path().join("file"), b"finished").unwrap();
    let directory = DataDirectory::open(folder.path()).unwrap();
    assert_eq!(directory.list().unwrap(), ["file"]);
}
