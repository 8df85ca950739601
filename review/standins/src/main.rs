//! Drives the cases of the review. Usage: review-standins CASE RECORD, at the root of the repository. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.

mod children;
mod conversation;
mod http;
mod memory;
mod record;
mod replica;
mod retention;
mod tier;
mod unframed;
mod worker;

use std::{path::Path, process::exit, time::Duration};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [role, id, zone, controls @ ..] = &arguments[..] {
        if role == "worker" {
            let controls = controls.iter().filter_map(|control| control.parse().ok()).collect();
            exit(unframed::run_worker(id, zone, controls).map_or(2, |()| 0));
        }
    }
    let [case, record_path] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        exit(2);
    };
    if let Err(error) = record::begin(Path::new(record_path)) {
        eprintln!("{record_path}: {error}");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    note!("case {case}, disruption: {}", if trouble { "yes" } else { "no" });
    children::give_up_after(Duration::from_secs(115));
    let played = match case.as_str() {
        "replica" => replica::play(trouble),
        "retention" => retention::play(trouble),
        "memory" => memory::play(trouble),
        "unframed" => unframed::play(trouble),
        _ => Err(std::io::Error::other("there is no such case")),
    };
    let code = match played {
        Ok(true) => {
            note!("the rule was broken");
            1
        }
        Ok(false) => {
            note!("the rule held");
            0
        }
        Err(error) => {
            note!("the case could not run: {error}");
            2
        }
    };
    exit(code);
}
