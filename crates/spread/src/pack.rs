//! Compression of what is large enough to gain by it.

use std::io::{self, Read};

use prost::Message;

/// Level of compression: the library's own default.
const LEVEL: i32 = 3;

/// Largest content after unpacking, in bytes.
const MAX_UNPACKED_BYTES: u64 = 32 << 20;

/// Packed content that cannot be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UnpackError {
    /// The compressed form is damaged.
    #[error("compressed content cannot be read ({0}); check that both daemons run one release")]
    Damaged(#[from] io::Error),
    /// The content is no such message.
    #[error("content cannot be read ({0}); check that both daemons run one release")]
    Unreadable(#[from] prost::DecodeError),
}

/// Returns `message`, compressed.
///
/// # Errors
///
/// Fails only if the library does.
pub(crate) fn pack(message: &impl Message) -> io::Result<Vec<u8>> {
    zstd::stream::encode_all(message.encode_to_vec().as_slice(), LEVEL)
}

/// Returns the message in `packed`.
///
/// # Errors
///
/// Fails if `packed` is damaged or too large.
pub(crate) fn unpack<M: Message + Default>(packed: &[u8]) -> Result<M, UnpackError> {
    let mut content = Vec::new();
    let decoder = zstd::stream::Decoder::new(packed)?;
    decoder.take(MAX_UNPACKED_BYTES).read_to_end(&mut content)?;
    Ok(M::decode(content.as_slice())?)
}
