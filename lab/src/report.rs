//! A play's report: JSON for programs, and one page of HTML with plots over time for people.

use crate::{
    judge::{Causes, Second, Verdict},
    record::{Event, Header, Recording},
};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::{
    fmt::Write as _,
    fs, io,
    path::{Path, PathBuf},
};

/// How a policy of the lab's own model fared on the same load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Baseline {
    pub name: String,
    pub goodput: f64,
    pub score: f64,
    pub beyond_share: f64,
    pub refused_with_room_share: f64,
}

impl Baseline {
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

/// All of a play's report.
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
    /// Faults as bands: from, to and what, by what really happened.
    pub bands: Vec<(f64, f64, String)>,
}

/// When each fault began and ended.
fn bands(recording: &Recording) -> Vec<(f64, f64, String)> {
    let (faults, end) = (&recording.header.scenario.faults, recording.header.scenario.length_s);
    let mut bands: Vec<(f64, f64, String)> = Vec::new();
    let mut open: Vec<(usize, usize)> = Vec::new();
    for seen in &recording.seen {
        let at = seen.at as f64 / 1e6;
        match &seen.event {
            Event::Fault { index, on: true, .. } => {
                let what = faults.get(*index).and_then(|f| serde_json::to_value(f.what).ok());
                let what = what.and_then(|w| w.as_str().map(str::to_owned)).unwrap_or_default();
                open.push((*index, bands.len()));
                bands.push((at, end, what));
            }
            Event::Fault { index, on: false, .. } => {
                if let Some(i) = open.iter().position(|(o, _)| o == index) {
                    let (_, band) = open.remove(i);
                    bands[band].1 = at.min(end);
                }
            }
            _ => {}
        }
    }
    bands
}

impl Report {
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

    /// Writes `report.json` and `report.html` into a folder, which is made where it is missing.
    ///
    /// # Errors
    /// Those of the file system, and of drawing.
    pub fn write(&self, folder: &Path, zones: &[String]) -> io::Result<PathBuf> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("report.json"), serde_json::to_string_pretty(self)?)?;
        let page = folder.join("report.html");
        fs::write(&page, self.page(zones)?)?;
        Ok(page)
    }

    /// The figures, a line each, for a terminal.
    pub fn table(&self) -> String {
        let v = &self.verdict;
        let mut text = String::new();
        let mut line = |name: &str, value: String| {
            let _ = writeln!(text, "{name:<28}{value}");
        };
        line(
            "scenario",
            format!(
                "{}, seed {}, {} gateways, {} workers, {:.0} requests a second",
                self.scenario, self.seed, self.gatekeepers, self.workers, self.rate
            ),
        );
        line("score, goodput", format!("{:.3}, {:.3}", v.score, v.goodput));
        for b in &self.baselines {
            let ratio = if b.score.abs() > 1e-9 { v.score / b.score } else { 0.0 };
            line(&format!("  against {}", b.name), format!("{ratio:.3} of {:.3}", b.score));
        }
        line(
            "units beyond quotas",
            format!("{} ({:.1}%), most of one customer {}", v.beyond, 100.0 * v.beyond_share, v.worst_beyond),
        );
        line(
            "refused with room",
            format!(
                "{} ({:.1}% of tries; with half a quota {:.1}%)",
                v.refused_with_room,
                100.0 * v.refused_with_room_share,
                100.0 * v.refused_half_share
            ),
        );
        line("attempts a try", format!("{:.3}, worst second {:.2}", v.amplification, v.worst_amplification));
        line("work for nobody", format!("{:.1}%", 100.0 * v.wasted));
        line(
            "latency ms (50, 95, 99%)",
            format!("{:.0}, {:.0}, {:.0}", v.latency_ms[0], v.latency_ms[1], v.latency_ms[2]),
        );
        line("sent on for who had left", format!("{} of {} that waited", v.gone[1], v.gone[0]));
        line("calls a try, probes", format!("{:.3}, {:.4}", v.calls_a_try, v.probes_a_request));
        line("gateways' CPU, memory", format!("{:.0} us a try, {:.1} MB", v.cpu_us, v.rss_mb));
        if let Some(r) = &v.recovery {
            let after = r.after_s.map_or("not within the play".to_owned(), |s| format!("{s:.1} s"));
            line(
                "recovery",
                format!(
                    "{after} after the fault's end at {:.1} s (goodput before: {:.3})",
                    r.fault_to_s, r.before
                ),
            );
        }
        line(
            "lab late ms (50, 99%, most)",
            format!("{:.2}, {:.2}, {:.1}", v.late_ms[0], v.late_ms[1], v.late_ms[2]),
        );
        for (name, causes) in
            [("beyond by cause", &v.beyond_causes), ("refused with room by cause", &v.refused_causes)]
        {
            if !causes.is_empty() {
                line(name, told(causes));
            }
        }
        text
    }

    fn page(&self, zones: &[String]) -> io::Result<String> {
        let v = &self.verdict;
        let series = |name: &'static str, colour: RGBColor, f: &dyn Fn(&Second) -> f64| Series {
            name: name.to_owned(),
            colour,
            points: v.seconds.iter().enumerate().map(|(i, s)| (i as f64 + 0.5, f(s))).collect(),
        };
        let zone_colours = [BLUE, RED, GREEN, MAGENTA, CYAN];
        let by_zone = |(i, zone): (usize, &String)| Series {
            name: format!("attempts in {zone}"),
            colour: zone_colours[i % zone_colours.len()],
            points: v
                .seconds
                .iter()
                .enumerate()
                .map(|(t, s)| (t as f64 + 0.5, s.attempts.get(i).copied().unwrap_or(0) as f64))
                .collect(),
        };
        let share = |s: &Second| if s.asked > 0.0 { s.earned / s.asked } else { 0.0 };
        let plots = [
            ("Goodput: worth earned over worth asked for", vec![series("goodput", BLUE, &share)]),
            (
                "Clients, a second",
                vec![
                    series("first tries", BLUE, &|s| s.tries as f64),
                    series("further tries", MAGENTA, &|s| s.retries as f64),
                    series("refused", RED, &|s| s.refused as f64),
                    series("failed or without answer", BLACK, &|s| s.failed as f64),
                ],
            ),
            (
                "Attempts at the workers, a second",
                zones
                    .iter()
                    .enumerate()
                    .map(by_zone)
                    .chain([
                        series("tries sent on", BLACK, &|s| s.sent as f64),
                        series("at the worker with most", CYAN, &|s| s.worst_worker as f64),
                    ])
                    .collect(),
            ),
            (
                "What it costs, a second",
                vec![
                    series("calls of the counter", BLUE, &|s| s.calls as f64),
                    series("turned away there", RED, &|s| s.busy_calls as f64),
                    series("connections opened", GREEN, &|s| s.handshakes as f64),
                    series("probes", BLACK, &|s| s.probes as f64),
                ],
            ),
            ("Core seconds of work for nobody, a second", vec![series("wasted", RED, &|s| s.wasted_s)]),
        ];
        let mut page = String::from(
            "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>fleetlab</title>\
             <style>body{font:15px sans-serif;max-width:1000px;margin:2em auto}pre{background:#f4f4f4;padding:1em;white-space:pre-wrap}\
             table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}\
             td:first-child,th:first-child{text-align:left}.PASS{color:#060}.FAIL,.VOID{color:#a00}svg{max-width:100%}</style>",
        );
        let line = v.line();
        let kind = line.split(':').next().unwrap_or_default().to_owned();
        let _ = write!(
            page,
            "<h1>{}, seed {}</h1><p class=\"{kind}\"><b>{}</b></p>",
            escape(&self.scenario),
            self.seed,
            escape(&line)
        );
        let _ = write!(page, "<pre>{}</pre>", escape(&self.table()));
        for broken in &v.broken {
            let _ = write!(
                page,
                "<p class=\"FAIL\">{:?} at {:.3} s: {}</p>",
                broken.rule,
                broken.at_s,
                escape(&broken.what)
            );
        }
        for (title, series) in &plots {
            let _ = write!(page, "<h2>{title}</h2>{}", self.plot(series)?);
        }
        page += "<h2>Who was served</h2>";
        for (name, fares) in [("plan", &v.by_plan), ("class", &v.by_class)] {
            let _ = write!(
                page,
                "<table><tr><th>{name}</th><th>tries</th><th>served</th><th>refused</th><th>failed</th><th>worth earned</th></tr>"
            );
            for (name, f) in fares {
                let _ = write!(
                    page,
                    "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.3}</td></tr>",
                    escape(name),
                    f.tries,
                    f.served,
                    f.refused,
                    f.failed,
                    f.earned / f.asked.max(1e-9)
                );
            }
            page += "</table><br>";
        }
        page += "</html>\n";
        Ok(page)
    }

    fn plot(&self, series: &[Series]) -> io::Result<String> {
        let mut svg = String::new();
        let end = self.verdict.seconds.len().max(1) as f64;
        let most = series.iter().flat_map(|s| &s.points).map(|p| p.1).fold(1e-9, f64::max) * 1.08;
        let failed = |e: &dyn std::fmt::Display| io::Error::other(format!("a plot can't be drawn: {e}"));
        {
            let root = SVGBackend::with_string(&mut svg, (960, 260)).into_drawing_area();
            let mut chart = ChartBuilder::on(&root)
                .margin(8)
                .x_label_area_size(28)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..end, 0.0..most)
                .map_err(|e| failed(&e))?;
            let bands = self.bands.iter().map(|(from, to, _)| {
                Rectangle::new([(*from, 0.0), (to.max(from + 0.15), most)], RED.mix(0.10).filled())
            });
            chart.draw_series(bands).map_err(|e| failed(&e))?;
            chart
                .configure_mesh()
                .light_line_style(WHITE)
                .x_desc("seconds")
                .draw()
                .map_err(|e| failed(&e))?;
            for (i, (from, _, what)) in self.bands.iter().enumerate() {
                let at = (*from, most * (0.97 - 0.08 * (i % 4) as f64));
                let text = Text::new(what.clone(), at, ("sans-serif", 11).into_font());
                chart.draw_series([text]).map_err(|e| failed(&e))?;
            }
            for s in series {
                let (points, colour) = (s.points.iter().copied(), s.colour);
                chart
                    .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                    .map_err(|e| failed(&e))?
                    .label(s.name.clone())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            }
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.7))
                .position(SeriesLabelPosition::UpperRight)
                .draw()
                .map_err(|e| failed(&e))?;
            root.present().map_err(|e| failed(&e))?;
        }
        Ok(svg)
    }
}

struct Series {
    name: String,
    colour: RGBColor,
    points: Vec<(f64, f64)>,
}

fn told(causes: &Causes) -> String {
    let mut causes: Vec<(&String, &u64)> = causes.iter().collect();
    causes.sort_by_key(|(_, n)| std::cmp::Reverse(**n));
    causes.iter().map(|(why, n)| format!("{why} {n}")).collect::<Vec<_>>().join(", ")
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
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
    fn a_report_is_one_page_that_needs_nothing_else_and_reads_back() {
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
        assert_eq!(report.bands, [(3.0, 4.0, String::new())]);
        let folder = tempfile::tempdir().expect("a folder");
        let page = report.write(&folder.path().join("r"), &zones).expect("written");
        let text = std::fs::read_to_string(page).expect("a page");
        assert!(text.contains("<svg") && text.contains("a&lt;b"), "plots, and names as they are");
        let refers = text.replace("xmlns=\"http://www.w3.org/2000/svg\"", "");
        assert!(!refers.contains("http") && !refers.contains("src="), "nothing from elsewhere");
        let json = std::fs::read_to_string(folder.path().join("r/report.json")).expect("a file");
        let back: Report = serde_json::from_str(&json).expect("JSON");
        assert_eq!(back.verdict.requests, verdict.requests);
        let path = folder.path().join("seen.jsonl");
        recording.save(&path).expect("saved");
        let again = Recording::load(&path).expect("read");
        assert_eq!(judge(&again), verdict, "a recording judged again gives the same");
        std::fs::write(&path, "{\"form\": 99}").expect("written");
        assert!(Recording::load(&path).is_err());
    }
}
