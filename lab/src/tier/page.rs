//! Renders the summary of a run as an HTML page.

use super::run::Summary;
use std::{
    fmt::Write as _,
    fs, io,
    path::{Path, PathBuf},
};

/// Width of the longest bar, in pixels.
const WIDEST_BAR: usize = 600;

/// Writes `report.html` into a folder, which is created if it does not exist, and returns the file's path.
///
/// # Errors
/// A file or folder can't be written.
pub fn write(summary: &Summary, folder: &Path) -> io::Result<PathBuf> {
    fs::create_dir_all(folder)?;
    let path = folder.join("report.html");
    fs::write(&path, page(summary))?;
    Ok(path)
}

fn page(summary: &Summary) -> String {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>fleetlab tier</title>\
         <style>body{font:15px sans-serif;max-width:1000px;margin:2em auto}pre{background:#f4f4f4;padding:1em}\
         td{padding:.1em .6em}i{display:inline-block;height:.8em}.ok{background:#484}.refused{background:#c93}\
         .failed{background:#a22}</style>",
    );
    // Writing into a string does not fail.
    let _ = write!(page, "<h1>{}</h1><pre>{}</pre>", escape(&summary.line()), escape(&summary.to_string()));
    page.push_str(
        "<h2>Client requests by the second in which they ended</h2><p>succeeded, refused, failed</p><table>",
    );
    let max = summary.seconds.iter().map(|s| s.iter().sum::<usize>()).max().unwrap_or(1).max(1);
    for (second, counts) in summary.seconds.iter().enumerate() {
        let _ = write!(page, "<tr><td>{second}</td><td>");
        for (count, class) in counts.iter().zip(["ok", "refused", "failed"]) {
            let width = count * WIDEST_BAR / max;
            let _ = write!(page, "<i class=\"{class}\" style=\"width:{width}px\" title=\"{count}\"></i>");
        }
        page.push_str("</td></tr>");
    }
    page.push_str("</table></html>\n");
    page
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
