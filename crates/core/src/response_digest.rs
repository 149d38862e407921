//! A digest by which an answer is known to be whole.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// A running digest over the bytes of an answer's chunks, in order.
///
/// It guards against lost, doubled or foreign chunks, not against an attacker:
/// the connection has been authenticated before the first chunk.
#[derive(Default, Clone)]
pub struct ResponseDigest(Xxh3);

impl ResponseDigest {
    /// Takes in the next chunk.
    pub fn update(&mut self, chunk: &[u8]) {
        self.0.update(chunk);
    }

    /// The digest of all chunks so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl fmt::Debug for ResponseDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ResponseDigest({:016x})", self.value())
    }
}
