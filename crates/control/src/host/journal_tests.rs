//! Tests of the journal with a loss of power at every disk operation, and with a full disk.

use super::journal::{Journal, RestoredShard, Step, records_of, steps_of};
use opalrun_replication::{
    Entry, HardState, LogIndex, MemberId, Membership, Payload, Snapshot, SnapshotMetadata, Term, Write,
};
use opalrun_storage::{DataDirectory, MemoryDisk, PowerLoss, StorageError};
use opalrun_wire::{frame::encode, ids::Shard};
use std::{rc::Rc, sync::Arc};

const SHARDS: usize = 2;

/// Expected state of a shard after opening the journal.
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

/// Returns the steps of a random job on one shard, and the expected state of the shard after them.
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
        // Only an entry at an index removes the entries from that index on, so one has to be written.
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

/// Checks the state read after a failed job. All acknowledged state must be there, except entries that the job
/// replaces. Of the failed job any part may be there.
fn check(found: &Model, before: &Model, after: &Model, context: &str) {
    if found == before || found == after {
        return;
    }
    assert!([before.hard_state, after.hard_state].contains(&found.hard_state), "{context}: {found:?}");
    assert!(found.base() == before.base() || found.base() == after.base(), "{context}: {found:?}");
    let at = |model: &Model, index: u64| {
        let position = index.checked_sub(model.base() + 1)?;
        model.entries.get(position as usize).cloned()
    };
    for entry in &found.entries {
        let is_known = at(before, entry.index.0).as_ref() == Some(entry)
            || at(after, entry.index.0).as_ref() == Some(entry);
        assert!(is_known, "{context}: entry {} was never written", entry.index);
    }
    let is_kept = |entry: &Entry| {
        at(found, entry.index.0).as_ref() == Some(entry) || entry.index <= LogIndex(found.base())
    };
    let stays = |entry: &&Entry| at(after, entry.index.0).as_ref() == Some(*entry);
    assert!(before.entries.iter().filter(stays).all(is_kept), "{context}: an acknowledged entry is lost");
}

/// Runs a process several times. Each run loses power after `operations` disk operations, and the first start after
/// it loses power as well.
fn run_with_repeated_power_losses(seed: u64, operations: u64, loss: impl Fn(u64) -> PowerLoss) {
    let disk = MemoryDisk::new();
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut journal, mut models) = open(&disk);
    for run in 0..4 {
        let context = format!("seed {seed}, {operations} operations, run {run}");
        disk.fail_after(Some(operations));
        let after = run_jobs_until_failure(&mut journal, &mut models, &mut random);
        drop(journal);
        disk.lose_power(loss(run));
        // The start after it may also lose power.
        disk.fail_after(Some(seed % 5));
        let directory = DataDirectory::open_on(Arc::new(disk.clone()), "/data");
        let _ =
            directory.map(|directory| Journal::open(&directory, SHARDS, &Membership::default()).map(drop));
        disk.lose_power(loss(run + 100));
        let (opened, found) = open(&disk);
        for shard in 0..SHARDS {
            check(&found[shard], &models[shard], &after[shard], &context);
        }
        drop(opened);
        let (opened, again) = open(&disk);
        assert_eq!(found, again, "{context}");
        (journal, models) = (opened, found);
    }
}

/// Carries out random jobs until one fails, but at most 40. Sets `models` to the acknowledged state, and returns the
/// state that the last job would have produced.
fn run_jobs_until_failure(
    journal: &mut Journal,
    models: &mut Vec<Model>,
    random: &mut fastrand::Rng,
) -> Vec<Model> {
    let mut after = models.clone();
    for _ in 0..40 {
        let steps = if random.u8(0..8) == 0 {
            let (steps, expected) = checkpoint(models, random);
            after = expected;
            steps
        } else {
            let shard = random.usize(0..SHARDS);
            let (steps, expected) = random_job(shard as u16, &models[shard], random);
            after[shard] = expected;
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
fn no_acknowledged_entry_is_lost_with_a_power_loss_at_any_operation() {
    for seed in 0..40 {
        for operations in 0..60 {
            let loss = |run| PowerLoss::Random { seed: (seed * 1000 + operations) * 1000 + run };
            run_with_repeated_power_losses(seed, operations, loss);
        }
        run_with_repeated_power_losses(seed, seed, |_| PowerLoss::DropAll);
        run_with_repeated_power_losses(seed, seed, |_| PowerLoss::KeepAll);
    }
}

#[test]
fn no_state_is_lost_on_a_full_disk() {
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
