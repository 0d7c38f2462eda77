//! Responses that come where another try's is due, and endpoints that work on: what a box may conclude from them.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use gateway::Gateway;
use http::StatusCode;
use parking_lot::Mutex;
use platform::fixtures::{self, CallerHead};
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

use crate::harness::{Harness, Response, answer_ok, call, shared, wait_until, wait_until_served};

/// More than all requests here use.
const PAID: u64 = 1_000_000;
/// Tries of a caller that comes back after each promise.
const MAX_TRIES: usize = 6;

type Script = fn(&ReceivedRequest) -> Reply;

/// Requests that endpoints ran, by id.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// A refusal that says that the request was not run.
fn not_run(arrived: &ReceivedRequest) -> Reply {
    let (status, headers) = fixtures::not_run_response(&arrived.head.id);
    Reply::Complete(status, headers, String::new())
}

/// The refusal of another instance.
fn misdirected(arrived: &ReceivedRequest) -> Reply {
    let (status, headers) = fixtures::misdirected_response(&arrived.head.id);
    Reply::Complete(status, headers, String::new())
}

/// A refusal in which nothing says which request it is for.
fn not_run_without_id(arrived: &ReceivedRequest) -> Reply {
    let (status, headers) = fixtures::not_run_response(&arrived.head.id);
    let others = headers.iter().filter(|(_, value)| *value != arrived.head.id.as_str());
    Reply::Complete(status, others.map(|(n, v)| (n.clone(), v.clone())).collect(), String::new())
}

/// A response that says nothing of whether the request ran.
fn with_status(status: StatusCode) -> impl Fn(&ReceivedRequest) -> Reply {
    move |arrived| {
        let headers = fixtures::response_headers(&arrived.head.id, None);
        Reply::Complete(status, headers, "earlier".into())
    }
}

/// The script of an endpoint that replies to the first request as `first` does, and the same once more where the response to
/// the next one on that connection is due. All other requests run.
fn repeats_itself(
    first: Script,
    runs: Runs,
) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let copies: Mutex<HashMap<usize, Reply>> = Mutex::default();
    move |arrived| {
        if arrived.line.contains("/open/") {
            return answer_ok(arrived);
        }
        let (mut copies, mut runs) = (copies.lock(), runs.lock());
        let is_first = copies.is_empty() && runs.is_empty();
        if is_first {
            copies.insert(arrived.connection, first(arrived));
            return first(arrived);
        }
        *runs.entry(arrived.head.id.clone()).or_default() += 1;
        match copies.remove(&arrived.connection) {
            Some(copy) => Reply::Two(Box::new(copy), Duration::ZERO, Box::new(answer_ok(arrived))),
            None => answer_ok(arrived),
        }
    }
}

fn is_promise(response: &Response) -> bool {
    matches!(response.status.as_u16(), 408 | 421 | 429 | 503)
}

/// Calls until another response than a promise comes.
async fn come_back(
    gateway: &Gateway,
    path: &str,
    mut next: impl FnMut() -> CallerHead,
) -> Vec<(String, Response)> {
    let mut responses: Vec<(String, Response)> = Vec::new();
    while responses.len() < MAX_TRIES && responses.last().is_none_or(|(_, last)| is_promise(last)) {
        let req = next();
        let response = call(gateway.callers(), path, &req).await;
        responses.push((req.id, response));
    }
    responses
}

/// Guards against: a second response to an earlier try is taken for the one to a later try, so that a request that runs is
/// refused with a promise, or runs again.
#[tokio::test]
async fn a_second_response_to_an_earlier_try_says_nothing_about_a_later_one() {
    let cases: [(&str, Script, bool); 4] = [
        ("not run, same id", not_run, true),
        ("misdirected, same id", misdirected, true),
        (
            "failed, same id",
            |arrived| with_status(StatusCode::INTERNAL_SERVER_ERROR)(arrived),
            true,
        ),
        ("not run, no id, other request", not_run_without_id, false),
    ];
    for (name, first, has_same_id) in cases {
        let runs = Runs::default();
        let harness = Harness::start(PAID, &["confirm", "open"]).await;
        let _endpoint = harness.endpoint("i-1", "plain", repeats_itself(first, runs.clone())).await;
        let gateway = harness.gateway("box-1").await;
        wait_until_served(&harness, &gateway, "/open/x").await;
        let req = harness.new_request("key-b", 1, 1);
        let next = || if has_same_id { req.clone() } else { harness.new_request("key-b", 1, 1) };
        call(gateway.callers(), "/confirm/x", &next()).await;
        let responses = come_back(&gateway, "/confirm/x", next).await;
        let runs = runs.lock().clone();
        assert!(runs.values().all(|count| *count == 1), "{name}: {runs:?}, {responses:?}");
        let denied = responses.iter().find(|(id, it)| is_promise(it) && runs.contains_key(id));
        assert!(denied.is_none(), "{name}: refused, but ran: {denied:?}");
        let (_, last) = responses.last().expect("a response");
        assert_ne!(last.body.as_deref(), Ok("earlier"), "{name}: {last:?}");
    }
}

/// Guards against: a refusal of an endpoint that does not say that the request did not run reaches the caller as a promise.
#[tokio::test]
async fn a_refusal_that_does_not_say_not_run_is_no_promise() {
    for status in [408, 429, 503] {
        let status = StatusCode::from_u16(status).expect("a status");
        let harness = Harness::start(PAID, &["confirm", "open"]).await;
        let refuse = with_status(status);
        let endpoint = harness
            .endpoint("i-1", "plain", move |arrived| match arrived.line.contains("/open/") {
                true => answer_ok(arrived),
                false => refuse(arrived),
            })
            .await;
        let gateway = harness.gateway("box-1").await;
        wait_until_served(&harness, &gateway, "/open/x").await;
        let response =
            call(gateway.callers(), "/confirm/x", &harness.new_request("key-b", 1, 1)).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{status}: {response:?}");
        assert!(endpoint.arrived().iter().any(|arrived| arrived.line.contains("/confirm/")));
    }
}

/// Guards against: a repeatable request whose only attempt got no response in time is told that it was not sent.
#[tokio::test]
async fn a_request_whose_endpoint_was_silent_is_not_told_that_it_did_not_run() {
    let harness = Harness::start(PAID, &["cancel", "open"]).await;
    let silent = shared(|arrived: &ReceivedRequest| match arrived.line.contains("/open/") {
        true => answer_ok(arrived),
        false => Reply::Silent,
    });
    let _endpoints = [
        harness.endpoint("i-1", "plain", silent.clone()).await,
        harness.endpoint("i-2", "plain", silent).await,
    ];
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    let req = CallerHead {
        deadline: Some(Duration::from_millis(300)),
        ..harness.new_request("key-b", 1, 1)
    };
    let response = call(gateway.callers(), "/cancel/x", &req).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT, "{response:?}");
}

/// Whether this is the request with which something goes wrong.
fn is_trouble(arrived: &ReceivedRequest) -> bool {
    arrived.body == b"trouble"
}

/// How the first engine that gets a request behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
    /// It closes the connection and works on.
    Closes,
    /// It sends the response to another request first.
    OtherFirst,
    /// It sends a response without an id first.
    NoId,
    /// Its process ends.
    Ends,
    /// It says that it did not run the request.
    Declines,
    /// It fails the request.
    Fails,
}

/// Guards against: a request goes on at a second engine although nothing says that the first one has ended its work.
#[tokio::test]
async fn a_request_goes_on_at_a_second_engine_only_once_the_first_has_ended() {
    let cases = [
        (Trouble::Closes, 1),
        (Trouble::OtherFirst, 1),
        (Trouble::NoId, 1),
        (Trouble::Ends, 2),
        (Trouble::Declines, 2),
        (Trouble::Fails, 2),
    ];
    for (trouble, engines) in cases {
        let harness = Harness::start(PAID, &["resume"]).await;
        let troubled = AtomicBool::new(false);
        let script = shared(move |arrived: &ReceivedRequest| {
            let is_first = is_trouble(arrived) && !troubled.swap(true, Ordering::Relaxed);
            match is_first.then_some(trouble) {
                None => answer_ok(arrived),
                Some(Trouble::Closes) => Reply::Close,
                Some(Trouble::Ends) => Reply::End,
                Some(Trouble::Declines) => not_run(arrived),
                Some(Trouble::Fails) => with_status(StatusCode::INTERNAL_SERVER_ERROR)(arrived),
                Some(Trouble::OtherFirst) => {
                    let headers = fixtures::response_headers("another", None);
                    Reply::Complete(StatusCode::OK, headers, "not yours".into())
                }
                Some(Trouble::NoId) => {
                    Reply::Complete(StatusCode::OK, Default::default(), "whose?".into())
                }
            }
        });
        let both = [
            harness.endpoint("e-1", "engines", script.clone()).await,
            harness.endpoint("e-2", "engines", script).await,
        ];
        let gateway = harness.gateway("box-1").await;
        wait_until("both engines are in use", async || {
            call(gateway.callers(), "/resume/x", &harness.new_request("key-b", 1, 1)).await;
            both.iter().all(|engine: &ScriptedEndpoint| !engine.arrived().is_empty())
        })
        .await;
        let req = harness.new_request("key-b", 1, 1);
        let sent = crate::harness::request(gateway.callers(), "/resume/x", &req).body("trouble");
        let response = crate::harness::send(sent).await;
        let got_it = |engine: &&ScriptedEndpoint| engine.arrived().iter().any(is_trouble);
        assert_eq!(both.iter().filter(got_it).count(), engines, "{trouble:?}: {response:?}");
        assert_eq!(response.status, StatusCode::OK, "{trouble:?}: {response:?}");
    }
}

/// Requests of a caller, one after the other, each on the connection of the one before.
const CALLS: usize = 40;

/// An endpoint that sends its response to a request once more, right before its response to the next one.
fn repeats_each(with_length: bool) -> impl Fn(&ReceivedRequest) -> Reply + Send + Sync + 'static {
    let last: Mutex<HashMap<usize, String>> = Mutex::default();
    move |arrived| {
        let reply = |id: &str| {
            let headers = fixtures::response_headers(id, None);
            match with_length {
                true => Reply::Complete(StatusCode::OK, headers, format!("for {id}")),
                false => Reply::Events(headers, vec![format!("for {id}")], Duration::ZERO),
            }
        };
        let id = arrived.head.id.clone();
        match last.lock().insert(arrived.connection, id.clone()) {
            Some(earlier) => {
                Reply::Two(Box::new(reply(&earlier)), Duration::ZERO, Box::new(reply(&id)))
            }
            None => reply(&id),
        }
    }
}

/// Guards against: calls that end in 502 although their response comes, because a second response to an earlier request
/// comes first.
#[tokio::test]
async fn a_second_response_to_an_earlier_request_is_skipped() {
    let harness = Harness::start(PAID, &["confirm", "open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", repeats_each(true)).await;
    let gateway = harness.gateway("box-1").await;
    wait_until_served(&harness, &gateway, "/open/x").await;
    for _ in 0..CALLS {
        let req = harness.new_request("key-b", 1, 1);
        let response = call(gateway.callers(), "/confirm/x", &req).await;
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(response.body, Ok(format!("for {}", req.id)));
    }
}

/// Guards against: a second response whose end is not certain, from which one could be smuggled, is read past.
#[tokio::test]
async fn a_second_response_without_a_length_is_not_skipped() {
    let harness = Harness::start(PAID, &["confirm", "open"]).await;
    let _endpoint = harness.endpoint("i-1", "plain", repeats_each(false)).await;
    let gateway = harness.gateway("box-1").await;
    for _ in 0..CALLS {
        let req = harness.new_request("key-b", 1, 1);
        let response = call(gateway.callers(), "/confirm/x", &req).await;
        let is_own = response.body == Ok(format!("for {}", req.id));
        assert!(is_own || !response.status.is_success(), "{response:?}");
    }
}
