//! One store is restarted while a conversation goes on, and loses its disk later. The turns of the conversation's chain
//! have to be kept for `retention_s` from its newest turn.

use crate::{
    conversation::{self, answered_turn, sleep_until, start_workers, START_LIMIT},
    note,
    tier::{Class, Tier},
    worker::Runs,
};
use std::{
    fs, io,
    thread::sleep,
    time::{Duration, Instant},
};

/// `retention_s` of the route of the conversation. Stores keep a turn for twice that and 10 s.
const RETENTION: Duration = Duration::from_secs(30);
/// Times after the first turn.
const RESTART_AT: Duration = Duration::from_secs(22);
const SECOND_AT: Duration = Duration::from_secs(28);
const THIRD_AT: Duration = Duration::from_secs(56);
const DISK_LOST_AT: Duration = Duration::from_secs(72);
/// `catch_up_s`, rounded up.
const CATCH_UP: Duration = Duration::from_secs(5);

pub fn play(trouble: bool) -> io::Result<bool> {
    let mut tier = Tier::start(&std::env::current_dir()?, 3, 3, 3)?;
    tier.configure(0, &conversation::configuration(1, RETENTION), START_LIMIT)?;
    let runs = Runs::default();
    let _workers = start_workers(&tier, &runs)?;
    tier.wait_ready(START_LIMIT)?;
    note!("the tier is ready; retention_s is {}", RETENTION.as_secs());
    let frontends = tier.frontends();
    // The store in the zone of the second gatekeeper.
    let store = tier.of_class(Class::Storage)[1];

    let first = answered_turn(frontends[0], "t1", None)?;
    let start = Instant::now();
    sleep_until(start + RESTART_AT);
    if trouble {
        tier.signal(store, None, "TERM");
        tier.wait_for_end(store, Duration::from_secs(8));
        sleep(Duration::from_millis(500));
        tier.start_machine(store)?;
        note!("{} was stopped by SIGTERM and started again", tier.machines[store].name);
    }
    sleep_until(start + SECOND_AT);
    let second = answered_turn(frontends[1], "t2", Some(&first))?;
    sleep_until(start + THIRD_AT);
    let third = answered_turn(frontends[1], "t3", Some(&second))?;
    let kept_until = Instant::now() + RETENTION;
    sleep_until(start + DISK_LOST_AT);
    if trouble {
        tier.kill(&[store]);
        fs::remove_dir_all(tier.data_dir(store))?;
        sleep(Duration::from_secs(1));
        tier.start_machine(store)?;
        note!("{} was killed, lost its disk, and was started again", tier.machines[store].name);
    }
    sleep(CATCH_UP);
    let left = (kept_until - Instant::now()).as_secs_f64();
    note!("the clerk continues the case in another zone, {left:.1} s before the retention of {third} ends");
    let until = kept_until - Duration::from_secs(1);
    conversation::continue_until(until, &frontends[2..3], [&first, &second, &third], &runs)
}
