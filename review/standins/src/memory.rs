//! Many users come at once and continue one kept conversation, whose turns were all well below `max_body_bytes`. The
//! platform kills a process that exceeds the memory of its machine.

use crate::{
    conversation::{self, turn_answer, DISPUTES, START_LIMIT},
    http::{self, Message},
    note,
    tier::{Class, Tier},
    worker::{Handler, Runs, Worker},
};
use std::{
    fs, io,
    io::Write,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

const RETENTION: Duration = Duration::from_secs(60);
/// `memory_mb` of an edge machine.
const MEMORY_BYTES: u64 = 260 << 20;
const KEPT_TURNS: usize = 7;
const KEPT_TURN_BYTES: usize = 2_000_000;
/// Users at each gatekeeper who continue the conversation at a time.
const USERS: usize = 4;
/// The same in a burst: x = 2.25.
const BURST_USERS: usize = 9;
const BURSTS: usize = 3;
const BURST: Duration = Duration::from_secs(4);
const BETWEEN_BURSTS: Duration = Duration::from_secs(10);
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// What the clients have seen.
#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    whole: AtomicUsize,
    lost: AtomicUsize,
    next: AtomicUsize,
}

fn handler() -> Arc<Handler> {
    Arc::new(|worker: &Worker, head: &Message, reader, writer| {
        if http::read_body(reader, head, false).is_err() {
            return false;
        }
        // The prompt is read before the first event.
        sleep(Duration::from_millis(500));
        let id = head.header("request-id").unwrap_or_default();
        let event = format!("id: 1\ndata: {id} event 1\n\n");
        let text = worker.answer_head(head, "text/event-stream")
            + &format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
        writer.write_all(text.as_bytes()).is_ok()
    })
}

/// A user who continues the conversation again and again until `until`, each time as a sub-agent of its last turn.
fn user(frontend: SocketAddr, previous: String, until: Instant, counts: &Counts) {
    while Instant::now() < until {
        for _try in 0..3 {
            let id = format!("u-{}", counts.next.fetch_add(1, Ordering::Relaxed));
            counts.sent.fetch_add(1, Ordering::Relaxed);
            match turn_answer(frontend, DISPUTES, &id, Some(&previous), b"and now?\n") {
                Ok(answer) if answer.status() == 200 => {
                    counts.whole.fetch_add(1, Ordering::Relaxed);
                    break;
                }
                Ok(_) => {}
                Err(_) => {
                    counts.lost.fetch_add(1, Ordering::Relaxed);
                }
            }
            sleep(Duration::from_millis(250));
        }
        sleep(Duration::from_millis(100));
    }
}

fn resident_bytes(process: u32) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{process}/statm")).unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096
}

pub fn play(trouble: bool) -> io::Result<bool> {
    let mut tier = Tier::start(&std::env::current_dir()?, 3, 3, 2)?;
    tier.configure(0, &conversation::configuration(1, RETENTION), START_LIMIT)?;
    let runs = Runs::default();
    let mut workers = Vec::new();
    for number in 1..=3 {
        let (id, zone) = (format!("i-{number}"), format!("zone-{number}"));
        workers.push(Worker::start(&id, "models", &zone, tier.controls(), runs.clone(), handler())?);
    }
    tier.wait_ready(START_LIMIT)?;
    note!("the tier is ready");
    let frontends = tier.frontends();
    let mut previous: Option<String> = None;
    for number in 1..=KEPT_TURNS {
        let input = vec![b'a'; KEPT_TURN_BYTES];
        let id = (0..40).map(|attempt| format!("k{number}-{attempt}")).find(|id| {
            let answer = turn_answer(frontends[0], DISPUTES, id, previous.as_deref(), &input);
            let is_answered = answer.is_ok_and(|answer| answer.status() == 200);
            if !is_answered {
                sleep(Duration::from_millis(250));
            }
            is_answered
        });
        previous = Some(id.ok_or_else(|| io::Error::other("the conversation could not be kept"))?);
    }
    let previous = previous.unwrap_or_default();
    note!("a conversation of {KEPT_TURNS} turns of {KEPT_TURN_BYTES} bytes is kept");

    let counts = Arc::new(Counts::default());
    let start = Instant::now();
    let end = start + (BURST + BETWEEN_BURSTS) * BURSTS as u32 + BETWEEN_BURSTS;
    let mut users = Vec::new();
    let mut add_user = |frontend: SocketAddr, until: Instant| {
        let (previous, counts) = (previous.clone(), counts.clone());
        users.push(thread::spawn(move || user(frontend, previous, until, &counts)));
    };
    for frontend in &frontends {
        (0..USERS).for_each(|_| add_user(*frontend, end));
    }
    let ended = Arc::new(AtomicBool::new(false));
    let edges = tier.of_class(Class::Edge);
    let (mut ends, mut peaks) = (vec![0; edges.len()], vec![0; edges.len()]);
    let mut next_burst = start + BETWEEN_BURSTS;
    while Instant::now() < end {
        if Instant::now() >= next_burst {
            if trouble {
                note!("burst: {BURST_USERS} users at each gatekeeper instead of {USERS}");
                for frontend in &frontends {
                    (0..BURST_USERS - USERS).for_each(|_| add_user(*frontend, next_burst + BURST));
                }
            }
            next_burst += BURST + BETWEEN_BURSTS;
        }
        // The platform: kills what exceeds the memory of its machine, and starts it again after a short delay.
        for (position, edge) in edges.iter().enumerate() {
            let Some(process) = tier.process_id(*edge, "proxy") else { continue };
            let bytes = resident_bytes(process);
            peaks[position] = bytes.max(peaks[position]);
            if bytes > MEMORY_BYTES {
                ends[position] += 1;
                tier.kill_role(*edge, "proxy");
                note!("the proxy of {} had {} MB and was killed", tier.machines[*edge].name, bytes >> 20);
                sleep(RESTART_DELAY);
                tier.start_machine(*edge)?;
            }
        }
        sleep(Duration::from_millis(3));
    }
    ended.store(true, Ordering::Relaxed);
    for user in users {
        let _ = user.join();
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    note!(
        "{} turns sent, {} answered whole, {} connections ended without an answer; ends of the proxies: {ends:?}, peaks: {:?} MB",
        count(&counts.sent),
        count(&counts.whole),
        count(&counts.lost),
        peaks.iter().map(|bytes| bytes >> 20).collect::<Vec<_>>()
    );
    if count(&counts.whole) < 20 {
        return Err(io::Error::other("too few turns were served"));
    }
    Ok(ends.iter().filter(|ends| **ends >= 3).count() >= 2)
}
