//! The counter: named totals in parts, each a line with so many calls a second.

use crate::{
    record::{Event, Log},
    switchboard::{Conn, Dir},
    world::plan::{Plan, mix},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until},
};

/// Connections that it holds of one gateway.
const SEATS: usize = 32;
/// The longest line it reads.
const MOST_LINE: usize = 256;
/// The longest life of a name.
const MOST_LIFE_MS: u64 = 60_000;
/// Names it holds; dead ones are swept when there are more.
const SWEEP_FROM: usize = 10_000;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trouble {
    pub slower: f64,
    pub busy: f64,
    pub lose_calls: f64,
    pub lose_answers: f64,
}

impl Default for Trouble {
    fn default() -> Self {
        Self { slower: 1.0, busy: 0.0, lose_calls: 0.0, lose_answers: 0.0 }
    }
}

struct Count {
    total: f64,
    dies: Instant,
}

pub struct Counter {
    plan: Arc<Plan>,
    log: Arc<Log>,
    counts: Mutex<HashMap<String, Count>>,
    /// By part, when its line is empty again.
    lines: Mutex<Vec<Instant>>,
    seats: Mutex<Vec<usize>>,
    pub trouble: Mutex<Trouble>,
    pub up: watch::Sender<bool>,
    rng: Mutex<ChaCha8Rng>,
}

/// A call that waits for its turn.
struct Turn {
    at: Instant,
    /// `None`: it has its answer already.
    call: Option<(String, f64, u64)>,
    answer: Option<String>,
    /// The answer never goes out.
    lost: bool,
}

impl Counter {
    pub fn new(plan: Arc<Plan>, log: Arc<Log>) -> Arc<Self> {
        let (parts, gates) = (plan.scenario.counter.parts, plan.scenario.world.gatekeepers);
        let seed = plan.stream("counter");
        Arc::new(Self {
            counts: Mutex::default(),
            lines: Mutex::new(vec![Instant::now(); parts]),
            seats: Mutex::new(vec![0; gates]),
            trouble: Mutex::default(),
            up: watch::channel(true).0,
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            plan,
            log,
        })
    }

    /// Forgets all counts.
    pub fn empty(&self) {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    fn draw(&self) -> f64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    fn add(&self, name: &str, amount: f64, life_ms: u64) -> f64 {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if counts.len() > SWEEP_FROM {
            counts.retain(|_, c| c.dies > now);
        }
        let dies = now + Duration::from_millis(life_ms.min(MOST_LIFE_MS));
        let count = counts.entry(name.to_owned()).or_insert(Count { total: 0.0, dies });
        if count.dies <= now {
            *count = Count { total: 0.0, dies };
        }
        count.total += amount;
        count.total
    }

    /// What a line asks for, and when it has its turn.
    fn turn(&self, line: &str) -> Turn {
        let now = Instant::now();
        let told = |answer: &str| Turn { at: now, call: None, answer: Some(answer.to_owned()), lost: false };
        if line == "ping" {
            return told("pong");
        }
        let words: Vec<&str> = line.split(' ').collect();
        let ["bump", name, amount, life] = words[..] else { return told("error") };
        let (Ok(amount), Ok(life)) = (amount.parse::<f64>(), life.parse::<u64>()) else {
            return told("error");
        };
        if !(1..=64).contains(&name.len()) || !amount.is_finite() || amount.abs() > 1e9 || life == 0 {
            return told("error");
        }
        let (spec, trouble) =
            (&self.plan.scenario.counter, *self.trouble.lock().unwrap_or_else(PoisonError::into_inner));
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let part = name.bytes().fold(0, |n, b| mix(n ^ u64::from(b))) as usize % lines.len();
        let free = lines[part].max(now);
        let full = free - now > Duration::from_secs_f64(spec.line_ms / 1e3);
        if full || self.draw() < trouble.busy {
            return told("busy");
        }
        let turn = free + Duration::from_secs_f64(trouble.slower * spec.parts as f64 / spec.calls_per_s);
        lines[part] = turn;
        let lost_before = self.draw() < trouble.lose_calls;
        let lost = lost_before || self.draw() < trouble.lose_answers;
        let call = (!lost_before).then(|| (name.to_owned(), amount, life));
        Turn { at: turn + Duration::from_secs_f64(spec.ms / 1e3), call, answer: None, lost }
    }

    /// Serves one connection of a gateway to its end.
    pub async fn serve(self: Arc<Self>, gate: usize, mut conn: Conn) {
        let taken = {
            let mut seats = self.seats.lock().unwrap_or_else(PoisonError::into_inner);
            seats[gate] += 1;
            seats[gate]
        };
        let mut up = self.up.subscribe();
        if taken <= SEATS {
            tokio::select! {
                () = self.exchange(gate, &mut conn) => {}
                _ = up.wait_for(|up| !up) => conn.reset(),
            }
        } else {
            conn.reset();
        }
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)[gate] -= 1;
    }

    async fn exchange(&self, gate: usize, conn: &mut Conn) {
        // Calls under way to the counter, and answers on their way back, each in order.
        let (mut coming, mut turns, mut going) = (VecDeque::new(), VecDeque::<Turn>::new(), VecDeque::new());
        loop {
            while let Some(end) = conn.buffer().iter().position(|b| *b == b'\n') {
                let bytes: Vec<u8> = conn.buffer().drain(..=end).collect();
                let line = String::from_utf8_lossy(&bytes).trim_end().to_owned();
                // Over a cut link it waits, and what follows with it.
                let at = conn.link.arrival(Dir::Out, bytes.len());
                coming.push_back((at, line));
            }
            if conn.buffer().len() > MOST_LINE {
                return;
            }
            if let Some((at @ None, _)) = coming.front_mut() {
                *at = conn.link.arrival(Dir::Out, 0);
            }
            if let Some((at @ None, _)) = going.front_mut() {
                *at = conn.link.arrival(Dir::In, 0);
            }
            let link = conn.link.clone();
            let cut = async {
                // Looked at again when it may have healed: a change of the link wakes nobody here.
                tokio::time::sleep(Duration::from_millis(20)).await;
            };
            let next = |at: Option<Option<Instant>>| async move {
                match at {
                    Some(Some(at)) => sleep_until(at).await,
                    _ => std::future::pending().await,
                }
            };
            let held = matches!(coming.front(), Some((None, _))) || matches!(going.front(), Some((None, _)));
            tokio::select! {
                n = conn.fill() => if !matches!(n, Ok(1..)) { return },
                () = next(coming.front().map(|(at, _)| *at)) => {
                    let line = coming.pop_front().map(|(_, line): (Option<Instant>, String)| line);
                    turns.push_back(self.turn(&line.unwrap_or_default()));
                }
                () = next(turns.front().map(|t| Some(t.at))) => {
                    let Some(turn) = turns.pop_front() else { continue };
                    let Some(said) = self.take(gate, turn) else {
                        // Answers come in order: with one lost, none after it could be told from another.
                        return conn.reset();
                    };
                    going.push_back((link.arrival(Dir::In, said.len()), said));
                }
                () = next(going.front().map(|(at, _)| *at)) => {
                    let said: Option<(Option<Instant>, String)> = going.pop_front();
                    if let Some((_, said)) = said && conn.write_now(said.as_bytes()).await.is_err() {
                        return;
                    }
                }
                () = cut, if held => {}
            }
        }
    }

    /// A call has had its turn; its answer, if that goes out.
    fn take(&self, gate: usize, turn: Turn) -> Option<String> {
        let Turn { call, answer, lost, .. } = turn;
        let said = match (call, answer) {
            (Some((name, amount, life)), _) => {
                let total = self.add(&name, amount, life);
                self.log.note(Event::Call { gate, name, amount, total: Some(total) });
                format!("ok {total}")
            }
            (None, Some(answer)) => {
                if answer == "busy" {
                    self.log.note(Event::Call { gate, name: String::new(), amount: 0.0, total: None });
                }
                answer
            }
            (None, None) => String::new(),
        };
        (!lost).then_some(said + "\r\n")
    }
}
