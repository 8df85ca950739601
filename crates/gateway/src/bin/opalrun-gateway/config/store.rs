//! Stores the last good configuration on disk. It is written to a temporary file, synced and renamed, so that a crash or
//! power loss leaves either the old or the new one. A checksum is verified when it is read.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{
    fmt,
    fs::{File, OpenOptions},
    io::{self, Read, Write},
    os::unix::fs::OpenOptionsExt,
    path::{Path, PathBuf},
};

/// Version of the file format; a file with another one is not read.
const FORMAT_VERSION: u32 = 1;
const FILE_NAME: &str = "last-good.config";
/// Largest header in bytes, without its line feed.
const MAX_HEADER_BYTES: usize = 1024;

/// First line of the file, as JSON; the configuration follows.
#[derive(Serialize, Deserialize)]
struct Header {
    #[serde(rename = "form")]
    format_version: u32,
    /// Number of the configuration's version.
    version: u64,
    /// Length of the configuration in bytes.
    length: usize,
    /// Checksum over version and configuration.
    sha256: String,
}

/// Why the last good configuration could not be read.
#[derive(Debug)]
pub enum StoreError {
    System(io::Error),
    /// The file is truncated or its checksum is wrong.
    Damaged,
    /// The file has this other format version.
    Format(u32),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::System(e) => e.fmt(f),
            Self::Damaged => f.write_str("it is damaged"),
            Self::Format(version) => {
                write!(f, "it has format {version}, this program reads {FORMAT_VERSION}")
            }
        }
    }
}

/// SHA-256 of version and text, in hexadecimal.
fn checksum(version: u64, text: &[u8]) -> String {
    let mut digest = Sha256::new();
    digest.update(version.to_le_bytes());
    digest.update(text);
    digest.finalize().iter().map(|b| format!("{b:02x}")).collect()
}

fn encode(version: u64, text: &[u8]) -> io::Result<Vec<u8>> {
    let header = Header {
        format_version: FORMAT_VERSION,
        version,
        length: text.len(),
        sha256: checksum(version, text),
    };
    let mut bytes = serde_json::to_vec(&header)?;
    bytes.push(b'\n');
    bytes.extend_from_slice(text);
    Ok(bytes)
}

fn decode(bytes: &[u8]) -> Result<(u64, Vec<u8>), StoreError> {
    let end = bytes.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n').ok_or(StoreError::Damaged)?;
    let (header, text) = (&bytes[..end], &bytes[end + 1..]);
    let header: Header = serde_json::from_slice(header).map_err(|_| StoreError::Damaged)?;
    if header.format_version != FORMAT_VERSION {
        return Err(StoreError::Format(header.format_version));
    }
    if header.length != text.len() || header.sha256 != checksum(header.version, text) {
        return Err(StoreError::Damaged);
    }
    Ok((header.version, text.to_vec()))
}

/// Saves `text` as the last good configuration.
pub fn save(folder: &Path, version: u64, text: &[u8]) -> io::Result<()> {
    let (path, temporary) = (folder.join(FILE_NAME), folder.join(format!("{FILE_NAME}.new")));
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&temporary)?;
    file.write_all(&encode(version, text)?)?;
    file.sync_all()?;
    drop(file);
    std::fs::rename(&temporary, &path)?;
    // Syncs the folder, without which the rename may be lost in a power loss.
    File::open(folder)?.sync_all()
}

/// Reads the last good configuration. Returns the number of its version and the file's text.
pub fn load(folder: &Path) -> Result<(u64, Vec<u8>), StoreError> {
    let file = File::open(folder.join(FILE_NAME)).map_err(StoreError::System)?;
    let max_bytes = super::file::MAX_FILE_BYTES + MAX_HEADER_BYTES as u64;
    let mut bytes = Vec::new();
    file.take(max_bytes + 1).read_to_end(&mut bytes).map_err(StoreError::System)?;
    decode(&bytes)
}

/// The state folder that the environment variable `NODE_STATE` names.
pub fn folder_from_environment() -> Option<PathBuf> {
    std::env::var_os("NODE_STATE").filter(|f| !f.is_empty()).map(PathBuf::from)
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn truncated_files_and_flipped_bits_are_detected() {
        let text = b"{\"name\": \"n0\"}";
        let bytes = encode(7, text).expect("a small file");
        assert_eq!(decode(&bytes).expect("an intact file"), (7, text.to_vec()));
        for at in 0..bytes.len() {
            assert!(decode(&bytes[..at]).is_err(), "truncated to {at} bytes");
            for bit in 0..8 {
                let mut flipped = bytes.clone();
                flipped[at] ^= 1 << bit;
                assert!(decode(&flipped).map_or(true, |(v, t)| (v, &t[..]) == (7, &text[..])), "{at}.{bit}");
            }
        }
        let other = String::from_utf8(bytes).expect("text").replacen("\"form\":1", "\"form\":2", 1);
        assert!(matches!(decode(other.as_bytes()), Err(StoreError::Format(2))));
    }

    #[test]
    fn interrupted_or_failed_save_leaves_the_former_file() {
        let folder = std::env::temp_dir().join(format!("opalrun-gateway-store-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a writable folder");
        assert!(matches!(load(&folder), Err(StoreError::System(_))));
        save(&folder, 1, b"one").expect("saved");
        // The state after a kill during the write of the temporary file.
        std::fs::write(folder.join(format!("{FILE_NAME}.new")), &encode(2, b"two").expect("small")[..9])
            .expect("a file");
        assert_eq!(load(&folder).expect("the former file"), (1, b"one".to_vec()));
        save(&folder, 3, b"three").expect("saved");
        assert_eq!(load(&folder).expect("the new file"), (3, b"three".to_vec()));
        // As on a full disk, the temporary file can't be written: a folder has its name.
        std::fs::remove_file(folder.join(format!("{FILE_NAME}.new"))).unwrap_or_default();
        std::fs::create_dir(folder.join(format!("{FILE_NAME}.new"))).expect("a folder");
        assert!(save(&folder, 4, b"four").is_err());
        assert_eq!(load(&folder).expect("the former file"), (3, b"three".to_vec()));
        assert!(save(&folder.join("nowhere"), 1, b"x").is_err());
        std::fs::remove_dir_all(&folder).expect("its own folder");
    }
}
