//! A conversation is continued inside `retention_s`, and then all processes are killed and started again. The turns of
//! its chain have to be kept for `retention_s` from its newest turn.

use crate::{
    conversation::{self, answered_turn, sleep_until, start_workers, turn, QUESTIONS, START_LIMIT},
    note,
    tier::{Class, Tier},
    worker::Runs,
};
use std::{
    fs, io,
    net::SocketAddr,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

/// `retention_s` of the route of the conversation.
const RETENTION: Duration = Duration::from_secs(32);
/// Pause between the second turn and the other conversations, so that the compaction falls shortly before the third turn.
const PAUSE: Duration = Duration::from_secs(8);
/// Turns of other conversations between the second and the third turn, all with a short retention.
const OTHER_TURNS: usize = 480;
const OTHER_TURN_BYTES: usize = 100_000;
/// Size of a store's log below which it has been compacted.
const COMPACTED_MEGABYTES: f64 = 10.0;
const RECOVERY: Duration = Duration::from_secs(12);

/// Sends the turns of the other conversations, four at a time. Returns how many were answered.
fn other_turns(frontends: &[SocketAddr]) -> usize {
    let input = Arc::new(vec![b'q'; OTHER_TURN_BYTES]);
    let senders: Vec<_> = (0..4)
        .map(|sender| {
            let (input, frontend) = (input.clone(), frontends[sender % frontends.len()]);
            thread::spawn(move || {
                let numbers = (0..OTHER_TURNS).filter(|number| number % 4 == sender);
                let is_answered = |number: &usize| {
                    turn(frontend, QUESTIONS, &format!("q-{number}"), None, &input, true) == 200
                };
                numbers.filter(is_answered).count()
            })
        })
        .collect();
    senders.into_iter().map(|sender| sender.join().unwrap_or(0)).sum()
}

/// Bytes of the logs of each store, in megabytes.
fn log_megabytes(tier: &Tier) -> Vec<f64> {
    let size = |index: usize| {
        let files = fs::read_dir(tier.data_dir(index)).into_iter().flatten().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum::<u64>() as f64 / 1e6
    };
    tier.of_class(Class::Storage).into_iter().map(size).collect()
}

pub fn play(trouble: bool) -> io::Result<bool> {
    let mut tier = Tier::start(&std::env::current_dir()?, 3, 3, 2)?;
    tier.configure(0, &conversation::configuration(1, RETENTION), START_LIMIT)?;
    let runs = Runs::default();
    let _workers = start_workers(&tier, &runs)?;
    tier.wait_ready(START_LIMIT)?;
    note!("the tier is ready; retention_s is {}", RETENTION.as_secs());
    let frontends = tier.frontends();

    let first = answered_turn(frontends[0], "t1", None)?;
    sleep(RETENTION - Duration::from_secs(2));
    let second = answered_turn(frontends[0], "t2", Some(&first))?;
    let second_at = Instant::now();

    sleep(PAUSE);
    let answered = other_turns(&frontends);
    let size = log_megabytes(&tier);
    note!(
        "other conversations: {answered} of {OTHER_TURNS} turns answered; logs of the stores: {size:.1?} MB"
    );
    // The third turn comes when the stores have compacted their logs, and inside the retention of the second turn.
    let latest = second_at + RETENTION - Duration::from_secs(2);
    let mut is_compacted = false;
    while !is_compacted && Instant::now() < latest {
        sleep(Duration::from_millis(250));
        is_compacted = log_megabytes(&tier).iter().all(|size| *size < COMPACTED_MEGABYTES);
    }
    note!("logs of the stores: {:.1?} MB, compacted: {is_compacted}", log_megabytes(&tier));
    let third = answered_turn(frontends[0], "t3", Some(&second))?;
    let kept_until = Instant::now() + RETENTION;
    tier.configure(1, &conversation::configuration(2, RETENTION), START_LIMIT)?;
    note!("the operator's change was acknowledged");

    if trouble {
        let all: Vec<usize> = (0..tier.machines.len()).collect();
        tier.kill(&all);
        note!("all processes were killed");
        sleep(Duration::from_secs(1));
        for index in all {
            tier.start_machine(index)?;
        }
        note!("all processes were started again");
    }
    let back_at = Instant::now();
    tier.wait_ready(START_LIMIT)?;
    note!("all gatekeepers are ready");

    // The clerk comes back to the case in the last seconds of its retention, long after the recovery.
    sleep_until((kept_until - Duration::from_secs(6)).max(back_at + RECOVERY));
    let left = (kept_until - Instant::now()).as_secs_f64();
    note!("the clerk continues the case, {left:.1} s before the retention of {third} ends");
    let until = kept_until - Duration::from_secs(1);
    conversation::continue_until(until, &frontends, [&first, &second, &third], &runs)
}
