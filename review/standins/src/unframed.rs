//! A worker process is killed while it answers with streams that have no length. What breaks off inside an event must not
//! look complete to its client.

use crate::{
    children,
    conversation::{self, turn_answer, DISPUTES, START_LIMIT, TRACES},
    http::{self, Message},
    note,
    tier::Tier,
    worker::{Handler, Runs, Worker},
};
use std::{
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

const RETENTION: Duration = Duration::from_secs(60);
const WORKERS: usize = 7;
/// Users who send one turn after the other.
const USERS: usize = 14;
const EVENTS: usize = 30;
/// One of the seven workers is down for a while: share = 0.15, for_s = 4.
const CRASHES: usize = 3;
const DOWN: Duration = Duration::from_secs(4);
const BETWEEN_CRASHES: Duration = Duration::from_secs(4);

fn event(id: &str, number: usize) -> String {
    format!("id: {number}\ndata: {id} event {number}\n\n")
}

/// Answers a turn with a stream without a length, which ends with its connection. Each event is written in two parts.
fn handler() -> Arc<Handler> {
    Arc::new(|worker: &Worker, head: &Message, reader, writer| {
        let Ok(body) = http::read_body(reader, head, false) else { return false };
        worker.run(head, &body);
        let id = head.header("request-id").unwrap_or_default();
        // A stream that is taken up goes on after the event that the client has.
        let last: usize = head.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let text = worker.answer_head(head, "text/event-stream") + "Connection: close\r\n\r\n";
        if writer.write_all(text.as_bytes()).is_err() {
            return false;
        }
        for number in last + 1..=EVENTS {
            let text = event(id, number);
            let (begin, rest) = text.as_bytes().split_at(text.len() / 2);
            for (part, pause) in [(begin, 8), (rest, 2)] {
                if writer.write_all(part).is_err() {
                    return false;
                }
                sleep(Duration::from_millis(pause));
            }
        }
        false
    })
}

/// Runs a worker as a process of its own, until it is killed.
pub fn run_worker(id: &str, zone: &str, controls: Vec<SocketAddr>) -> io::Result<()> {
    let _worker = Worker::start(id, "models", zone, controls, Runs::default(), handler())?;
    // Ends with the process that started it.
    io::copy(&mut io::stdin(), &mut io::sink()).map(|_| ())
}

/// Starts a worker process and notes what it runs.
fn start_worker(id: &str, zone: &str, controls: &[SocketAddr]) -> io::Result<Child> {
    let controls: Vec<String> = controls.iter().map(SocketAddr::to_string).collect();
    let mut child = Command::new(std::env::current_exe()?)
        .args(["worker", id, zone])
        .args(controls)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    children::started(&child);
    let output = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            note!("{}", line.trim_start().split_once(' ').map_or("", |(_, text)| text));
        }
    });
    Ok(child)
}

/// What the clients have seen.
#[derive(Default)]
struct Counts {
    next: AtomicUsize,
    whole: AtomicUsize,
    broken_off: AtomicUsize,
    cut_in_event: AtomicUsize,
    cut_between_events: AtomicUsize,
}

fn user(number: usize, frontend: SocketAddr, until: Instant, counts: &Counts) {
    let route = if number % 2 == 0 { DISPUTES } else { TRACES };
    while Instant::now() < until {
        let id = format!("t-{}", counts.next.fetch_add(1, Ordering::Relaxed));
        let answer = turn_answer(frontend, route, &id, None, b"a case\n");
        let counter = match answer {
            Ok(answer) if answer.status() == 200 => {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let events = (1..=EVENTS).filter(|number| text.contains(&event(&id, *number))).count();
                let tail = text.rsplit("\n\n").next().unwrap_or_default();
                if events == EVENTS {
                    &counts.whole
                } else {
                    note!(
                        "turn {id} on {route}: 200, complete for the client, {events} of {EVENTS} events, then {tail:?}"
                    );
                    if tail.is_empty() {
                        &counts.cut_between_events
                    } else {
                        &counts.cut_in_event
                    }
                }
            }
            Ok(answer) => {
                note!("turn {id} on {route}: {}", answer.start);
                sleep(Duration::from_millis(100));
                continue;
            }
            Err(error) => {
                note!("turn {id} on {route}: no whole answer: {error}");
                &counts.broken_off
            }
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

pub fn play(trouble: bool) -> io::Result<bool> {
    let tier = Tier::start(&std::env::current_dir()?, 3, 3, 2)?;
    tier.configure(0, &conversation::configuration(1, RETENTION), START_LIMIT)?;
    let zone = |number: usize| format!("zone-{}", number % 3 + 1);
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        workers.push(start_worker(&format!("i-{number}"), &zone(number), &tier.controls())?);
    }
    tier.wait_ready(START_LIMIT)?;
    sleep(Duration::from_secs(2));
    note!("the tier is ready");
    let counts = Arc::new(Counts::default());
    let until = Instant::now() + (DOWN + BETWEEN_CRASHES) * CRASHES as u32 + BETWEEN_CRASHES;
    let users: Vec<_> = (0..USERS)
        .map(|number| {
            let (frontends, counts) = (tier.frontends(), counts.clone());
            thread::spawn(move || user(number, frontends[number % frontends.len()], until, &counts))
        })
        .collect();
    for crash in 0..CRASHES {
        sleep(BETWEEN_CRASHES);
        if trouble {
            children::end(workers.remove(crash));
            note!("the worker i-{crash} was killed");
        }
        sleep(DOWN);
        if trouble {
            // Every start of a worker is a new incarnation with a new id.
            let id = format!("i-{}", WORKERS + crash);
            workers.insert(crash, start_worker(&id, &zone(crash), &tier.controls())?);
        }
    }
    for user in users {
        let _ = user.join();
    }
    workers.into_iter().for_each(children::end);
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let (whole, cut_in_event) = (count(&counts.whole), count(&counts.cut_in_event));
    note!(
        "{whole} turns answered whole, {} broken off for the client; complete for the client, but without their last \
         events: {cut_in_event} that end inside an event, {} that end between two events, which are not judged",
        count(&counts.broken_off),
        count(&counts.cut_between_events)
    );
    if whole < 100 {
        return Err(io::Error::other("too few turns were served"));
    }
    Ok(cut_in_event > 0)
}
