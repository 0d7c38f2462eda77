//! Decisions of a gateway that need no I/O: routing, endpoint directory, retry budget, metering, refusals.

use std::{sync::Arc, time::Duration};

use gateway::{ConfigTable, Directory, EventCounter, Reason, Retries, settings};
use http::StatusCode;
use platform::{config::Config, endpoint::Entry, fixtures};

fn table(routes: &[&str]) -> ConfigTable {
    let text = fixtures::config(3, 1_000, routes);
    ConfigTable::new(Config::read(&text).expect("a valid configuration"))
}

#[test]
fn longest_path_prefix_of_the_host_wins() {
    let text = fixtures::routes(&[
        ("all", "Desk.example", "/", &[("a", 1)]),
        ("long", "desk.example", "/x/y/", &[("b", 1)]),
        ("short", "desk.example", "/x/", &[("c", 1)]),
    ]);
    let table = ConfigTable::new(Config::read(&text).expect("unknown fields are ignored"));
    let cases = [
        ("desk.example", "/x/y/z", Some("long")),
        ("desk.example:8080", "/x/yz", Some("short")),
        ("DESK.example", "/x", Some("all")),
        ("other.example", "/x/", None),
        ("", "/", None),
    ];
    for (host, path, want) in cases {
        let found = table.route(host, path).map(|route| &*route.name);
        assert_eq!(found, want, "{host}{path}");
    }
}

#[test]
fn only_configured_keys_name_a_customer() {
    let table = table(&["cancel"]);
    for (key, want) in
        [("key-b", Some("bornova")), ("key-p", Some("pasila")), ("KEY-B", None), ("", None)]
    {
        assert_eq!(table.customer(key).map(|customer| &*customer.name), want, "{key}");
    }
}

#[test]
fn split_follows_weights_and_request_id() {
    let services = [("a", 90), ("b", 10), ("never", 0)];
    let text = fixtures::routes(&[("r", "h", "/", &services)]);
    let table = ConfigTable::new(Config::read(&text).expect("valid"));
    let route = table.route("h", "/").expect("a route").clone();
    let ids: Vec<String> = (0..2_000).map(|n| format!("id-{n}")).collect();
    let to = |id: &String| table.target(&route, id).expect("a service").clone();
    let share = ids.iter().filter(|id| &*to(id) == "b").count();
    assert!((140..260).contains(&share), "{share} of 2,000 went to b");
    assert!(ids.iter().all(|id| &*to(id) != "never" && to(id) == to(id)));
}

fn entry(state: &str) -> Entry {
    let address = "127.0.0.1:9".parse().expect("an address");
    Entry::read(&fixtures::entry("plain", address, state == "ready")).expect("an entry")
}

fn ready(directory: &Directory) -> Vec<&str> {
    let mut names: Vec<&str> = directory.ready().map(|(id, _)| &**id).collect();
    names.sort_unstable();
    names
}

#[test]
fn draining_endpoint_is_not_ready() {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![("a".into(), 1, entry("ready")), ("b".into(), 2, entry("ready"))],
        2,
        0,
    );
    assert_eq!(ready(&directory), ["a", "b"]);
    directory.set("a".into(), 3, entry("draining"));
    assert_eq!(ready(&directory), ["b"], "a is draining");
    directory.set("a".into(), 1, entry("ready"));
    assert_eq!(ready(&directory), ["b"], "an older entry does not undo it");
    directory.remove("b", 99);
    assert!(ready(&directory).is_empty(), "the entry of b was removed");
}

#[test]
fn lapsed_entries_have_time_to_come_back() {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![("a".into(), 1, entry("ready")), ("b".into(), 2, entry("ready"))],
        2,
        0,
    );
    directory.store_returned(5_000, 12_000);
    directory.apply_list(vec![("a".into(), 9, entry("ready"))], 9, 10_000);
    assert_eq!(ready(&directory), ["a", "b"], "b may still come back");
    assert!(directory.has_missing());
    assert!(!directory.sweep(11_999));
    directory.set("b".into(), 11, entry("ready"));
    assert!(!directory.sweep(12_000), "b came back");
    assert_eq!(ready(&directory), ["a", "b"]);
    directory.store_returned(15_000, 20_000);
    directory.apply_list(vec![("a".into(), 9, entry("ready"))], 12, 18_000);
    assert!(!directory.sweep(19_999));
    assert!(directory.sweep(20_000), "b did not come back this time");
    assert_eq!(ready(&directory), ["a"]);
}

#[test]
fn entry_removed_after_an_outage_is_not_kept() {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![("a".into(), 1, entry("ready")), ("b".into(), 2, entry("ready"))],
        2,
        0,
    );
    directory.store_returned(5_000, 12_000);
    directory.apply_list(
        vec![("a".into(), 1, entry("ready")), ("b".into(), 2, entry("ready"))],
        0,
        10_000,
    );
    directory.remove("b", 99);
    assert_eq!(ready(&directory), ["a"], "the store is back, so b was removed");
    assert!(!directory.has_missing());
}

#[test]
fn late_report_of_the_same_outage_extends_nothing() {
    let mut directory = Directory::default();
    directory.apply_list(
        vec![("a".into(), 1, entry("ready")), ("b".into(), 2, entry("ready"))],
        2,
        0,
    );
    directory.store_returned(5_000, 12_000);
    directory.apply_list(vec![("a".into(), 9, entry("ready"))], 9, 10_000);
    // A task that probes seldom finds the store 2 s later and reports the same outage.
    directory.store_returned(6_000, 14_000);
    directory.apply_list(vec![("a".into(), 9, entry("ready"))], 9, 11_900);
    assert!(directory.sweep(12_000), "the time for b was not extended");
    assert_eq!(ready(&directory), ["a"]);
    directory.store_returned(13_000, 20_000);
    directory.apply_list(Vec::new(), 9, 18_000);
    assert_eq!(ready(&directory), ["a"], "after another outage, `a` has time to come back too");
}

#[test]
fn retry_budget_is_a_share_of_recent_requests() {
    let limits = settings::Retries { ratio: 0.1, extra: 1, window_s: 10 };
    let service: Arc<str> = "plain".into();
    let mut retries = Retries::default();
    for second in 0..10 {
        (0..4).for_each(|_| retries.count_request(&service, second, &limits));
    }
    let taken = (0..20).filter(|_| retries.take(&service, 9, &limits)).count();
    assert_eq!(taken, 5, "a tenth of 40 requests and one extra");
    assert!(!retries.take(&service, 18, &limits), "retries of second 9 still count");
    assert!(retries.take(&service, 19, &limits), "a new window has its own extra retry");
    assert!(retries.take(&"other".into(), 9, &limits), "each service has its own budget");
}

#[test]
fn events_are_counted_across_chunk_boundaries() {
    let stream = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\n: note\n\ndata: unfinished\n";
    for size in 1..stream.len() {
        let mut event_counter = EventCounter::default();
        for part in stream.chunks(size) {
            event_counter.feed(part);
        }
        assert_eq!(event_counter.events(), 3, "in chunks of {size}");
        assert!(event_counter.is_in_event(), "the last event has not ended");
    }
}

/// Guards against streams that end inside an event and pass for whole ones.
#[test]
fn a_stream_is_inside_an_event_until_an_empty_line() {
    let cases: [(&[u8], u64, bool); 19] = [
        (b"", 0, false),
        (b"data: x\n\n", 1, false),
        (b"data: x\r\n\r\n", 1, false),
        (b"data: x\r\r", 1, false),
        (b"data: x\r\rdata: y\r\r", 2, false),
        (b"data: x\n\r\n", 1, false),
        (b"data: x", 0, true),
        (b"data: x\n", 0, true),
        (b"data: x\r\n", 0, true),
        (b"data: x\r\n\r", 1, false),
        (b"data: x\n\nid: 2", 1, true),
        (b"data: x\n\nid: 2\nda", 1, true),
        (b"data: x\n\n\n\r\n\r", 1, false),
        (b"data: x\n\n: note\n", 1, false),
        (b"data: x\n\n: half a no", 1, false),
        (b"data: x\n: note\n", 0, true),
        (b"\xEF\xBB\xBF", 0, false),
        (b"\xEF\xBB\xBFdata: x\n\n", 1, false),
        (b"data: x\n\n\xEF\xBB\xBF", 1, true),
    ];
    for (stream, events, is_in_event) in cases {
        for size in 1..=stream.len().max(1) {
            let mut event_counter = EventCounter::default();
            for part in stream.chunks(size) {
                event_counter.feed(part);
            }
            let found = (event_counter.events(), event_counter.is_in_event());
            let text = String::from_utf8_lossy(stream);
            assert_eq!(found, (events, is_in_event), "{text:?} in chunks of {size}");
        }
    }
}

#[test]
fn not_run_statuses_are_used_only_for_unrun_requests() {
    let not_run_statuses =
        [408, 421, 429, 503].map(|code| StatusCode::from_u16(code).expect("a status"));
    let unknown_outcomes = [Reason::Silent, Reason::Lost];
    for reason in unknown_outcomes {
        assert!(!reason.is_not_run() && !not_run_statuses.contains(&reason.status()), "{reason:?}");
    }
    for reason in [Reason::TokensShort, Reason::NoEndpoint, Reason::TooLate, Reason::NoConfig] {
        assert!(reason.is_not_run() && not_run_statuses.contains(&reason.status()), "{reason:?}");
        let refusal = reason.after(Duration::from_millis(1_500), "later");
        let response = refusal.response(Some("try-1"));
        assert_eq!(response.headers()["retry-after"], "1.500", "{reason:?}");
    }
}
