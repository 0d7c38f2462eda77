//! Proxying of requests from the caller to an endpoint and back.

use std::time::Duration;

use crate::harness::{
    Harness, answer_ok, call, charged_tokens, request, send, settings, shared, wait_until,
    wait_until_served,
};
use http::{HeaderMap, StatusCode};
use platform::fixtures;
use standin::{ReceivedRequest, Reply};

fn id_of(arrived: &ReceivedRequest) -> HeaderMap {
    fixtures::response_headers(&arrived.head.id, None)
}

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    let harness = Harness::start(1_000_000, &["confirm", "open"]).await;
    let endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let req = harness.new_request("key-b", 5, 5);
    let sent = fixtures::forged_headers().into_iter().fold(
        request(gateway.callers(), "/confirm/a%20b?x=1&y", &req),
        |request, (name, value)| request.header(name, value),
    );
    let response = send(sent.header("x-own", "kept").body("the body")).await;
    assert_eq!((response.status, response.body.as_deref()), (StatusCode::OK, Ok("done")));
    assert_eq!(fixtures::signature(&response.headers).as_deref(), Some(&*req.id));
    let arrived = endpoint.arrived().pop().expect("it arrived");
    assert_eq!(arrived.line, "POST /confirm/a%20b?x=1&y HTTP/1.1");
    assert_eq!(arrived.body, b"the body");
    assert_eq!(arrived.head.id, req.id);
    assert_eq!(
        arrived.head.customer.as_deref(),
        Some("bornova"),
        "a customer header of the caller is replaced"
    );
    assert_eq!(arrived.head.instance.as_deref(), Some("i-1"));
    assert_eq!(arrived.head.key, None, "endpoints do not see keys");
    let left = arrived.head.remaining.expect("a deadline");
    assert!(left <= Duration::from_secs(5), "the route's own time limit applies: {left:?}");
}

#[tokio::test]
async fn refusals_name_their_reason() {
    let harness = Harness::start(1_000, &["confirm", "stream", "open"]).await;
    let _plain = harness.endpoint("i-1", "plain", answer_ok).await;
    let _engine = harness.endpoint("i-2", "engines", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let large = "x".repeat(70_000);
    let cases = [
        ("/nowhere/x", "key-b", 1, "", 404, "no_route"),
        ("/confirm/x", "key-unknown", 1, "", 401, "no_customer"),
        ("/stream/x", "key-b", 5_000, "", 402, "budget_exhausted"),
        ("/confirm/x", "key-b", 1, &*large, 413, "too_large"),
    ];
    for (path, key, prompt, body, status, reason) in cases {
        let req = harness.new_request(key, prompt, 1);
        let response = send(request(gateway.callers(), path, &req).body(body.to_owned())).await;
        let text = response.body.expect("a body");
        assert_eq!(
            (response.status.as_u16(), text.contains(reason)),
            (status, true),
            "{path}: {text}"
        );
    }
}

#[tokio::test]
async fn endpoint_failures_are_retried_or_reported() {
    let not_run_response = |arrived: &ReceivedRequest| {
        let (status, headers) = fixtures::not_run_response(&arrived.head.id);
        Reply::Complete(status, headers, String::new())
    };
    let foreign = |_: &ReceivedRequest| {
        Reply::Complete(
            StatusCode::OK,
            fixtures::response_headers("another", None),
            "not yours".into(),
        )
    };
    let failed = |arrived: &ReceivedRequest| {
        Reply::Complete(StatusCode::INTERNAL_SERVER_ERROR, id_of(arrived), "failed".into())
    };
    let misdirected = |arrived: &ReceivedRequest| {
        let (status, headers) = fixtures::misdirected_response(&arrived.head.id);
        Reply::Complete(status, headers, String::new())
    };
    type Script = Box<dyn Fn(&ReceivedRequest) -> Reply + Send + Sync>;
    // Name, route, script of the first endpoint, status for the caller, times the request is sent.
    let cases: Vec<(&str, &str, Script, u16, usize)> = vec![
        ("not run, once only", "confirm", Box::new(not_run_response), 503, 1),
        ("not run, repeatable", "cancel", Box::new(not_run_response), 200, 2),
        ("misdirected, once only", "confirm", Box::new(misdirected), 200, 2),
        ("no response, once only", "confirm", Box::new(|_| Reply::Close), 502, 1),
        ("no response, repeatable", "cancel", Box::new(|_| Reply::Close), 200, 2),
        ("response to another request, once only", "confirm", Box::new(foreign), 502, 1),
        ("response to another request, repeatable", "cancel", Box::new(foreign), 200, 2),
        ("failed, once only", "confirm", Box::new(failed), 500, 1),
        ("failed, repeatable", "cancel", Box::new(failed), 200, 2),
    ];
    for (name, route, script, status, sent) in cases {
        let harness = Harness::start(1_000_000, &["confirm", "cancel", "open"]).await;
        // The first endpoint runs the script; the second one serves everything.
        let script = shared(move |arrived| match arrived.line.contains("/open/") {
            true => answer_ok(arrived),
            false => script(arrived),
        });
        let first = harness.endpoint("i-1", "plain", script).await;
        let gateway = harness.gateway("box-1").await;
        wait_until_served(&harness, &gateway, "/open/x").await;
        let second = match sent {
            1 => None,
            _ => Some(harness.endpoint("i-2", "plain", answer_ok).await),
        };
        if sent > 1 {
            wait_until("both endpoints are in use", async || {
                call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
                second.as_ref().is_some_and(|endpoint| !endpoint.arrived().is_empty())
            })
            .await;
        }
        let arrivals = || {
            let all = first.arrived().into_iter().chain(second.iter().flat_map(|e| e.arrived()));
            all.filter(|arrived| arrived.line.contains(&format!("/{route}/"))).count()
        };
        // Endpoints are chosen at random: repeat until the first one is tried first.
        let mut tries = 0;
        loop {
            tries += 1;
            let (before, first_before) = (arrivals(), first.arrived().len());
            let path = format!("/{route}/x");
            let response =
                call(gateway.callers(), &path, &harness.new_request("key-b", 1, 1)).await;
            if sent > 1 && first.arrived().len() == first_before && tries < 100 {
                continue;
            }
            assert_eq!(response.status.as_u16(), status, "{name}: {response:?}");
            assert_eq!(arrivals() - before, sent, "{name}");
            let is_not_run = response.status == StatusCode::SERVICE_UNAVAILABLE;
            assert_eq!(response.headers.contains_key("retry-after"), is_not_run, "{name}");
            break;
        }
    }
}

#[tokio::test]
async fn large_request_heads_are_accepted() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let before = endpoint.arrived().len();
    let req = harness.new_request("key-b", 1, 1);
    let large = "x".repeat(24_000);
    let response = send(request(gateway.callers(), "/open/x", &req).header("x-large", large)).await;
    assert_eq!((response.status, endpoint.arrived().len()), (StatusCode::OK, before + 1));
}

#[tokio::test]
async fn reloaded_settings_apply_at_once() {
    let harness = Harness::start(1_000_000, &["cancel", "open"]).await;
    let not_run_response = |arrived: &ReceivedRequest| match arrived.line.contains("/open/") {
        true => answer_ok(arrived),
        false => {
            let (status, headers) = fixtures::not_run_response(&arrived.head.id);
            Reply::Complete(status, headers, String::new())
        }
    };
    let not_run_response = shared(not_run_response);
    let endpoints = [
        harness.endpoint("i-1", "plain", not_run_response.clone()).await,
        harness.endpoint("i-2", "plain", not_run_response).await,
    ];
    let gateway = harness.gateway("box-1").await;
    wait_until("both endpoints are in use", async || {
        call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        endpoints.iter().all(|endpoint| !endpoint.arrived().is_empty())
    })
    .await;
    let sent = |endpoints: &[standin::ScriptedEndpoint; 2]| -> usize {
        let arrived = endpoints.iter().flat_map(|endpoint| endpoint.arrived());
        arrived.filter(|arrived| arrived.line.contains("/cancel/")).count()
    };
    call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
    assert_eq!(sent(&endpoints), 2, "retried once");
    let mut settings = settings("box-1", harness.platform.socket());
    (settings.retries.ratio, settings.retries.extra) = (0.0, 0);
    gateway.reload(settings);
    call(gateway.callers(), "/cancel/x", &harness.new_request("key-b", 1, 1)).await;
    assert_eq!(sent(&endpoints), 3, "no retries are allowed any more");
}

#[tokio::test]
async fn broken_stream_is_visible_to_the_caller() {
    let events: Vec<String> = (1..4).map(|n| format!("id: {n}\ndata: x\n\n")).collect();
    let whole = events.clone();
    let script = move |arrived: &ReceivedRequest| match arrived.line.contains("torn") {
        true => Reply::Truncated(id_of(arrived), events.clone()),
        false => Reply::Events(id_of(arrived), whole.clone(), Duration::ZERO),
    };
    let harness = Harness::start(1_000_000, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/stream/x").await;
    let before = charged_tokens(&gateway);
    let response =
        call(gateway.callers(), "/stream/torn", &harness.new_request("key-b", 10, 90)).await;
    assert!(response.body.is_err(), "the caller sees that the stream broke: {response:?}");
    let response =
        call(gateway.callers(), "/stream/x", &harness.new_request("key-b", 10, 90)).await;
    assert_eq!(response.body.expect("a whole stream").matches("id:").count(), 3);
    // Prompt plus 3 events of 2 tokens; the broken stream is charged for 10 further events.
    let both = (10 + 2 * 13) + (10 + 2 * 3);
    wait_until("both streams are charged", async || charged_tokens(&gateway) == before + both)
        .await;
}

#[tokio::test]
async fn abandoned_stream_is_charged_for_what_was_generated() {
    let events: Vec<String> = (1..1_000).map(|n| format!("id: {n}\ndata: x\n\n")).collect();
    let script = move |arrived: &ReceivedRequest| {
        Reply::Events(id_of(arrived), events.clone(), Duration::from_millis(20))
    };
    let harness = Harness::start(1_000_000, &["stream", "open"]).await;
    let _plain = harness.endpoint("p-1", "plain", answer_ok).await;
    let _engine = harness.endpoint("i-1", "engines", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let before = charged_tokens(&gateway);
    let req = harness.new_request("key-b", 10, 50_000);
    let mut response =
        request(gateway.callers(), "/stream/x", &req).send().await.expect("a response head");
    let first = response.chunk().await.expect("it streams");
    assert!(first.is_some_and(|bytes| bytes.starts_with(b"id: 1")));
    drop(response);
    wait_until("the stream is charged", async || charged_tokens(&gateway) > before).await;
    let charge = charged_tokens(&gateway) - before;
    assert!((10..10 + 2 * 1_000).contains(&charge), "{charge} charged of 50,010 reserved");
}

#[tokio::test]
async fn caller_disconnect_cancels_the_request() {
    let harness = Harness::start(1_000_000, &["confirm", "open"]).await;
    let script = |arrived: &ReceivedRequest| match arrived.line.contains("/confirm/") {
        true => Reply::Silent,
        false => answer_ok(arrived),
    };
    let endpoint = harness.endpoint("i-1", "plain", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let closed = endpoint.closed();
    let sending =
        request(gateway.callers(), "/confirm/x", &harness.new_request("key-b", 1, 1)).send();
    let outcome = tokio::time::timeout(Duration::from_millis(300), sending).await;
    assert!(outcome.is_err(), "the endpoint never answers");
    wait_until("the endpoint's connection closes", async || endpoint.closed() > closed).await;
}

#[tokio::test]
async fn caller_disconnect_under_back_pressure_cancels_the_request() {
    // More than all buffers between endpoint and caller hold.
    let event = format!("id: 1\ndata: {}\n\n", "x".repeat(1 << 20));
    let events = vec![event; 64];
    let script = move |arrived: &ReceivedRequest| match arrived.line.contains("/stream/") {
        true => Reply::Events(id_of(arrived), events.clone(), Duration::ZERO),
        false => answer_ok(arrived),
    };
    let harness = Harness::start(1_000_000, &["stream", "open"]).await;
    let _plain = harness.endpoint("p-1", "plain", answer_ok).await;
    let engine = harness.endpoint("i-1", "engines", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let req = harness.new_request("key-b", 10, 1_000);
    let response =
        request(gateway.callers(), "/stream/x", &req).send().await.expect("a response head");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(engine.closed(), 0, "back-pressure holds the endpoint");
    drop(response);
    wait_until("the endpoint's connection closes", async || engine.closed() > 0).await;
}

#[tokio::test]
async fn draining_endpoint_gets_no_new_requests() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let old = harness.endpoint("i-1", "plain", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let new = harness.endpoint("i-2", "plain", answer_ok).await;
    harness.write_entry("i-1", "plain", old.address(), false).await;
    let mut quiet = 0;
    wait_until("only the new endpoint is used", async || {
        let before = old.arrived().len();
        call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        quiet = if old.arrived().len() == before { quiet + 1 } else { 0 };
        quiet > 20
    })
    .await;
    assert!(new.arrived().len() > 20);
    harness.remove_entry("i-2").await;
    wait_until("no endpoint is left", async || {
        let response =
            call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        response.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
}

#[tokio::test]
async fn shutdown_finishes_streams_and_returns_all_tokens() {
    let events: Vec<String> = (0..20).map(|n| format!("id: {n}\ndata: x\n\n")).collect();
    let script = move |arrived: &ReceivedRequest| {
        Reply::Events(id_of(arrived), events.clone(), Duration::from_millis(30))
    };
    let harness = Harness::start(100_000, &["stream"]).await;
    let _engine = harness.endpoint("i-1", "engines", script).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/stream/x").await;
    let (callers, ready) = (gateway.callers(), gateway.ready());
    let req = harness.new_request("key-b", 100, 100);
    let stream = tokio::spawn(async move { call(callers, "/stream/x", &req).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let stop = tokio::spawn(gateway.stop());
    wait_until("the box reports not ready", async || {
        let response = reqwest::get(format!("http://{ready}/ready")).await;
        response.map_or(true, |response| response.status() == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await;
    let response = stream.await.expect("no panic");
    assert_eq!(response.body.expect("a whole stream").matches("id:").count(), 20);
    stop.await.expect("it stops");
    let book = harness.book().await;
    let ledger = &book.ledgers["bornova"];
    assert!(book.writers.is_empty() && ledger.grants.is_empty(), "{book:?}");
    assert_eq!(
        (ledger.lost, ledger.spent, ledger.statement.tokens),
        (0, ledger.spent, ledger.spent)
    );
    assert!(ledger.spent >= 140, "a prompt of 100 tokens and 20 events of 2");
    let pages = objects::Store::list(harness.platform.memory(), ledger::BILLS, "").await;
    let pages = pages.expect("memory answers");
    let read = |page: &objects::Object| serde_json::from_str::<ledger::Page>(&page.value);
    let bills = pages.iter().flat_map(|page| read(page).expect("a page").bills);
    let bills: Vec<ledger::Bill> = bills.collect();
    let audit = ledger::audit(&book, &bills);
    assert!(audit.findings.is_empty(), "{audit:?}");
    let line = audit.lines.iter().find(|line| &*line.customer == "bornova").expect("a line");
    assert_eq!((line.billed_requests, line.billed), (line.requests, line.settled));
}

#[tokio::test]
async fn audit_reports_inconsistencies() {
    let by = ledger::Incarnation::new("box-1", 1);
    let bill = |key: &str, n| ledger::Bill {
        key: key.into(),
        customer: "bornova".into(),
        by: by.clone(),
        n,
        part: ledger::Part::Offline,
        tokens: 5,
        ended: ledger::Ended::Answered,
        evidence: ledger::Evidence::Recorded,
    };
    let mut book = ledger::Book::default();
    let ledger = book.ledgers.entry("bornova".into()).or_default();
    (ledger.paid, ledger.spent) = (10, 12);
    let audit = ledger::audit(&book, &[bill("a", 1), bill("a", 2), bill("b", 2)]);
    assert_eq!(audit.findings.len(), 3, "{audit:?}");
    assert_eq!((audit.lines[0].billed_requests, audit.lines[0].billed), (3, 15));
}

#[tokio::test]
async fn bursts_of_entry_changes_cause_few_watch_calls() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let first = harness.endpoint("i-0", "plain", answer_ok).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let watches = || -> u64 {
        let calls = gateway.calls().snapshot();
        let endpoints = calls.iter().filter(|((_, kind), _)| &**kind == platform::ENDPOINTS);
        endpoints.map(|(_, count)| count.calls).sum()
    };
    let (before, began) = (watches(), std::time::Instant::now());
    for n in 1..=50 {
        harness.write_entry(&format!("i-{n}"), "plain", first.address(), true).await;
        tokio::time::sleep(Duration::from_millis(4)).await;
    }
    harness.write_entry("i-0", "plain", first.address(), false).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let made = watches() - before;
    // One call in 250 ms, plus those in flight at the beginning and the end.
    let most = 2 + began.elapsed().as_millis() as u64 / 250;
    assert!(made <= most, "{made} calls for 51 changes, expected at most {most}");
}

#[tokio::test]
async fn saturated_box_sheds_connections_without_refusing_requests() {
    let harness = Harness::start(1_000_000, &["open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", answer_ok).await;
    let gateway = harness.gateway_with_bandwidth("box-1", 0.02).await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let ready = async || {
        let response = reqwest::get(format!("http://{}/ready", gateway.ready())).await;
        response.expect("a response").status() == StatusCode::OK
    };
    wait_until("its link is saturated", async || {
        let response =
            call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
        assert_eq!(response.status, StatusCode::OK);
        !ready().await
    })
    .await;
    let response = call(gateway.callers(), "/open/x", &harness.new_request("key-b", 1, 1)).await;
    assert_eq!(response.status, StatusCode::OK, "requests that still arrive are served");
    assert_eq!(
        response.headers.get("connection").map(|value| value.as_bytes()),
        Some(&b"close"[..])
    );
    wait_until("the box is ready again", ready).await;
}
