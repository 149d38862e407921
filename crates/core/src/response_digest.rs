//! A digest that shows whether a response arrived complete.

use std::fmt;

use xxhash_rust::xxh3::Xxh3;

/// An incremental digest of the bytes of a response's chunks, in order.
///
/// It detects lost, duplicated and misrouted chunks. It is no protection against an attacker:
/// the connection is authenticated before the first chunk.
#[derive(Default, Clone)]
pub struct ResponseDigest(Xxh3);

impl ResponseDigest {
    /// Adds the next chunk.
    pub fn update(&mut self, chunk: &[u8]) {
        self.0.update(chunk);
    }

    /// The digest of all chunks added so far.
    pub fn value(&self) -> u64 {
        self.0.digest()
    }
}

impl fmt::Debug for ResponseDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ResponseDigest({:016x})", self.value())
    }
}
