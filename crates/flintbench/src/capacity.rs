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
    pub const TELL_BYTES: f64 = 96.0;
    /// `idle_cpu_percent_by_boxes`, largest point: percent of a core.
    pub const IDLE_PERCENT: f64 = 1.0;
    /// `choose_us` at 1,500 endpoints: microseconds per selection.
    pub const CHOOSE_US: f64 = 23.0;
}

/// Size of the deployment. Rates are per second unless named otherwise.
mod size {
    pub const NODES: f64 = 390.0;
    pub const REQUESTS: f64 = 4_100.0;
    pub const TOKENS: f64 = 1_300_000.0;
    pub const BUDGETS: f64 = 91_000.0;
    pub const CHANGES_A_DAY: f64 = 2_400.0;
    pub const ZONES: f64 = 8.0;
    pub const FAILURES_A_DAY: f64 = 16.0;
}

/// Assumptions about quantities that are not measured.
mod assumed {
    /// Mean duration of a request, in seconds.
    pub const UNDER_WAY_S: f64 = 5.0;
    /// Interval of one box's journal writes, in seconds, as with `spacing_ms` 40.
    pub const SPACING_S: f64 = 0.04;
    /// Interval of folds, in seconds.
    pub const FOLD_S: f64 = 2.0;
    /// Distinct budgets that one box serves between two folds.
    pub const SERVED_BY_FOLD: f64 = 21.0;
    /// Exchanges per second that a box starts in a large fleet: 2 every 2.4 s.
    pub const EXCHANGES: f64 = 0.83;
    /// Interval of one journal carrier's writes, in seconds.
    pub const CARRIER_S: f64 = 0.06;
    /// Journal carriers per zone.
    pub const CARRIERS: f64 = 2.0;
    /// Number of ledger shards.
    pub const SHARDS: f64 = 512.0;
    /// Interval of writes by a shard's home in one region, in seconds.
    pub const SHARD_S: f64 = 20.0;
}

/// A row of the table.
pub struct Line {
    name: &'static str,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
    how: &'static str,
}

/// Computes all rows.
pub fn lines() -> Vec<Line> {
    use assumed as a;
    use size as z;
    use slope as s;
    let requests = z::REQUESTS / z::NODES;
    let tokens = z::TOKENS / z::NODES;
    let under_way = requests * a::UNDER_WAY_S;
    let journal_writes = 1.0 / (a::SPACING_S + 1.0 / requests);
    let open = requests * (a::UNDER_WAY_S + a::FOLD_S);
    let tell = s::TELL_BYTES + s::BUSY_BYTES * under_way;
    let line = |name, value, unit, limit, how| Line { name, value, unit, limit, how };
    vec![
        line("requests by node", requests, "/s", None, "4,100 / 390"),
        line("tokens by node", tokens, "/s", None, "1.3 M / 390"),
        line(
            "entry router, requests",
            requests * s::REQUEST_US / 10_000.0,
            "% of a core",
            None,
            "measured slope",
        ),
        line(
            "entry router, tokens",
            tokens * s::TOKEN_US / 10_000.0,
            "% of a core",
            None,
            "measured slope",
        ),
        line(
            "endpoint choice among 1,500",
            requests * s::CHOOSE_US / 10_000.0,
            "% of a core",
            None,
            "measured slope",
        ),
        line(
            "control, idle",
            s::IDLE_PERCENT,
            "% of a core",
            Some(3.2),
            "measured, the largest of 2, 8 and 24 boxes",
        ),
        line(
            "journal object, rewritten",
            open * s::RECORD_BYTES / 1_000.0,
            "KB",
            Some(1_000.0),
            "records open or not folded x bytes",
        ),
        line(
            "journal traffic by node",
            journal_writes * open * s::RECORD_BYTES / 1_000.0,
            "KB/s",
            Some(10.0),
            "whole object at each write",
        ),
        line(
            "journal processor time",
            journal_writes * open * s::RECORD_WRITE_US / 10_000.0,
            "% of a core",
            Some(3.2),
            "measured slope",
        ),
        line(
            "journal writes, all nodes",
            journal_writes * z::NODES,
            "/s",
            Some(400.0),
            "1 / (spacing + mean gap) x 390",
        ),
        line(
            "journal writes, carried",
            z::ZONES * a::CARRIERS / a::CARRIER_S,
            "/s",
            Some(400.0),
            "2 carriers a zone, a segment each 60 ms: not built",
        ),
        line(
            "ledger writes, all nodes",
            z::NODES * a::SERVED_BY_FOLD / a::FOLD_S,
            "/s",
            Some(400.0),
            "a write by box, budget served and fold",
        ),
        line(
            "ledger writes, homes",
            4.0 * a::SHARDS / a::SHARD_S,
            "/s",
            Some(400.0),
            "4 regional homes of 512 shards, each 20 s: not built",
        ),
        line(
            "busiest ledger",
            (s::LEDGER_BYTES + z::NODES * s::HOLDER_BYTES) / 1_000.0,
            "KB",
            Some(1_000.0),
            "390 holders",
        ),
        line(
            "shard of ledgers",
            z::BUDGETS / a::SHARDS * (s::LEDGER_BYTES + 4.0 * s::HOLDER_BYTES) / 1_000.0,
            "KB",
            Some(1_000.0),
            "178 budgets, 4 holders each: not built",
        ),
        line(
            "configuration in memory",
            z::BUDGETS * s::CONFIG_BYTES / 1e6,
            "MB",
            Some(32.0),
            "decoded specs alone: the texts kept for peers come on top, not measured",
        ),
        line(
            "accounts in memory",
            a::SERVED_BY_FOLD * 60.0 * s::ACCOUNT_BYTES / 1e6,
            "MB",
            Some(32.0),
            "budgets served in two minutes",
        ),
        line(
            "exchange traffic",
            a::EXCHANGES * 4.0 * tell / 1_000.0,
            "KB/s",
            Some(10.0),
            "started and answered, both ways",
        ),
        line("signs of life", 20.0, "writes/s", Some(400.0), "capped for the whole fleet"),
        line("member lists", 20.0, "reads/s", Some(2_000.0), "capped for the whole fleet"),
        line("waiting watches", z::NODES, "calls", Some(2_000.0), "one by node"),
        line(
            "watches woken by changes",
            z::CHANGES_A_DAY * 2.0 / 86_400.0 * z::NODES,
            "reads/s",
            Some(2_000.0),
            "source and accepted object, each node",
        ),
        line(
            "stranded by failures, at most",
            z::FAILURES_A_DAY * 70.0 / z::NODES,
            "thousandths of a budget a day",
            None,
            "16 x share 7% / 390, until declared destroyed",
        ),
        line(
            "unknown by failures, at most",
            z::FAILURES_A_DAY * under_way,
            "requests a day",
            None,
            "16 x requests under way",
        ),
        line(
            "to hand in after an hour's outage",
            3_600.0 * requests * s::RECORD_BYTES / 1e6,
            "MB by node",
            Some(1.0),
            "a value holds 1 MB: segments are needed, not built",
        ),
    ]
}

/// Returns the table as Markdown, as it appears in `docs/CAPACITY.md`.
pub fn table() -> String {
    let mut text = String::from("| what | at the size | limit | from |\n|---|---|---|---|\n");
    for line in lines() {
        let limit = line.limit.map_or(String::from("-"), |limit| {
            let word = if line.value > limit { "**broken**" } else { "kept" };
            format!("{limit} {}, {word}", line.unit)
        });
        let row = format!(
            "| {} | {:.1} {} | {limit} | {} |\n",
            line.name, line.value, line.unit, line.how
        );
        text.push_str(&row);
    }
    text
}

/// Returns the table as a report.
pub fn run() -> Report {
    let mut report = Report { sound: true, ..Report::default() };
    for line in lines() {
        let value = Value::from((line.value * 100.0).round() / 100.0);
        report.figures.insert(line.name.to_owned(), value);
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
