//! Parses chat completion requests and writes answers that are not streamed.

use std::sync::Arc;

use balance::Prefix;
use bytes::Bytes;
use resource::Pool;
use serde_json::{Map, Value, json};

use crate::outcome::{Reason, Refusal};

/// A chat completion request.
#[derive(Debug)]
pub struct Chat {
    /// Model name; it names the route.
    pub model: Arc<str>,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// Limit of output tokens, if the caller sets one.
    pub max_tokens: Option<u64>,
    body: Map<String, Value>,
}

fn malformed(message: &str) -> Refusal {
    Reason::Malformed.with(message)
}

impl Chat {
    /// Parses and validates a body.
    pub fn read(body: &[u8]) -> Result<Chat, Refusal> {
        let value: Value = serde_json::from_slice(body)
            .map_err(|error| malformed(&format!("the body is not JSON: {error}")))?;
        let Value::Object(body) = value else { return Err(malformed("the body is no object")) };
        let model = body.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| malformed("`model` must be a string"))?;
        let messages = body.get("messages").and_then(Value::as_array);
        let messages = messages.ok_or_else(|| malformed("`messages` must be an array"))?;
        let well_formed =
            |message: &Value| message["role"].is_string() && (message["content"].is_string());
        if messages.is_empty() || !messages.iter().all(well_formed) {
            return Err(malformed("each message needs a string `role` and a string `content`"));
        }
        let stream = flag(&body, "stream")?;
        let max_tokens = match number(&body, "max_completion_tokens")? {
            None => number(&body, "max_tokens")?,
            some => some,
        };
        if body.get("n").is_some_and(|n| n != 1) {
            return Err(malformed("`n` must be 1"));
        }
        Ok(Chat { model: model.into(), stream, max_tokens, body })
    }

    fn contents(&self) -> impl Iterator<Item = &str> {
        let messages = self.body["messages"].as_array().into_iter().flatten();
        messages.filter_map(|message| message["content"].as_str())
    }

    /// Prefix of the prompt, for affinity.
    pub fn prefix(&self) -> Prefix {
        Prefix::of(self.contents())
    }

    /// Most tokens that the request can use, with `limit` output tokens.
    pub fn worst_case(&self, pool: &Pool, limit: u64) -> u64 {
        let bytes: usize = self.contents().map(str::len).sum();
        pool.max_prompt_tokens(bytes as u64) + limit
    }

    /// Body for the engine: always streamed, with usage and the output limit.
    pub fn body(mut self, limit: u64) -> Bytes {
        self.body.remove("max_completion_tokens");
        self.body.insert("max_tokens".into(), limit.into());
        self.body.insert("stream".into(), true.into());
        self.body.insert("stream_options".into(), json!({"include_usage": true}));
        Value::Object(self.body).to_string().into()
    }
}

fn flag(body: &Map<String, Value>, key: &str) -> Result<bool, Refusal> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(malformed(&format!("`{key}` must be true or false"))),
    }
}

fn number(body: &Map<String, Value>, key: &str) -> Result<Option<u64>, Refusal> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => match value.as_u64() {
            Some(number) if number > 0 => Ok(Some(number)),
            _ => Err(malformed(&format!("`{key}` must be a whole number above 0"))),
        },
    }
}

/// Body of an answer that is not streamed.
pub fn completion(
    model: &str,
    key: &str,
    text: &str,
    reason: &str,
    prompt: u64,
    output: u64,
) -> Bytes {
    let value = json!({
        "id": key, "object": "chat.completion", "model": model,
        "choices": [{
            "index": 0, "finish_reason": reason,
            "message": {"role": "assistant", "content": text},
        }],
        "usage": {
            "prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output,
        },
    });
    value.to_string().into()
}

/// Final events of a stream that is cut off at its output limit.
pub fn truncation_events(key: &str, prompt: u64, output: u64) -> Bytes {
    let value = json!({
        "id": key, "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
        "usage": {
            "prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output,
        },
    });
    format!("data: {value}\n\ndata: [DONE]\n\n").into()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    #[test]
    fn invalid_bodies_are_refused_with_the_field() {
        let cases = [
            ("{", "not JSON"),
            ("[]", "no object"),
            (r#"{"messages": []}"#, "`model`"),
            (r#"{"model": "m", "messages": []}"#, "each message"),
            (r#"{"model": "m", "messages": [{"role": "user"}]}"#, "each message"),
            (
                r#"{"model": "m", "messages": [{"role": "u", "content": "x"}], "max_tokens": 0}"#,
                "`max_tokens`",
            ),
        ];
        for (body, want) in cases {
            let refusal = Chat::read(body.as_bytes()).unwrap_err();
            assert!(refusal.message.contains(want), "{} lacks {want}", refusal.message);
        }
    }

    proptest! {
        #[test]
        fn any_body_is_parsed_or_refused(body in prop::collection::vec(any::<u8>(), 0..200)) {
            if let Err(refusal) = Chat::read(&body) {
                prop_assert_eq!(refusal.reason, Reason::Malformed);
            }
        }

        #[test]
        fn the_worst_case_covers_prompt_and_output(content in ".{0,60}", limit in 1u64..500) {
            let body = json!({"model": "m", "messages": [{"role": "user", "content": content}]});
            let chat = Chat::read(body.to_string().as_bytes()).unwrap();
            let pool: Pool = serde_json::from_value(json!({
                "serves": {"model": {"bytes_per_token": 1}}, "endpoints": [],
            })).unwrap();
            prop_assert_eq!(chat.worst_case(&pool, limit), content.len() as u64 + limit);
        }
    }
}
