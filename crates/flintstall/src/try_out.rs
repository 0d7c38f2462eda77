//! A whole fleet in one process, with a story that must add up.

use std::time::Duration;

use trial::{Request, Figures, Fleet, Response, Outcome, Plan, api_key};

use crate::{
    cli::Try,
    exit::Code,
    paint::{Tone, paint},
    statement,
};

/// Tokens paid for the sample budget.
const PAID: u64 = 600;
/// Longest wait for the books to settle.
const SETTLE: Duration = Duration::from_secs(20);

struct Step {
    said: &'static str,
    to: usize,
    ask: Request,
    want: Outcome,
}

/// Runs the story; succeeds only if it all adds up.
pub async fn try_out(choice: &Try) -> Code {
    let customers = vec![("dental".to_owned(), vec![("bornova".to_owned(), PAID)])];
    let fleet = Fleet::spawn(Plan { customers, offline_share: Some(30), ..Plan::default() }).await;
    println!("A stand-in platform, 2 model endpoints, 1 plain service and 3 routers are running.");
    println!("Budget `bornova` has {PAID} prepaid tokens.\n");
    let mut as_told = true;
    for step in story() {
        let got = fleet.caller.ask(fleet.to(step.to), &step.ask).await;
        as_told &= got.outcome == step.want;
        report(&step, &got);
    }
    let settled = fleet.settle(SETTLE).await;
    let figures = fleet.audit().await;
    println!();
    let ledger = fleet.ledger("bornova").await;
    let bills: Vec<_> = ledger.statement.recent.iter().rev().cloned().collect();
    statement::print("bornova", &ledger, &bills);
    let sound = settled && as_told && figures.is_sound();
    verdict(sound, &figures);
    if choice.json {
        println!("{}", serde_json::to_string(&figures).unwrap_or_default());
    }
    if choice.serve {
        serve(&fleet).await;
    }
    if sound { Code::Success } else { Code::Failure }
}

fn story() -> Vec<Step> {
    let chat =
        |key: &str| Request { output: 12, max_tokens: 20, ..Request::chat("dental", "bornova", key) };
    let cancel = || Request::service("dental", "bornova", "cancel", "cancel-chair-7");
    vec![
        Step {
            said: "a streamed answer",
            to: 0,
            ask: chat("recall-note"),
            want: Outcome::Answered,
        },
        Step {
            said: "a plain answer, through another router",
            to: 1,
            ask: Request { stream: false, ..chat("patient-message") },
            want: Outcome::Answered,
        },
        Step {
            said: "an unrepeatable cancellation",
            to: 2,
            ask: cancel(),
            want: Outcome::Answered,
        },
        Step {
            said: "its retry, which must not run again",
            to: 2,
            ask: cancel(),
            want: Outcome::Answered,
        },
        Step {
            said: "a week's calendar, past the budget",
            to: 0,
            ask: Request {
                route: "calendar".into(),
                max_tokens: 512,
                prompt: "Draft the week. ".repeat(40),
                ..chat("calendar")
            },
            want: Outcome::NotRun,
        },
    ]
}

fn report(step: &Step, got: &Response) {
    let told = match got.outcome {
        Outcome::Answered if got.tokens > 0 => format!("answered, {} tokens", got.tokens),
        Outcome::Answered => format!("answered: {}", got.body),
        Outcome::NotRun => format!("refused, not run: {}", got.reason),
        Outcome::Unknown => format!("unknown: {}", got.reason),
        Outcome::NoResponse => "no answer".to_owned(),
    };
    let tone = if got.outcome == step.want { Tone::Good } else { Tone::Bad };
    println!("  {:<40} {}", step.said, paint(tone, &told));
}

fn verdict(sound: bool, figures: &Figures) {
    let line = format!(
        "{} requests: {} answered, {} refused and not run, {} unknown; \
         overspent {}, unbilled {}, billed twice {}, run twice {}",
        figures.requests,
        figures.answered,
        figures.refused_not_run,
        figures.unknown,
        figures.overspend_tokens,
        figures.unbilled,
        figures.double_billed,
        figures.ran_twice,
    );
    println!("\n{line}");
    match sound {
        true => println!("{}", paint(Tone::Good, "It all adds up.")),
        false => println!("{}", paint(Tone::Bad, "It does not add up.")),
    }
}

async fn serve(fleet: &Fleet) {
    let key = api_key("dental", "bornova");
    println!("\nThe fleet stays up until interrupted. Try:\n");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {key}' \\",
        fleet.to(0)
    );
    println!(
        "    -d '{{\"model\": \"assistant\", \"stream\": true, \"max_tokens\": 20, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Hello\"}}]}}'"
    );
    println!(
        "  curl http://{}/services/cancel/chairs/7 -X POST -H 'Authorization: Bearer {key}' \\",
        fleet.to(1)
    );
    println!("    -H 'Idempotency-Key: cancel-7'");
    println!("  curl http://{}/metrics", fleet.nodes[0].operators());
    println!("  flintstall --platform {} statement bornova", fleet.platform.address());
    let _ = tokio::signal::ctrl_c().await;
}
