//! Golden file: the stored last good configuration stays compatible between versions of the program.

use super::*;
use crate::golden::{case, check};

#[test]
fn stored_configuration_matches_the_golden_file() {
    check(
        "last_good_configuration",
        &[case("version_7", (7_u64, br#"{"name": "n0"}"#.to_vec()))],
        |(version, text)| encode(*version, text).expect("a small file"),
        |bytes| decode(bytes).expect("an intact file"),
    );
}
