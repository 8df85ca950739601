//! Conversations with long inputs, each within `max_body_bytes`. The gatekeepers through which they went are killed and start
//! again. Do the next turns still reach a worker?

use review_standins_2::{
    client::{self, Outcome},
    has_trouble, http, operator,
    record::Record,
    tier::{Options, Tier},
    worker::{Received, Then, Work, Worker, write_chunk},
};
use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// `max_body_bytes` of the configuration, as in the pages' example.
const MAX_BODY_BYTES: usize = 4_194_304;
const INPUT_BYTES: usize = 3_980_000;
/// Turns before the disruption; the next one is the one that is judged.
const TURNS: usize = 7;
/// A try and one again, and the turn is resent twice: what programs do.
/// Each goes through a gatekeeper of its own, of six; these are killed (`herd_kill` with a share of .5).
const CONVERSATIONS: u8 = 3;
const GATEKEEPERS: u8 = 6;
const TRIES: usize = 6;
const RETENTION_S: u64 = 60;
const DEADLINE: Duration = Duration::from_millis(5000);
const EVENTS: usize = 4;

/// The bodies that workers ran, by request id.
type Runs = Arc<Mutex<Vec<(String, Vec<u8>)>>>;

fn main() -> ExitCode {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let record = Record::create(&folder);
    match run(&record) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            record.say(format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule was broken.
fn run(record: &Record) -> Result<bool, String> {
    let mut tier = Tier::start(Options { edges: GATEKEEPERS, ..Options::default() })?;
    let controls = tier.controls();
    let configuration = format!(
        "{{\"generation\":1,\"routes\":[{{\"name\":\"r-chat\",\"host\":\"tier.example\",\"path_prefix\":\"/chat/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":250,\"priority\":0,\
         \"backend\":\"agent-models\",\"max_attempts\":2,\"retained\":true,\"retention_s\":{RETENTION_S}.0,\
         \"session_affinity\":true,\"resumable\":false,\"gap_aim_ms\":400}}],\
         \"services\":[{{\"name\":\"agent-models\",\"health_path\":\"/healthz\",\"max_connections\":230,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"capacity\":32,\"kv_capacity\":231379,\"kv_bytes\":131072,\
         \"bandwidth_mbps\":260000.0,\"chunk_tokens\":3,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    );
    let put = operator::put_configuration(&controls, 0, &configuration, Duration::from_secs(20));
    record.line(format!("operator: configuration 1 -> {put:?}"));
    if put != Some(200) || !tier.wait_ready(Duration::from_secs(20)) {
        return Err("the deployment did not become ready".to_owned());
    }
    let runs = Runs::default();
    for number in 1..=3 {
        let zone = tier.zone(number);
        let (ip, work) = (tier.worker_ip(number), work_of(number, record, &runs));
        Worker::start(&format!("i-{number}"), "agent-models", ip, &zone, 32, &controls, work)
            .map_err(|error| error.to_string())?;
    }
    thread::sleep(Duration::from_millis(4500));

    let mut conversations = Vec::new();
    for number in 1..=CONVERSATIONS {
        conversations.push(Conversation::hold(number, tier.frontend(number), record)?);
    }
    if has_trouble() {
        let mut killed = Vec::new();
        for number in 1..=CONVERSATIONS {
            for role in ["proxy", "agent"] {
                killed.push(tier.edge_position(number, role).ok_or("no such process")?);
            }
        }
        for position in &killed {
            tier.kill(*position);
        }
        record.line("disruption: herd_kill of edge machines 1 to 3 (SIGKILL of their processes)");
        thread::sleep(Duration::from_secs(2));
        for position in killed {
            tier.start_process(position, false)?;
        }
        record.line("edge machines 1 to 3 start again");
    }
    // `contact_ms` is 3,000: after this time all machines are in touch.
    thread::sleep(Duration::from_millis(5000));
    if !tier.wait_ready(Duration::from_secs(5)) {
        return Err("the deployment is not ready after the disruption".to_owned());
    }

    let (mut first_turns, mut first_turns_reached) = (0, 0);
    for attempt in 0..TRIES {
        for conversation in conversations.iter_mut().filter(|conversation| !conversation.reached) {
            // The gatekeeper of before, and one that was not killed, in turns.
            let other = (attempt % 2) as u8 * CONVERSATIONS;
            let gatekeeper = tier.frontend(conversation.number + other);
            // First turns of other programs, at the same gatekeeper.
            for first in 0..2 {
                let id = format!("first-{}-{attempt}-{first}", conversation.number);
                first_turns += 1;
                let outcome = turn(gatekeeper, &id, &id, None, b"a short question", record);
                first_turns_reached += u32::from(outcome.status == Some(200) && outcome.is_complete);
            }
            conversation.go_on(attempt, gatekeeper, &runs, record)?;
        }
        if conversations.iter().all(|conversation| conversation.reached) {
            break;
        }
        thread::sleep(Duration::from_millis(300));
    }
    let ended = tier.ended();
    let mut broken = false;
    for conversation in &conversations {
        let Conversation { number, tries, reached, not_found, .. } = conversation;
        record.say(format!(
            "conversation {number}: {tries} tries of the next turn, up to {} s after the turn before it was answered whole \
             (retention_s {RETENTION_S}); reached a worker: {reached}; 404 or 410: {not_found}",
            conversation.last_try.duration_since(conversation.answered_at).as_secs()
        ));
        broken |= *not_found || (!reached && *tries >= 5 && first_turns_reached * 10 >= first_turns * 9);
    }
    record.say(format!(
        "first turns served: {first_turns_reached} of {first_turns}; processes that ended by themselves: {}",
        ended.len()
    ));
    record.say(if broken { "LOST is broken" } else { "LOST holds" });
    Ok(broken)
}

/// A program that has one conversation.
struct Conversation {
    number: u8,
    /// What was said before, as the worker of the next turn must receive it.
    chain: Vec<u8>,
    /// Id of the last turn that was answered whole.
    previous: String,
    answered_at: Instant,
    tries: usize,
    reached: bool,
    not_found: bool,
    last_try: Instant,
}

impl Conversation {
    /// Holds a conversation of [`TURNS`] turns through one gatekeeper.
    fn hold(number: u8, gatekeeper: SocketAddr, record: &Record) -> Result<Self, String> {
        let program = format!("conversation-{number}");
        let (mut chain, mut previous): (Vec<u8>, Option<String>) = (Vec::new(), None);
        for turn_number in 1..=TURNS {
            let input = input(usize::from(number) * 100 + turn_number);
            // A turn is tried again if it was refused, as programs do it.
            let answered = (0..3).find_map(|attempt| {
                let id = format!("{program}-turn-{turn_number}-{attempt}");
                let outcome = turn(gatekeeper, &program, &id, previous.as_deref(), &input, record);
                (outcome.status == Some(200) && outcome.is_complete).then_some((id, outcome))
            });
            let (id, outcome) = answered
                .ok_or_else(|| format!("turn {turn_number} was not answered before the disruption"))?;
            chain.extend_from_slice(&input);
            chain.extend_from_slice(&data_of(&outcome.body));
            previous = Some(id);
        }
        let now = Instant::now();
        let previous = previous.unwrap_or_default();
        let (tries, reached, not_found) = (0, false, false);
        Ok(Self { number, chain, previous, answered_at: now, tries, reached, not_found, last_try: now })
    }

    /// Tries the next turn once.
    fn go_on(
        &mut self,
        attempt: usize,
        gatekeeper: SocketAddr,
        runs: &Runs,
        record: &Record,
    ) -> Result<(), String> {
        let program = format!("conversation-{}", self.number);
        let next = input(usize::from(self.number) * 100 + TURNS + 1);
        let id = format!("{program}-turn-{}-{attempt}", TURNS + 1);
        let outcome = turn(gatekeeper, &program, &id, Some(&self.previous), &next, record);
        self.tries += 1;
        self.last_try = Instant::now();
        self.not_found |= matches!(outcome.status, Some(404 | 410));
        let ran = runs.lock().map_err(|_| "a thread has failed")?;
        if let Some((_, body)) = ran.iter().find(|(run, _)| *run == id) {
            self.reached = true;
            let is_whole = *body == [self.chain.as_slice(), &next].concat();
            record.line(format!("{id}: the worker's body is the conversation and the new input: {is_whole}"));
        }
        Ok(())
    }
}

/// Sends a turn of a program.
fn turn(
    gatekeeper: SocketAddr,
    program: &str,
    id: &str,
    previous: Option<&str>,
    input: &[u8],
    record: &Record,
) -> Outcome {
    let deadline = DEADLINE.as_millis().to_string();
    let mut headers = vec![
        ("Host", "tier.example"),
        ("Request-Id", id),
        ("Program", program),
        ("Session", program),
        ("Finish-Ms", "60000"),
        ("Budget", "100000"),
        ("Token-Usage", "1460,12"),
        ("Model", "m"),
        ("Deadline-Ms", deadline.as_str()),
        ("Connection", "close"),
    ];
    headers.extend(previous.map(|previous| ("Previous", previous)));
    let outcome = client::send(gatekeeper, &http::request("POST", "/chat/1", &headers, input), DEADLINE);
    record.line(format!(
        "client: {id} at {gatekeeper}, previous {previous:?}, {} bytes: status {:?} complete {} after {} ms, retry-after {:?}",
        input.len(),
        outcome.status,
        outcome.is_complete,
        outcome.took.as_millis(),
        outcome.head.get("retry-after"),
    ));
    outcome
}

/// A long input that differs from turn to turn.
fn input(number: usize) -> Vec<u8> {
    let mut state = number as u64 * 0x9E37_79B9_7F4A_7C15 + 1;
    let mut bytes = Vec::with_capacity(INPUT_BYTES);
    while bytes.len() < INPUT_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.push(b'a' + (state % 26) as u8);
    }
    bytes
}

/// The data of each event followed by a line feed.
fn data_of(stream: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(stream);
    text.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .flat_map(|data| format!("{data}\n").into_bytes())
        .collect()
}

/// Streams a few events for each turn.
fn work_of(number: u8, record: &Record, runs: &Runs) -> Arc<Work> {
    let (record, runs) = (record.clone(), runs.clone());
    Arc::new(move |request: &Received, stream: &mut TcpStream| {
        let id = request.head.get("request-id").to_owned();
        record.line(format!("worker i-{number}: {id} run, body of {} bytes", request.body.len()));
        if let Ok(mut runs) = runs.lock() {
            // Only the bodies of the judged turns are compared.
            let is_judged = id.contains(&format!("-turn-{}-", TURNS + 1));
            runs.push((id.clone(), if is_judged { request.body.clone() } else { Vec::new() }));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        let mut answer = || -> std::io::Result<()> {
            stream.write_all(head.as_bytes())?;
            for event in 1..=EVENTS {
                thread::sleep(Duration::from_millis(10));
                write_chunk(stream, format!("id: {event}\ndata: {id} piece {event}\n\n").as_bytes())?;
            }
            write_chunk(stream, b"")
        };
        if answer().is_ok() { Then::Keep } else { Then::Close }
    })
}
