//! Measures the cost of program leases at a proxy: memory per program and time per event of a turn.
//!
//! `cargo run --profile tier -p opalrun-gatekeeper --example lease_cost -- 72000`

use opalrun_gatekeeper::lease::{Action, Leases, TurnBudget, TurnId};
use std::time::{Duration, Instant};

const DEFAULT_PROGRAMS: usize = 72_000;
const EVENTS_PER_TURN: u64 = 77;
const UNITS_PER_EVENT: u64 = 3;
const MAX_UNITS_PER_TURN: u64 = EVENTS_PER_TURN * UNITS_PER_EVENT;
const BUDGET: u64 = 130 * MAX_UNITS_PER_TURN;

/// Resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a VmRSS line");
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().expect("VmRSS in kB");
    kilobytes << 10
}

/// Begins a turn of a program and grants every lease that this requests.
fn begin(leases: &mut Leases, program: &str, now: Duration) -> TurnId {
    let turn = leases.begin(program, TurnBudget { budget: BUDGET, max_units: MAX_UNITS_PER_TURN }, now);
    for action in leases.take_actions() {
        if let Action::Acquire { program, .. } = action {
            leases.granted(&program, 0, now);
        }
    }
    leases.take_actions();
    turn
}

fn main() {
    let programs = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_PROGRAMS);
    let names: Vec<String> = (0..programs).map(|number| format!("{number:016x}")).collect();
    let now = Duration::from_secs(1);
    let mut leases = Leases::new(1);
    let bytes_before = resident_bytes();
    let turns: Vec<TurnId> = names.iter().map(|name| begin(&mut leases, name, now)).collect();
    let bytes = resident_bytes().saturating_sub(bytes_before);
    let started_at = Instant::now();
    for turn in &turns {
        (0..EVENTS_PER_TURN).for_each(|_| leases.record_units(*turn, UNITS_PER_EVENT, now));
    }
    let time_per_event = started_at.elapsed() / (programs as u32 * EVENTS_PER_TURN as u32);
    println!("{programs} programs with a turn each: {bytes} bytes, {} each", bytes / programs as u64);
    println!("an event: {time_per_event:?}");
}
