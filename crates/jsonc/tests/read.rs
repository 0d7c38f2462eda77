//! Errors name the key and its line; no input makes the parser panic.

use proptest::prelude::*;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Sample {
    name: String,
    limits: Vec<Limit>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
#[allow(dead_code)]
struct Limit {
    most: u32,
}

#[test]
fn errors_name_key_and_line() {
    let cases = [
        ("{\n // a comment\n \"name\": 3,\n \"limits\": []\n}", "line 3: `name`"),
        (
            "{\n \"name\": \"x\",\n \"limits\": [{\"most\": 1},\n {\"mots\": 2}]}",
            "line 4: `limits[1].mots`",
        ),
        ("{\n \"name\": \"x\",\n \"limits\": [\n{\"most\": -1}]}", "line 4: `limits[0].most`"),
        ("{\n \"name\": \"x\",\n", "line"),
    ];
    for (text, want) in cases {
        let error = jsonc::read::<Sample>(text).unwrap_err().to_string();
        assert!(error.starts_with(want), "{error} does not start with {want}");
    }
}

proptest! {
    #[test]
    fn any_text_is_read_or_rejected(text in "[\\[\\]{}\",:a-z0-9/*\\n -]{0,80}") {
        let _ = jsonc::read::<Sample>(&text);
    }
}
