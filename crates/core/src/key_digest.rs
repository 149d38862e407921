//! The digest of a bearer key.

use std::fmt;
use std::fmt::Write;
use std::str::FromStr;

use displaydoc::Display;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

const HEX_LEN: usize = 64;

/// a key digest is 64 lower-case hexadecimal digits
#[derive(Debug, Clone, PartialEq, Eq, Display, thiserror::Error)]
pub struct KeyDigestError;

/// The SHA-256 of a bearer key, in hexadecimal. The key itself is never stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest(String);

impl KeyDigest {
    /// Computes the digest of `key`.
    pub fn of(key: &str) -> Self {
        let mut hex = String::with_capacity(HEX_LEN);
        for byte in Sha256::digest(key.as_bytes()) {
            write!(hex, "{byte:02x}").expect("writing to a string cannot fail");
        }
        Self(hex)
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if text.len() != HEX_LEN || !text.chars().all(is_hex) {
            return Err(KeyDigestError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: String) -> Result<Self, KeyDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        digest.0
    }
}
