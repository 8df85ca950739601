//! Golden file: the counts that gateways exchange stay compatible between versions of the program.

use super::*;
use crate::golden::{case, check};

fn entry(subject: Subject, count: u32) -> Entry {
    Entry { subject, me: 3, start: 70_001, count, recent: 5 }
}

#[test]
fn counts_match_the_golden_file() {
    let entries = vec![
        entry(Subject::Spent(key("customer-1"), 2), 900),
        entry(Subject::Answered(key("worker-1")), 41),
        entry(Subject::Failed(key("worker-1")), 6),
    ];
    check(
        "fleet_counts",
        &[case("every_kind", entries)],
        |entries| postcard::to_stdvec(&Body { entries: entries.clone() }).expect("a body"),
        |bytes| postcard::from_bytes::<Body>(bytes).expect("a body").entries,
    );
}
