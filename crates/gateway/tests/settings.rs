//! Parsing, validation and reloading of settings.

use gateway::{Settings, settings::Cold};

const MINIMAL: &str = r#"{
  // As the platform renders it.
  "box": "front-bornova-1",
  "zone": "bornova",
  "listen": {
    "callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "operators": "127.0.0.1:0"
  },
  "store": { "address": "127.0.0.1:7000" },
}"#;

#[test]
fn minimal_settings_are_valid() {
    let settings = Settings::read(MINIMAL).expect("valid");
    assert_eq!(&*settings.box_name, "front-bornova-1");
    assert_eq!(settings.listen.peers, None);
}

#[test]
fn errors_name_field_and_line() {
    let cases = [
        (r#""zone": "bornova""#, r#""zone": 7"#, "line 4: `zone`"),
        (r#""store": {"#, r#""store": { "timeout_ms": 1,"#, "`store.timeout_ms`: must be between"),
        (r#""store": {"#, r#""money": { "shar": 3 }, "store": {"#, "unknown field `shar`"),
        // A request would ask other boxes before the settlement made for it could complete.
        (
            r#""store": {"#,
            r#""money": { "store_ms": 40 }, "store": {"#,
            "`money.store_ms`: must be between",
        ),
        (r#"127.0.0.1:7000"#, r#"nowhere"#, "`store.address`: invalid socket address"),
    ];
    for (from, to, want) in cases {
        let error = Settings::read(&MINIMAL.replace(from, to)).expect_err(to).to_string();
        assert!(error.contains(want), "{to}: {error}");
    }
}

#[test]
fn reload_names_settings_that_need_a_restart() {
    let cases = [
        (r#""zone": "bornova""#, r#""zone": "buca""#, vec!["zone"]),
        (
            r#""zone": "bornova""#,
            r#""zone": "bornova", "machine": {"cores": 0.5}"#,
            vec!["machine"],
        ),
        (r#""store": {"#, r#""limits": { "bodies": 100000 }, "store": {"#, vec!["limits"]),
        (r#""store": {"#, r#""limits": { "stop_ms": 900 }, "store": {"#, vec![]),
        (r#""store": {"#, r#""money": { "share": 100 }, "store": {"#, vec![]),
        (r#""store": {"#, r#""log": { "level": "warn" }, "store": {"#, vec!["log"]),
    ];
    let before = Settings::read(MINIMAL).expect("valid");
    for (from, to, want) in cases {
        let after = Settings::read(&MINIMAL.replace(from, to)).expect("valid");
        assert_ne!(before, after);
        assert_eq!(before.restart_only_changes(&after), want, "{to}");
    }
}

#[test]
fn example_is_valid_and_has_the_defaults() {
    let text = include_str!("../../../examples/gateway.jsonc");
    let example = Settings::read(text).expect("valid");
    assert_eq!(example.money, gateway::settings::Money::default());
    assert_eq!(example.store.timeout_ms, 1_000);
}

/// Renders an optional section of the template: drops its markers, and its content unless a value is given.
fn section(text: &str, value: &str, given: bool) -> String {
    let (opens, closes) = (format!("{{{{#{value}}}}}"), format!("{{{{/{value}}}}}"));
    let (before, rest) = text.split_once(&opens).expect("the section opens");
    let (part, after) = rest.split_once(&closes).expect("the section closes");
    [before, if given { part } else { "" }, after].concat()
}

/// Renders the template's section about regions, once for each zone.
fn regions(text: &str, zones: &[(&str, &str)]) -> String {
    let (before, rest) = text.split_once("{{#zones}}").expect("the section opens");
    let (part, after) = rest.split_once("{{/zones}}").expect("the section closes");
    let one = |(at, (zone, region)): (usize, &(&str, &str))| {
        let comma = if at + 1 < zones.len() { "," } else { "" };
        let part = part.replace("{{@}}", zone).replace("{{,}}", comma);
        part.replace("{{.|json}}", &format!("{region:?}"))
    };
    let rendered: Vec<String> = zones.iter().enumerate().map(one).collect();
    [before, &rendered.concat(), after].concat()
}

#[test]
fn template_renders_to_valid_settings() {
    let template = include_str!("../../../deploy/settings.jsonc");
    let fields = [
        ("{{node_name|json}}", "\"front-1\""),
        ("{{zone|json}}", "\"z1\""),
        ("{{listen.front|json}}", "\"10.1.0.40:8227\""),
        ("{{listen.ready|json}}", "\"10.1.0.40:8220\""),
        ("{{ip}}", "10.1.0.40"),
        ("{{limits.cpu_share|json}}", "0.25"),
        ("{{limits.link_mbps|json}}", "20.0"),
        ("{{internal_ports.0}}", "7340"),
        ("{{platform.address|json}}", "\"10.200.1.7:8223\""),
        ("{{bounds.cold_overage|json}}", "1.5"),
        ("{{bounds.cold_slack|json}}", "5"),
        ("{{bounds.drain_ms|json}}", "3000"),
    ];
    let rendered = fields.iter().fold(template.to_owned(), |text, (placeholder, value)| {
        assert!(text.contains(placeholder), "{placeholder} is not in the template");
        text.replace(placeholder, value)
    });
    for (given, cold) in [(true, Cold { factor: 1.5, extra: 5.0 }), (false, Cold::default())] {
        let zones: &[(&str, &str)] = if given { &[("z1", "north"), ("z2", "south")] } else { &[] };
        let rendered = regions(&rendered, zones);
        let rendered = section(&rendered, "bounds.cold_overage", given);
        let rendered = section(&rendered, "bounds.drain_ms", given);
        assert!(!rendered.contains("{{"), "a placeholder is left: {rendered}");
        let settings = Settings::read(&rendered).expect("valid");
        assert_eq!(settings.listen.peers.map(|address| address.port()), Some(7340));
        assert_eq!(settings.machine.capacity(), 20, "the link is the scarcest resource");
        assert_eq!(settings.cold, cold);
        assert_eq!(settings.store.max_age_ms, if given { 3_000 } else { 2_000 });
        let of_zones = zones.iter().map(|(zone, region)| ((*zone).into(), (*region).into()));
        assert_eq!(settings.regions, gateway::Regions::new(of_zones.collect()));
    }
}
