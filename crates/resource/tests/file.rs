//! Resource files: errors name the key and its line; no input makes the parser panic.

use proptest::prelude::*;
use resource::{ApiKey, Kind, hash_secret, read};

const VALID_FILE: &str = r#"[
  // A budget with a comment.
  {"kind": "budget", "name": "bornova", "spec": {"customer": "dis", "paid": 1000}},
  {"kind": "pool", "name": "models", "spec": {
    "serves": {"model": {"bytes_per_token": 4}},
    "endpoints": [{"name": "e1", "address": "127.0.0.1:1", "zone": "bornova"}],
  }},
]"#;

#[test]
fn valid_file_is_read() {
    let documents = read(VALID_FILE).unwrap();
    let kinds: Vec<Kind> = documents.iter().map(|document| document.kind).collect();
    assert_eq!(kinds, [Kind::Budget, Kind::Pool]);
    let text = documents[0].spec.to_json();
    assert_eq!(resource::Spec::from_json(Kind::Budget, &text).unwrap(), documents[0].spec);
}

#[test]
fn errors_name_key_and_line() {
    let cases = [
        ("\"paid\": 1000", "\"paid\": -1", "line 3: `[0].spec.paid`"),
        ("\"paid\"", "\"payed\"", "line 3: `[0].spec.payed`: unknown field"),
        ("\"budget\"", "\"budgets\"", "line 3: `[0].kind`: `budgets` is not a kind"),
        ("\"bornova\", \"spec\"", "\"Bornova\", \"spec\"", "line 3: `[0].name`"),
        ("127.0.0.1:1", "localhost", "line 6: `[1].spec.endpoints[0].address`: must be an IP"),
        ("\"bytes_per_token\": 4", "\"bytes_per_token\": 0", "line 5: `[1].spec.serves.model"),
    ];
    for (from, to, want) in cases {
        let error = read(&VALID_FILE.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(error.starts_with(want), "{error} does not start with {want}");
    }
}

#[test]
fn api_key_matches_only_its_own_hash() {
    let stored = resource::Key { sha256: hash_secret("correct-horse"), budget: "bornova".into() };
    let cases = [
        ("dis.desk.correct-horse", Some(true)),
        ("dis.desk.correct-horsf", Some(false)),
        ("dis.desk.short", None),
        ("dis", None),
        ("DIS.desk.correct-horse", None),
    ];
    for (text, want) in cases {
        let got = ApiKey::parse(text).map(|key| key.matches(&stored));
        assert_eq!(got, want, "{text}");
    }
}

proptest! {
    #[test]
    fn mutated_file_is_read_or_rejected(at in 0..VALID_FILE.len(), with in "[ -~]{0,6}") {
        let mut text = VALID_FILE.to_owned();
        text.replace_range(at..at + 1, &with);
        if let Err(error) = read(&text) {
            prop_assert!(error.to_string().starts_with("line "));
        }
    }
}
