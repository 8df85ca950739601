//! The journal under losses of power at every operation.

use super::journal::{Journal, RestoredShard, Step, records_of, steps_of};
use opalrun_replication::{
    Entry, HardState, LogIndex, MemberId, Membership, Payload, Snapshot, SnapshotMetadata, Term, Write,
};
use opalrun_storage::{DataDirectory, MemoryDisk, PowerLoss, StorageError};
use opalrun_wire::{frame::encode, ids::Shard};
use std::{rc::Rc, sync::Arc};

const SHARDS: usize = 2;

/// What a shard must be found as.
#[derive(Debug, Clone, Default, PartialEq)]
struct Model {
    hard_state: HardState,
    snapshot: Option<(u64, Vec<u8>)>,
    entries: Vec<Entry>,
}

impl Model {
    fn of(restored: &RestoredShard) -> Self {
        Self {
            hard_state: restored.log.hard_state,
            snapshot: restored.state.clone().map(|state| (restored.log.base.last_included_index.0, state)),
            entries: restored.log.entries.clone(),
        }
    }

    fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |(index, _)| *index)
    }

    fn last(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }
}

fn open(disk: &MemoryDisk) -> (Journal, Vec<Model>) {
    let directory = DataDirectory::open_on(Arc::new(disk.clone()), "/data").unwrap();
    let (journal, shards) = Journal::open(&directory, SHARDS, &Membership::default()).unwrap();
    (journal, shards.iter().map(Model::of).collect())
}

fn header(index: u64) -> SnapshotMetadata {
    SnapshotMetadata {
        last_included_index: LogIndex(index),
        last_included_term: Term(1),
        membership: Membership::default(),
    }
}

/// A random job on one shard: the steps, and the shard after them.
fn random_job(shard: u16, model: &Model, random: &mut fastrand::Rng) -> (Vec<Step>, Model) {
    let mut after = model.clone();
    let mut write = Write { sequence: 1, hard_state: None, snapshot: None, entries: Vec::new() };
    if random.u8(0..3) == 0 {
        after.hard_state =
            HardState { term: after.hard_state.term.next(), voted_for: Some(MemberId(random.u64(0..3))) };
        write.hard_state = Some(after.hard_state);
    }
    if random.u8(0..6) == 0 {
        let index = random.u64(model.base() + 1..model.last() + 5);
        let state = vec![random.u8(..); random.usize(0..700)];
        write.snapshot = Some(Rc::new(Snapshot { metadata: header(index), state: state.clone() }));
        after.snapshot = Some((index, state));
        after.entries.clear();
    } else if random.u8(0..4) == 0 {
        let kept = random.usize(0..=after.entries.len());
        after.entries.truncate(kept);
        // Without an entry in their place the others stay.
        add_entry(&mut after, &mut write, random);
    }
    for _ in 0..random.usize(0..4) {
        add_entry(&mut after, &mut write, random);
    }
    (steps_of(Shard(shard), &write), after)
}

fn add_entry(after: &mut Model, write: &mut Write, random: &mut fastrand::Rng) {
    let payload = Payload::Command(vec![random.u8(..); random.usize(0..300)]);
    let entry = Entry { index: LogIndex(after.last() + 1), term: Term(random.u64(..)), payload };
    after.entries.push(entry.clone());
    write.entries.push(Rc::new(entry));
}

fn checkpoint(models: &[Model], random: &mut fastrand::Rng) -> (Vec<Step>, Vec<Model>) {
    let mut after = models.to_vec();
    let mut snapshots = Vec::new();
    let mut records = Vec::new();
    for (shard, model) in after.iter_mut().enumerate() {
        let index = random.u64(model.base()..=model.last());
        if index > model.base() {
            let state = vec![random.u8(..); 100];
            model.entries.drain(..(index - model.base()) as usize);
            model.snapshot = Some((index, state.clone()));
            snapshots
                .push((Shard(shard as u16), encode(&Snapshot { metadata: header(index), state }).to_vec()));
        }
        let entries: Vec<_> = model.entries.iter().cloned().map(Rc::new).collect();
        records.extend(records_of(Shard(shard as u16), Some(model.hard_state), &entries));
    }
    (vec![Step::Checkpoint { snapshots, records }], after)
}

/// What was acknowledged must be found; of a job that failed any part may be, as long as nothing older is lost.
fn check(found: &Model, before: &Model, after: &Model, what: &str) {
    if found == before || found == after {
        return;
    }
    assert!([before.hard_state, after.hard_state].contains(&found.hard_state), "{what}: {found:?}");
    assert!(found.base() == before.base() || found.base() == after.base(), "{what}: {found:?}");
    let at = |model: &Model, index: u64| {
        let position = index.checked_sub(model.base() + 1)?;
        model.entries.get(position as usize).cloned()
    };
    for entry in &found.entries {
        let is_known = at(before, entry.index.0).as_ref() == Some(entry)
            || at(after, entry.index.0).as_ref() == Some(entry);
        assert!(is_known, "{what}: entry {} is of nowhere", entry.index);
    }
    let is_kept = |entry: &Entry| {
        at(found, entry.index.0).as_ref() == Some(entry) || entry.index <= LogIndex(found.base())
    };
    let stays = |entry: &&Entry| at(after, entry.index.0).as_ref() == Some(*entry);
    assert!(before.entries.iter().filter(stays).all(is_kept), "{what}: an acknowledged entry is lost");
}

/// Several lives of a process, each ended by a loss of power.
fn lose_power_again_and_again(seed: u64, operations: u64, loss: impl Fn(u64) -> PowerLoss) {
    let disk = MemoryDisk::new();
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut journal, mut models) = open(&disk);
    for life in 0..4 {
        let what = format!("seed {seed}, {operations} operations, life {life}");
        disk.fail_after(Some(operations));
        let after = work_until_failure(&mut journal, &mut models, &mut random);
        drop(journal);
        disk.lose_power(loss(life));
        // Opening may be cut short as well.
        disk.fail_after(Some(seed % 5));
        let directory = DataDirectory::open_on(Arc::new(disk.clone()), "/data");
        let _ =
            directory.map(|directory| Journal::open(&directory, SHARDS, &Membership::default()).map(drop));
        disk.lose_power(loss(life + 100));
        let (opened, found) = open(&disk);
        for shard in 0..SHARDS {
            check(&found[shard], &models[shard], &after[shard], &what);
        }
        drop(opened);
        let (opened, again) = open(&disk);
        assert_eq!(found, again, "{what}");
        (journal, models) = (opened, found);
    }
}

/// Carries out random jobs. `models` becomes what was acknowledged; what the last job would have made is returned.
fn work_until_failure(
    journal: &mut Journal,
    models: &mut Vec<Model>,
    random: &mut fastrand::Rng,
) -> Vec<Model> {
    let mut after = models.clone();
    for _ in 0..40 {
        let steps = if random.u8(0..8) == 0 {
            let (steps, then) = checkpoint(models, random);
            after = then;
            steps
        } else {
            let shard = random.usize(0..SHARDS);
            let (steps, then) = random_job(shard as u16, &models[shard], random);
            after[shard] = then;
            steps
        };
        if journal.carry_out(&steps).is_err() {
            break;
        }
        models.clone_from(&after);
    }
    after
}

#[test]
fn power_lost_at_every_operation() {
    for seed in 0..40 {
        for operations in 0..60 {
            let loss = |life| PowerLoss::Random { seed: (seed * 1000 + operations) * 1000 + life };
            lose_power_again_and_again(seed, operations, loss);
        }
        lose_power_again_and_again(seed, seed, |_| PowerLoss::DropAll);
        lose_power_again_and_again(seed, seed, |_| PowerLoss::KeepAll);
    }
}

#[test]
fn a_full_disk_loses_nothing() {
    let disk = MemoryDisk::new();
    let (mut journal, _) = open(&disk);
    let mut random = fastrand::Rng::with_seed(1);
    let mut model = Model::default();
    disk.set_capacity(Some(4000));
    let steps = loop {
        let (steps, after) = random_job(0, &model, &mut random);
        match journal.carry_out(&steps) {
            Ok(()) => model = after,
            Err(error) => {
                assert!(matches!(error, StorageError::Full { .. }), "{error}");
                model = after;
                break steps;
            }
        }
    };
    assert!(journal.carry_out(&steps).is_err());
    disk.set_capacity(None);
    journal.carry_out(&steps).unwrap();
    drop(journal);
    let (_, found) = open(&disk);
    assert_eq!(found[0], model);
}
