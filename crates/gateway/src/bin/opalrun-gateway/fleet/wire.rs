//! Frame of a datagram between gateways: protocol version, kind of the body, deployment and checksum.
//!
//! ```text
//! 0       4         5      6            10      14
//! | magic | version | kind | deployment | crc32 | body ...
//! ```
//! Numbers are little-endian. The checksum (CRC-32, IEEE) covers everything but itself.

use std::fmt;

/// Largest datagram in bytes, small enough not to be fragmented by any network.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length of the header in bytes; the body has the rest of the datagram.
pub const HEADER_BYTES: usize = 14;
/// Protocol version, which covers the format of all bodies. Other versions are rejected.
pub const VERSION: u8 = 1;
const MAGIC: [u8; 4] = *b"opfl";

/// Content of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A packet of the membership protocol.
    Membership,
    /// Members' counts of spending and of workers' answers and failures.
    Views,
}

/// Why a datagram is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// It is too long, too short, of an unknown kind, or its checksum is wrong.
    Damaged,
    /// It has this other protocol version.
    Version(u8),
    /// It belongs to another deployment.
    Stranger,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Damaged => f.write_str("damaged"),
            Self::Version(v) => write!(f, "protocol version {v} instead of {VERSION}"),
            Self::Stranger => f.write_str("it belongs to another deployment"),
        }
    }
}

/// Number that stands for a deployment's name in datagrams.
pub fn deployment(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

fn checksum(header: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(header);
    hasher.update(body);
    hasher.finalize()
}

/// Builds a datagram from its body.
pub fn encode(kind: Kind, deployment: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.push(VERSION);
    bytes.push(match kind {
        Kind::Membership => 0,
        Kind::Views => 1,
    });
    bytes.extend_from_slice(&deployment.to_le_bytes());
    let crc = checksum(&bytes, body);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Checks a datagram for the deployment `own`. Returns the kind of its body and the body.
///
/// # Errors
/// The datagram is damaged, or of another protocol version or deployment.
pub fn decode(bytes: &[u8], own: u32) -> Result<(Kind, &[u8]), FrameError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEADER_BYTES || bytes[..4] != MAGIC {
        return Err(FrameError::Damaged);
    }
    let (header, body) = bytes.split_at(HEADER_BYTES);
    let number = |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
    // Checked before the checksum, which another version may compute differently.
    if header[4] != VERSION {
        return Err(FrameError::Version(header[4]));
    }
    if checksum(&header[..10], body) != number(10) {
        return Err(FrameError::Damaged);
    }
    if number(6) != own {
        return Err(FrameError::Stranger);
    }
    match header[5] {
        0 => Ok((Kind::Membership, body)),
        1 => Ok((Kind::Views, body)),
        _ => Err(FrameError::Damaged),
    }
}

#[cfg(test)]
mod golden_tests;
#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn intact_datagrams_are_decoded_and_damage_is_detected() {
        let own = deployment("one");
        let datagram = encode(Kind::Views, own, b"body");
        assert_eq!(decode(&datagram, own), Ok((Kind::Views, &b"body"[..])));
        for length in 0..datagram.len() {
            assert!(decode(&datagram[..length], own).is_err(), "truncated to {length} bytes");
        }
        for bit in 0..8 * datagram.len() {
            let mut bytes = datagram.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert!(decode(&bytes, own).is_err(), "bit {bit} is flipped");
        }
        assert_eq!(decode(&datagram, deployment("two")), Err(FrameError::Stranger));
        let mut newer = datagram;
        newer[4] = 9;
        assert_eq!(decode(&newer, own), Err(FrameError::Version(9)));
        assert!(decode(&vec![0; MAX_DATAGRAM_BYTES + 1], own).is_err());
    }

    #[test]
    fn random_bytes_are_rejected() {
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..20_000 {
            let mut bytes: Vec<u8> = (0..rng.usize(..64)).map(|_| rng.u8(..)).collect();
            if rng.bool() && bytes.len() > 4 {
                bytes[..4].copy_from_slice(&MAGIC);
            }
            assert!(decode(&bytes, 7).is_err());
        }
    }
}
