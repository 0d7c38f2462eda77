//! Settings: what is read, and what a mistake is answered with.

use gateway::Settings;

const GOOD: &str = r#"{
  // As the platform renders it.
  "box": "front-bornova-1",
  "zone": "bornova",
  "listen": {
    "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "operators": "127.0.0.1:0"
  },
  "store": { "address": "127.0.0.1:7000" },
}"#;

#[test]
fn the_least_settings_are_enough() {
    let settings = Settings::read(GOOD).expect("valid");
    assert_eq!(&*settings.box_name, "front-bornova-1");
    assert_eq!(settings.listen.peers, None);
}

#[test]
fn a_mistake_is_named_with_its_line() {
    let cases = [
        (r#""zone": "bornova""#, r#""zone": 7"#, "line 4: `zone`"),
        (r#""store": {"#, r#""store": { "timeout_ms": 1,"#, "`store.timeout_ms`: must be between"),
        (r#""store": {"#, r#""money": { "shar": 3 }, "store": {"#, "unknown field `shar`"),
        (r#"127.0.0.1:7000"#, r#"nowhere"#, "`store.address`: invalid socket address"),
    ];
    for (from, to, want) in cases {
        let error = Settings::read(&GOOD.replace(from, to)).expect_err(to).to_string();
        assert!(error.contains(want), "{to}: {error}");
    }
}
