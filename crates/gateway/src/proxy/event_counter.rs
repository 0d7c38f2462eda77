//! Counts the server-sent events of a stream as its bytes are relayed.
//!
//! Lines end with a line feed, a carriage return or both, however the bytes are split over reads. Lines that begin with a
//! colon are comments, and a byte order mark may precede the first line; neither is part of an event.

/// Byte order mark in UTF-8.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// Counts completed events. An event ends with an empty line after a line with content.
#[derive(Debug, Default, Clone)]
pub struct EventCounter {
    events: u64,
    /// Whether a line with content has come since the last empty one, comments included.
    block_has_content: bool,
    /// Whether such a line was not a comment.
    is_in_event: bool,
    line: Line,
    /// Whether the last byte was a carriage return.
    after_return: bool,
    /// Bytes of a byte order mark at the start of the stream, as far as they match.
    mark_bytes: usize,
    has_begun: bool,
}

/// The current line.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventCounter {
    /// Processes the next bytes of the stream. Returns how many of them come before the event that the stream is inside
    /// of afterwards.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let mut event_start = 0;
        for (index, byte) in bytes.iter().enumerate() {
            self.feed_byte(*byte);
            if !self.is_in_event {
                event_start = index + 1;
            }
        }
        event_start
    }

    fn feed_byte(&mut self, byte: u8) {
        if !self.has_begun && BYTE_ORDER_MARK.get(self.mark_bytes) == Some(&byte) {
            self.mark_bytes += 1;
            return;
        }
        self.has_begun = true;
        let ends_return = std::mem::replace(&mut self.after_return, byte == b'\r');
        match byte {
            b'\n' if ends_return => {}
            b'\n' | b'\r' => self.end_line(),
            b':' if self.line == Line::Empty => {
                (self.line, self.block_has_content) = (Line::Comment, true);
            }
            _ if self.line == Line::Comment => {}
            _ => (self.line, self.block_has_content, self.is_in_event) = (Line::Field, true, true),
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if line == Line::Empty && std::mem::take(&mut self.block_has_content) {
            self.events += 1;
            self.is_in_event = false;
        }
    }

    /// Number of completed events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the stream is inside an event.
    pub fn is_in_event(&self) -> bool {
        self.is_in_event
    }
}
