//! Values of rows on their way between entries: compressed, and as a difference to an earlier value
//! where the receiver holds one.
//!
//! A configuration of 2,850 routes has 0.58 MB, and most changes of it touch a few of them. Between
//! entries it so takes what has changed: see the figures in `docs/design/platform.md`.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

/// Values from this size on are packed: a shorter one gains less than its packing costs.
pub(super) const MIN_PACKED_BYTES: usize = 1 << 10;

/// The largest value that is unpacked: a packed one does not say how large it becomes.
pub(super) const MAX_VALUE_BYTES: usize = 8 << 20;

/// How hard the library tries. Level 3 takes some 5 ms for 0.5 MB, and is its default.
const LEVEL: i32 = 3;

/// The smallest window that the library takes, as a power of two.
const MIN_WINDOW_LOG: u32 = 10;

/// Packs a value, as a difference to another one if there is one.
///
/// # Errors
/// Fails when the library does.
pub fn pack(value: &[u8], base: Option<&[u8]>) -> io::Result<Bytes> {
    let base = base.unwrap_or_default();
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    // What is alike may stand as far back as the beginning of the base.
    let window = (base.len() + value.len()).next_power_of_two();
    encoder.window_log(window.ilog2().max(MIN_WINDOW_LOG))?;
    encoder.long_distance_matching(!base.is_empty())?;
    // A difference to another value than the receiver's is noticed.
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    Ok(encoder.finish()?.into())
}

/// The value that was packed, as a difference to this one if there is one.
///
/// # Errors
/// Fails when the base is another one, when the bytes are not a packed value or when it is too
/// large.
pub fn unpack(packed: &[u8], base: Option<&[u8]>) -> io::Result<Bytes> {
    let decoder = Decoder::with_ref_prefix(packed, base.unwrap_or_default())?;
    let mut value = Vec::new();
    decoder.take(MAX_VALUE_BYTES as u64 + 1).read_to_end(&mut value)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(io::Error::other(format!("it has more than {MAX_VALUE_BYTES} bytes")));
    }
    Ok(value.into())
}
