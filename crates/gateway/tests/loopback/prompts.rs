//! Boxes announce long prompts to each other, so that all of them avoid a busy engine.

use crate::harness::{Harness, answers, call, shared, until, until_served};
use platform::request::Part;
use standin::{ReceivedRequest, Reply, ScriptedEndpoint};

/// Consecutive requests that hardly all go to the same one of two engines by chance.
const IN_A_ROW: usize = 20;

fn long(engine: &ScriptedEndpoint) -> bool {
    engine.arrived().iter().any(|arrived| arrived.line.contains("/stream/long"))
}

#[tokio::test]
async fn boxes_avoid_an_engine_that_reads_a_long_prompt_of_another_box() {
    let harness = Harness::open(10_000_000, &["stream", "open"]).await;
    let _plain = harness.endpoint("p-1", "plain", answers).await;
    // An engine sends nothing while it reads a long prompt.
    let script = shared(|arrived: &ReceivedRequest| match arrived.line.contains("/stream/long") {
        true => Reply::Silent,
        false => answers(arrived),
    });
    let engines = [
        harness.endpoint("e-1", "engines", script.clone()).await,
        harness.endpoint("e-2", "engines", script).await,
    ];
    let one = harness.gateway("box-1").await;
    let two = harness.gateway("box-2").await;
    until_served(&harness, &one, "/stream/x").await;
    until_served(&harness, &two, "/stream/x").await;
    until("both boxes know each other and both engines", async || {
        call(two.callers(), "/stream/x", &harness.asked("key-b", 10, 1)).await;
        let known = engines.iter().all(|engine| !engine.arrived().is_empty());
        known && one.peer_count() > 0 && two.peer_count() > 0
    })
    .await;
    let mut asked = harness.asked("key-b", 50_000, 10);
    asked.parts = vec![Part { id: 1, tokens: 50_000 }];
    let callers = one.callers();
    let waits = tokio::spawn(async move { call(callers, "/stream/long", &asked).await });
    until("an engine receives the long prompt", async || engines.iter().any(long)).await;
    let other = engines
        .iter()
        .find(|engine| !long(engine))
        .expect("only one engine received the long prompt");
    until("box 2 uses only the other engine", async || {
        let before = other.arrived().len();
        for id in 0..IN_A_ROW as u64 {
            let mut asked = harness.asked("key-b", 10, 1);
            asked.parts = vec![Part { id: 100 + id, tokens: 10 }];
            call(two.callers(), "/stream/x", &asked).await;
        }
        other.arrived().len() == before + IN_A_ROW
    })
    .await;
    waits.abort();
}
