//! The key that all processes of one fleet share.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

/// The key that all processes of one fleet share. It is never printed.
#[derive(Clone)]
pub struct FleetKey(Vec<u8>);

impl FleetKey {
    /// The key made of these bytes.
    pub fn new(secret: &str) -> Self {
        Self(secret.as_bytes().to_vec())
    }

    /// The authentication code over the parts, each preceded by its length.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Vec<u8> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any key length is taken");
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
