//! Scenario files: what world there is, what load it gets, which faults strike when, and what must hold.
//!
//! A file is checked whole before anything starts: every error is told with its key.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt, path::Path};
use toml::{Table, Value};

/// Everything a run needs to know; times in seconds, counts in whole numbers, unless the key says otherwise.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scenario {
    pub name: String,
    /// One line on what it shows.
    #[serde(default)]
    pub about: String,
    /// Load lasts so long.
    pub length_s: f64,
    /// The seeds it is played on by default.
    #[serde(default = "two_seeds")]
    pub seeds: Vec<u64>,
    /// Length of the first part that counts for nothing: connections and leases come up.
    #[serde(default = "default_lead")]
    pub lead_s: f64,
    #[serde(default)]
    pub world: World,
    #[serde(default)]
    pub counter: CounterSpec,
    #[serde(default)]
    pub discovery: DiscoverySpec,
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<ClassSpec>,
    #[serde(default = "default_plans", rename = "plan")]
    pub plans: Vec<PlanSpec>,
    #[serde(default)]
    pub load: Load,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub must: Must,
}

/// Gateways and workers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct World {
    pub gatekeepers: usize,
    pub memory_mb: u64,
    pub sockets: u64,
    /// Gateways keep a folder over restarts (`NODE_STATE`).
    pub disk: bool,
    /// Gateways know each other by datagrams (`fleet` in their configuration).
    pub fleet: bool,
    /// Gateways say why they refuse and send; without it no unit has a cause.
    pub events: bool,
    pub zones: Vec<String>,
    pub workers: usize,
    pub cores: usize,
    /// Work done a second by each core, relative to nominal: drawn for each worker between the two.
    pub speed: [f64; 2],
    /// Requests that may wait at a worker.
    pub queue: usize,
    /// A worker starts with this share of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after so long.
    pub cold_s: f64,
    /// A cold worker falls when sent more than this many times its capacity ...
    pub fall_multiple: f64,
    /// ... over so long.
    pub fall_s: f64,
    /// A worker that fell or crashed is back after so long.
    pub back_s: f64,
    /// Connections that a worker holds, from all gateways together.
    pub connections: usize,
    pub handshake_ms: f64,
    /// Share of the answers that are errors for no reason.
    pub errors: f64,
    /// One way, within a zone and between zones.
    pub near_ms: f64,
    pub far_ms: f64,
    /// Answers carry a load report.
    pub reports: bool,
    /// Bytes that an answer has at least.
    pub answer_bytes: usize,
    pub drain_grace_s: f64,
    pub max_attempts: u32,
}

impl Default for World {
    fn default() -> Self {
        Self {
            gatekeepers: 6,
            memory_mb: 192,
            sockets: 512,
            disk: false,
            fleet: false,
            events: true,
            zones: vec!["hall-a".into(), "hall-b".into()],
            workers: 12,
            cores: 2,
            speed: [0.9, 1.3],
            queue: 24,
            cold_from: 0.3,
            cold_s: 8.0,
            fall_multiple: 3.0,
            fall_s: 3.0,
            back_s: 3.0,
            connections: 400,
            handshake_ms: 2.0,
            errors: 0.0005,
            near_ms: 0.0,
            far_ms: 1.5,
            reports: false,
            answer_bytes: 0,
            drain_grace_s: 0.5,
            max_attempts: 4,
        }
    }
}

/// The shared counter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CounterSpec {
    /// There is one.
    pub on: bool,
    /// Calls a second, over all parts.
    pub calls_per_s: f64,
    pub parts: usize,
    /// An answer takes so long at least.
    pub ms: f64,
    /// Gateways wait no longer.
    pub timeout_ms: f64,
    /// A part whose line is longer than this answers `busy`.
    pub line_ms: f64,
}

impl Default for CounterSpec {
    fn default() -> Self {
        Self { on: true, calls_per_s: 600.0, parts: 2, ms: 1.2, timeout_ms: 50.0, line_ms: 250.0 }
    }
}

/// How news of the workers spreads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DiscoverySpec {
    /// A change reaches an agent after a time drawn between the two.
    pub late_s: [f64; 2],
}

impl Default for DiscoverySpec {
    fn default() -> Self {
        Self { late_s: [0.2, 0.9] }
    }
}

/// What repeating a request may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Safe,
    /// Workers of one zone discard repeats for the class's window.
    Keyed,
    Unsafe,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassSpec {
    pub name: String,
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    pub effect: Effect,
    /// Mean work of a request on one nominal core.
    pub work_ms: f64,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    #[serde(default = "one")]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
    /// For keyed ones: how long workers remember one.
    #[serde(default = "four")]
    pub window_s: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PlanSpec {
    pub name: String,
    /// Share of the load.
    pub share: f64,
    /// Units a second that a customer may use, and at once.
    pub rate: f64,
    pub burst: f64,
    #[serde(default = "one")]
    pub pays: f64,
    /// Share of the gateways that one customer's requests come through: drawn between the two.
    #[serde(default = "half_to_one")]
    pub spread: [f64; 2],
    /// What a customer asks for, over its rate, on the mean.
    #[serde(default = "four_tenths")]
    pub usage: f64,
    #[serde(default)]
    pub open: u32,
    #[serde(default)]
    pub ceiling_rate: f64,
    #[serde(default)]
    pub ceiling_burst: f64,
    /// Units by which the ceiling's store may fall below 0.
    #[serde(default = "four")]
    pub slack: f64,
}

/// What clients ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Mean work asked for, over what all workers together can do.
    #[serde(rename = "use")]
    pub utilisation: f64,
    pub arrivals: Arrivals,
    /// How unlike customers of one plan are: the deviation of the logarithm of their demand.
    pub skew: f64,
    /// Share of the customers that ask for `heavy_x` times as much.
    pub heavy: f64,
    pub heavy_x: f64,
    /// One customer of the first plan is this share of the load; 0: none.
    pub whale: f64,
    /// How unlike gateways' shares of the traffic are.
    pub gate_skew: f64,
    pub step: Vec<Step>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            utilisation: 0.5,
            arrivals: Arrivals::Poisson,
            skew: 0.6,
            heavy: 0.08,
            heavy_x: 2.5,
            whale: 0.0,
            gate_skew: 0.0,
            step: Vec::new(),
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Arrivals {
    /// Memoryless.
    Poisson,
    /// Evenly spaced.
    Even,
}

/// From `at_s` on the load is `times` its base; `shift` also draws the customers' demands anew.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub at_s: f64,
    #[serde(default = "one")]
    pub times: f64,
    #[serde(default)]
    pub shift: bool,
}

/// How clients behave when they are refused or failed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Clients {
    /// Further tries at most.
    pub retries: u32,
    /// Chance that a client keeps to the time to come back.
    pub honour: f64,
    pub backoff_ms: f64,
    pub max_retry_after_ms: f64,
    /// Time given to a try, over the class's deadline: drawn between the two.
    pub try_share: [f64; 2],
    /// Share that leaves before its time.
    pub impatient: f64,
    /// The others leave so long after their time.
    pub patience_ms: f64,
    /// The front notices a dead gateway after so long.
    pub notice_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Self {
            retries: 3,
            honour: 0.7,
            backoff_ms: 100.0,
            max_retry_after_ms: 1000.0,
            try_share: [0.5, 1.0],
            impatient: 0.005,
            patience_ms: 550.0,
            notice_s: 1.5,
        }
    }
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    // On links, between `gates` and `peers`.
    /// Nothing passes, nothing is said.
    Cut,
    /// `ms` later, and up to `jitter_ms` more.
    Delay,
    /// `share` of the messages is lost: on TCP that is a time-out of its retransmission.
    Lose,
    /// Connections are reset, once.
    Reset,
    /// New connections are refused.
    Refuse,
    /// The connections there are fall silent for good; new ones work.
    HalfOpen,
    /// `bytes_per_s` at most.
    Throttle,
    /// `share` of the datagrams come twice.
    Duplicate,
    /// `share` of the datagrams come after later ones.
    Reorder,
    // On gateways.
    /// Killed at once; back after `for_s`, where that is given.
    Kill,
    /// Stopped, and continued after `for_s`.
    Pause,
    /// Stopped with SIGTERM and started again, `step` of them at a time, evenly over `for_s`.
    Roll,
    /// A new configuration and SIGHUP.
    Reload,
    // On clients.
    /// `share` of those that wait for an answer of `gates` close their connections, once.
    Leave,
    // On workers.
    /// Dead, and back and cold after `for_s`.
    Crash,
    /// `times` slower.
    Slow,
    /// `share` of the requests get an error at once.
    Errors,
    /// Requests are taken and never answered.
    Silent,
    /// `share` of the answers can't be read.
    Spoil,
    /// `share` of the answers, then in chunks, stop half way: neither the rest comes nor an end.
    Stall,
    /// `share` of the answers break off half way: the connection is reset.
    BreakOff,
    /// Listed as draining, gone after the time to finish, and back and cold after `for_s`.
    Replace,
    // On the counter.
    /// Refuses connections.
    CounterDown,
    /// Forgets all counts, once.
    CounterEmpty,
    /// `share` of the calls get `busy`.
    CounterBusy,
    /// `times` slower.
    CounterSlow,
    /// `share` of the calls are lost before anything is added.
    CounterLoseCalls,
    /// `share` of the answers are lost, after the addition.
    CounterLoseAnswers,
    // On discovery.
    DiscoveryDown,
    /// News come `s` later.
    DiscoveryLate,
    /// Calls get an error.
    DiscoveryOverbooked,
    /// The agents of `gates` are at another address, told by a new configuration and SIGHUP; the old one closes soon
    /// after. Back after `for_s`.
    DiscoveryMove,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    pub what: What,
    pub at_s: f64,
    /// Until the end where it is missing.
    pub for_s: Option<f64>,
    /// Which gateways: `all`, `2`, `0..3`, `30%` or `zone=NAME`.
    #[serde(default = "all")]
    pub gates: String,
    /// The other end of the links: `workers`, `workers:zone=NAME`, `workers:30%`, `workers:0..3`, `counter`,
    /// `discovery`, `front`, `gates` or `gates:0..3` (datagrams) or `all`.
    #[serde(default = "all")]
    pub peers: String,
    /// Which workers, as for gateways.
    #[serde(default = "all")]
    pub workers: String,
    /// Which way: `both`, `out` of the gateway or `in`.
    #[serde(default)]
    pub way: Way,
    #[serde(default)]
    pub ms: f64,
    #[serde(default)]
    pub jitter_ms: f64,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default = "two")]
    pub times: f64,
    #[serde(default)]
    pub bytes_per_s: f64,
    /// Starts are spread over so long.
    #[serde(default)]
    pub over_s: f64,
    /// Share of those struck that never comes back.
    #[serde(default)]
    pub never: f64,
    /// What becomes of the gateway's folder.
    #[serde(default)]
    pub disk: Disk,
    #[serde(default = "tenth")]
    pub step: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    #[default]
    Both,
    Out,
    In,
}

/// What a gateway finds in its folder after a kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Disk {
    /// What it wrote.
    #[default]
    Kept,
    /// Nothing.
    Empty,
    /// What was there some seconds before: the last writes are lost.
    Stale,
    /// The file written last ends in the middle.
    Torn,
}

/// What a play has to show. The rules must always hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Must {
    /// Seconds from the end of the last fault to 95% of the goodput before the first one; 0: not asked.
    pub recover_s: f64,
    /// Goodput over the whole play, as a share of the worth asked for.
    pub goodput: f64,
    /// Attempts that reach workers a first try that was sent on, in the worst second.
    pub amplification: f64,
    /// Units sent on beyond quotas, of all units sent on.
    pub beyond: f64,
    /// Refusals with room in the quota, of all first tries.
    pub refused_with_room: f64,
}

impl Default for Must {
    fn default() -> Self {
        Self { recover_s: 0.0, goodput: 0.0, amplification: f64::MAX, beyond: 1.0, refused_with_room: 1.0 }
    }
}

fn two_seeds() -> Vec<u64> {
    vec![1, 2]
}
fn default_lead() -> f64 {
    2.0
}
fn one() -> f64 {
    1.0
}
fn two() -> f64 {
    2.0
}
fn four() -> f64 {
    4.0
}
fn tenth() -> f64 {
    0.1
}
fn four_tenths() -> f64 {
    0.4
}
fn half_to_one() -> [f64; 2] {
    [0.5, 1.0]
}
fn all() -> String {
    "all".into()
}

fn class(
    name: &str,
    share: f64,
    effect: Effect,
    work_ms: f64,
    times: [f64; 2],
    worth: [f64; 2],
) -> ClassSpec {
    let [aim_ms, deadline_ms] = times;
    let [worth, late_worth] = worth;
    ClassSpec {
        name: name.into(),
        share,
        effect,
        work_ms,
        aim_ms,
        deadline_ms,
        worth,
        late_worth,
        window_s: 4.0,
    }
}

/// The classes where a file names none: one of each effect.
pub fn default_classes() -> Vec<ClassSpec> {
    vec![
        class("record-read", 0.46, Effect::Safe, 40.0, [600.0, 2000.0], [1.0, 0.0]),
        class("dispute-flag", 0.36, Effect::Keyed, 40.0, [600.0, 2000.0], [2.0, 0.2]),
        class("charge-adjust", 0.18, Effect::Unsafe, 60.0, [1000.0, 4000.0], [3.0, 0.2]),
    ]
}

/// The plans where a file names none: small, middling, and one with a cap on what is open and a ceiling.
pub fn default_plans() -> Vec<PlanSpec> {
    let plan = |name: &str, share, rate: f64, burst_s: f64, pays| PlanSpec {
        name: name.into(),
        share,
        rate,
        burst: (rate * burst_s).round().max(1.0),
        pays,
        spread: [0.5, 1.0],
        usage: 0.5,
        open: 0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
        slack: 4.0,
    };
    let carrier = plan("carrier", 0.43, 12.0, 2.0, 1.6);
    vec![
        plan("basic", 0.28, 0.8, 4.0, 0.88),
        plan("standard", 0.29, 3.0, 4.5, 1.3),
        PlanSpec { open: 3, ceiling_rate: 25.0, ceiling_burst: 48.0, ..carrier },
    ]
}

/// One thing wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrong {
    /// Where, such as `fault[2].at_s`.
    pub key: String,
    pub why: String,
}

/// All that is wrong with a scenario; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invalid(pub Vec<Wrong>);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, wrong) in self.0.iter().enumerate() {
            let key = if wrong.key.is_empty() { "the file" } else { &wrong.key };
            write!(f, "{}{key}: {}", if i > 0 { "\n" } else { "" }, wrong.why)?;
        }
        Ok(())
    }
}

impl std::error::Error for Invalid {}

/// Type errors that are looked for at most: each takes a reading of its own.
const MOST_ERRORS: usize = 50;
/// Gateways and workers that a play may have.
const MOST_GATES: usize = 100;
const MOST_WORKERS: usize = 400;

impl Scenario {
    /// Reads a scenario from TOML text.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn parse(text: &str) -> Result<Self, Invalid> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            Invalid(vec![Wrong { key: String::new(), why: e.message().to_owned() }])
        })?;
        Self::from_table(table)
    }

    /// Reads a scenario from a file, or one of those that ship with the lab by its name.
    ///
    /// # Errors
    /// All that is wrong with it, or that there is none.
    pub fn load(name: &str) -> Result<Table, Invalid> {
        let wrong = |why: String| Invalid(vec![Wrong { key: String::new(), why }]);
        let text = match shipped().iter().find(|(n, _)| *n == name) {
            Some((_, text)) => (*text).to_owned(),
            None => std::fs::read_to_string(Path::new(name)).map_err(|e| wrong(format!("{name}: {e}")))?,
        };
        text.parse().map_err(|e: toml::de::Error| wrong(e.to_string()))
    }

    /// Reads a scenario from a table.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn from_table(table: Table) -> Result<Self, Invalid> {
        let mut wrongs = Vec::new();
        let mut unknown = BTreeSet::new();
        let mut value = Value::Table(table);
        let read = loop {
            let mut track = serde_path_to_error::Track::new();
            let from = serde_path_to_error::Deserializer::new(value.clone(), &mut track);
            let read: Result<Self, _> = serde_ignored::deserialize(from, |path| {
                unknown.insert(path.to_string());
            });
            match read {
                Ok(read) => break Some(read),
                Err(error) => {
                    let path = track.path();
                    wrongs.push(Wrong { key: path.to_string(), why: error.message().trim().to_owned() });
                    // Without what can't be read, the rest is looked at too.
                    if wrongs.len() >= MOST_ERRORS || !remove(&mut value, &path) {
                        break None;
                    }
                }
            }
        };
        let tidy = |key: String| key.replace(".?", "");
        wrongs
            .extend(unknown.into_iter().map(|key| Wrong { key: tidy(key), why: "is not known".to_owned() }));
        if let Some(read) = &read {
            wrongs.extend(read.check());
        }
        match read {
            Some(read) if wrongs.is_empty() => Ok(read),
            _ => Err(Invalid(wrongs)),
        }
    }

    /// What the file's values, each readable, get wrong together.
    fn check(&self) -> Vec<Wrong> {
        let mut wrongs = Vec::new();
        let mut bad = |key: &str, why: &str| wrongs.push(Wrong { key: key.to_owned(), why: why.to_owned() });
        let w = &self.world;
        if !(1.0..=3600.0).contains(&self.length_s) {
            bad("length_s", "must be from 1 to 3600");
        }
        if self.seeds.is_empty() {
            bad("seeds", "is empty");
        }
        if !(0.0..self.length_s).contains(&self.lead_s) {
            bad("lead_s", "must be 0 or more and less than length_s");
        }
        if !(2..=MOST_GATES).contains(&w.gatekeepers) {
            bad("world.gatekeepers", &format!("must be from 2 to {MOST_GATES}"));
        }
        if !(1..=MOST_WORKERS).contains(&w.workers) {
            bad("world.workers", &format!("must be from 1 to {MOST_WORKERS}"));
        }
        if w.zones.is_empty() {
            bad("world.zones", "is empty");
        }
        let ranges = [
            ("world.cores", w.cores as f64, 1.0, 64.0),
            ("world.speed[0]", w.speed[0], 0.01, w.speed[1]),
            ("world.memory_mb", w.memory_mb as f64, 16.0, 1e5),
            ("world.sockets", w.sockets as f64, 64.0, 1e5),
            ("world.cold_from", w.cold_from, 0.01, 1.0),
            ("world.cold_s", w.cold_s, 0.0, 600.0),
            ("world.fall_multiple", w.fall_multiple, 1.0, 1e3),
            ("world.fall_s", w.fall_s, 0.1, 60.0),
            ("world.back_s", w.back_s, 0.1, 600.0),
            ("world.errors", w.errors, 0.0, 1.0),
            ("world.near_ms", w.near_ms, 0.0, 1e3),
            ("world.answer_bytes", w.answer_bytes as f64, 0.0, 1e6),
            ("world.far_ms", w.far_ms, 0.0, 1e3),
            ("world.max_attempts", f64::from(w.max_attempts), 1.0, 16.0),
            ("counter.calls_per_s", self.counter.calls_per_s, 1.0, 1e6),
            ("counter.parts", self.counter.parts as f64, 1.0, 64.0),
            ("counter.timeout_ms", self.counter.timeout_ms, 1.0, 1e4),
            ("discovery.late_s[0]", self.discovery.late_s[0], 0.0, self.discovery.late_s[1]),
            ("load.use", self.load.utilisation, 0.001, 10.0),
            ("load.skew", self.load.skew, 0.0, 3.0),
            ("load.heavy", self.load.heavy, 0.0, 1.0),
            ("load.whale", self.load.whale, 0.0, 0.9),
            ("load.gate_skew", self.load.gate_skew, 0.0, 3.0),
            ("clients.retries", f64::from(self.clients.retries), 0.0, 20.0),
            ("clients.honour", self.clients.honour, 0.0, 1.0),
            ("clients.patience_ms", self.clients.patience_ms, 0.0, 1e4),
            ("clients.impatient", self.clients.impatient, 0.0, 1.0),
            ("clients.try_share[0]", self.clients.try_share[0], 0.01, self.clients.try_share[1]),
            ("clients.try_share[1]", self.clients.try_share[1], 0.01, 1.0),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                bad(key, &format!("must be from {least} to {most}"));
            }
        }
        if self.classes.is_empty() {
            bad("class", "is empty");
        }
        if self.plans.is_empty() {
            bad("plan", "is empty");
        }
        for (i, c) in self.classes.iter().enumerate() {
            let key = |k: &str| format!("class[{i}].{k}");
            if !(c.share > 0.0 && c.share.is_finite()) {
                bad(&key("share"), "must be above 0");
            }
            if !(0.1..=60_000.0).contains(&c.work_ms) {
                bad(&key("work_ms"), "must be from 0.1 to 60000");
            }
            if !(c.aim_ms > 0.0 && c.aim_ms <= c.deadline_ms && c.deadline_ms <= 60_000.0) {
                bad(&key("aim_ms"), "must be above 0 and at most deadline_ms, which is at most 60000");
            }
            if self.classes.iter().take(i).any(|other| other.name == c.name) || !usable(&c.name) {
                bad(&key("name"), "must be letters, digits and dashes, and stand once");
            }
        }
        for (i, p) in self.plans.iter().enumerate() {
            let key = |k: &str| format!("plan[{i}].{k}");
            if !(p.share > 0.0 && p.share.is_finite()) {
                bad(&key("share"), "must be above 0");
            }
            if !(p.rate > 0.0 && p.rate <= 1e6) {
                bad(&key("rate"), "must be above 0");
            }
            if !(p.burst >= 1.0 && p.burst <= 1e6) {
                bad(&key("burst"), "must be 1 or more");
            }
            if !(p.usage > 0.0 && p.usage <= 100.0) {
                bad(&key("usage"), "must be above 0");
            }
            if !(p.spread[0] > 0.0 && p.spread[0] <= p.spread[1] && p.spread[1] <= 1.0) {
                bad(&key("spread"), "must be two shares in order, above 0 and at most 1");
            }
            if p.ceiling_rate > 0.0 && p.ceiling_burst < 1.0 {
                bad(&key("ceiling_burst"), "must be 1 or more where there is a ceiling");
            }
            if self.plans.iter().take(i).any(|other| other.name == p.name) || !usable(&p.name) {
                bad(&key("name"), "must be letters, digits and dashes, and stand once");
            }
        }
        for (i, s) in self.load.step.iter().enumerate() {
            if !(0.0..self.length_s).contains(&s.at_s) {
                bad(&format!("load.step[{i}].at_s"), "must be within the play");
            }
            if !(0.0..=100.0).contains(&s.times) {
                bad(&format!("load.step[{i}].times"), "must be from 0 to 100");
            }
        }
        for (i, fault) in self.faults.iter().enumerate() {
            for (key, why) in self.check_fault(fault) {
                bad(&format!("fault[{i}].{key}"), &why);
            }
        }
        if self.must.recover_s > 0.0 && self.fault_span().is_none() {
            bad("must.recover_s", "can't be met: no fault ends within the play");
        }
        if self.must.goodput > 1.0 {
            bad("must.goodput", "can't be met: it is a share");
        }
        wrongs
    }

    fn check_fault(&self, fault: &Fault) -> Vec<(&'static str, String)> {
        let mut wrongs = Vec::new();
        if !(0.0..self.length_s).contains(&fault.at_s) {
            wrongs.push(("at_s", "must be within the play".to_owned()));
        }
        if fault.for_s.is_some_and(|s| !(s > 0.0 && s.is_finite())) {
            wrongs.push(("for_s", "must be above 0".to_owned()));
        }
        if !(0.0..=1.0).contains(&fault.share) || !(0.0..=1.0).contains(&fault.never) {
            wrongs.push(("share", "must be from 0 to 1, as never".to_owned()));
        }
        if !(0.01..=1000.0).contains(&fault.times) {
            wrongs.push(("times", "must be from 0.01 to 1000".to_owned()));
        }
        if !(fault.step > 0.0 && fault.step <= 1.0) {
            wrongs.push(("step", "must be above 0 and at most 1".to_owned()));
        }
        if !(0.0..=60_000.0).contains(&fault.ms) || !(0.0..=60_000.0).contains(&fault.jitter_ms) {
            wrongs.push(("ms", "must be from 0 to 60000, as jitter_ms".to_owned()));
        }
        if fault.what == What::Throttle && fault.bytes_per_s < 1.0 {
            wrongs.push(("bytes_per_s", "must be 1 or more".to_owned()));
        }
        if matches!(fault.what, What::Pause | What::Roll) && fault.for_s.is_none() {
            wrongs.push(("for_s", "is needed".to_owned()));
        }
        if fault.disk != Disk::Kept && !self.world.disk {
            wrongs.push(("disk", "needs world.disk".to_owned()));
        }
        let zones = &self.world.zones;
        for (key, text) in [("gates", &fault.gates), ("workers", &fault.workers)] {
            if let Err(why) = Pick::parse(text, zones) {
                wrongs.push((key, why));
            }
        }
        if let Err(why) = Peers::parse(&fault.peers, zones) {
            wrongs.push(("peers", why));
        }
        wrongs
    }

    /// When the first fault that ends begins, and when the last of them ends, within the play.
    pub fn fault_span(&self) -> Option<(f64, f64)> {
        let spans = self.faults.iter().map(|f| (f.at_s, f.at_s + f.for_s.unwrap_or(0.0) + f.over_s));
        let spans: Vec<(f64, f64)> = spans.filter(|(_, to)| *to < self.length_s).collect();
        let from = spans.iter().map(|s| s.0).reduce(f64::min)?;
        Some((from, spans.iter().map(|s| s.1).fold(from, f64::max)))
    }

    /// The same play with so many times the gateways and workers, and with that the load.
    pub fn scaled(mut self, scale: f64) -> Self {
        let times = |n: usize, most: usize| ((n as f64 * scale).round() as usize).clamp(2, most);
        self.world.gatekeepers = times(self.world.gatekeepers, MOST_GATES);
        self.world.workers = times(self.world.workers, MOST_WORKERS);
        self.counter.calls_per_s *= scale;
        self
    }
}

fn usable(name: &str) -> bool {
    !name.is_empty() && name.len() <= 40 && name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-')
}

/// Takes what stands at `path` out of `value`; `false`: there is nothing.
fn remove(value: &mut Value, path: &serde_path_to_error::Path) -> bool {
    use serde_path_to_error::Segment;
    let steps: Vec<&Segment> = path.iter().collect();
    let Some((last, before)) = steps.split_last() else { return false };
    let mut at = value;
    for step in before {
        let next = match step {
            Segment::Map { key } => at.as_table_mut().and_then(|t| t.get_mut(key)),
            Segment::Seq { index } => at.as_array_mut().and_then(|a| a.get_mut(*index)),
            _ => None,
        };
        let Some(next) = next else { return false };
        at = next;
    }
    match last {
        Segment::Map { key } => at.as_table_mut().and_then(|t| t.remove(key)).is_some(),
        // Places after it must stay where they are told: a whole entry is not taken out.
        _ => false,
    }
}

/// A choice among gateways or workers.
#[derive(Debug, Clone, PartialEq)]
pub enum Pick {
    All,
    Share(f64),
    Range(usize, usize),
    Zone(usize),
}

impl Pick {
    /// Reads `all`, `30%`, `2`, `0..3` or `zone=NAME`.
    ///
    /// # Errors
    /// Why it can't be read.
    pub fn parse(text: &str, zones: &[String]) -> Result<Self, String> {
        if text == "all" {
            return Ok(Self::All);
        }
        if let Some(name) = text.strip_prefix("zone=") {
            let at = zones.iter().position(|z| z == name);
            return at.map(Self::Zone).ok_or_else(|| format!("{name:?} is no zone of this world"));
        }
        if let Some(share) = text.strip_suffix('%') {
            let share: f64 = share.parse().map_err(|_| format!("{text:?} is no share"))?;
            return if (0.0..=100.0).contains(&share) {
                Ok(Self::Share(share / 100.0))
            } else {
                Err(format!("{text:?} is no share"))
            };
        }
        let number = |t: &str| t.parse::<usize>().map_err(|_| format!("{text:?} is no choice"));
        match text.split_once("..") {
            Some((from, to)) => Ok(Self::Range(number(from)?, number(to)?)),
            None => number(text).map(|n| Self::Range(n, n + 1)),
        }
    }

    /// Those chosen of `zones.len()`, each in its zone; a share is drawn by `draw`, which gives numbers below
    /// its argument.
    pub fn of(&self, zones: &[usize], mut draw: impl FnMut(usize) -> usize) -> Vec<usize> {
        let mut every: Vec<usize> = (0..zones.len()).collect();
        match self {
            Self::All => every,
            Self::Zone(zone) => every.into_iter().filter(|i| zones[*i] == *zone).collect(),
            Self::Range(from, to) => every.into_iter().filter(|i| (from..to).contains(&i)).collect(),
            Self::Share(share) => {
                let n = (zones.len() as f64 * share).round() as usize;
                for i in 0..n {
                    let j = i + draw(every.len() - i);
                    every.swap(i, j);
                }
                every.truncate(n);
                every.sort_unstable();
                every
            }
        }
    }
}

/// The far ends of links.
#[derive(Debug, Clone, PartialEq)]
pub enum Peers {
    All,
    Workers(Pick),
    Counter,
    Discovery,
    Front,
    Gates(Pick),
}

impl Peers {
    /// Reads what `Fault::peers` may hold.
    ///
    /// # Errors
    /// Why it can't be read.
    pub fn parse(text: &str, zones: &[String]) -> Result<Self, String> {
        Ok(match text {
            "all" => Self::All,
            "workers" => Self::Workers(Pick::All),
            "counter" => Self::Counter,
            "discovery" => Self::Discovery,
            "front" => Self::Front,
            "gates" => Self::Gates(Pick::All),
            _ => match text.split_once(':') {
                Some(("workers", pick)) => Self::Workers(Pick::parse(pick, zones)?),
                Some(("gates", pick)) => Self::Gates(Pick::parse(pick, zones)?),
                _ => return Err(format!("{text:?} is no far end of a link")),
            },
        })
    }
}

/// The scenarios that ship with the lab, by name.
pub fn shipped() -> &'static [(&'static str, &'static str)] {
    macro_rules! ship {
        ($($name:literal),* $(,)?) => {
            &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*]
        };
    }
    ship![
        "calm",
        "retry-storm",
        "probe-storm",
        "shared-slow",
        "zone-cut",
        "asymmetric-cut",
        "counter-down",
        "counter-emptied",
        "counter-crowded",
        "herd-restart",
        "power-loss",
        "power-loss-gates",
        "rolling-overload",
        "paused-gatekeeper",
        "bad-links",
        "load-shift",
        "wide-reset-stale",
        "leave-burst",
    ]
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_error_is_told_with_its_key() {
        let text = r#"
            name = "wrong"
            length_s = 10
            [world]
            gatekeepers = "many"
            workers = 3000
            colour = 1
            [load]
            use = -1
            [[fault]]
            what = "cut"
            at_s = 50
            peers = "workers:zone=nowhere"
            [[fault]]
            what = "throttle"
            at_s = 1
            gates = "lots"
        "#;
        let Err(Invalid(wrongs)) = Scenario::parse(text) else { panic!("it is wrong") };
        let keys: BTreeSet<&str> = wrongs.iter().map(|w| w.key.as_str()).collect();
        let want = [
            "world.gatekeepers",
            "world.workers",
            "world.colour",
            "load.use",
            "fault[0].at_s",
            "fault[0].peers",
            "fault[1].bytes_per_s",
            "fault[1].gates",
        ];
        assert_eq!(keys, want.into_iter().collect());
    }

    #[test]
    fn what_can_never_be_met_is_refused() {
        let with = |rest: &str| Scenario::parse(&format!("name = \"x\"\nlength_s = 10\n{rest}"));
        assert!(with("").is_ok());
        assert!(with("[must]\nrecover_s = 5").is_err(), "nothing to recover from");
        assert!(with("[must]\ngoodput = 1.2").is_err());
        assert!(with("[[fault]]\nwhat = \"kill\"\nat_s = 2\ndisk = \"torn\"").is_err(), "no disk to tear");
    }

    #[test]
    fn those_that_ship_are_right_and_have_a_purpose() {
        for (name, text) in shipped() {
            let scenario = Scenario::parse(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(scenario.name, *name);
            assert!(!scenario.about.is_empty(), "{name}");
            let scaled = scenario.clone().scaled(0.5);
            assert!(scaled.check().is_empty(), "{name} at half size");
        }
        assert!(shipped().len() >= 12);
    }

    #[test]
    fn a_choice_is_what_it_says() {
        let zones: Vec<String> = vec!["a".into(), "b".into()];
        let places = [0, 1, 0, 1, 0];
        let of = |text: &str| Pick::parse(text, &zones).map(|p| p.of(&places, |n| n - 1));
        assert_eq!(of("all"), Ok(vec![0, 1, 2, 3, 4]));
        assert_eq!(of("zone=b"), Ok(vec![1, 3]));
        assert_eq!(of("1..3"), Ok(vec![1, 2]));
        assert_eq!(of("4"), Ok(vec![4]));
        assert_eq!(of("40%").map(|c| c.len()), Ok(2));
        assert!(of("zone=c").is_err() && of("x%").is_err() && of("").is_err());
    }
}
