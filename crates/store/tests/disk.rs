//! Behaviour of a store on disk faults: loss of power after any number of disk operations, and a full disk.

use opalrun_storage::{DataDirectory, MemoryDisk, PowerLoss};
use opalrun_store::{Identity, StoreServer, state::StoreLimits};
use opalrun_wire::{
    ResultCode,
    feed::{PartitionReplicas, Replica, STORE_PARTITIONS, StoreMap},
    ids::{Epoch, NodeIdentity},
    store::{CountEntry, StoreReply, StoreRequest, Turn},
};
use std::{rc::Rc, sync::Arc, time::Duration};

const LIMITS: StoreLimits = StoreLimits { memory_bytes: 1 << 30, disk_bytes: 1 << 30 };
const WRITES: u64 = 12;
/// Time-out of a test.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);

fn directory(disk: &MemoryDisk) -> Result<DataDirectory, opalrun_storage::StorageError> {
    DataDirectory::open_on(Arc::new(disk.clone()), "/data")
}

fn map(identity: u64, epoch: u64) -> Rc<StoreMap> {
    let partition = PartitionReplicas {
        replicas: vec![Replica { store: NodeIdentity(identity), is_complete: true }],
        sources: Vec::new(),
    };
    Rc::new(StoreMap {
        epoch: Epoch(epoch),
        stores: Vec::new(),
        partitions: vec![partition; usize::from(STORE_PARTITIONS)],
    })
}

fn turn(number: u64) -> Turn {
    Turn {
        id: format!("t{number}"),
        ancestors: Vec::new(),
        input: vec![7; 300],
        output: Vec::new(),
        retention_ms: 60_000,
        worker: String::new(),
    }
}

fn write(number: u64) -> StoreRequest {
    if number.is_multiple_of(2) {
        return StoreRequest::PutTurn { epoch: Epoch(1), turn: turn(number) };
    }
    let entry = CountEntry { holder: number, sequence: 1, taken: number };
    StoreRequest::WriteCount { epoch: Epoch(1), program: "p".to_owned(), entry }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test timed out");
    });
}

/// Drops a store and waits until its log is closed.
async fn close(server: Rc<StoreServer>) {
    let mut status = server.journal().watch();
    drop(server);
    while status.changed().await.is_ok() {}
}

/// Starts a store and sends it [`WRITES`] writes. Returns the store's identity, if that was stored, and the numbers of the
/// acknowledged writes.
async fn write_all(disk: &MemoryDisk) -> (Option<u64>, Vec<u64>) {
    let Ok(directory) = directory(disk) else { return (None, Vec::new()) };
    let Ok(identity) = Identity::load_or_create(&directory, true) else { return (None, Vec::new()) };
    let Ok(server) = StoreServer::open(&directory, identity.number, LIMITS) else {
        return (Some(identity.number.0), Vec::new());
    };
    server.set_map(map(identity.number.0, 1));
    let mut acknowledged = Vec::new();
    for number in 0..WRITES {
        match server.serve(write(number)).await {
            StoreReply::Stored { .. } | StoreReply::Count { .. } => acknowledged.push(number),
            reply => assert!(matches!(reply, StoreReply::Failed { .. }), "{reply:?}"),
        }
    }
    close(server).await;
    (Some(identity.number.0), acknowledged)
}

/// Restarts a store on the disk and checks that it has the identity and all acknowledged writes.
async fn check(disk: &MemoryDisk, identity: Option<u64>, acknowledged: &[u64]) {
    let directory = directory(disk).unwrap();
    let found = Identity::load_or_create(&directory, false).unwrap();
    if let Some(identity) = identity {
        assert_eq!(found, Identity { number: NodeIdentity(identity), bootstrap: true });
    }
    let server = StoreServer::open(&directory, found.number, LIMITS).unwrap();
    server.set_map(map(found.number.0, 1));
    let read = StoreRequest::WriteCount {
        epoch: Epoch(1),
        program: "p".to_owned(),
        entry: CountEntry { holder: 1000, sequence: 1, taken: 0 },
    };
    let StoreReply::Count { entries, .. } = server.serve(read).await else { panic!() };
    for number in acknowledged {
        if number.is_multiple_of(2) {
            let reply =
                server.serve(StoreRequest::GetTurn { epoch: Epoch(1), id: format!("t{number}") }).await;
            assert!(matches!(reply, StoreReply::Turn { turn: Some(found), .. } if found == turn(*number)));
        } else {
            assert!(entries.iter().any(|entry| entry.holder == *number && entry.taken == *number));
        }
    }
    close(server).await;
}

#[test]
fn a_power_loss_after_any_operation_keeps_all_acknowledged_writes() {
    run(async {
        let mut max_acknowledged = 0;
        for operations in 0..40 {
            for seed in 0..6 {
                let disk = MemoryDisk::new();
                disk.fail_after(Some(operations));
                let (identity, acknowledged) = write_all(&disk).await;
                max_acknowledged = max_acknowledged.max(acknowledged.len());
                disk.fail_after(None);
                disk.lose_power(match seed {
                    0 => PowerLoss::DropAll,
                    1 => PowerLoss::KeepAll,
                    seed => PowerLoss::Random { seed: seed * 100 + operations },
                });
                check(&disk, identity, &acknowledged).await;
            }
        }
        assert_eq!(max_acknowledged as u64, WRITES, "no run acknowledged all writes");
    });
}

#[test]
fn a_full_disk_rejects_writes_until_it_has_free_space() {
    run(async {
        let disk = MemoryDisk::new();
        let directory = directory(&disk).unwrap();
        let server = StoreServer::open(&directory, NodeIdentity(1), LIMITS).unwrap();
        server.set_map(map(1, 1));
        assert!(matches!(server.serve(write(0)).await, StoreReply::Stored { .. }));
        disk.set_capacity(Some(disk.used()));
        let waiting = server.clone();
        let first = tokio::task::spawn_local(async move { waiting.serve(write(1)).await });
        let mut status = server.journal().watch();
        status.wait_for(|status| status.is_full).await.unwrap();
        let full = StoreReply::Failed { code: ResultCode::DISK_FULL.0 };
        assert_eq!(server.serve(write(2)).await, full);
        let read = StoreRequest::GetTurn { epoch: Epoch(1), id: "t0".to_owned() };
        assert!(matches!(server.serve(read).await, StoreReply::Turn { turn: Some(_), .. }));
        disk.set_capacity(None);
        assert!(
            matches!(first.await.unwrap(), StoreReply::Count { .. }),
            "a write accepted before is completed"
        );
        assert!(matches!(server.serve(write(2)).await, StoreReply::Stored { .. }));
    });
}

#[test]
fn compaction_bounds_the_log_under_overwrites_of_one_count() {
    run(async {
        let disk = MemoryDisk::new();
        let directory = directory(&disk).unwrap();
        let server = StoreServer::open(&directory, NodeIdentity(1), LIMITS).unwrap();
        server.set_map(map(1, 1));
        server.serve(write(0)).await;
        let program = "p".repeat(40_000);
        for sequence in 0..900 {
            let entry = CountEntry { holder: 1, sequence, taken: sequence };
            server.serve(StoreRequest::WriteCount { epoch: Epoch(1), program: program.clone(), entry }).await;
            if sequence % 20 == 0 {
                server.maintain();
            }
        }
        assert!(disk.used() < 20 << 20, "36 MB were written, {} bytes are in use", disk.used());
        close(server).await;
        let server = StoreServer::open(&directory, NodeIdentity(1), LIMITS).unwrap();
        server.set_map(map(1, 1));
        let read = StoreRequest::GetTurn { epoch: Epoch(1), id: "t0".to_owned() };
        assert!(matches!(server.serve(read).await, StoreReply::Turn { turn: Some(_), .. }));
    });
}
