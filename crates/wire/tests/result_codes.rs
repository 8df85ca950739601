//! The result codes in the source match the table in `docs/results.md`.

use std::collections::BTreeMap;

const SOURCE: &str = include_str!("../src/result_code.rs");
const TABLE: &str = include_str!("../../../docs/results.md");

/// Returns the names of the codes in the source, by number.
fn codes() -> BTreeMap<u16, &'static str> {
    let constants = SOURCE.lines().filter_map(|line| line.trim().strip_prefix("pub const "));
    let pairs = constants.filter_map(|constant| {
        let (name, rest) = constant.split_once(": Self = Self(")?;
        Some((rest.trim_end_matches(");").parse().ok()?, name))
    });
    pairs.collect()
}

#[test]
fn every_code_is_listed_in_the_table_with_its_name() {
    let codes = codes();
    assert!(codes.len() > 20);
    for (code, name) in codes {
        let row = format!("| E{code:03} | `{name}` | ");
        assert!(TABLE.contains(&row), "docs/results.md has no row that begins with {row}");
    }
}

#[test]
fn the_table_lists_no_unknown_codes() {
    let codes = codes();
    let rows = TABLE.lines().filter_map(|line| line.strip_prefix("| E"));
    for row in rows {
        let code = row[..3].parse().unwrap();
        assert!(codes.contains_key(&code), "E{code:03} is not a result code");
    }
}
