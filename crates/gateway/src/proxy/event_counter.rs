//! Counts the server-sent events of a stream as its bytes are relayed.

/// Counts completed events. An event ends with an empty line after a line with content.
#[derive(Debug, Default, Clone)]
pub struct EventCounter {
    events: u64,
    /// Whether the current event has a line with content.
    event_has_content: bool,
    /// Whether the current line has content.
    line_has_content: bool,
}

impl EventCounter {
    /// Processes the next bytes of the stream.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\r' => {}
                b'\n' if self.line_has_content => self.line_has_content = false,
                b'\n' if self.event_has_content => {
                    self.events += 1;
                    self.event_has_content = false;
                }
                b'\n' => {}
                _ => (self.line_has_content, self.event_has_content) = (true, true),
            }
        }
    }

    /// Number of completed events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether the stream is inside an event.
    pub fn is_in_event(&self) -> bool {
        self.event_has_content
    }
}
