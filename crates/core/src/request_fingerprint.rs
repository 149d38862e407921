//! A digest by which a repeated request is recognised.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use sha2::Digest;
use sha2::Sha256;

/// Of the 32 bytes of a SHA-256, the first 16 are kept, as every byte is sent to all gateways. Two different
/// requests have the same fingerprint with a probability of 1 in 2^128.
const FINGERPRINT_BYTES: usize = 16;

/// a fingerprint is 32 lower-case hexadecimal digits
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct RequestFingerprintError;

/// A digest of a request's content: method, path and query, workspace and body.
///
/// A caller that retries sends another request id, so only the fingerprint shows that the request is
/// the same. It depends neither on headers nor on how the body was split into chunks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestFingerprint(pub [u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request. `workspace` is empty where callers need no key.
    ///
    /// Takes about 0.8 ms for each MB of the body, or 10 us for 12 KB, on one core.
    pub fn of(method: &str, target: &str, workspace: &str, body: &[u8]) -> Self {
        let mut hash = Sha256::new();
        for field in [method, target, workspace] {
            // The length prefix keeps the boundary between fields unambiguous.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field.as_bytes());
        }
        hash.update(body);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }

    /// A seed derived from the fingerprint, for distributing requests.
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
        if text.len() != 2 * FINGERPRINT_BYTES || !text.chars().all(is_hex) {
            return Err(RequestFingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
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
