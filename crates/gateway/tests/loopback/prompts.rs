//! Boxes announce long prompts to each other, so that all of them avoid a busy engine.

use crate::harness::{Harness, answer_ok, call, shared, wait_until, wait_until_served};
use platform::request::Part;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

/// Consecutive requests that hardly all go to the same one of two engines by chance.
const CONSECUTIVE_REQUESTS: usize = 20;

fn received_long_prompt(engine: &ScriptedEndpoint) -> bool {
    engine.arrived().iter().any(|arrived| arrived.line.contains("/stream/long"))
}

#[tokio::test]
async fn boxes_avoid_an_engine_that_reads_a_long_prompt_of_another_box() {
    let harness = Harness::start(10_000_000, &["stream", "open"]).await;
    let _plain = harness.endpoint("p-1", "plain", answer_ok).await;
    // An engine sends nothing while it reads a long prompt.
    let script = shared(|arrived: &ReceivedRequest| match arrived.line.contains("/stream/long") {
        true => Reply::Silent,
        false => answer_ok(arrived),
    });
    let engines = [
        harness.endpoint("e-1", "engines", script.clone()).await,
        harness.endpoint("e-2", "engines", script).await,
    ];
    let one = harness.gateway("box-1").await;
    let two = harness.gateway("box-2").await;
    wait_until_served(&harness, &one, "/stream/x").await;
    wait_until_served(&harness, &two, "/stream/x").await;
    wait_until("both boxes know each other and both engines", async || {
        call(two.callers(), "/stream/x", &harness.new_request("key-b", 10, 1)).await;
        let known = engines.iter().all(|engine| !engine.arrived().is_empty());
        known && one.peer_count() > 0 && two.peer_count() > 0
    })
    .await;
    let mut req = harness.new_request("key-b", 50_000, 10);
    req.parts = vec![Part { id: 1, tokens: 50_000 }];
    let callers = one.callers();
    let pending = tokio::spawn(async move { call(callers, "/stream/long", &req).await });
    wait_until("an engine receives the long prompt", async || {
        engines.iter().any(received_long_prompt)
    })
    .await;
    let other = engines
        .iter()
        .find(|engine| !received_long_prompt(engine))
        .expect("only one engine received the long prompt");
    wait_until("box 2 uses only the other engine", async || {
        let before = other.arrived().len();
        for id in 0..CONSECUTIVE_REQUESTS as u64 {
            let mut req = harness.new_request("key-b", 10, 1);
            req.parts = vec![Part { id: 100 + id, tokens: 10 }];
            call(two.callers(), "/stream/x", &req).await;
        }
        other.arrived().len() == before + CONSECUTIVE_REQUESTS
    })
    .await;
    pending.abort();
}
