//! Splits a stream of server-sent events.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;

/// Largest event accepted from an endpoint, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event of a completion stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token,
    /// The tokens used; the last event before the end mark.
    Usage { prompt: u64, completion: u64 },
    /// The end mark, `[DONE]`.
    Done,
    /// Anything else, such as a comment.
    Other,
}

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLarge;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Scanner {
    partial: BytesMut,
}

impl Scanner {
    /// Adds bytes; returns the events that they completed.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Vec<Bytes>, TooLarge> {
        let mut events = Vec::new();
        let mut buffer = match self.partial.is_empty() {
            true => bytes.clone(),
            false => {
                self.partial.extend_from_slice(bytes);
                self.partial.split().freeze()
            }
        };
        while let Some(at) = end_of_event(&buffer) {
            events.push(buffer.split_to(at));
        }
        if buffer.len() > MAX_EVENT_BYTES {
            return Err(TooLarge);
        }
        self.partial = BytesMut::from(&buffer[..]);
        Ok(events)
    }
}

fn end_of_event(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
}

/// Classifies an event; only one with usage is parsed as JSON.
pub fn classify(event: &[u8]) -> Event {
    let Some(data) = event.trim_ascii().strip_prefix(b"data:") else { return Event::Other };
    let data = data.trim_ascii_start();
    if data == b"[DONE]" {
        return Event::Done;
    }
    let has_usage = data.windows(9).any(|part| part == b"\"usage\":{");
    match has_usage.then(|| serde_json::from_slice::<UsageEvent>(data)) {
        Some(Ok(UsageEvent { usage })) => {
            Event::Usage { prompt: usage.prompt_tokens, completion: usage.completion_tokens }
        }
        _ => Event::Token,
    }
}

#[derive(Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// Text and finish reason of an event.
pub fn text(event: &[u8]) -> (String, Option<String>) {
    let data = event.trim_ascii().strip_prefix(b"data:").unwrap_or_default();
    let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else { return Default::default() };
    let Some(choice) = chunk.choices.into_iter().next() else { return Default::default() };
    (choice.delta.content.unwrap_or_default(), choice.finish_reason)
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn events_are_classified() {
        let cases: [(&[u8], Event); 4] = [
            (b"data: {\"choices\":[]}\n\n", Event::Token),
            (
                b"data: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n",
                Event::Usage { prompt: 3, completion: 4 },
            ),
            (b"data: [DONE]\n\n", Event::Done),
            (b": ping\n\n", Event::Other),
        ];
        for (bytes, want) in cases {
            assert_eq!(classify(bytes), want);
        }
    }

    proptest! {
        #[test]
        fn events_do_not_depend_on_how_bytes_arrive(
            events in prop::collection::vec("[a-z\n]{0,6}", 0..8),
            cuts in prop::collection::vec(1usize..9, 1..30),
        ) {
            let whole: String = events.iter().map(|event| format!("{event}\n\n")).collect();
            let at_once = Scanner::default().push(&Bytes::from(whole.clone())).unwrap();
            let mut scanner = Scanner::default();
            let (mut pieces, mut rest) = (Vec::new(), whole.as_bytes());
            for cut in cuts.iter().cycle() {
                if rest.is_empty() {
                    break;
                }
                let (piece, after) = rest.split_at((*cut).min(rest.len()));
                pieces.extend(scanner.push(&Bytes::copy_from_slice(piece)).unwrap());
                rest = after;
            }
            prop_assert_eq!(at_once, pieces);
        }
    }
}
