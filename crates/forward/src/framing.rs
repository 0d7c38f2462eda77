//! How the end of a response is marked.

use http::{HeaderMap, header};

/// What marks the end of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its length is known beforehand.
    Length,
    /// The last chunk.
    Chunks,
    /// The close of its connection, which looks the same if the endpoint breaks off.
    Close,
}

impl Framing {
    /// Framing of a response with these headers and a body; `is_empty` if it has no body.
    pub fn of(headers: &HeaderMap, is_empty: bool) -> Framing {
        match headers.get_all(header::TRANSFER_ENCODING).iter().next_back() {
            _ if is_empty => Framing::Length,
            Some(last) if ends_in_chunked(last.as_bytes()) => Framing::Chunks,
            Some(_) => Framing::Close,
            None if headers.contains_key(header::CONTENT_LENGTH) => Framing::Length,
            None => Framing::Close,
        }
    }

    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Close => "close",
        }
    }
}

fn ends_in_chunked(encodings: &[u8]) -> bool {
    let last = encodings.rsplit(|byte| *byte == b',').next().unwrap_or_default();
    last.trim_ascii().eq_ignore_ascii_case(b"chunked")
}
