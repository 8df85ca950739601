//! Samples from `/proc` how long the threads of gateways and of the lab wait for processors during a run.

use super::gates::Gate;
use crate::{
    record::Micros,
    run_delay::{DelaySeries, RunDelays},
};
use std::{
    collections::HashMap,
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Unit of the times in `/proc/stat`.
const TICK: Duration = Duration::from_millis(10);
/// Index of the column with the stolen time in a processor's line of `/proc/stat`.
const STEAL_COLUMN: usize = 8;

/// Samples run delays in a thread of its own until it is finished or dropped.
pub struct RunDelayMonitor {
    stop: Arc<AtomicBool>,
    sampler: Option<JoinHandle<RunDelays>>,
}

impl RunDelayMonitor {
    /// Starts sampling; times count from `start`.
    pub fn start(gates: Vec<Arc<Gate>>, start: Instant) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let sampler = thread::spawn(move || {
            let mut sampler = Sampler::new(gates);
            while !stopped.load(Ordering::Relaxed) {
                sampler.sample(start.elapsed().as_micros() as Micros);
                thread::sleep(SAMPLE_INTERVAL);
            }
            sampler.sample(start.elapsed().as_micros() as Micros);
            sampler.delays
        });
        Self { stop, sampler: Some(sampler) }
    }

    /// Stops sampling and returns the measured delays.
    pub fn finish(mut self) -> RunDelays {
        self.stop.store(true, Ordering::Relaxed);
        self.sampler.take().and_then(|sampler| sampler.join().ok()).unwrap_or_default()
    }
}

impl Drop for RunDelayMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// The measured delays, and the kernel's counters as last read.
struct Sampler {
    gates: Vec<Arc<Gate>>,
    delays: RunDelays,
    /// Run delay by process and thread.
    thread_delays: HashMap<(u32, u32), Micros>,
    /// Stolen time by processor, in ticks.
    stolen: HashMap<String, u64>,
}

impl Sampler {
    fn new(gates: Vec<Arc<Gate>>) -> Self {
        let delays = RunDelays { gates: vec![DelaySeries::default(); gates.len()], ..RunDelays::default() };
        let mut sampler = Self { gates, delays, thread_delays: HashMap::new(), stolen: HashMap::new() };
        // Reads the counters once, so that delays before the run are not counted.
        sampler.thread_increments(std::process::id());
        sampler.steal_increment();
        sampler
    }

    /// Adds one sample of all delays.
    fn sample(&mut self, at: Micros) {
        for index in 0..self.gates.len() {
            let pid = self.gates[index].process_id();
            let delay = pid.map_or(0, |pid| self.thread_increments(pid).iter().sum());
            self.delays.gates[index].add(at, delay);
        }
        let lab = self.thread_increments(std::process::id()).into_iter().max().unwrap_or(0);
        self.delays.lab.add(at, lab);
        let stolen = self.steal_increment();
        self.delays.steal.add(at, stolen);
    }

    /// Returns, for each thread of a process, the run delay since the last read.
    fn thread_increments(&mut self, pid: u32) -> Vec<Micros> {
        let Ok(threads) = fs::read_dir(format!("/proc/{pid}/task")) else { return Vec::new() };
        let mut increments = Vec::new();
        for thread in threads.flatten() {
            let number = thread.file_name().to_str().and_then(|name| name.parse().ok());
            let delay = fs::read_to_string(thread.path().join("schedstat")).ok().and_then(|t| run_delay(&t));
            if let (Some(number), Some(delay)) = (number, delay) {
                let before = self.thread_delays.insert((pid, number), delay).unwrap_or(0);
                increments.push(delay.saturating_sub(before));
            }
        }
        increments
    }

    /// Returns the time stolen since the last read, for the processor that lost the most.
    fn steal_increment(&mut self) -> Micros {
        let text = fs::read_to_string("/proc/stat").unwrap_or_default();
        let mut max = 0;
        for line in text.lines().filter(|line| line.starts_with("cpu") && !line.starts_with("cpu ")) {
            let mut columns = line.split_whitespace();
            let (Some(processor), Some(Ok(ticks))) =
                (columns.next(), columns.nth(STEAL_COLUMN - 1).map(str::parse::<u64>))
            else {
                continue;
            };
            let before = self.stolen.insert(processor.to_owned(), ticks).unwrap_or(ticks);
            max = max.max(ticks.saturating_sub(before));
        }
        max * TICK.as_micros() as Micros
    }
}

/// Parses the run delay in a `schedstat` file: its second field, the nanoseconds spent waiting on a run queue.
fn run_delay(schedstat: &str) -> Option<Micros> {
    let nanoseconds: u64 = schedstat.split_whitespace().nth(1)?.parse().ok()?;
    Some(nanoseconds / 1_000)
}
