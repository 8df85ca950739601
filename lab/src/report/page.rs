//! The self-contained HTML page of a report.

use super::{
    Report,
    plot::{self, Series},
};
use crate::judge::{Second, Totals};
use plotters::prelude::{BLACK, BLUE, CYAN, GREEN, MAGENTA, RED, RGBColor};
use std::{fmt::Write as _, io};

/// Start of the page: head and style sheet.
const HEAD: &str = "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>fleetlab</title>\
     <style>body{font:15px sans-serif;max-width:1000px;margin:2em auto}pre{background:#f4f4f4;padding:1em;white-space:pre-wrap}\
     table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}\
     td:first-child,th:first-child{text-align:left}.PASS{color:#060}.FAIL,.VOID{color:#a00}svg{max-width:100%}</style>";

const ZONE_COLOURS: [RGBColor; 5] = [BLUE, RED, GREEN, MAGENTA, CYAN];

/// A plot with its heading.
struct Section {
    title: &'static str,
    series: Vec<Series>,
}

/// Returns the page.
///
/// # Errors
/// A plot can't be drawn.
pub(super) fn html(report: &Report, zones: &[String]) -> io::Result<String> {
    let mut page = String::from(HEAD);
    add_verdict(&mut page, report);
    for Section { title, series } in sections(&report.verdict.seconds, zones) {
        let _ = write!(page, "<h2>{title}</h2>{}", plot::svg(report, &series)?);
    }
    page += "<h2>Served requests</h2>";
    add_totals(&mut page, "plan", &report.verdict.by_plan);
    add_totals(&mut page, "class", &report.verdict.by_class);
    page += "</html>\n";
    Ok(page)
}

fn add_verdict(page: &mut String, report: &Report) {
    let verdict = &report.verdict;
    let line = verdict.line();
    let kind = line.split(':').next().unwrap_or_default();
    let scenario = escape(&report.scenario);
    let _ = write!(
        page,
        "<h1>{scenario}, seed {}</h1><p class=\"{kind}\"><b>{}</b></p>",
        report.seed,
        escape(&line)
    );
    let _ = write!(page, "<pre>{}</pre>", escape(&report.table()));
    for broken in &verdict.broken {
        let (rule, at_s, what) = (&broken.rule, broken.at_s, escape(&broken.what));
        let _ = write!(page, "<p class=\"FAIL\">{rule:?} at {at_s:.3} s: {what}</p>");
    }
}

fn sections(seconds: &[Second], zones: &[String]) -> [Section; 5] {
    let series = |name: &str, colour: RGBColor, value: &dyn Fn(&Second) -> f64| Series {
        name: name.to_owned(),
        colour,
        points: seconds.iter().enumerate().map(|(i, second)| (i as f64 + 0.5, value(second))).collect(),
    };
    let goodput = |second: &Second| if second.asked > 0.0 { second.earned / second.asked } else { 0.0 };
    let attempts_in = |(number, zone): (usize, &String)| {
        let colour = ZONE_COLOURS[number % ZONE_COLOURS.len()];
        series(&format!("attempts in {zone}"), colour, &|second| {
            second.attempts.get(number).copied().unwrap_or(0) as f64
        })
    };
    let mut attempts: Vec<Series> = zones.iter().enumerate().map(attempts_in).collect();
    attempts.push(series("requests forwarded", BLACK, &|second| second.sent as f64));
    attempts.push(series("at the busiest worker", CYAN, &|second| second.worst_worker as f64));
    let clients = vec![
        series("first attempts of clients", BLUE, &|second| second.tries as f64),
        series("retries", MAGENTA, &|second| second.retries as f64),
        series("refused", RED, &|second| second.refused as f64),
        series("failed or without response", BLACK, &|second| second.failed as f64),
    ];
    let costs = vec![
        series("calls to the quota counter", BLUE, &|second| second.calls as f64),
        series("calls rejected by it", RED, &|second| second.busy_calls as f64),
        series("connections opened", GREEN, &|second| second.handshakes as f64),
        series("probes", BLACK, &|second| second.probes as f64),
    ];
    let wasted = vec![series("wasted", RED, &|second| second.wasted_s)];
    [
        Section {
            title: "Goodput: value earned / value requested",
            series: vec![series("goodput", BLUE, &goodput)],
        },
        Section { title: "Clients, requests per second", series: clients },
        Section { title: "Attempts at the workers, per second", series: attempts },
        Section { title: "Overhead, per second", series: costs },
        Section { title: "Wasted work, core seconds per second", series: wasted },
    ]
}

fn add_totals(page: &mut String, kind: &str, totals: &[(String, Totals)]) {
    let _ = write!(
        page,
        "<table><tr><th>{kind}</th><th>requests</th><th>served</th><th>refused</th><th>failed</th><th>share of value earned</th></tr>"
    );
    for (name, totals) in totals {
        let (name, share) = (escape(name), totals.earned / totals.asked.max(1e-9));
        let Totals { tries, served, refused, failed, .. } = totals;
        let _ = write!(
            page,
            "<tr><td>{name}</td><td>{tries}</td><td>{served}</td><td>{refused}</td><td>{failed}</td><td>{share:.3}</td></tr>"
        );
    }
    *page += "</table><br>";
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
