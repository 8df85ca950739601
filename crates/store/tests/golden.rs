//! Checks the formats on a store's disk against golden files that an earlier build has written.

#[path = "../../storage/tests/support/golden.rs"]
mod golden;

use opalrun_storage::DataDirectory;
use opalrun_store::{
    Identity, StoreServer,
    inspect::{PartitionOnDisk, StoreOnDisk, inspect},
    record::Record,
    state::StoreLimits,
};
use opalrun_wire::{
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap, partition_of},
    frame::checksum,
    ids::{Epoch, NodeIdentity},
    store::{CountEntry, StoreReply, StoreRequest, Turn},
};
use std::{fs, path::Path, rc::Rc};

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 1 << 30, disk_bytes: 1 << 30 };
const IDENTITY: Identity = Identity { number: NodeIdentity(0x0123_4567_89ab_cdef), bootstrap: true };
const EPOCH: u64 = 3;

fn full_turn() -> Turn {
    Turn {
        id: "turn-3".to_owned(),
        ancestors: vec!["turn-1".to_owned(), "turn-2".to_owned()],
        input: b"{\"input\":\"a question\"}".to_vec(),
        output: b"first event\nsecond event\n".to_vec(),
        retention_ms: 60_000,
        worker: "i-7".to_owned(),
    }
}

fn first_turn() -> Turn {
    Turn {
        id: "turn-1".to_owned(),
        ancestors: Vec::new(),
        input: vec![0, 127, 128, 255],
        output: Vec::new(),
        retention_ms: 1,
        worker: String::new(),
    }
}

fn entry(holder: u64, sequence: u64, taken: u64) -> CountEntry {
    CountEntry { holder, sequence, taken }
}

#[test]
fn log_records_are_encoded_and_decoded_as_by_an_earlier_build() {
    let program = |program: &str, entries| Record::Program { program: program.to_owned(), entries };
    let records = [
        ("record_epoch.bin", Record::Epoch(Epoch(0x0102_0304_0506_0708))),
        ("record_epoch_zero.bin", Record::Epoch(Epoch(0))),
        ("record_program.bin", program("program-1", vec![entry(11, 1, 4), entry(u64::MAX, 2, u64::MAX)])),
        ("record_program_one_entry.bin", program("p", vec![entry(12, 7, 0)])),
        ("record_program_without_entries.bin", program("a program with a longer name", Vec::new())),
        ("record_turn.bin", Record::Turn { turn: full_turn(), keep_ms: 130_000 }),
        ("record_turn_without_ancestors.bin", Record::Turn { turn: first_turn(), keep_ms: 0 }),
    ];
    for (name, record) in records {
        let golden = golden::assert_file(name, &record.encode());
        assert_eq!(Record::decode(&golden).unwrap(), record, "{name}");
    }
}

/// Builds the identity file by its layout: the header of a versioned file, the number, and the bootstrap flag.
fn identity_file(identity: Identity) -> Vec<u8> {
    let mut content = identity.number.0.to_le_bytes().to_vec();
    content.push(u8::from(identity.bootstrap));
    let mut file = b"OPALFILE".to_vec();
    file.extend_from_slice(&1_u32.to_le_bytes());
    file.extend_from_slice(&(content.len() as u64).to_le_bytes());
    file.extend_from_slice(&checksum(&content).to_le_bytes());
    file.extend_from_slice(&content);
    file
}

#[test]
fn identity_files_are_read_and_written_as_by_an_earlier_build() {
    let joined_later = Identity { number: NodeIdentity(1), bootstrap: false };
    for (name, identity) in
        [("identity_bootstrap.bin", IDENTITY), ("identity_joined_later.bin", joined_later)]
    {
        // Given the identity file of an earlier build.
        let golden = golden::assert_file(name, &identity_file(identity));
        let data_dir = tempfile::tempdir().unwrap();
        fs::write(data_dir.path().join("identity"), golden).unwrap();

        // Then it is read as the same identity, and a start does not replace it.
        let directory = DataDirectory::open(data_dir.path()).unwrap();
        assert_eq!(Identity::load(&directory).unwrap(), Some(identity));
        assert_eq!(Identity::load_or_create(&directory, !identity.bootstrap).unwrap(), identity);
    }
    for bootstrap in [false, true] {
        // When this build creates an identity, then its file has the same layout.
        let data_dir = tempfile::tempdir().unwrap();
        let directory = DataDirectory::open(data_dir.path()).unwrap();
        let drawn = Identity::load_or_create(&directory, bootstrap).unwrap();
        assert_eq!(drawn.bootstrap, bootstrap);
        assert_eq!(fs::read(data_dir.path().join("identity")).unwrap(), identity_file(drawn));
    }
}

fn store_map() -> Rc<StoreMap> {
    let replicas = vec![Replica { store: IDENTITY.number, is_complete: true }];
    let partition = PartitionReplicas { replicas, sources: Vec::new() };
    let partitions = vec![partition; usize::from(STORE_PARTITIONS)];
    Rc::new(StoreMap { epoch: Epoch(EPOCH), stores: Vec::new(), partitions })
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Drops a store and waits until its log is closed.
async fn close(server: Rc<StoreServer>) {
    let mut status = server.journal().watch();
    drop(server);
    while status.changed().await.is_ok() {}
}

fn write_count(program: &str, entry: CountEntry) -> StoreRequest {
    StoreRequest::WriteCount { epoch: Epoch(EPOCH), program: program.to_owned(), entry }
}

/// Writes the data directory of a store, with each record in a batch of its own.
async fn write_data_directory(data_dir: &Path) {
    fs::write(data_dir.join("identity"), identity_file(IDENTITY)).unwrap();
    let directory = DataDirectory::open(data_dir).unwrap();
    let server = StoreServer::open(&directory, IDENTITY.number, LIMITS).unwrap();
    server.set_map(store_map());
    server.journal().wait_synced(0).await.unwrap();
    for request in [
        write_count("program-1", entry(11, 1, 4)),
        write_count("program-1", entry(12, 1, 9)),
        StoreRequest::PutTurn { epoch: Epoch(EPOCH), turn: first_turn() },
        write_count("program-2", entry(11, 2, 100)),
        // Reduces the entry of holder 11.
        write_count("program-1", entry(11, 3, 2)),
        StoreRequest::PutTurn { epoch: Epoch(EPOCH), turn: full_turn() },
    ] {
        let reply = server.serve(request).await;
        assert!(matches!(reply, StoreReply::Count { .. } | StoreReply::Stored { .. }), "{reply:?}");
    }
    close(server).await;
}

fn expected_on_disk() -> StoreOnDisk {
    let partition = |key: &str, programs, turns, bytes| PartitionOnDisk {
        partition: partition_of(key),
        programs,
        turns,
        bytes,
    };
    let mut partitions = vec![
        partition("program-1", 1, 0, 217),
        partition("program-2", 1, 0, 193),
        partition("turn-1", 0, 1, 170),
        partition("turn-3", 0, 1, 276),
    ];
    partitions.sort_unstable_by_key(|partition| partition.partition);
    StoreOnDisk {
        identity: IDENTITY.number,
        bootstrap: IDENTITY.bootstrap,
        epoch: Epoch(EPOCH),
        log_bytes: 0,
        first_record: 0,
        next_record: 7,
        live_bytes: partitions.iter().map(|partition| partition.bytes).sum(),
        partitions,
    }
}

#[test]
fn a_store_writes_the_data_directory_of_an_earlier_build_byte_for_byte() {
    run(async {
        let data_dir = tempfile::tempdir().unwrap();
        write_data_directory(data_dir.path()).await;
        golden::assert_directory("data_directory", data_dir.path());
    });
}

/// Checks that each turn is retained for its full retention time from the start of the store.
async fn check_turns(server: &StoreServer) {
    for (turn, keep_ms) in [(first_turn(), 10_002), (full_turn(), 130_000)] {
        let request = StoreRequest::GetTurn { epoch: Epoch(EPOCH), id: turn.id.clone() };
        let StoreReply::Turn { is_complete, turn: found, left_ms } = server.serve(request).await else {
            panic!()
        };
        assert_eq!((is_complete, found), (true, Some(turn)));
        assert!((keep_ms - 5_000..=keep_ms).contains(&left_ms), "{left_ms} ms of {keep_ms} ms remain");
    }
    let unknown = StoreRequest::GetTurn { epoch: Epoch(EPOCH), id: "turn-2".to_owned() };
    let absent = StoreReply::Turn { is_complete: true, turn: None, left_ms: 0 };
    assert_eq!(server.serve(unknown).await, absent);
}

#[test]
fn a_store_recovers_the_state_from_the_data_directory_of_an_earlier_build() {
    run(async {
        // Given the data directory of an earlier build.
        let data_dir = tempfile::tempdir().unwrap();
        golden::copy_directory("data_directory", data_dir.path());
        let directory = DataDirectory::open(data_dir.path()).unwrap();

        // When it is inspected, then the summary covers all of its state.
        let log_bytes = fs::metadata(data_dir.path().join("store-0000000000000000.log")).unwrap().len();
        assert_eq!(inspect(&directory).unwrap(), StoreOnDisk { log_bytes, ..expected_on_disk() });

        // And a store that starts on it serves the stored counts and turns.
        let identity = Identity::load_or_create(&directory, false).unwrap();
        assert_eq!(identity, IDENTITY);
        let server = StoreServer::open(&directory, identity.number, LIMITS).unwrap();
        assert_eq!(server.state().epoch(), Epoch(EPOCH));
        let older = Rc::new(StoreMap { epoch: Epoch(EPOCH - 1), ..(*store_map()).clone() });
        assert!(!server.set_map(older), "a map of an older epoch than the learned one is rejected");
        assert!(server.set_map(store_map()));
        assert!(!server.state().has_pending_records(), "the epoch is in the log already");
        let counts = |entries| StoreReply::Count { is_complete: true, entries };
        assert_eq!(
            server.serve(write_count("program-1", entry(11, 3, 2))).await,
            counts(vec![entry(11, 3, 2), entry(12, 1, 9)])
        );
        assert_eq!(
            server.serve(write_count("program-2", entry(11, 2, 100))).await,
            counts(vec![entry(11, 2, 100)])
        );
        check_turns(&server).await;
        close(server).await;
    });
}
