//! Compression of wire messages.

use std::io::{self, Read};

use prost::Message;

/// Compression level: the default of zstd.
const COMPRESSION_LEVEL: i32 = 3;

/// Maximum size of a message after decompression.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Error unpacking a message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnpackError {
    /// The compressed data is corrupt.
    #[error("compressed content cannot be read ({0}); check that both daemons run one release")]
    Damaged(#[from] io::Error),
    /// The content cannot be decoded.
    #[error("content cannot be read ({0}); check that both daemons run one release")]
    Unreadable(#[from] prost::DecodeError),
}

/// Encodes and compresses `message`.
///
/// # Errors
///
/// Fails if zstd fails.
pub(crate) fn pack(message: &impl Message) -> io::Result<Vec<u8>> {
    zstd::stream::encode_all(message.encode_to_vec().as_slice(), COMPRESSION_LEVEL)
}

/// Decompresses and decodes `packed`.
///
/// # Errors
///
/// Fails if `packed` is corrupt or its content too large.
pub(crate) fn unpack<M: Message + Default>(packed: &[u8]) -> Result<M, UnpackError> {
    let mut content = Vec::new();
    let decoder = zstd::stream::Decoder::new(packed)?;
    decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut content)?;
    Ok(M::decode(content.as_slice())?)
}
