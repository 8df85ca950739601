//! Golden files: encodings written by a released build, which every later build must reproduce.
//!
//! `WRITE_GOLDEN=1` creates missing files; existing files are never replaced.

use opalrun_wire::frame::{decode, encode};
use rkyv::{
    Archive, Deserialize, Serialize,
    api::high::{HighDeserializer, HighSerializer, HighValidator},
    bytecheck::CheckBytes,
    rancor,
    ser::allocator::ArenaHandle,
    util::AlignedVec,
};
use std::{fmt::Debug, fs, path::PathBuf};

/// Returns the path of a golden file or directory.
pub fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden_storage").join(name)
}

/// Returns whether missing golden files may be created.
pub fn may_write() -> bool {
    std::env::var_os("WRITE_GOLDEN").is_some_and(|value| value == "1")
}

/// Returns the bytes of a golden file. A missing file is created with `current` if that is allowed; otherwise the test fails.
pub fn read(name: &str, current: &[u8]) -> Vec<u8> {
    let path = path(name);
    if !path.exists() {
        assert!(may_write(), "{} is missing", path.display());
        fs::create_dir_all(path.parent().expect("the path has a parent"))
            .expect("the directory can be created");
        fs::write(&path, current).expect("the golden file can be written");
    }
    fs::read(&path).expect("the golden file can be read")
}

/// Asserts that a golden file decodes to the value, and that the value encodes to the same bytes.
pub fn check<T>(name: &str, expected: &T)
where
    T: Archive
        + Debug
        + PartialEq
        + for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let current = encode(expected);
    let golden = read(name, &current);
    let decoded: T = decode(&golden).unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(&decoded, expected, "{name}");
    assert_eq!(current.as_slice(), golden, "{name} encodes to different bytes");
}
