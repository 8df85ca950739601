//! fleetlab: runs scenarios with real gateways, compares builds, and judges recordings again.

use clap::{Args, Parser, Subcommand};
use fleetlab::{
    baseline::{self, POLICIES},
    experiment::{Difference, FIGURES, parse_value, set_key},
    judge::{Verdict, judge},
    record::Recording,
    report::{Baseline, Report},
    scenario::{Invalid, Scenario, shipped},
    tier::{
        fleet::{TierError, TierSpec},
        page,
        run::TierRun,
    },
    world::{Play, Progress, WorldError},
};
use indicatif::{ProgressBar, ProgressStyle};
use std::{
    fmt,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};
use tokio::sync::watch;
use toml::Table;

/// Runs a fleet of real gateways under faults, and checks the recorded events against the rules.
///
/// The last line of the output is PASS, or FAIL or VOID with the reason. Exit status: 0 passed, 1 failed, 2 usage error,
/// 3 void: the lab itself was delayed, so the run is inconclusive.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario, given by its name or its file.
    Run {
        scenario: String,
        /// Seed of the run; the default is the scenario's first seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Folder to which the report and the recording are written.
        #[arg(long)]
        report: Option<PathBuf>,
        #[command(flatten)]
        options: ScenarioOptions,
        /// Path of the gateway executable.
        #[arg(long, default_value = "target/release/opalrun-gateway")]
        build: PathBuf,
    },
    /// Runs two builds alternately on the same seeds; shows paired differences with their 95% confidence intervals.
    Compare {
        scenario: String,
        /// Path of a gateway executable; given exactly twice.
        #[arg(long, required = true, num_args = 1)]
        build: Vec<PathBuf>,
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        #[command(flatten)]
        options: ScenarioOptions,
    },
    /// Runs a scenario with several values of one key, such as load.use.
    Sweep {
        scenario: String,
        #[arg(long)]
        key: String,
        #[arg(long, value_delimiter = ',', required = true)]
        values: Vec<String>,
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        #[command(flatten)]
        options: ScenarioOptions,
        #[arg(long, default_value = "target/release/opalrun-gateway")]
        build: PathBuf,
    },
    /// Checks a scenario without running it; prints every error with its key.
    Check { scenario: String },
    /// Lists the scenarios that are built into the lab.
    List,
    /// Judges the recording in a report's folder again.
    Replay { folder: PathBuf },
    /// Runs the whole serving tier for a short time under load and faults; by default the owner of the configuration and a
    /// gatekeeper are killed, among other faults.
    Tier {
        /// Path of the executable of all roles.
        #[arg(long, default_value = "target/tier/opalrun")]
        build: PathBuf,
        /// Seconds during which new agent programs are started.
        #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(5..=600))]
        length_s: u64,
        /// Number of machines that serve client traffic.
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(2..=30))]
        edges: u64,
        /// Seed of random faults in place of the default ones; may be repeated, for one run per seed.
        #[arg(long = "seed")]
        seeds: Vec<u64>,
        /// Folder to which the report is written.
        #[arg(long)]
        report: Option<PathBuf>,
    },
}

#[derive(Args)]
struct ScenarioOptions {
    /// Factor for the number of gateways and workers, and thereby for the load.
    #[arg(long, default_value_t = 1.0, value_parser = scale)]
    scale: f64,
    /// Sets a key of the scenario, as KEY=VALUE; may be repeated.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    sets: Vec<String>,
}

/// The scale is not a number in the permitted range.
#[derive(Debug, thiserror::Error)]
#[error("must be a number from 0.05 to 50")]
struct ScaleError;

fn scale(text: &str) -> Result<f64, ScaleError> {
    let scale = text.parse().ok().filter(|scale: &f64| (0.05..=50.0).contains(scale));
    scale.ok_or(ScaleError)
}

/// Why a command could not be executed.
enum LabError {
    Usage(String),
    World(WorldError),
    Tier(TierError),
    Report(std::io::Error),
}

impl fmt::Display for LabError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(why) => f.write_str(why),
            Self::World(e) => e.fmt(f),
            Self::Tier(e) => e.fmt(f),
            Self::Report(e) => write!(f, "can't write the report: {e}"),
        }
    }
}

impl From<Invalid> for LabError {
    fn from(e: Invalid) -> Self {
        Self::Usage(e.to_string())
    }
}

impl ScenarioOptions {
    fn scenario(&self, name: &str, overrides: &[(&str, &str)]) -> Result<Scenario, LabError> {
        let mut table: Table = Scenario::load(name)?;
        let sets = self.sets.iter().map(|s| {
            s.split_once('=').ok_or_else(|| LabError::Usage(format!("{s:?} is not of the form KEY=VALUE")))
        });
        let sets = sets.collect::<Result<Vec<_>, _>>()?;
        for (key, text) in sets.iter().chain(overrides) {
            set_key(&mut table, key, parse_value(text))
                .map_err(|error| LabError::Usage(error.to_string()))?;
        }
        Ok(Scenario::from_table(table)?.scaled(self.scale))
    }
}

/// Runtime for runs, and a flag that is set by SIGINT or SIGTERM.
struct Lab {
    runtime: tokio::runtime::Runtime,
    stop: watch::Receiver<bool>,
}

impl Lab {
    fn new() -> Result<Self, LabError> {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
        let runtime = runtime.map_err(|e| LabError::World(e.into()))?;
        let (stop_sender, stop) = watch::channel(false);
        runtime.spawn(async move {
            let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).ok();
            let terminated = async {
                match &mut term {
                    Some(term) => drop(term.recv().await),
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                () = terminated => {}
            }
            stop_sender.send_replace(true);
            // Keeps the sender alive until all receivers are dropped, so that later ones also see the flag.
            stop_sender.closed().await;
        });
        Ok(Self { runtime, stop })
    }

    fn run_scenario(&self, scenario: &Scenario, seed: u64, build: &Path) -> Result<Recording, LabError> {
        let program = canonical_path(build)?;
        let (progress_sender, mut progress) = watch::channel(Progress::default());
        let style = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} s")
            .unwrap_or(ProgressStyle::default_bar());
        let bar = ProgressBar::new(scenario.length_s as u64).with_style(style);
        bar.set_message(format!("{} seed {seed}", scenario.name));
        let shown = bar.clone();
        self.runtime.spawn(async move {
            while progress.changed().await.is_ok() {
                shown.set_position(progress.borrow().at_s as u64);
            }
        });
        let play = Play { scenario: scenario.clone(), seed, program, root: std::env::temp_dir() };
        let recording = self.runtime.block_on(play.run(progress_sender, self.stop.clone()));
        bar.finish_and_clear();
        recording.map_err(LabError::World)
    }
}

fn report(recording: &Recording) -> Report {
    let Recording { header, .. } = recording;
    let baselines = POLICIES.iter().map(|(policy, name)| {
        Baseline::of(name, &judge(&baseline::play(header.scenario.clone(), header.seed, *policy)))
    });
    Report::new(recording, judge(recording), baselines.collect())
}

fn status(verdict: &Verdict) -> ExitCode {
    match verdict {
        v if v.void.is_some() => ExitCode::from(3),
        v if v.passed() => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

/// Prints a run's report and writes it to the folder if there is one. Returns the exit status.
fn conclude(recording: &Recording, folder: Option<&Path>) -> Result<ExitCode, LabError> {
    let report = report(recording);
    print!("{}", report.table());
    if let Some(folder) = folder {
        let page = report.write(folder, &recording.header.scenario.world.zones).map_err(LabError::Report)?;
        recording.save(&folder.join("recording.jsonl")).map_err(LabError::Report)?;
        println!("{:<28}{}", "report", page.display());
    }
    println!("{}", report.verdict.line());
    Ok(status(&report.verdict))
}

/// Runs the whole tier once and prints the summary. Returns whether the run passed.
fn run_tier_once(tier_run: &TierRun, folder: Option<&Path>) -> Result<bool, LabError> {
    let Lab { runtime, mut stop } = Lab::new()?;
    let summary = runtime.block_on(async {
        tokio::select! {
            summary = tier_run.run() => summary.map_err(LabError::Tier),
            _ = stop.changed() => Err(LabError::Usage("stopped".to_owned())),
        }
    })?;
    print!("{summary}");
    if let Some(folder) = folder {
        let page = page::write(&summary, folder).map_err(LabError::Report)?;
        println!("{:<28}{}", "report", page.display());
    }
    let seed = tier_run.seed.map(|seed| format!("seed {seed}: ")).unwrap_or_default();
    println!("{seed}{}", summary.line());
    Ok(summary.passed())
}

/// Runs the whole tier once for each seed, or once with the standard faults if there is none.
fn run_tier(tier_run: &TierRun, seeds: &[u64], folder: Option<&Path>) -> Result<ExitCode, LabError> {
    let seeds: Vec<Option<u64>> =
        if seeds.is_empty() { vec![None] } else { seeds.iter().copied().map(Some).collect() };
    let mut passed = true;
    for seed in seeds {
        passed &= run_tier_once(&TierRun { seed, ..tier_run.clone() }, folder)?;
    }
    Ok(if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a scenario once for a comparison and prints the main metrics.
fn run_for_comparison(
    lab: &Lab,
    name: &str,
    scenario: &Scenario,
    seed: u64,
    build: &Path,
) -> Result<Verdict, LabError> {
    let verdict = judge(&lab.run_scenario(scenario, seed, build)?);
    let metrics: Vec<String> = FIGURES.iter().map(|(name, f)| format!("{name} {:.3}", f(&verdict))).collect();
    println!("{name}, seed {seed}: {}; {}", metrics.join(", "), verdict.line());
    Ok(verdict)
}

/// Prints the worst of several verdicts and returns its exit status.
fn worst(verdicts: &[Verdict]) -> ExitCode {
    if let Some(failed) = verdicts.iter().find(|v| v.void.is_none() && !v.passed()) {
        println!("{}", failed.line());
        return ExitCode::FAILURE;
    }
    if let Some(void) = verdicts.iter().find(|v| v.void.is_some()) {
        println!("{}", void.line());
        ExitCode::from(3)
    } else {
        println!("PASS");
        ExitCode::SUCCESS
    }
}

/// Executes a command and returns the exit status.
fn execute(command: Command) -> Result<ExitCode, LabError> {
    match command {
        Command::Run { scenario, seed, report, options, build } => {
            let scenario = options.scenario(&scenario, &[])?;
            let seed = seed.unwrap_or(scenario.seeds[0]);
            let recording = Lab::new()?.run_scenario(&scenario, seed, &build)?;
            conclude(&recording, report.as_deref())
        }
        Command::Compare { scenario, build, seeds, options } => {
            let [a, b] = &build[..] else {
                return Err(LabError::Usage("--build must be given exactly twice".to_owned()));
            };
            compare(&options.scenario(&scenario, &[])?, a, b, seeds)
        }
        Command::Sweep { scenario, key, values, seeds, options, build } => {
            // All scenarios are checked before the first run.
            let scenarios = values.iter().map(|v| options.scenario(&scenario, &[(&key, v)]));
            let scenarios = scenarios.collect::<Result<Vec<_>, _>>()?;
            sweep(&key, values.iter().zip(&scenarios), &seeds, &build)
        }
        Command::Check { scenario } => check(&scenario),
        Command::List => {
            list();
            Ok(ExitCode::SUCCESS)
        }
        Command::Tier { build, length_s, edges, seeds, report } => {
            let program = canonical_path(&build)?;
            let spec = TierSpec { edges: edges as usize, ..TierSpec::default() };
            let tier_run = TierRun { program, length: Duration::from_secs(length_s), tier: spec, seed: None };
            run_tier(&tier_run, &seeds, report.as_deref())
        }
        Command::Replay { folder } => {
            let path = folder.join("recording.jsonl");
            let recording =
                Recording::load(&path).map_err(|e| LabError::Usage(format!("{}: {e}", path.display())))?;
            conclude(&recording, None)
        }
    }
}

fn canonical_path(path: &Path) -> Result<PathBuf, LabError> {
    path.canonicalize().map_err(|e| LabError::Usage(format!("{}: {e}", path.display())))
}

/// Verdicts of two builds on one seed.
struct Pair {
    a: Verdict,
    b: Verdict,
}

impl Pair {
    /// Whether neither run was void.
    fn is_conclusive(&self) -> bool {
        self.a.void.is_none() && self.b.void.is_none()
    }
}

/// Runs two builds alternately on the same seeds and prints the differences.
fn compare(scenario: &Scenario, a: &Path, b: &Path, seeds: Vec<u64>) -> Result<ExitCode, LabError> {
    let seeds = if seeds.is_empty() { scenario.seeds.clone() } else { seeds };
    let lab = Lab::new()?;
    let mut pairs = Vec::new();
    for (number, seed) in seeds.iter().enumerate() {
        // The first run has the cooler machine, so the builds take turns in being first.
        pairs.push(if number % 2 == 0 {
            let a = run_for_comparison(&lab, "A", scenario, *seed, a)?;
            Pair { a, b: run_for_comparison(&lab, "B", scenario, *seed, b)? }
        } else {
            let b = run_for_comparison(&lab, "B", scenario, *seed, b)?;
            Pair { a: run_for_comparison(&lab, "A", scenario, *seed, a)?, b }
        });
    }
    show_differences(&pairs);
    let verdicts: Vec<Verdict> = pairs.into_iter().flat_map(|pair| [pair.a, pair.b]).collect();
    Ok(worst(&verdicts))
}

/// Prints the mean difference of each metric with its 95% confidence interval.
fn show_differences(pairs: &[Pair]) {
    let counted: Vec<&Pair> = pairs.iter().filter(|pair| pair.is_conclusive()).collect();
    println!("B minus A over {} pairs:", counted.len());
    for (name, metric) in FIGURES {
        let values: Vec<(f64, f64)> = counted.iter().map(|pair| (metric(&pair.a), metric(&pair.b))).collect();
        match Difference::of(&values) {
            Some(difference) => println!(
                "{name:<24}{:+.4} ± {:.4}{}",
                difference.mean,
                difference.half,
                if difference.clear() { "  significant" } else { "" }
            ),
            None => println!("{name:<24}no data"),
        }
    }
}

/// Runs the scenario of each value of a key on all seeds.
fn sweep<'a>(
    key: &str,
    scenarios: impl Iterator<Item = (&'a String, &'a Scenario)>,
    seeds: &[u64],
    build: &Path,
) -> Result<ExitCode, LabError> {
    let lab = Lab::new()?;
    let mut verdicts = Vec::new();
    for (value, scenario) in scenarios {
        let seeds = if seeds.is_empty() { &scenario.seeds } else { seeds };
        for seed in seeds {
            verdicts.push(run_for_comparison(&lab, &format!("{key} = {value}"), scenario, *seed, build)?);
        }
    }
    Ok(worst(&verdicts))
}

fn check(scenario: &str) -> Result<ExitCode, LabError> {
    match Scenario::from_table(Scenario::load(scenario)?) {
        Ok(scenario) => {
            println!("ok: {}: {}", scenario.name, scenario.about);
            Ok(ExitCode::SUCCESS)
        }
        Err(invalid) => {
            println!("{invalid}");
            Ok(ExitCode::FAILURE)
        }
    }
}

fn list() {
    for (name, text) in shipped() {
        let about = Scenario::parse(text).map(|scenario| scenario.about).unwrap_or_default();
        println!("{name:<20}{about}");
    }
}

fn main() -> ExitCode {
    // clap exits with status 2 on usage errors itself.
    match execute(Cli::parse().command) {
        Ok(status) => status,
        Err(LabError::Usage(why)) => {
            eprintln!("fleetlab: {why}");
            ExitCode::from(2)
        }
        Err(error) => {
            eprintln!("fleetlab: {error}");
            println!("FAIL: {}", error.to_string().lines().next().unwrap_or_default());
            ExitCode::FAILURE
        }
    }
}
