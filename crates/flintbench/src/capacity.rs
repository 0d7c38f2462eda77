//! Computes the resource usage of a large deployment from measured slopes.
//!
//! The slopes are the output of `flintbench slopes` that `docs/CAPACITY.md` is based on. A test
//! checks that the page contains this table.

use serde_json::Value;

use crate::report::Report;

/// Measured slopes, each with the series of `flintbench slopes` that it is taken from.
mod slope {
    /// `router_us_by_output_tokens`, base: microseconds per request.
    pub const REQUEST_US: f64 = 584.0;
    /// `router_us_by_output_tokens`: microseconds per token.
    pub const TOKEN_US: f64 = 21.7;
    /// `journal_bytes`: bytes per record.
    pub const RECORD_BYTES: f64 = 177.0;
    /// `journal_write_us`: microseconds per record in each write.
    pub const RECORD_WRITE_US: f64 = 0.32;
    /// `ledger_bytes_by_holder`: bytes per holder.
    pub const HOLDER_BYTES: f64 = 106.0;
    /// `ledger_bytes_by_holder`, base: bytes per ledger.
    pub const LEDGER_BYTES: f64 = 139.0;
    /// `config_bytes`: bytes per declared budget.
    pub const CONFIG_BYTES: f64 = 296.0;
    /// `account_bytes`: bytes per budget held, including its ledger of 8 holders.
    pub const ACCOUNT_BYTES: f64 = 1_437.0;
    /// `exchange_bytes`: bytes per busy endpoint.
    pub const BUSY_BYTES: f64 = 23.0;
    /// `exchange_bytes`, base: bytes per message.
    pub const MESSAGE_BYTES: f64 = 96.0;
    /// `idle_cpu_percent_by_boxes`, largest point: percent of a core.
    pub const IDLE_CPU_PERCENT: f64 = 1.0;
    /// `choose_us` at 1,500 endpoints: microseconds per selection.
    pub const CHOOSE_US: f64 = 23.0;
}

/// Planned size of the deployment.
mod size {
    pub const BOXES: f64 = 390.0;
    pub const REQUESTS_PER_S: f64 = 4_100.0;
    pub const TOKENS_PER_S: f64 = 1_300_000.0;
    pub const BUDGETS: f64 = 91_000.0;
    pub const CHANGES_PER_DAY: f64 = 2_400.0;
    pub const ZONES: f64 = 8.0;
    pub const FAILURES_PER_DAY: f64 = 16.0;
}

/// Assumptions about quantities that are not measured.
mod assumed {
    /// Mean duration of a request, in seconds.
    pub const REQUEST_DURATION_S: f64 = 5.0;
    /// Interval of one box's journal writes, in seconds, as with `spacing_ms` 40.
    pub const JOURNAL_INTERVAL_S: f64 = 0.04;
    /// Interval of folds, in seconds.
    pub const FOLD_INTERVAL_S: f64 = 2.0;
    /// Distinct budgets that one box serves between two folds.
    pub const BUDGETS_PER_FOLD: f64 = 21.0;
    /// Exchanges per second that a box starts in a large fleet: 2 every 2.4 s.
    pub const EXCHANGES_PER_S: f64 = 0.83;
    /// Interval of one journal carrier's writes, in seconds.
    pub const CARRIER_INTERVAL_S: f64 = 0.06;
    /// Journal carriers per zone.
    pub const CARRIERS_PER_ZONE: f64 = 2.0;
    /// Number of ledger shards.
    pub const SHARDS: f64 = 512.0;
    /// Interval of writes by a shard's home in one region, in seconds.
    pub const SHARD_INTERVAL_S: f64 = 20.0;
}

/// A row of the table.
pub struct Row {
    name: &'static str,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
    source: &'static str,
}

/// Computes all rows.
pub fn rows() -> Vec<Row> {
    let requests = size::REQUESTS_PER_S / size::BOXES;
    let tokens = size::TOKENS_PER_S / size::BOXES;
    let in_flight = requests * assumed::REQUEST_DURATION_S;
    let journal_writes = 1.0 / (assumed::JOURNAL_INTERVAL_S + 1.0 / requests);
    let unfolded = requests * (assumed::REQUEST_DURATION_S + assumed::FOLD_INTERVAL_S);
    let message_bytes = slope::MESSAGE_BYTES + slope::BUSY_BYTES * in_flight;
    let row = |name, value, unit, limit, source| Row { name, value, unit, limit, source };
    vec![
        row("requests by node", requests, "/s", None, "4,100 / 390"),
        row("tokens by node", tokens, "/s", None, "1.3 M / 390"),
        row(
            "entry router, requests",
            requests * slope::REQUEST_US / 10_000.0,
            "% of a core",
            None,
            "measured slope",
        ),
        row(
            "entry router, tokens",
            tokens * slope::TOKEN_US / 10_000.0,
            "% of a core",
            None,
            "measured slope",
        ),
        row(
            "endpoint choice among 1,500",
            requests * slope::CHOOSE_US / 10_000.0,
            "% of a core",
            None,
            "measured slope",
        ),
        row(
            "control, idle",
            slope::IDLE_CPU_PERCENT,
            "% of a core",
            Some(3.2),
            "measured, the largest of 2, 8 and 24 boxes",
        ),
        row(
            "journal object, rewritten",
            unfolded * slope::RECORD_BYTES / 1_000.0,
            "KB",
            Some(1_000.0),
            "records open or not folded x bytes",
        ),
        row(
            "journal traffic by node",
            journal_writes * unfolded * slope::RECORD_BYTES / 1_000.0,
            "KB/s",
            Some(10.0),
            "whole object at each write",
        ),
        row(
            "journal processor time",
            journal_writes * unfolded * slope::RECORD_WRITE_US / 10_000.0,
            "% of a core",
            Some(3.2),
            "measured slope",
        ),
        row(
            "journal writes, all nodes",
            journal_writes * size::BOXES,
            "/s",
            Some(400.0),
            "1 / (spacing + mean gap) x 390",
        ),
        row(
            "journal writes, carried",
            size::ZONES * assumed::CARRIERS_PER_ZONE / assumed::CARRIER_INTERVAL_S,
            "/s",
            Some(400.0),
            "2 carriers a zone, a segment each 60 ms: not built",
        ),
        row(
            "ledger writes, all nodes",
            size::BOXES * assumed::BUDGETS_PER_FOLD / assumed::FOLD_INTERVAL_S,
            "/s",
            Some(400.0),
            "a write by box, budget served and fold",
        ),
        row(
            "ledger writes, homes",
            4.0 * assumed::SHARDS / assumed::SHARD_INTERVAL_S,
            "/s",
            Some(400.0),
            "4 regional homes of 512 shards, each 20 s: not built",
        ),
        row(
            "busiest ledger",
            (slope::LEDGER_BYTES + size::BOXES * slope::HOLDER_BYTES) / 1_000.0,
            "KB",
            Some(1_000.0),
            "390 holders",
        ),
        row(
            "shard of ledgers",
            size::BUDGETS / assumed::SHARDS * (slope::LEDGER_BYTES + 4.0 * slope::HOLDER_BYTES)
                / 1_000.0,
            "KB",
            Some(1_000.0),
            "178 budgets, 4 holders each: not built",
        ),
        row(
            "configuration in memory",
            size::BUDGETS * slope::CONFIG_BYTES / 1e6,
            "MB",
            Some(32.0),
            "decoded specs alone: the texts kept for peers come on top, not measured",
        ),
        row(
            "accounts in memory",
            assumed::BUDGETS_PER_FOLD * 60.0 * slope::ACCOUNT_BYTES / 1e6,
            "MB",
            Some(32.0),
            "budgets served in two minutes",
        ),
        row(
            "exchange traffic",
            assumed::EXCHANGES_PER_S * 4.0 * message_bytes / 1_000.0,
            "KB/s",
            Some(10.0),
            "started and answered, both ways",
        ),
        row("signs of life", 20.0, "writes/s", Some(400.0), "capped for the whole fleet"),
        row("member lists", 20.0, "reads/s", Some(2_000.0), "capped for the whole fleet"),
        row("waiting watches", size::BOXES, "calls", Some(2_000.0), "one by node"),
        row(
            "watches woken by changes",
            size::CHANGES_PER_DAY * 2.0 / 86_400.0 * size::BOXES,
            "reads/s",
            Some(2_000.0),
            "source and accepted object, each node",
        ),
        row(
            "stranded by failures, at most",
            size::FAILURES_PER_DAY * 70.0 / size::BOXES,
            "thousandths of a budget a day",
            None,
            "16 x share 7% / 390, until declared destroyed",
        ),
        row(
            "unknown by failures, at most",
            size::FAILURES_PER_DAY * in_flight,
            "requests a day",
            None,
            "16 x requests under way",
        ),
        row(
            "to hand in after an hour's outage",
            3_600.0 * requests * slope::RECORD_BYTES / 1e6,
            "MB by node",
            Some(1.0),
            "a value holds 1 MB: segments are needed, not built",
        ),
    ]
}

/// Returns the table as Markdown, as it appears in `docs/CAPACITY.md`.
pub fn table() -> String {
    let mut text = String::from("| what | at the size | limit | from |\n|---|---|---|---|\n");
    for row in rows() {
        let limit = row.limit.map_or(String::from("-"), |limit| {
            let verdict = if row.value > limit { "**broken**" } else { "kept" };
            format!("{limit} {}, {verdict}", row.unit)
        });
        let text_row = format!(
            "| {} | {:.1} {} | {limit} | {} |\n",
            row.name, row.value, row.unit, row.source
        );
        text.push_str(&text_row);
    }
    text
}

/// Returns the table as a report.
pub fn run() -> Report {
    let mut report = Report { is_sound: true, ..Report::default() };
    for row in rows() {
        let value = Value::from((row.value * 100.0).round() / 100.0);
        report.figures.insert(row.name.to_owned(), value);
    }
    report
}

#[cfg(test)]
mod tests {
    #[test]
    fn the_page_holds_this_table() {
        let page = include_str!("../../../docs/CAPACITY.md");
        assert!(
            page.contains(&super::table()),
            "docs/CAPACITY.md does not contain this table:\n{}",
            super::table()
        );
    }
}
