//! Counts the events of a stream as its bytes pass by.

/// Counts ends of events: an empty line after a line with content.
#[derive(Debug, Default, Clone)]
pub struct EventCounter {
    events: u64,
    /// Whether the current event has a line with content.
    filled: bool,
    /// Whether the current line has content.
    in_line: bool,
}

impl EventCounter {
    /// Takes in the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\r' => {}
                b'\n' if self.in_line => self.in_line = false,
                b'\n' if self.filled => {
                    self.events += 1;
                    self.filled = false;
                }
                b'\n' => {}
                _ => (self.in_line, self.filled) = (true, true),
            }
        }
    }

    /// Events that ended so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Whether an event has begun and not ended.
    pub fn is_in_event(&self) -> bool {
        self.filled
    }
}
