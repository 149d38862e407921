//! What makes two requests the same one.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use sha2::Digest;
use sha2::Sha256;

/// Of the 32 bytes of a SHA-256 so many are kept: two requests that differ are taken for the same one
/// with a chance of 1 in 2^128, and each byte is told to all entries.
const BYTES: usize = 16;

/// a fingerprint is 32 lower-case hexadecimal digits
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct RequestFingerprintError;

/// A digest of what a caller asks: method, path and query, workspace and body.
///
/// A caller's next try has another id, so only this shows that it is the same request. Neither
/// headers nor the way in which the body was cut into chunks make a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub [u8; BYTES]);

impl RequestFingerprint {
    /// The fingerprint of a request. `workspace` is empty where callers need no key.
    ///
    /// It takes 0.8 ms for each MB of the body, 10 us for 12 KB, on one core of a busy machine (`cargo bench`).
    pub fn of(method: &str, target: &str, workspace: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for field in [method, target, workspace] {
            // With its length, so that no two fields run into each other.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field.as_bytes());
        }
        hash.update(body);
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&hash.finalize()[..BYTES]);
        Self(bytes)
    }

    /// A number that differs between fingerprints, to spread requests by.
    pub fn seed(self) -> u64 {
        let mut seed = [0; 8];
        seed.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(seed)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for RequestFingerprint {
    type Err = RequestFingerprintError;

    fn from_str(text: &str) -> Result<Self, RequestFingerprintError> {
        let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if text.len() != 2 * BYTES || !text.chars().all(is_hex) {
            return Err(RequestFingerprintError);
        }
        let mut bytes = [0; BYTES];
        for (byte, digits) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).map_err(|_| RequestFingerprintError)?;
            *byte = u8::from_str_radix(digits, 16).map_err(|_| RequestFingerprintError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<&[u8]> for RequestFingerprint {
    type Error = RequestFingerprintError;

    fn try_from(bytes: &[u8]) -> Result<Self, RequestFingerprintError> {
        bytes.try_into().map(Self).map_err(|_| RequestFingerprintError)
    }
}
