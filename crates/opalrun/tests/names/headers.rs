//! Headers of requests and responses that the tier interprets.

use crate::support::repository;
use std::{collections::BTreeSet, path::Path};

const HEADERS: [&str; 17] = [
    "budget",
    "deadline-ms",
    "expect-instance",
    "finish-ms",
    "keep-alive",
    "last-event-id",
    "not-executed",
    "previous",
    "priority",
    "program",
    "prompt-prefix",
    "proxy-connection",
    "request-id",
    "server-load",
    "server-signature",
    "session",
    "token-usage",
];
const DEFINED_BY: &str = "HeaderName::from_static(\"";

/// Collects the headers defined in the source files of a directory, except test files.
fn collect(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        if path.is_dir() && name != "tests" {
            collect(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") && !name.ends_with("tests.rs") {
            let source = std::fs::read_to_string(&path).unwrap();
            let defined = source.split(DEFINED_BY).skip(1);
            found.extend(defined.filter_map(|rest| rest.split('"').next().map(str::to_owned)));
        }
    }
}

#[test]
fn the_headers_keep_their_names() {
    let mut found = BTreeSet::new();
    for package in ["gatekeeper", "transport", "control"] {
        collect(&repository().join("crates").join(package).join("src"), &mut found);
    }
    assert_eq!(found.into_iter().collect::<Vec<_>>(), HEADERS);
}
