//! Invalid settings are refused with the key, its line and the allowed values.

use proptest::prelude::*;
use router::Settings;

const GOOD: &str = r#"{
  // An entry box.
  "box": "bornova-1",
  "zone": "bornova",
  "listen": { "callers": "127.0.0.1:8080", "operators": "127.0.0.1:9090" },
  "platform": { "address": "http://127.0.0.1:7000" },
  "money": { "beat_ms": 1000, "seal_after_ms": 4000 },
  "log": { "level": "info" }
}"#;

#[test]
fn valid_settings_are_parsed() {
    let settings = Settings::read(GOOD).unwrap();
    assert_eq!((&*settings.box_name, settings.money.beat_ms), ("bornova-1", 1_000));
}

#[test]
fn errors_name_key_line_and_range() {
    let cases = [
        ("\"zone\"", "\"zoen\"", "line 4: `zoen`: unknown field"),
        ("\"bornova-1\"", "\"Bornova 1\"", "line 3: `box`: must be a name"),
        ("127.0.0.1:8080", "localhost", "line 5: `listen.callers`"),
        ("http://", "ftp://", "line 6: `platform.address`: must be an address that starts"),
        ("1000", "5", "line 7: `money.beat_ms`: must be between 10 and 60000"),
        ("4000", "1500", "line 7: `money.seal_after_ms`: must be at least twice"),
        ("4000", "\"soon\"", "line 7: `money.seal_after_ms`"),
        ("\"info\"", "\"loud\"", "line 8: `log.level`: must be error, warn"),
    ];
    for (from, to, want) in cases {
        let error = Settings::read(&GOOD.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(error.starts_with(want), "{error} does not start with {want}");
    }
}

proptest! {
    #[test]
    fn any_mutation_is_parsed_or_refused(at in 0..GOOD.len(), with in "[ -~]{0,6}") {
        let mut text = GOOD.to_owned();
        text.replace_range(at..at + 1, &with);
        if let Err(error) = Settings::read(&text) {
            prop_assert!(error.to_string().starts_with("line "));
        }
    }
}
