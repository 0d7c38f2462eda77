//! Runs a fleet in one process and verifies a scripted series of requests and its bills.

use std::time::Duration;

use trial::{Figures, Fleet, Outcome, Plan, Request, Response, api_key};

use crate::{
    cli::Try,
    exit::Code,
    paint::{Tone, paint},
    statement,
};

/// Prepaid tokens of the sample budget.
const PAID_TOKENS: u64 = 600;
/// How long to wait until all requests are billed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of the script, with the router that it is sent to and the expected outcome.
struct Step {
    description: &'static str,
    router: usize,
    request: Request,
    expected: Outcome,
}

/// Runs the script; succeeds only if all answers and the audit are as expected.
pub async fn try_out(args: &Try) -> Code {
    let customers = vec![("dental".to_owned(), vec![("bornova".to_owned(), PAID_TOKENS)])];
    let fleet = Fleet::spawn(Plan { customers, offline_share: Some(30), ..Plan::default() }).await;
    println!("A stand-in platform, 2 model endpoints, 1 plain service and 3 routers are running.");
    println!("Budget `bornova` has {PAID_TOKENS} prepaid tokens.\n");
    let mut as_expected = true;
    for step in script() {
        let response = fleet.caller.send(fleet.callers_address(step.router), &step.request).await;
        as_expected &= response.outcome == step.expected;
        print_step(&step, &response);
    }
    let settled = fleet.settle(SETTLE_TIMEOUT).await;
    let figures = fleet.audit().await;
    println!();
    let ledger = fleet.ledger("bornova").await;
    let bills: Vec<_> = ledger.statement.recent.iter().rev().cloned().collect();
    statement::print("bornova", &ledger, &bills);
    let passed = settled && as_expected && figures.is_sound();
    print_verdict(passed, &figures);
    if args.json {
        println!("{}", serde_json::to_string(&figures).unwrap_or_default());
    }
    if args.serve {
        serve(&fleet).await;
    }
    if passed { Code::Success } else { Code::Failure }
}

fn script() -> Vec<Step> {
    let chat = |key: &str| Request {
        output: 12,
        max_tokens: 20,
        ..Request::chat("dental", "bornova", key)
    };
    let cancel = || Request::service("dental", "bornova", "cancel", "cancel-chair-7");
    vec![
        Step {
            description: "a streamed answer",
            router: 0,
            request: chat("recall-note"),
            expected: Outcome::Answered,
        },
        Step {
            description: "a plain answer, through another router",
            router: 1,
            request: Request { stream: false, ..chat("patient-message") },
            expected: Outcome::Answered,
        },
        Step {
            description: "an unrepeatable cancellation",
            router: 2,
            request: cancel(),
            expected: Outcome::Answered,
        },
        Step {
            description: "its retry, which must not run again",
            router: 2,
            request: cancel(),
            expected: Outcome::Answered,
        },
        Step {
            description: "a week's calendar, past the budget",
            router: 0,
            request: Request {
                route: "calendar".into(),
                max_tokens: 512,
                prompt: "Draft the week. ".repeat(40),
                ..chat("calendar")
            },
            expected: Outcome::NotRun,
        },
    ]
}

fn print_step(step: &Step, response: &Response) {
    let text = match response.outcome {
        Outcome::Answered if response.tokens > 0 => format!("answered, {} tokens", response.tokens),
        Outcome::Answered => format!("answered: {}", response.body),
        Outcome::NotRun => format!("refused, not run: {}", response.reason),
        Outcome::Unknown => format!("unknown: {}", response.reason),
        Outcome::NoResponse => "no answer".to_owned(),
    };
    let tone = if response.outcome == step.expected { Tone::Good } else { Tone::Bad };
    println!("  {:<40} {}", step.description, paint(tone, &text));
}

fn print_verdict(passed: bool, figures: &Figures) {
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
    match passed {
        true => println!("{}", paint(Tone::Good, "It all adds up.")),
        false => println!("{}", paint(Tone::Bad, "It does not add up.")),
    }
}

async fn serve(fleet: &Fleet) {
    let key = api_key("dental", "bornova");
    println!("\nThe fleet stays up until interrupted. Try:\n");
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {key}' \\",
        fleet.callers_address(0)
    );
    println!(
        "    -d '{{\"model\": \"assistant\", \"stream\": true, \"max_tokens\": 20, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Hello\"}}]}}'"
    );
    println!(
        "  curl http://{}/services/cancel/chairs/7 -X POST -H 'Authorization: Bearer {key}' \\",
        fleet.callers_address(1)
    );
    println!("    -H 'Idempotency-Key: cancel-7'");
    println!("  curl http://{}/metrics", fleet.nodes[0].operators());
    println!("  flintstall --platform {} statement bornova", fleet.platform.address());
    let _ = tokio::signal::ctrl_c().await;
}
