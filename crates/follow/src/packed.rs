//! Configurations as they travel between daemons: compressed, by what the other side has already.

use std::io::{self, Read, Write};

/// Level of compression: the library's own default.
const LEVEL: i32 = 3;

/// Largest configuration after unpacking, in bytes.
const MAX_UNPACKED_BYTES: u64 = 8 << 20;

/// Returns `value`, compressed as a difference from `base`.
///
/// # Errors
///
/// Fails only if the library does.
pub fn pack(value: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = zstd::stream::Encoder::with_dictionary(Vec::new(), LEVEL, base)?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// Returns the value in `packed`, which is a difference from `base`.
///
/// # Errors
///
/// Fails if `packed` is damaged, or was made for another base.
pub fn unpack(packed: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = zstd::stream::Decoder::with_dictionary(packed, base)?;
    let mut value = Vec::new();
    decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut value)?;
    Ok(value)
}
