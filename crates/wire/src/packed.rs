//! Compression of large answers.
//!
//! A request names the encodings that the sender can decode in `accept-encoding`. Without this, a
//! full update about a few thousand endpoints, which is highly repetitive, takes longer to transfer
//! over a 10 Mbit/s link than a subscriber waits for it.

use std::io::{Read, Write};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};

use crate::{Error, MAX_MESSAGE_BYTES};

/// Value of `accept-encoding` in requests and of `content-encoding` in compressed answers.
pub const ENCODING: &str = "deflate";
/// Smaller answers are sent uncompressed: they fit in a few packets.
const PACKED_FROM: usize = 4 << 10;

/// Compresses an answer; `None` if it is small or would not become smaller.
pub fn pack(bytes: &[u8]) -> Option<Vec<u8>> {
    if bytes.len() < PACKED_FROM {
        return None;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).expect("writing to a vector cannot fail");
    let packed = encoder.finish().expect("writing to a vector cannot fail");
    (packed.len() < bytes.len()).then_some(packed)
}

/// Decompresses an answer; fails if it is larger than any valid message.
pub fn unpack(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut unpacked = Vec::new();
    let most = MAX_MESSAGE_BYTES as u64 + 1;
    let read = DeflateDecoder::new(bytes).take(most).read_to_end(&mut unpacked);
    read.map_err(|error| Error::Malformed { reason: error.to_string() })?;
    match unpacked.len() > MAX_MESSAGE_BYTES {
        true => Err(Error::TooLarge { bytes: unpacked.len() }),
        false => Ok(unpacked),
    }
}
