//! Golden files: files written by an earlier build, which later builds must read, and write with the same bytes.
//!
//! They are in the package's `tests/golden` directory. With `WRITE_GOLDEN=1` in the environment, missing files are written;
//! otherwise a missing file fails the test. Existing files are never replaced.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Returns the path of the golden file or directory `name` of the package under test.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Asserts that the content of the golden file `name` equals `encoded`, and returns it.
pub fn assert_file(name: &str, encoded: &[u8]) -> Vec<u8> {
    let path = path(name);
    if !path.exists() && may_write() {
        fs::create_dir_all(path.parent().expect("a golden file has a parent directory")).unwrap();
        fs::write(&path, encoded).unwrap();
    }
    let golden = fs::read(&path).unwrap_or_else(|error| panic!("golden file {}: {error}", path.display()));
    assert!(golden == encoded, "{name} contains {golden:02x?}, but this build writes {encoded:02x?}");
    golden
}

/// Asserts that the golden directory `name` has exactly the files of the directory `written`, with the same content.
pub fn assert_directory(name: &str, written: &Path) {
    if !path(name).exists() && may_write() {
        copy_files(written, &path(name));
    }
    assert_eq!(file_names(&path(name)), file_names(written), "files of {name}");
    for file in file_names(written) {
        assert_file(&format!("{name}/{file}"), &fs::read(written.join(&file)).unwrap());
    }
}

/// Copies the golden directory `name` to `to`, so that a test can modify the copy.
pub fn copy_directory(name: &str, to: &Path) {
    copy_files(&path(name), to);
}

fn copy_files(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for file in file_names(from) {
        fs::copy(from.join(&file), to.join(&file)).unwrap();
    }
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory)
        .unwrap_or_else(|error| panic!("golden directory {}: {error}", directory.display()));
    let mut names: Vec<String> =
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect();
    names.sort_unstable();
    names
}

fn may_write() -> bool {
    std::env::var("WRITE_GOLDEN").is_ok_and(|value| value == "1")
}
