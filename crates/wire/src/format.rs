//! Encoding of messages, with the format number first.
//!
//! The number is read before anything else is decoded. A box answers in the format of the request,
//! so that boxes of two versions understand each other during an upgrade. New frames are only
//! appended to [`Frame`](crate::Frame); a format is dropped once no running version uses it.

use bincode::config::{Configuration, Fixint, Limit, LittleEndian};

use crate::{Error, Message};

/// Newest supported format.
pub const NEWEST_FORMAT: u16 = 2;
/// Oldest supported format.
pub const OLDEST_FORMAT: u16 = 1;
/// Largest encoded message, with its format number.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

const HEADER_BYTES: usize = 2;

type Config = Configuration<LittleEndian, Fixint, Limit<MAX_MESSAGE_BYTES>>;

fn config() -> Config {
    bincode::config::standard()
        .with_little_endian()
        .with_fixed_int_encoding()
        .with_limit::<MAX_MESSAGE_BYTES>()
}

pub fn encode(message: &Message, format: u16) -> Result<Vec<u8>, Error> {
    let mut bytes = format.to_le_bytes().to_vec();
    let body = bincode::serde::encode_to_vec(message, config())
        .map_err(|error| Error::Malformed { reason: error.to_string() })?;
    if body.len() + HEADER_BYTES > MAX_MESSAGE_BYTES {
        return Err(Error::TooLarge { bytes: body.len() + HEADER_BYTES });
    }
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes a message; also returns its format.
pub fn decode(bytes: &[u8]) -> Result<(Message, u16), Error> {
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(Error::TooLarge { bytes: bytes.len() });
    }
    let (head, body) = bytes
        .split_first_chunk::<HEADER_BYTES>()
        .ok_or_else(|| Error::Malformed { reason: "format number is missing".into() })?;
    let format = u16::from_le_bytes(*head);
    if !(OLDEST_FORMAT..=NEWEST_FORMAT).contains(&format) {
        return Err(Error::Format { format });
    }
    let (message, read) = bincode::serde::decode_from_slice(body, config())
        .map_err(|error| Error::Malformed { reason: error.to_string() })?;
    match read == body.len() {
        true => Ok((message, format)),
        false => Err(Error::Malformed { reason: "trailing bytes after the frame".into() }),
    }
}
