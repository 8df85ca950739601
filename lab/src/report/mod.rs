//! The report of a run: JSON for programs, and one HTML page with plots over time for people.

mod page;
mod plot;

use crate::{
    judge::{Causes, Verdict},
    record::{Event, Header, Recording},
};
use serde::{Deserialize, Serialize};
use std::{
    fmt::{Display, Write as _},
    fs, io,
    path::{Path, PathBuf},
};

/// Result of a policy of the lab's own model for the same load, for comparison.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Baseline {
    pub name: String,
    pub goodput: f64,
    pub score: f64,
    pub beyond_share: f64,
    pub refused_with_room_share: f64,
}

impl Baseline {
    #[must_use]
    pub fn of(name: &str, verdict: &Verdict) -> Self {
        Self {
            name: name.to_owned(),
            goodput: verdict.goodput,
            score: verdict.score,
            beyond_share: verdict.beyond_share,
            refused_with_room_share: verdict.refused_with_room_share,
        }
    }
}

/// The report of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    pub scenario: String,
    pub seed: u64,
    pub build: String,
    pub gatekeepers: usize,
    pub workers: usize,
    pub rate: f64,
    pub verdict: Verdict,
    pub baselines: Vec<Baseline>,
    /// Faults with the times at which they really began and ended.
    pub bands: Vec<Band>,
}

/// A fault as a band behind the plots.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, String)", into = "(f64, f64, String)")]
pub struct Band {
    /// Time at which it began, in seconds since the start of the run.
    pub from_s: f64,
    /// Time at which it ended, in seconds since the start of the run.
    pub to_s: f64,
    /// Kind of the fault, as in the scenario.
    pub kind: String,
}

impl From<(f64, f64, String)> for Band {
    fn from((from_s, to_s, kind): (f64, f64, String)) -> Self {
        Self { from_s, to_s, kind }
    }
}

impl From<Band> for (f64, f64, String) {
    fn from(band: Band) -> Self {
        (band.from_s, band.to_s, band.kind)
    }
}

/// Returns the faults of a recording; one that did not end lasts until the end of the run.
fn bands(recording: &Recording) -> Vec<Band> {
    let (faults, end) = (&recording.header.scenario.faults, recording.header.scenario.length_s);
    let mut bands: Vec<Band> = Vec::new();
    let mut open: Vec<(usize, usize)> = Vec::new();
    for seen in &recording.seen {
        let at = seen.at as f64 / 1e6;
        match &seen.event {
            Event::Fault { index, on: true, .. } => {
                let what = faults.get(*index).and_then(|f| serde_json::to_value(f.what).ok());
                let what = what.and_then(|w| w.as_str().map(str::to_owned)).unwrap_or_default();
                open.push((*index, bands.len()));
                bands.push(Band { from_s: at, to_s: end, kind: what });
            }
            Event::Fault { index, on: false, .. } => {
                if let Some(i) = open.iter().position(|(o, _)| o == index) {
                    let (_, band) = open.remove(i);
                    bands[band].to_s = at.min(end);
                }
            }
            _ => {}
        }
    }
    bands
}

impl Report {
    #[must_use]
    pub fn new(recording: &Recording, verdict: Verdict, baselines: Vec<Baseline>) -> Self {
        let Header { scenario, seed, build, rate, .. } = &recording.header;
        Self {
            scenario: scenario.name.clone(),
            seed: *seed,
            build: build.clone(),
            gatekeepers: scenario.world.gatekeepers,
            workers: scenario.world.workers,
            rate: *rate,
            verdict,
            baselines,
            bands: bands(recording),
        }
    }

    /// Writes `report.json` and `report.html` into a folder, which is created if it does not exist. Returns the path of the
    /// HTML page.
    ///
    /// # Errors
    /// A file or folder can't be written, or a plot can't be drawn.
    pub fn write(&self, folder: &Path, zones: &[String]) -> io::Result<PathBuf> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("report.json"), serde_json::to_string_pretty(self)?)?;
        let page = folder.join("report.html");
        fs::write(&page, page::html(self, zones)?)?;
        Ok(page)
    }

    /// Returns the metrics as text for a terminal, one per line.
    #[must_use]
    pub fn table(&self) -> String {
        let mut table = Table::default();
        self.add_score(&mut table);
        self.add_quotas(&mut table);
        self.add_costs(&mut table);
        self.add_recovery(&mut table);
        let [median, high, max] = self.verdict.late_ms;
        table.row("lab lateness ms (50%, 99%, max)", format!("{median:.2}, {high:.2}, {max:.1}"));
        for (name, causes) in [
            ("beyond quota by cause", &self.verdict.beyond_causes),
            ("refused within quota by cause", &self.verdict.refused_causes),
        ] {
            if !causes.is_empty() {
                table.row(name, list_causes(causes));
            }
        }
        table.text
    }

    fn add_score(&self, table: &mut Table) {
        let verdict = &self.verdict;
        table.row(
            "scenario",
            format!(
                "{}, seed {}, {} gateways, {} workers, {:.0} requests/s",
                self.scenario, self.seed, self.gatekeepers, self.workers, self.rate
            ),
        );
        table.row("score, goodput", format!("{:.3}, {:.3}", verdict.score, verdict.goodput));
        for baseline in &self.baselines {
            let ratio = if baseline.score.abs() > 1e-9 { verdict.score / baseline.score } else { 0.0 };
            table.row(
                &format!("  relative to {}", baseline.name),
                format!("{ratio:.3} of {:.3}", baseline.score),
            );
        }
    }

    fn add_quotas(&self, table: &mut Table) {
        let verdict = &self.verdict;
        table.row(
            "units beyond quota",
            format!(
                "{} ({:.1}%), maximum of one customer {}",
                verdict.beyond,
                100.0 * verdict.beyond_share,
                verdict.worst_beyond
            ),
        );
        table.row(
            "refused within quota",
            format!(
                "{} ({:.1}% of requests; with at least half of the quota left {:.1}%)",
                verdict.refused_with_room,
                100.0 * verdict.refused_with_room_share,
                100.0 * verdict.refused_half_share
            ),
        );
    }

    fn add_costs(&self, table: &mut Table) {
        let verdict = &self.verdict;
        table.row(
            "attempts per request",
            format!("{:.3}, in the worst second {:.2}", verdict.amplification, verdict.worst_amplification),
        );
        table.row("wasted work", format!("{:.1}%", 100.0 * verdict.wasted));
        let [median, high, higher] = verdict.latency_ms;
        table.row("latency ms (50, 95, 99%)", format!("{median:.0}, {high:.0}, {higher:.0}"));
        let [waited, sent_on] = verdict.gone;
        table.row("sent after cancellation", format!("{sent_on} of {waited} requests that waited"));
        table.row(
            "calls per request, probes",
            format!("{:.3}, {:.4}", verdict.calls_a_try, verdict.probes_a_request),
        );
        table.row(
            "gateways' CPU, memory",
            format!("{:.0} us per request, {:.1} MB", verdict.cpu_us, verdict.rss_mb),
        );
    }

    fn add_recovery(&self, table: &mut Table) {
        let Some(recovery) = &self.verdict.recovery else { return };
        let after = recovery.after_s.map_or("not within the run".to_owned(), |s| format!("{s:.1} s"));
        table.row(
            "recovery",
            format!(
                "{after} after the end of the fault at {:.1} s (goodput before: {:.3})",
                recovery.fault_to_s, recovery.before
            ),
        );
    }
}

/// A text of lines with a name and a value.
#[derive(Default)]
struct Table {
    text: String,
}

impl Table {
    fn row(&mut self, name: &str, value: impl Display) {
        let _ = writeln!(self.text, "{name:<28}{value}");
    }
}

fn list_causes(causes: &Causes) -> String {
    let mut causes: Vec<(&String, &u64)> = causes.iter().collect();
    causes.sort_by_key(|(_, n)| std::cmp::Reverse(**n));
    causes.iter().map(|(why, n)| format!("{why} {n}")).collect::<Vec<_>>().join(", ")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        baseline::{Policy, play},
        judge::judge,
        scenario::Scenario,
    };

    #[test]
    fn a_report_is_a_self_contained_page_and_a_recording_can_be_judged_again() {
        let scenario = Scenario::parse("name = \"a<b\"\nlength_s = 10").expect("a scenario");
        let zones = scenario.world.zones.clone();
        let mut recording = play(scenario, 1, Policy::Exact);
        let fault = |at, on| crate::record::Seen {
            at,
            event: Event::Fault { index: 0, on, gates: Vec::new(), workers: Vec::new() },
        };
        recording.seen.extend([fault(3_000_000, true), fault(4_000_000, false)]);
        let verdict = judge(&recording);
        let report = Report::new(&recording, verdict.clone(), vec![Baseline::of("exact", &verdict)]);
        assert_eq!(report.bands, [Band { from_s: 3.0, to_s: 4.0, kind: String::new() }]);
        let folder = tempfile::tempdir().expect("a folder");
        let page = report.write(&folder.path().join("r"), &zones).expect("written");
        let text = std::fs::read_to_string(page).expect("a page");
        assert!(text.contains("<svg") && text.contains("a&lt;b"), "it contains plots and escaped names");
        let without_namespace = text.replace("xmlns=\"http://www.w3.org/2000/svg\"", "");
        assert!(
            !without_namespace.contains("http") && !without_namespace.contains("src="),
            "it refers to no other resource"
        );
        let json = std::fs::read_to_string(folder.path().join("r/report.json")).expect("a file");
        let back: Report = serde_json::from_str(&json).expect("JSON");
        assert_eq!(back.verdict.requests, verdict.requests);
        let path = folder.path().join("seen.jsonl");
        recording.save(&path).expect("saved");
        let again = Recording::load(&path).expect("read");
        assert_eq!(judge(&again), verdict, "judging the loaded recording gives the same verdict");
        std::fs::write(&path, "{\"form\": 99}").expect("written");
        assert!(Recording::load(&path).is_err());
    }
}
