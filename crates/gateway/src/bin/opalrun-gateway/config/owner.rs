//! Owns the configuration that holds and those before it: takes another one whole or not at all.

use super::{
    Config, Plan, Problem, Problems, check, file,
    history::{By, History, Text, Version},
    store,
    trial::{Recent, Tally, Terms, Trial, Verdict},
    waits,
};
use crate::{driver::Driver, events, fleet};
use opalrun_gateway::Time;
use serde::Serialize;
use serde_json::Value;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    path::{Path, PathBuf},
    rc::Rc,
    time::Instant,
};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// What a process is started with.
pub struct Start {
    pub config: Config,
    pub text: Text,
    pub by: By,
    pub path: PathBuf,
}

/// The file that `NODE_CONFIG` names.
fn path() -> Result<PathBuf, Problems> {
    std::env::var_os("NODE_CONFIG")
        .map(PathBuf::from)
        .ok_or_else(|| Problems::one("", "NODE_CONFIG names no file"))
}

/// The folder for what is to outlast the process: the environment's, else the configuration's.
fn folder(config: &Config) -> Option<PathBuf> {
    store::named().or_else(|| config.state.clone())
}

/// Reads and checks a file, against the configuration that holds where there is one.
fn read(path: &Path, present: Option<&Config>) -> Result<(Vec<u8>, Config, Plan), Problems> {
    let text = file::read(path).map_err(|e| Problems::one("", e))?;
    let (config, plan) = check(&text, present)?;
    Ok((text, config, plan))
}

/// This process's own second address: a file may serve two while one takes over from the other.
fn admin() -> Result<Option<SocketAddr>, Problems> {
    let Some(admin) = std::env::var_os("NODE_ADMIN").filter(|a| !a.is_empty()) else { return Ok(None) };
    let addr = admin.to_str().and_then(|a| a.parse().ok());
    addr.map(Some).ok_or_else(|| Problems::one("", "NODE_ADMIN is no address"))
}

/// The configuration to start with: the file's, or the last good one where a folder keeps it.
pub fn start() -> Result<Start, Problems> {
    let (path, admin) = (path()?, admin()?);
    let mut start = match read(&path, None) {
        Ok((text, config, _)) => Start { config, text: text.into(), by: By::Start, path },
        Err(broken) => {
            let Some(folder) = store::named() else { return Err(broken) };
            warn!("THE CONFIGURATION IS BROKEN: {broken}");
            let (version, text) = store::load(&folder)
                .map_err(|e| Problems::one("", format!("{broken}; and there is no last good one: {e}")))?;
            let (config, _) = check(&text, None)?;
            warn!("STARTED WITH THE LAST GOOD CONFIGURATION, version {version} of an earlier process");
            Start { config, text: text.into(), by: By::LastGood, path }
        }
    };
    start.config.admin = admin.or(start.config.admin);
    events::follow(start.config.log);
    for note in start.config.notes() {
        warn!("{note}");
    }
    Ok(start)
}

/// `opalrun-gateway --check FILE [--against FILE]`: the plan, or all that is wrong.
pub fn check_files(file: &Path, against: Option<&Path>) -> Result<Plan, Problems> {
    let present = match against {
        Some(path) => {
            Some(read(path, None).map_err(|e| Problems::one("", format!("{}: {e}", path.display())))?.1)
        }
        None => None,
    };
    read(file, present.as_ref()).map(|(_, _, plan)| plan)
}

/// How the last attempt to take a configuration ended.
#[derive(Debug, Clone, Serialize)]
struct Attempt {
    at: Time,
    by: By,
    /// The version that it became.
    taken: Option<u64>,
    /// The file is the one that holds.
    unchanged: bool,
    errors: Vec<Problem>,
    /// Microseconds for reading and checking, and for the change itself.
    check_us: u64,
    commit_us: u64,
}

/// The answer to a dry run.
#[derive(Serialize)]
struct Checked {
    ok: bool,
    plan: Option<Plan>,
    errors: Vec<Problem>,
}

#[derive(Serialize)]
struct Report<'a> {
    version: &'a Version,
    before: Vec<&'a Version>,
    /// Where the way back leads; none: nowhere.
    way_back: Option<u64>,
    last_attempt: Option<Attempt>,
    waits: Vec<String>,
    trial: Option<Trial>,
    state: Option<String>,
}

/// A version's number and its file.
type Kept = (u64, Rc<[u8]>);

pub struct Configuration {
    driver: Rc<Driver>,
    path: PathBuf,
    present: RefCell<Config>,
    history: RefCell<History>,
    discovery: watch::Sender<SocketAddr>,
    fleet: watch::Sender<Option<fleet::Terms>>,
    attempt: RefCell<Option<Attempt>>,
    /// Keys that differ from what the process was started with.
    waits: RefCell<Vec<String>>,
    started: Value,
    trial: RefCell<Option<Trial>>,
    recent: RefCell<Recent>,
    counted: Cell<Tally>,
    /// The file of a version that went back by itself: not taken again until it has changed.
    went_back: RefCell<Option<String>>,
    /// The folder of the last good one, and whoever writes it.
    keeper: Option<(PathBuf, mpsc::UnboundedSender<Kept>)>,
}

impl Configuration {
    /// The owner, and what follows discovery's address.
    pub fn new(start: Start, driver: Rc<Driver>) -> (Rc<Self>, watch::Receiver<SocketAddr>) {
        let (discovery, follower) = watch::channel(start.config.discovery);
        let fleet = watch::channel(start.config.fleet.clone()).0;
        let history = History::new(start.text, driver.now(), start.by);
        let folder = folder(&start.config);
        let keeper = folder.map(|folder| {
            let (tell, told) = mpsc::unbounded_channel();
            tokio::task::spawn_local(keep(folder.clone(), told));
            (folder, tell)
        });
        let owner = Rc::new(Self {
            driver,
            path: start.path,
            started: start.config.text.clone(),
            present: RefCell::new(start.config),
            history: RefCell::new(history),
            discovery,
            fleet,
            attempt: RefCell::default(),
            waits: RefCell::default(),
            trial: RefCell::default(),
            recent: RefCell::default(),
            counted: Cell::default(),
            went_back: RefCell::default(),
            keeper,
        });
        owner.keep();
        (owner, follower)
    }

    /// How this gateway takes part in the fleet, as it changes.
    pub fn fleet(&self) -> watch::Receiver<Option<fleet::Terms>> {
        self.fleet.subscribe()
    }

    /// This process goes on from a version of the one that it takes over from.
    pub fn continue_from_version(&self, version: u64) {
        self.history.borrow_mut().follow(version);
    }

    /// The folder in which this gateway's state is kept, where it has one.
    pub fn state(&self) -> Option<PathBuf> {
        self.keeper.as_ref().map(|(folder, _)| folder.clone())
    }

    /// The version that holds.
    pub fn version(&self) -> u64 {
        self.history.borrow().holds().number
    }

    fn keep(&self) {
        if let Some((_, keeper)) = &self.keeper {
            let history = self.history.borrow();
            let version = history.holds();
            // It ends with the process.
            version.text.iter().for_each(|text| drop(keeper.send((version.number, text.clone()))));
        }
    }

    /// Takes the file that the process was started with, as it stands now.
    pub fn reread(&self) {
        let start = Instant::now();
        let result = self.read_again();
        // The log and the report say how it went.
        let _ = self.finish(By::Signal, start, result);
    }

    fn read_again(&self) -> Result<Option<(Text, Config)>, Problems> {
        let text = file::read(&self.path).map_err(|e| Problems::one("", e))?;
        let text = Text::from(text);
        let sum = &text.sha256;
        if *sum == self.history.borrow().holds().sha256 {
            return Ok(None);
        }
        if self.went_back.borrow().as_ref() == Some(sum) {
            return Err(Problems::one(
                "",
                "this version went back in its trial: it is taken once the file has changed",
            ));
        }
        let (config, _) = check(&text.text, Some(&self.present.borrow()))?;
        Ok(Some((text, config)))
    }

    /// The version before takes the place of the one that holds, as a new one.
    pub fn way_back(&self, by: By) -> Result<u64, Problems> {
        let start = Instant::now();
        let result = self.read_back().map(Some);
        self.finish(by, start, result).map(|_| self.version())
    }

    /// What can't be taken back is refused: see docs/on-call.md.
    fn read_back(&self) -> Result<(Text, Config), Problems> {
        if self.driver.leaving() {
            return Err(Problems::one("", "another process has taken over"));
        }
        let text = self
            .history
            .borrow()
            .way_back()
            .and_then(|v| Some(Text { text: v.text.clone()?, sha256: v.sha256.clone() }));
        let text = text.ok_or_else(|| Problems::one("", "no version before this one is held"))?;
        let present = self.present.borrow();
        let (config, _) = check(&text.text, Some(&present))?;
        let mut problems = Vec::new();
        let moved = [
            ("discovery", config.discovery != present.discovery),
            ("counter", config.counter != present.counter),
        ];
        for (key, _) in moved.into_iter().filter(|(_, moved)| *moved) {
            problems.push(Problem::of(key, "the address before was given up, and may serve nobody any more"));
        }
        let effect = |of: &Config, name: &String| {
            let at = of.options.classes.iter().position(|c| c == name)?;
            of.options.settings.classes.get(at).map(|c| c.effect)
        };
        for class in &present.options.classes {
            if effect(&config, class) != effect(&present, class) && self.driver.uses(class) {
                problems
                    .push(Problem::of(format!("settings.Classes.{class}"), "clients use it as it is now"));
            }
        }
        Problems::all(problems)?;
        Ok((text, config))
    }

    /// Lets the parts prepare, then changes all of them in one turn.
    fn finish(
        &self,
        by: By,
        start: Instant,
        next: Result<Option<(Text, Config)>, Problems>,
    ) -> Result<(), Problems> {
        let unchanged = matches!(next, Ok(None));
        let ready = next.and_then(|next| match next {
            None => Ok(None),
            Some((text, config)) => {
                let ready =
                    self.driver.prepare(config.options.clone()).map_err(|e| Problems::one("settings", e))?;
                Ok(Some((text, config, ready)))
            }
        });
        let (now, check_us) = (self.driver.now(), micros(start));
        let mut attempt =
            Attempt { at: now, by, taken: None, unchanged, errors: Vec::new(), check_us, commit_us: 0 };
        let result = match ready {
            Ok(None) => Ok(()),
            Ok(Some((text, config, ready))) => {
                let start = Instant::now();
                self.driver.commit(ready, config.counter);
                self.discovery
                    .send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                self.history.borrow_mut().take(text, now, by);
                let terms = config.trial.clone().filter(|_| by == By::Signal);
                events::follow(config.log);
                self.fleet.send_if_modified(|terms| {
                    *terms != config.fleet && std::mem::replace(terms, config.fleet.clone()) != config.fleet
                });
                let before = self.present.replace(config);
                attempt.commit_us = micros(start);
                drop(before);
                self.waits.replace(waits(&self.started, &self.present.borrow().text));
                attempt.taken = Some(self.version());
                self.keep();
                self.begin_trial(now, terms);
                Ok(())
            }
            Err(problems) => {
                attempt.errors = problems.0.clone();
                Err(problems)
            }
        };
        self.say(&attempt, &result);
        self.attempt.replace(Some(attempt));
        result
    }

    fn say(&self, attempt: &Attempt, result: &Result<(), Problems>) {
        if let Err(problems) = result {
            warn!("the old configuration stays: {problems}");
            return;
        }
        let present = self.present.borrow();
        let (number, classes) = (self.version(), present.options.classes.join(", "));
        let what = match attempt.by {
            _ if attempt.unchanged => "configuration read again, unchanged",
            By::WayBack | By::Trial => "configuration taken back",
            _ => "configuration read again",
        };
        info!("{what}: version {number}, discovery at {}, classes {classes}", present.discovery);
    }

    /// What the file would change, as JSON, and whether it could be taken. Nothing changes.
    pub fn check_file(&self) -> (bool, String) {
        let checked = read(&self.path, Some(&self.present.borrow())).and_then(|(_, config, plan)| {
            self.driver.prepare(config.options).map_err(|e| Problems::one("settings", e))?;
            Ok(plan)
        });
        (checked.is_ok(), told(checked))
    }

    /// What holds, as JSON.
    pub fn report(&self) -> String {
        let history = self.history.borrow();
        let report = Report {
            version: history.holds(),
            before: history.earlier().collect(),
            way_back: history.way_back().map(|v| v.number),
            last_attempt: self.attempt.borrow().clone(),
            waits: self.waits.borrow().clone(),
            trial: self.trial.borrow().clone(),
            state: self.keeper.as_ref().map(|(folder, _)| folder.display().to_string()),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }

    // ---- Trials ----

    fn begin_trial(&self, now: Time, terms: Option<Terms>) {
        // What was answered until now belongs to the time before.
        self.count(now);
        let trial = terms.map(|terms| Trial::begin(self.version(), now, terms, &self.recent.borrow()));
        if let Some(trial) = &trial {
            info!("version {} is on trial", trial.version);
        }
        self.trial.replace(trial);
    }

    /// What was answered since the last call.
    fn count(&self, now: Time) -> Tally {
        let (before, total) = (self.counted.get(), self.driver.answers());
        self.counted.set(total);
        let step = Tally { answers: total.answers - before.answers, failed: total.failed - before.failed };
        self.recent.borrow_mut().note(now, step);
        step
    }

    fn look(&self) {
        let now = self.driver.now();
        let step = self.count(now);
        let judged = self.trial.borrow_mut().as_mut().map(|trial| (trial.note(now, step), trial.clone()));
        let Some((verdict, trial)) = judged.filter(|(verdict, _)| *verdict != Verdict::Going) else { return };
        self.trial.replace(None);
        let (number, before, after) = (trial.version, trial.before, trial.after);
        if verdict == Verdict::Passed {
            info!("version {number} has passed its trial: {} of {} failed", after.failed, after.answers);
            return;
        }
        warn!(
            "version {number} does worse and goes back: {} of {} failed, {} of {} before it",
            after.failed, after.answers, before.failed, before.answers
        );
        let sum = self.history.borrow().holds().sha256.clone();
        // Also where the way back is refused: it says so, and is not tried again and again.
        self.went_back.replace(Some(sum));
        // The log and the report say how it ended.
        let _ = self.way_back(By::Trial);
    }

    /// To be called once a second.
    pub fn look_after_trials(&self) {
        if self.present.borrow().trial.is_some() || self.trial.borrow().is_some() {
            self.look();
        }
    }
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// The answer to a dry run, as JSON.
pub fn told(checked: Result<Plan, Problems>) -> String {
    let checked = match checked {
        Ok(plan) => Checked { ok: true, plan: Some(plan), errors: Vec::new() },
        Err(problems) => Checked { ok: false, plan: None, errors: problems.0 },
    };
    serde_json::to_string_pretty(&checked).unwrap_or_default()
}

/// Keeps the last good configuration, off the event loop: syncing may take long. Only the newest counts.
async fn keep(folder: PathBuf, mut told: mpsc::UnboundedReceiver<Kept>) {
    while let Some(mut newest) = told.recv().await {
        while let Ok(newer) = told.try_recv() {
            newest = newer;
        }
        let (version, text) = (newest.0, newest.1.to_vec());
        let at = folder.clone();
        let saved = tokio::task::spawn_blocking(move || store::save(&at, version, &text)).await;
        match saved {
            Ok(Ok(())) => info!("version {version} is kept in {}", folder.display()),
            Ok(Err(e)) => warn!("version {version} can't be kept in {}: {e}", folder.display()),
            Err(e) => warn!("version {version} is not kept: {e}"),
        }
    }
}
