//! Golden files: values encoded by an earlier build, which every later build must decode and encode identically.
//!
//! A golden file is never changed. To add one for a new value, run the test once with `WRITE_GOLDEN=1`, which writes missing
//! files and leaves existing ones unchanged.

use std::{
    collections::BTreeSet,
    fmt::Debug,
    fs,
    path::{Path, PathBuf},
};

/// Environment variable that makes a test write missing golden files if it is set to `1`.
const WRITE_VARIABLE: &str = "WRITE_GOLDEN";

/// A value and the stem of the file that holds its encoding.
pub struct GoldenCase<T> {
    pub file_stem: &'static str,
    pub value: T,
}

/// Creates a golden case.
pub fn case<T>(file_stem: &'static str, value: T) -> GoldenCase<T> {
    GoldenCase { file_stem, value }
}

/// Checks that each file of `directory` decodes to the value of its case, that each value encodes to the bytes of its
/// file, and that the directory contains no file without a case.
pub fn check<T: Debug + PartialEq>(
    directory: &str,
    cases: &[GoldenCase<T>],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(directory);
    let writes_missing_files = std::env::var(WRITE_VARIABLE).is_ok_and(|value| value == "1");
    for case in cases {
        let path = directory.join(case.file_stem).with_extension("bin");
        if writes_missing_files && !path.exists() {
            fs::create_dir_all(&directory).expect("the directory of golden files can be created");
            fs::write(&path, encode(&case.value)).expect("a golden file can be written");
        }
        let golden =
            fs::read(&path).unwrap_or_else(|error| panic!("{}: can't be read: {error}", path.display()));
        assert_eq!(decode(&golden), case.value, "{}: decodes to a different value", path.display());
        assert!(encode(&case.value) == golden, "{}: the encoding of the value has changed", path.display());
    }
    let expected: BTreeSet<PathBuf> =
        cases.iter().map(|case| directory.join(case.file_stem).with_extension("bin")).collect();
    let found: BTreeSet<PathBuf> = fs::read_dir(&directory)
        .expect("the directory of golden files can be read")
        .map(|entry| entry.expect("an entry can be read").path())
        .collect();
    assert_eq!(found, expected, "each golden file has a case");
}
