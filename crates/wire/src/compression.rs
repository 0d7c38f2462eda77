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
const MIN_COMPRESSED_BYTES: usize = 4 << 10;

/// Compresses an answer; `None` if it is small or would not become smaller.
pub fn compress(bytes: &[u8]) -> Option<Vec<u8>> {
    if bytes.len() < MIN_COMPRESSED_BYTES {
        return None;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).expect("writing to a vector cannot fail");
    let compressed = encoder.finish().expect("writing to a vector cannot fail");
    (compressed.len() < bytes.len()).then_some(compressed)
}

/// Decompresses an answer; fails if it is larger than any valid message.
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let mut decompressed = Vec::new();
    let limit = MAX_MESSAGE_BYTES as u64 + 1;
    let read = DeflateDecoder::new(bytes).take(limit).read_to_end(&mut decompressed);
    read.map_err(|error| Error::Malformed { reason: error.to_string() })?;
    match decompressed.len() > MAX_MESSAGE_BYTES {
        true => Err(Error::TooLarge { bytes: decompressed.len() }),
        false => Ok(decompressed),
    }
}
