//! Prints the balance and the bills of a budget.

use ledger::{BILLS, Bill, Ledger, Page, page_name};
use objects::Store;
use platform::store::Client;
use serde_json::json;
use snafu::ResultExt;

use crate::{
    cli::Statement,
    error::{Error, MissingSnafu, PlatformSnafu},
    exit::Code,
    input::parse_object,
    output::Format,
    paint::{Tone, paint},
    table::Table,
};

/// Prints the statement of a budget.
pub async fn statement(client: &Client, args: &Statement, format: Format) -> Result<Code, Error> {
    let name = &*args.budget;
    let found = client.get("ledger", name).await.context(PlatformSnafu)?;
    let Some(object) = found else { return MissingSnafu { kind: "ledger", name }.fail() };
    let ledger: Ledger = parse_object(&object.value)?;
    let bills = newest_bills(client, name, &ledger, args.bills).await?;
    match format {
        Format::Json => {
            let value = json!({
                "budget": name, "paid": ledger.paid, "paid_wanted": ledger.paid_wanted,
                "spent": ledger.spent, "absorbed": ledger.absorbed,
                "granted": ledger.granted(), "left": ledger.left(),
                "stranded": ledger.stranded().values().sum::<u64>(),
                "bills": bills, "bill_count": ledger.statement.count,
                "bill_tokens": ledger.statement.tokens, "grants": ledger.grants,
            });
            println!("{value}");
        }
        Format::Table => print(name, &ledger, &bills),
    }
    Ok(Code::Success)
}

/// Up to `max_bills` bills, newest first: those in the ledger, then those on its pages.
async fn newest_bills(
    client: &Client,
    name: &str,
    ledger: &Ledger,
    max_bills: usize,
) -> Result<Vec<Bill>, Error> {
    let mut bills: Vec<Bill> = ledger.statement.recent.iter().rev().cloned().collect();
    let mut page = ledger.statement.pages;
    while bills.len() < max_bills && page > 0 {
        page -= 1;
        let found = client.get(BILLS, &page_name(name, page)).await.context(PlatformSnafu)?;
        let Some(object) = found else { break };
        let older: Page = parse_object(&object.value)?;
        bills.extend(older.bills.into_iter().rev());
    }
    bills.truncate(max_bills);
    Ok(bills)
}

/// Prints balance, grants and bills as tables.
pub fn print(name: &str, ledger: &Ledger, bills: &[Bill]) {
    println!("budget {name}, in tokens");
    println!("  paid      {:>12}", ledger.paid);
    if ledger.paid_wanted < ledger.paid {
        let waiting = format!("  lowered to{:>12} as boxes return tokens", ledger.paid_wanted);
        println!("{}", paint(Tone::Bad, &waiting));
    }
    println!("  spent     {:>12}  on {} bills", ledger.spent, ledger.statement.count);
    println!("  held      {:>12}  by {} incarnations", ledger.granted(), ledger.grants.len());
    println!("  left      {:>12}", ledger.left());
    let stranded: u64 = ledger.stranded().values().sum();
    if stranded > 0 {
        println!("{}", paint(Tone::Bad, &format!("  stranded  {stranded:>12}")));
    }
    let mut grants = Table::new(&["  HOLDER", "ONLINE", "OFFLINE", "SEALED"]);
    for (holder, grant) in &ledger.grants {
        let sealed = if grant.sealed { "yes" } else { "" };
        let numbers = [grant.online.to_string(), grant.offline.to_string(), sealed.to_owned()];
        grants.row([format!("  {holder}")].into_iter().chain(numbers));
    }
    print!("{}", grants.render());
    let mut table = Table::new(&["  REQUEST", "TOKENS", "PART", "ENDED", "EVIDENCE", "BOX"]);
    for bill in bills {
        let cells = [
            format!("  {}", bill.key),
            bill.tokens.to_string(),
            variant_name(&bill.part),
            variant_name(&bill.ended),
            variant_name(&bill.evidence),
            bill.by.box_name().to_owned(),
        ];
        table.row(cells);
    }
    print!("{}", table.render());
}

fn variant_name<T: serde::Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}
