//! Audits the book and the bills of a gateway fleet.

use std::sync::Arc;

use ledger::{BILLS, BOOK, Bill, Book, Finding, OpenClaim, Page};
use objects::Store;
use platform::store::Client;
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    error::{Error, MissingSnafu, PlatformSnafu},
    exit::Code,
    input::parse_object,
    output::Format,
    paint::{Tone, paint},
    table::Table,
};

/// JSON output: the audit and the evacuated availability zones.
#[derive(Serialize)]
struct Report<'a> {
    #[serde(flatten)]
    audit: &'a ledger::Audit,
    /// Availability zones whose endpoints get no new requests.
    evacuated_zones: &'a [Arc<str>],
}

/// Prints the audit; the exit code is a failure if there are findings.
pub async fn audit(client: &Client, format: Format) -> Result<Code, Error> {
    let found = client.get(BOOK.0, BOOK.1).await.context(PlatformSnafu)?;
    let Some(object) = found else {
        return MissingSnafu { kind: BOOK.0, name: BOOK.1 }.fail();
    };
    let book: Book = parse_object(&object.value)?;
    let pages = client.list(BILLS, "").await.context(PlatformSnafu)?;
    let mut bills: Vec<Bill> = Vec::new();
    for page in &pages {
        bills.extend(parse_object::<Page>(&page.value)?.bills);
    }
    let audit = ledger::audit(&book, &bills);
    let zones = client.list(platform::EVACUATIONS, "").await.context(PlatformSnafu)?;
    let zones: Vec<Arc<str>> = zones.into_iter().map(|object| object.name).collect();
    match format {
        Format::Json => {
            println!("{}", serde_json::json!(Report { audit: &audit, evacuated_zones: &zones }))
        }
        Format::Table => print(&audit, &zones),
    }
    Ok(if audit.findings.is_empty() { Code::Success } else { Code::Failure })
}

fn print(audit: &ledger::Audit, zones: &[Arc<str>]) {
    let header =
        ["CUSTOMER", "PAID", "USED", "LOST", "HELD", "LEFT", "REQUESTS", "BILLED", "TOKENS"];
    let mut table = Table::new(&header);
    for line in &audit.lines {
        let numbers = [
            line.paid,
            line.used,
            line.lost,
            line.granted,
            line.left,
            line.requests,
            line.billed_requests,
            line.billed,
        ];
        let cells = numbers.map(|number| number.to_string());
        table.row([line.customer.to_string()].into_iter().chain(cells));
    }
    print!("{}", table.render());
    for finding in &audit.findings {
        let text = match finding {
            Finding::Overspent { customer, by } => {
                format!("{customer} is overspent by {by} tokens")
            }
            Finding::BilledTwice { customer, key } => {
                format!("request {key} of {customer} is on two bills")
            }
            Finding::NumberTwice { by, n } => format!("{by} used the bill number {n} twice"),
        };
        println!("{}", paint(Tone::Bad, &text));
    }
    for claim in &audit.claims {
        let OpenClaim { holder, witness, tokens } = claim;
        println!("{tokens} tokens of {holder} wait for the word of {witness}");
    }
    if !zones.is_empty() {
        println!("evacuated zones, whose endpoints get no new requests: {}", zones.join(", "));
    }
    if audit.findings.is_empty() {
        println!("no discrepancies found");
    }
}
