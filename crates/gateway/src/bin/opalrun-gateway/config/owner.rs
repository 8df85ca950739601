//! Owns the configuration in force and its history. Another version is put in force completely or not at all.

use super::{
    Config, Plan, Problem, Problems, check, file,
    history::{Cause, ConfigText, History, Version},
    keys_for_restart, store,
    trial::{AnswerCounts, RecentAnswers, Trial, TrialSettings, Verdict},
};
use crate::{driver::Driver, events, fleet::FleetSettings};
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

/// The configuration that a process is started with.
pub struct InitialConfiguration {
    pub config: Config,
    pub text: ConfigText,
    pub by: Cause,
    /// The configuration file, to be read again on a reload.
    pub path: PathBuf,
}

/// Path of the configuration file, from `NODE_CONFIG`.
fn config_path() -> Result<PathBuf, Problems> {
    std::env::var_os("NODE_CONFIG")
        .map(PathBuf::from)
        .ok_or_else(|| Problems::one("", "NODE_CONFIG is not set"))
}

/// The folder for state that outlasts the process: from `NODE_STATE`, else from the configuration.
fn state_folder(config: &Config) -> Option<PathBuf> {
    store::folder_from_environment().or_else(|| config.state.clone())
}

/// Reads and validates a file, and compares it with the configuration in force, if any.
fn read(path: &Path, current: Option<&Config>) -> Result<(Vec<u8>, Config, Plan), Problems> {
    let text = file::read(path).map_err(|e| Problems::one("", e))?;
    let (config, plan) = check(&text, current)?;
    Ok((text, config, plan))
}

/// Address of this process's admin API, from `NODE_ADMIN`. It overrides the configuration's, as two processes share the
/// file during a handover.
fn admin_address() -> Result<Option<SocketAddr>, Problems> {
    let Some(admin) = std::env::var_os("NODE_ADMIN").filter(|a| !a.is_empty()) else { return Ok(None) };
    let addr = admin.to_str().and_then(|a| a.parse().ok());
    addr.map(Some).ok_or_else(|| Problems::one("", "NODE_ADMIN is not an address of the form IP:PORT"))
}

/// Reads the configuration to start with: the file's or, if that is invalid, the last good one in the folder that
/// `NODE_STATE` names.
pub fn start() -> Result<InitialConfiguration, Problems> {
    let (path, admin) = (config_path()?, admin_address()?);
    let mut start = match read(&path, None) {
        Ok((text, config, _)) => InitialConfiguration { config, text: text.into(), by: Cause::Start, path },
        Err(problems) => {
            let Some(folder) = store::folder_from_environment() else { return Err(problems) };
            warn!("THE CONFIGURATION IS INVALID: {problems}");
            let (version, text) = store::load(&folder).map_err(|e| {
                Problems::one(
                    "",
                    format!("{problems}; the last good configuration can't be read either: {e}"),
                )
            })?;
            let (config, _) = check(&text, None)?;
            warn!("STARTED WITH THE LAST GOOD CONFIGURATION, version {version} of an earlier process");
            InitialConfiguration { config, text: text.into(), by: Cause::LastGood, path }
        }
    };
    start.config.admin = admin.or(start.config.admin);
    events::apply(start.config.log);
    for note in start.config.notes() {
        warn!("{note}");
    }
    Ok(start)
}

/// Implements `opalrun-gateway --check FILE [--against FILE]`: returns the changes, or all problems.
pub fn check_files(file: &Path, against: Option<&Path>) -> Result<Plan, Problems> {
    let current = match against {
        Some(path) => {
            Some(read(path, None).map_err(|e| Problems::one("", format!("{}: {e}", path.display())))?.1)
        }
        None => None,
    };
    read(file, current.as_ref()).map(|(_, _, plan)| plan)
}

/// Result of the last attempt to put a configuration in force, as `GET /control/config` reports it.
#[derive(Debug, Clone, Serialize)]
struct Attempt {
    at: Time,
    by: Cause,
    /// Number of the resulting version; `None` if the attempt failed or changed nothing.
    taken: Option<u64>,
    /// Whether the file is the one already in force.
    unchanged: bool,
    errors: Vec<Problem>,
    /// Microseconds for reading and validating.
    check_us: u64,
    /// Microseconds for applying the change.
    commit_us: u64,
}

/// Answer to a dry run.
#[derive(Serialize)]
struct Checked {
    ok: bool,
    plan: Option<Plan>,
    errors: Vec<Problem>,
}

/// Answer to `GET /control/config`.
#[derive(Serialize)]
struct Report<'a> {
    /// The version in force.
    version: &'a Version,
    /// Earlier versions, the newest first.
    before: Vec<&'a Version>,
    /// Number of the version that a rollback restores; `None` if none is possible.
    way_back: Option<u64>,
    last_attempt: Option<Attempt>,
    /// Changed keys that take effect at the next start only.
    waits: Vec<String>,
    trial: Option<Trial>,
    /// Folder for the gateway's state.
    state: Option<String>,
}

/// Number and file of a version that is to be saved.
type SavedVersion = (u64, Rc<[u8]>);

/// The configuration in force, its history and its trial.
pub struct Configuration {
    driver: Rc<Driver>,
    path: PathBuf,
    current: RefCell<Config>,
    history: RefCell<History>,
    discovery: watch::Sender<SocketAddr>,
    fleet: watch::Sender<Option<FleetSettings>>,
    last_attempt: RefCell<Option<Attempt>>,
    /// Keys that differ from the configuration at the start and take effect at the next start only.
    restart_keys: RefCell<Vec<String>>,
    /// The configuration file at the start of the process.
    initial_document: Value,
    trial: RefCell<Option<Trial>>,
    recent: RefCell<RecentAnswers>,
    /// The driver's counts that `recent` already includes.
    counted_answers: Cell<AnswerCounts>,
    /// SHA-256 of a file that failed its trial and was rolled back; it is rejected until the file has changed.
    rolled_back_sha256: RefCell<Option<String>>,
    /// The state folder, and the channel to the task that saves the last good configuration there.
    saver: Option<(PathBuf, mpsc::UnboundedSender<SavedVersion>)>,
}

impl Configuration {
    /// Creates the owner. Also returns the channel by which changes of discovery's address are announced.
    pub fn new(start: InitialConfiguration, driver: Rc<Driver>) -> (Rc<Self>, watch::Receiver<SocketAddr>) {
        let (discovery, discovery_changes) = watch::channel(start.config.discovery);
        let fleet = watch::channel(start.config.fleet.clone()).0;
        let history = History::new(start.text, driver.now(), start.by);
        let folder = state_folder(&start.config);
        let saver = folder.map(|folder| {
            let (sender, versions) = mpsc::unbounded_channel();
            tokio::task::spawn_local(save_versions(folder.clone(), versions));
            (folder, sender)
        });
        let owner = Rc::new(Self {
            driver,
            path: start.path,
            initial_document: start.config.document.clone(),
            current: RefCell::new(start.config),
            history: RefCell::new(history),
            discovery,
            fleet,
            last_attempt: RefCell::default(),
            restart_keys: RefCell::default(),
            trial: RefCell::default(),
            recent: RefCell::default(),
            counted_answers: Cell::default(),
            rolled_back_sha256: RefCell::default(),
            saver,
        });
        owner.save();
        (owner, discovery_changes)
    }

    /// Channel by which changes of the fleet settings are announced.
    pub fn fleet(&self) -> watch::Receiver<Option<FleetSettings>> {
        self.fleet.subscribe()
    }

    /// Numbers the present version after `version`, that of the process that this one takes over from.
    pub fn continue_from_version(&self, version: u64) {
        self.history.borrow_mut().continue_from(version);
    }

    /// The folder for the gateway's state, if one is configured.
    pub fn state(&self) -> Option<PathBuf> {
        self.saver.as_ref().map(|(folder, _)| folder.clone())
    }

    /// Number of the version in force.
    pub fn version(&self) -> u64 {
        self.history.borrow().in_force().number
    }

    /// Has the version in force saved as the last good configuration, if there is a state folder.
    fn save(&self) {
        if let Some((_, saver)) = &self.saver {
            let history = self.history.borrow();
            let version = history.in_force();
            // Sending can't fail, as the task runs until the process ends.
            version.text.iter().for_each(|text| drop(saver.send((version.number, text.clone()))));
        }
    }

    /// Reads the configuration file again and puts it in force if it is valid.
    pub fn reload(&self) {
        let start = Instant::now();
        let result = self.read_changed_file();
        // The result is in the log and in the report.
        let _ = self.apply(Cause::Signal, start, result);
    }

    /// Reads and validates the configuration file; `None`: it is the one in force.
    fn read_changed_file(&self) -> Result<Option<(ConfigText, Config)>, Problems> {
        let text = file::read(&self.path).map_err(|e| Problems::one("", e))?;
        let text = ConfigText::from(text);
        let sha256 = &text.sha256;
        if *sha256 == self.history.borrow().in_force().sha256 {
            return Ok(None);
        }
        if self.rolled_back_sha256.borrow().as_ref() == Some(sha256) {
            return Err(Problems::one(
                "",
                "this version failed its trial and was rolled back; change the file before the next reload",
            ));
        }
        let (config, _) = check(&text.text, Some(&self.current.borrow()))?;
        Ok(Some((text, config)))
    }

    /// Puts the previous version's file in force again, as a new version. Returns that version's number.
    pub fn roll_back(&self, by: Cause) -> Result<u64, Problems> {
        let start = Instant::now();
        let result = self.check_rollback().map(Some);
        self.apply(by, start, result).map(|_| self.version())
    }

    /// Returns the version that a rollback restores, or why it is refused: see docs/on-call.md.
    fn check_rollback(&self) -> Result<(ConfigText, Config), Problems> {
        if self.driver.has_handed_over() {
            return Err(Problems::one("", "another process has taken over"));
        }
        let text = self
            .history
            .borrow()
            .rollback_target()
            .and_then(|v| Some(ConfigText { text: v.text.clone()?, sha256: v.sha256.clone() }));
        let text = text.ok_or_else(|| Problems::one("", "no earlier version is available"))?;
        let current = self.current.borrow();
        let (config, _) = check(&text.text, Some(&current))?;
        let mut problems = Vec::new();
        let moved = [
            ("discovery", config.discovery != current.discovery),
            ("counter", config.counter != current.counter),
        ];
        for (key, _) in moved.into_iter().filter(|(_, moved)| *moved) {
            problems.push(Problem::new(
                key,
                "the earlier address is no longer used and may not be served any more",
            ));
        }
        let effect = |of: &Config, name: &String| {
            let at = of.options.classes.iter().position(|c| c == name)?;
            of.options.settings.classes.get(at).map(|c| c.effect)
        };
        for class in &current.options.classes {
            if effect(&config, class) != effect(&current, class) && self.driver.is_class_used(class) {
                problems.push(Problem::new(
                    format!("settings.Classes.{class}"),
                    "clients already use this class with its present effect",
                ));
            }
        }
        Problems::check(problems)?;
        Ok((text, config))
    }

    /// Has the decisions check the next configuration, then puts it in force in all parts at once. Logs and records the
    /// result. `start` is when the attempt began.
    fn apply(
        &self,
        by: Cause,
        start: Instant,
        next: Result<Option<(ConfigText, Config)>, Problems>,
    ) -> Result<(), Problems> {
        let unchanged = matches!(next, Ok(None));
        let prepared = next.and_then(|next| match next {
            None => Ok(None),
            Some((text, config)) => {
                let options =
                    self.driver.prepare(config.options.clone()).map_err(|e| Problems::one("settings", e))?;
                Ok(Some((text, config, options)))
            }
        });
        let (now, check_us) = (self.driver.now(), micros(start));
        let mut attempt =
            Attempt { at: now, by, taken: None, unchanged, errors: Vec::new(), check_us, commit_us: 0 };
        let result = match prepared {
            Ok(None) => Ok(()),
            Ok(Some((text, config, options))) => {
                let start = Instant::now();
                self.driver.commit(options, config.counter);
                self.discovery
                    .send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
                self.history.borrow_mut().put_in_force(text, now, by);
                let trial_settings = config.trial.clone().filter(|_| by == Cause::Signal);
                events::apply(config.log);
                self.fleet.send_if_modified(|settings| {
                    *settings != config.fleet
                        && std::mem::replace(settings, config.fleet.clone()) != config.fleet
                });
                let before = self.current.replace(config);
                attempt.commit_us = micros(start);
                drop(before);
                self.restart_keys
                    .replace(keys_for_restart(&self.initial_document, &self.current.borrow().document));
                attempt.taken = Some(self.version());
                self.save();
                self.start_trial(now, trial_settings);
                Ok(())
            }
            Err(problems) => {
                attempt.errors = problems.0.clone();
                Err(problems)
            }
        };
        self.log_result(&attempt, &result);
        self.last_attempt.replace(Some(attempt));
        result
    }

    fn log_result(&self, attempt: &Attempt, result: &Result<(), Problems>) {
        if let Err(problems) = result {
            warn!("configuration rejected, the present one stays in force: {problems}");
            return;
        }
        let current = self.current.borrow();
        let (number, classes) = (self.version(), current.options.classes.join(", "));
        let what = match attempt.by {
            _ if attempt.unchanged => "configuration reloaded, unchanged",
            Cause::WayBack | Cause::Trial => "configuration rolled back",
            _ => "configuration reloaded",
        };
        info!("{what}: version {number}, discovery at {}, classes {classes}", current.discovery);
    }

    /// Dry run: whether the configuration file could be put in force, and what it would change, as JSON.
    pub fn check_file(&self) -> (bool, String) {
        let checked = read(&self.path, Some(&self.current.borrow())).and_then(|(_, config, plan)| {
            self.driver.prepare(config.options).map_err(|e| Problems::one("settings", e))?;
            Ok(plan)
        });
        (checked.is_ok(), check_result_json(checked))
    }

    /// The version in force, earlier ones, the last attempt and the trial, as JSON.
    pub fn report(&self) -> String {
        let history = self.history.borrow();
        let report = Report {
            version: history.in_force(),
            before: history.earlier().collect(),
            way_back: history.rollback_target().map(|v| v.number),
            last_attempt: self.last_attempt.borrow().clone(),
            waits: self.restart_keys.borrow().clone(),
            trial: self.trial.borrow().clone(),
            state: self.saver.as_ref().map(|(folder, _)| folder.display().to_string()),
        };
        serde_json::to_string(&report).unwrap_or_default()
    }

    // ---- Trials ----

    /// Ends the present trial, if any, and starts one of the version in force if there are settings for it.
    fn start_trial(&self, now: Time, settings: Option<TrialSettings>) {
        // Answers until now belong to the period before the trial.
        self.count(now);
        let trial =
            settings.map(|settings| Trial::start(self.version(), now, settings, &self.recent.borrow()));
        if let Some(trial) = &trial {
            info!("version {} is on trial", trial.version);
        }
        self.trial.replace(trial);
    }

    /// Records and returns the answers since the last call.
    fn count(&self, now: Time) -> AnswerCounts {
        let (before, total) = (self.counted_answers.get(), self.driver.answers());
        self.counted_answers.set(total);
        let step =
            AnswerCounts { answers: total.answers - before.answers, failed: total.failed - before.failed };
        self.recent.borrow_mut().record(now, step);
        step
    }

    /// Judges the trial, and rolls the version back if it has failed.
    fn judge_trial(&self) {
        let now = self.driver.now();
        let step = self.count(now);
        let judged = self.trial.borrow_mut().as_mut().map(|trial| (trial.record(now, step), trial.clone()));
        let Some((verdict, trial)) = judged.filter(|(verdict, _)| *verdict != Verdict::Going) else { return };
        self.trial.replace(None);
        let (number, before, after) = (trial.version, trial.before, trial.after);
        if verdict == Verdict::Passed {
            info!(
                "version {number} has passed its trial: {} of {} answers failed",
                after.failed, after.answers
            );
            return;
        }
        warn!(
            "version {number} has failed its trial and is rolled back: {} of {} answers failed, {} of {} before it",
            after.failed, after.answers, before.failed, before.answers
        );
        let sha256 = self.history.borrow().in_force().sha256.clone();
        // Set even if the rollback is refused, so that the same file is not put on trial again.
        self.rolled_back_sha256.replace(Some(sha256));
        // The result is in the log and in the report.
        let _ = self.roll_back(Cause::Trial);
    }

    /// Counts answers and judges the trial, if trials are configured; to be called once a second.
    pub fn check_trials(&self) {
        if self.current.borrow().trial.is_some() || self.trial.borrow().is_some() {
            self.judge_trial();
        }
    }
}

fn micros(since: Instant) -> u64 {
    u64::try_from(since.elapsed().as_micros()).unwrap_or(u64::MAX)
}

/// Formats the answer to a dry run as JSON.
pub fn check_result_json(checked: Result<Plan, Problems>) -> String {
    let checked = match checked {
        Ok(plan) => Checked { ok: true, plan: Some(plan), errors: Vec::new() },
        Err(problems) => Checked { ok: false, plan: None, errors: problems.0 },
    };
    serde_json::to_string_pretty(&checked).unwrap_or_default()
}

/// Saves versions as the last good configuration, on a blocking thread because syncing may take long. If several are
/// waiting, only the newest is saved.
async fn save_versions(folder: PathBuf, mut versions: mpsc::UnboundedReceiver<SavedVersion>) {
    while let Some(mut newest) = versions.recv().await {
        while let Ok(newer) = versions.try_recv() {
            newest = newer;
        }
        let (version, text) = (newest.0, newest.1.to_vec());
        let at = folder.clone();
        let saved = tokio::task::spawn_blocking(move || store::save(&at, version, &text)).await;
        match saved {
            Ok(Ok(())) => info!("version {version} is saved in {}", folder.display()),
            Ok(Err(e)) => warn!("version {version} can't be saved in {}: {e}", folder.display()),
            Err(e) => warn!("version {version} is not saved: {e}"),
        }
    }
}
