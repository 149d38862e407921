//! Secret key that all processes of one fleet share.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// Secret key that all processes of one fleet share. Its `Debug` output doesn't show the key.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

impl FleetKey {
    /// Creates a key from the bytes of a secret.
    pub fn new(secret: &str) -> Self {
        Self(secret.as_bytes().to_vec())
    }

    /// Computes HMAC-SHA-256 over the parts, each preceded by its length so that parts can't be shifted into each
    /// other.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Vec<u8> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac.finalize().into_bytes().to_vec()
    }
}

impl fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKey(..)")
    }
}
