//! Compression of configurations, as differences from a base that the receiver has.

use std::io::{self, Read, Write};

/// Compression level: zstd's default.
const COMPRESSION_LEVEL: i32 = 3;

/// Size limit of an unpacked configuration.
const MAX_UNPACKED_BYTES: u64 = 8 << 20;

/// Compresses `value` as a difference from `base`.
///
/// # Errors
///
/// Fails if the compression library does.
pub fn pack(value: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::Encoder::with_dictionary(Vec::new(), COMPRESSION_LEVEL, base)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// Decompresses `packed`, a difference from `base`.
///
/// # Errors
///
/// Fails if `packed` is corrupt or was made from another base.
pub fn unpack(packed: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = zstd::stream::Decoder::with_dictionary(packed, base)?;
    let mut value = Vec::new();
    decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut value)?;
    Ok(value)
}
