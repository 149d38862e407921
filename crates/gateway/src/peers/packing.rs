//! Packs row values sent between gateways: compressed, and as a delta to an earlier value where the
//! receiver holds one.
//!
//! A configuration of 2,850 routes has 0.58 MB, and most changes touch a few of them, so that the
//! transfer is about as large as the change: see the figures in `docs/design/platform.md`.

use std::io;
use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

/// Minimum size of values that are packed: for smaller ones the cost exceeds the gain.
pub(super) const MIN_PACKED_BYTES: usize = 1 << 10;

/// Maximum size of an unpacked value, as a packed one does not state its size.
pub(super) const MAX_VALUE_BYTES: usize = 8 << 20;

/// Compression level: the library's default, which takes some 5 ms for 0.5 MB.
const LEVEL: i32 = 3;

/// Smallest window that the library accepts, as a power of two.
const MIN_WINDOW_LOG: u32 = 10;

/// Packs a value, as a delta to `base` if there is one.
///
/// # Errors
/// Fails when compression fails.
pub fn pack(value: &[u8], base: Option<&[u8]>) -> io::Result<Bytes> {
    let base = base.unwrap_or_default();
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    // Matches may lie as far back as the beginning of the base.
    let window = (base.len() + value.len()).next_power_of_two();
    encoder.window_log(window.ilog2().max(MIN_WINDOW_LOG))?;
    encoder.long_distance_matching(!base.is_empty())?;
    // Detects a receiver whose base differs.
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    Ok(encoder.finish()?.into())
}

/// Unpacks a value, as a delta to `base` if there is one.
///
/// # Errors
/// Fails when the base differs, the bytes are not a packed value, or the value is too large.
pub fn unpack(packed: &[u8], base: Option<&[u8]>) -> io::Result<Bytes> {
    let decoder = Decoder::with_ref_prefix(packed, base.unwrap_or_default())?;
    let mut value = Vec::new();
    decoder.take(MAX_VALUE_BYTES as u64 + 1).read_to_end(&mut value)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(io::Error::other(format!("the value is larger than {MAX_VALUE_BYTES} bytes")));
    }
    Ok(value.into())
}
