//! Sessions of workers under sequences of commands.

use super::{
    ExpiredSession, SessionCommand, SessionOutcome, SessionShard, heartbeat_monitor::HeartbeatMonitor,
};
use opalrun_wire::feed::{Change, Worker, WorkerState};
use std::time::Duration;

fn worker(id: &str, sequence: u64, state: WorkerState) -> Worker {
    Worker {
        id: id.to_owned(),
        service: "service".to_owned(),
        address: "10.1.0.1:80".to_owned(),
        zone: "zone".to_owned(),
        generation: "v1".to_owned(),
        capacity: 4,
        state,
        warmup_remaining_ms: 10 - sequence.min(10),
        sequence,
    }
}

fn put(shard: &mut SessionShard, worker: Worker) -> (SessionOutcome, usize) {
    let (outcome, changes) = shard.apply(SessionCommand::Put(worker));
    (outcome, changes.len())
}

fn remove(shard: &mut SessionShard, id: &str) -> Vec<Change> {
    shard.apply(SessionCommand::Remove { id: id.to_owned() }).1
}

#[test]
fn worker_joins_drains_and_is_removed() {
    let mut shard = SessionShard::default();
    assert_eq!(put(&mut shard, worker("a", 1, WorkerState::Ready)), (SessionOutcome::Done, 1));
    assert_eq!(put(&mut shard, worker("a", 2, WorkerState::Draining)), (SessionOutcome::Done, 1));
    assert_eq!(remove(&mut shard, "a").len(), 1);
    assert!(shard.workers().is_empty());
}

#[test]
fn stale_heartbeat_does_not_undo_draining() {
    let mut shard = SessionShard::default();
    put(&mut shard, worker("a", 5, WorkerState::Draining));
    let late = worker("a", 4, WorkerState::Ready);
    assert!(shard.is_redundant(&late));
    assert_eq!(put(&mut shard, late), (SessionOutcome::Stale, 0));
    assert_eq!(shard.workers()["a"].state, WorkerState::Draining);
}

#[test]
fn stale_heartbeat_does_not_undo_draining_after_expiry() {
    let mut shard = SessionShard::default();
    put(&mut shard, worker("a", 5, WorkerState::Draining));
    shard.apply(SessionCommand::Expire { workers: vec![ExpiredSession { id: "a".to_owned(), sequence: 5 }] });
    assert!(shard.workers().is_empty());
    assert_eq!(put(&mut shard, worker("a", 4, WorkerState::Ready)), (SessionOutcome::Stale, 0));
    assert!(shard.workers().is_empty());
    // A later heartbeat starts a new session.
    assert_eq!(put(&mut shard, worker("a", 6, WorkerState::Draining)), (SessionOutcome::Done, 1));
    assert_eq!(put(&mut shard, worker("a", 4, WorkerState::Ready)), (SessionOutcome::Stale, 0));
}

#[test]
fn removed_worker_does_not_return_for_any_order_of_commands() {
    let mut shard = SessionShard::default();
    put(&mut shard, worker("a", 1, WorkerState::Ready));
    remove(&mut shard, "a");
    assert!(remove(&mut shard, "a").is_empty());
    assert_eq!(put(&mut shard, worker("a", 9, WorkerState::Ready)), (SessionOutcome::Removed, 0));
    remove(&mut shard, "b");
    assert_eq!(put(&mut shard, worker("b", 1, WorkerState::Ready)), (SessionOutcome::Removed, 0));
    assert!(shard.workers().is_empty());
}

#[test]
fn unchanged_heartbeat_is_redundant() {
    let mut shard = SessionShard::default();
    put(&mut shard, worker("a", 1, WorkerState::Ready));
    assert!(shard.is_redundant(&worker("a", 2, WorkerState::Ready)));
    assert!(!shard.is_redundant(&worker("a", 2, WorkerState::Draining)));
    let moved = Worker { address: "10.1.0.2:80".to_owned(), ..worker("a", 2, WorkerState::Ready) };
    assert!(!shard.is_redundant(&moved));
    assert_eq!(put(&mut shard, worker("a", 2, WorkerState::Ready)), (SessionOutcome::Done, 0));
}

#[test]
fn session_changed_since_its_time_out_does_not_expire() {
    let mut shard = SessionShard::default();
    put(&mut shard, worker("a", 1, WorkerState::Ready));
    put(&mut shard, worker("a", 2, WorkerState::Draining));
    let expire =
        |sequence| SessionCommand::Expire { workers: vec![ExpiredSession { id: "a".to_owned(), sequence }] };
    assert!(shard.apply(expire(1)).1.is_empty());
    assert_eq!(shard.apply(expire(2)).1.len(), 1);
    assert_eq!(put(&mut shard, worker("a", 3, WorkerState::Ready)), (SessionOutcome::Done, 1));
}

const HEARTBEAT: Duration = Duration::from_secs(1);

/// Runs a check every 250 ms from `from` to `to` (in milliseconds), with a heartbeat of each worker in `heartbeats`
/// before each check. Returns the ids of the expired sessions.
fn run_checks(
    monitor: &mut HeartbeatMonitor,
    sessions: &[String],
    heartbeats: &[&str],
    from: u64,
    to: u64,
) -> Vec<String> {
    let mut expired = Vec::new();
    for millis in (from..to).step_by(250) {
        let now = Duration::from_millis(millis);
        for id in heartbeats {
            monitor.record_heartbeat(id, now);
        }
        expired.extend(monitor.expired(sessions.iter(), now));
    }
    expired.dedup();
    expired
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("w{number}")).collect()
}

#[test]
fn only_workers_that_miss_heartbeats_expire() {
    let mut monitor = HeartbeatMonitor::new(HEARTBEAT);
    let sessions = names(3);
    assert!(run_checks(&mut monitor, &sessions, &["w0", "w1", "w2"], 0, 1000).is_empty());
    assert!(run_checks(&mut monitor, &sessions, &["w0", "w1"], 1000, 4000).is_empty());
    assert_eq!(run_checks(&mut monitor, &sessions, &["w0", "w1"], 4000, 6000), ["w2"]);
}

#[test]
fn new_owner_gives_every_session_a_full_timeout() {
    let mut monitor = HeartbeatMonitor::new(HEARTBEAT);
    let sessions = names(1);
    assert!(run_checks(&mut monitor, &sessions, &[], 100_000, 104_000).is_empty());
    assert_eq!(run_checks(&mut monitor, &sessions, &[], 104_000, 106_000), ["w0"]);
}

#[test]
fn owner_expires_no_session_after_a_suspension() {
    let mut monitor = HeartbeatMonitor::new(HEARTBEAT);
    let sessions = names(1);
    assert!(run_checks(&mut monitor, &sessions, &["w0"], 0, 1000).is_empty());
    assert!(run_checks(&mut monitor, &sessions, &[], 9000, 13_000).is_empty());
}

#[test]
fn owner_expires_no_session_after_its_state_was_not_fresh() {
    let mut monitor = HeartbeatMonitor::new(HEARTBEAT);
    let sessions = names(1);
    assert!(run_checks(&mut monitor, &sessions, &["w0"], 0, 1000).is_empty());
    monitor.reset();
    assert!(run_checks(&mut monitor, &sessions, &[], 1000, 5000).is_empty());
}

#[test]
fn mass_timeout_doubles_the_timeout() {
    let mut monitor = HeartbeatMonitor::new(HEARTBEAT);
    let sessions = names(4);
    assert!(run_checks(&mut monitor, &sessions, &["w0", "w1", "w2", "w3"], 0, 1000).is_empty());
    assert!(run_checks(&mut monitor, &sessions, &[], 1000, 8000).is_empty());
    assert_eq!(run_checks(&mut monitor, &sessions, &[], 8000, 10_000).len() % 4, 0);
}
