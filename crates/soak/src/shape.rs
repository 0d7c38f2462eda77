//! How an endpoint frames and ends the response to a request of a raw caller.
//!
//! The caller draws the shape and names it in the id of the request, so that what the endpoint sends
//! is known from the id alone.

use std::time::Duration;

use http::HeaderMap;
use standin::{Ending, Reply};

/// Time between two parts of such a response: streams last long enough for faults to meet them.
const PART_INTERVAL: Duration = Duration::from_millis(100);

/// How a response is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Frame {
    /// The end of the connection ends it.
    Close,
    /// Chunks and the last one.
    Chunks,
    /// A length.
    Length,
}

/// Where and how a response ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum End {
    /// It is whole.
    Whole,
    /// The connection closes between two events, or between two parts of another body.
    BetweenEvents,
    /// It stops inside an event. The frame says that it is whole, as far as it can.
    InEvent,
    /// The connection is reset between two events, or between two parts of another body.
    Reset,
}

/// Frame and end of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Shape {
    pub frame: Frame,
    pub end: End,
}

const FRAMES: [(Frame, char); 3] =
    [(Frame::Close, 'u'), (Frame::Chunks, 'c'), (Frame::Length, 'l')];
const ENDS: [(End, char); 4] =
    [(End::Whole, 'w'), (End::BetweenEvents, 'b'), (End::InEvent, 'i'), (End::Reset, 'r')];

/// The parts of a body that an endpoint has to send.
pub struct Content {
    pub parts: Vec<String>,
    /// Whether the parts are events.
    pub is_stream: bool,
}

impl Shape {
    /// Text form, as in the id of a request.
    pub fn text(self) -> String {
        let frame = FRAMES.iter().find(|(frame, _)| *frame == self.frame);
        let end = ENDS.iter().find(|(end, _)| *end == self.end);
        frame.map(|(_, letter)| letter).into_iter().chain(end.map(|(_, letter)| letter)).collect()
    }

    /// Parses the text form.
    pub fn read(text: &str) -> Option<Shape> {
        let mut letters = text.chars();
        let (first, second) = (letters.next()?, letters.next()?);
        let frame = FRAMES.iter().find(|(_, letter)| *letter == first)?.0;
        let end = ENDS.iter().find(|(_, letter)| *letter == second)?.0;
        Some(Shape { frame, end })
    }

    /// The parts that are sent of a body.
    fn sent(self, content: &Content) -> Vec<String> {
        let half = content.parts.len() / 2;
        let mut sent = match self.end {
            End::Whole => content.parts.clone(),
            End::BetweenEvents | End::InEvent | End::Reset => content.parts[..half].to_vec(),
        };
        if self.end == End::InEvent {
            let next = &content.parts[half];
            sent.push(next[..next.len() / 2].to_owned());
        }
        sent
    }

    /// The body as far as it is sent.
    pub fn body(self, content: &Content) -> String {
        self.sent(content).concat()
    }

    /// Whether the response ends with its connection, which is closed in order.
    pub fn ends_by_close(self) -> bool {
        self.frame == Frame::Close && self.end != End::Reset
    }

    /// The response with such a body.
    pub fn reply(self, headers: &HeaderMap, content: &Content) -> Reply {
        let sent = self.sent(content);
        // Only the events tell that such a stream broke off; other bodies have none.
        let is_framed_in_event = self.end == End::InEvent && content.is_stream;
        let looks_whole = self.end == End::Whole || is_framed_in_event;
        let framing = match self.frame {
            Frame::Close => String::new(),
            Frame::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
            Frame::Length => {
                let of = if looks_whole { &sent } else { &content.parts };
                format!("content-length: {}\r\n", of.iter().map(String::len).sum::<usize>())
            }
        };
        let lines = headers.iter().map(|(name, value)| {
            format!("{name}: {}\r\n", value.to_str().expect("headers of fixtures are text"))
        });
        let head = format!("HTTP/1.1 200 OK\r\n{framing}{}\r\n", lines.collect::<String>());
        let mut parts = vec![head.into_bytes()];
        for part in sent {
            parts.push(match self.frame {
                Frame::Chunks => format!("{:x}\r\n{part}\r\n", part.len()).into_bytes(),
                Frame::Close | Frame::Length => part.into_bytes(),
            });
        }
        if self.frame == Frame::Chunks && looks_whole {
            parts.push(b"0\r\n\r\n".to_vec());
        }
        let ending = match self.end {
            End::Reset => Ending::Reset,
            _ if self.frame != Frame::Close && looks_whole => Ending::Stay,
            End::Whole | End::BetweenEvents | End::InEvent => Ending::Close,
        };
        Reply::RawParts(parts, PART_INTERVAL, ending)
    }
}
