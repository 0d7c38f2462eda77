//! Settings of the router: JSON with comments, validated before any socket is opened.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonc::{Error, Violation};
use serde::Deserialize;

/// All settings of one box.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box.
    #[serde(rename = "box")]
    pub box_name: Arc<str>,
    /// Availability zone of the box.
    pub zone: Arc<str>,
    /// Region of the box.
    #[serde(default = "region")]
    pub region: Arc<str>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Addresses of other boxes to contact when starting while the platform is unreachable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Limits for callers and answers.
    #[serde(default)]
    pub limits: Limits,
    /// Reservation and recording of tokens.
    #[serde(default)]
    pub money: Money,
    /// Log format and level.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that the daemon listens on, as IP addresses with ports.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For metrics and health.
    pub operators: SocketAddr,
    /// For other boxes; without it the box accepts no peers.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Address announced to other boxes, if different from `peers`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// The platform's object API.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address, such as `http://10.0.0.5:7000`.
    pub address: String,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Time that a watch waits for changes, in milliseconds.
    #[serde(default = "default_watch")]
    pub watch_ms: u64,
}

/// Limits for callers and answers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Concurrent connections.
    pub connections: usize,
    /// Timeout for a request's headers, in milliseconds.
    pub header_ms: u64,
    /// Timeout of an idle connection, in milliseconds.
    pub idle_ms: u64,
    /// Bytes of answers stored for retries.
    pub replay_bytes: usize,
    /// Time that an answer is stored for retries, in milliseconds.
    pub replay_ms: u64,
    /// Timeout for connecting to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// Timeout of a graceful shutdown, in milliseconds.
    pub stop_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 10_000,
            header_ms: 10_000,
            idle_ms: 120_000,
            replay_bytes: 8 << 20,
            replay_ms: 300_000,
            connect_ms: 1_000,
            stop_ms: 900_000,
        }
    }
}

/// How a box reserves and records tokens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Money {
    /// Shortest interval between two journal writes, in milliseconds.
    pub spacing_ms: u64,
    /// Interval for folding outcomes into the ledgers, in milliseconds.
    pub fold_ms: u64,
    /// Time that a request waits for the platform before it uses the offline part, in milliseconds.
    pub patience_ms: u64,
    /// Seconds of use that the online part covers.
    pub online_horizon_s: u64,
    /// Seconds of use that the offline part covers at most.
    pub offline_horizon_s: u64,
    /// Heartbeat interval, in milliseconds.
    pub beat_ms: u64,
    /// Time without a heartbeat after which a box's journal is sealed, in milliseconds.
    pub seal_after_ms: u64,
    /// Time after sealing at which the declared rule decides open records, in milliseconds.
    pub resolve_after_ms: u64,
    /// Interval for polling engines for their load, in milliseconds.
    pub report_ms: u64,
    /// Largest number of configured budgets for which each box prepares before they are used here;
    /// with more, it prepares for none.
    pub ready_budgets: usize,
}

impl Default for Money {
    fn default() -> Money {
        Money {
            spacing_ms: 0,
            fold_ms: 2_000,
            patience_ms: 400,
            online_horizon_s: 10,
            offline_horizon_s: 7_200,
            beat_ms: 1_000,
            seal_after_ms: 4_000,
            resolve_after_ms: 30_000,
            report_ms: 500,
            ready_budgets: 64,
        }
    }
}

/// Log format and level.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: LogFormat,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::Human, level: "info".into() }
    }
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for people.
    Human,
    /// One JSON object per line.
    Json,
}

fn region() -> Arc<str> {
    "default".into()
}

fn default_timeout() -> u64 {
    1_000
}

fn default_watch() -> u64 {
    10_000
}

impl Settings {
    /// Parses and validates settings; an error names the key, its line and the allowed values.
    pub fn read(text: &str) -> Result<Settings, Error> {
        let (settings, lines) = jsonc::read::<Settings>(text)?;
        match settings.check().first() {
            Some(violation) => Err(violation.to_error(&lines)),
            None => Ok(settings),
        }
    }

    /// Values that are not allowed.
    pub fn check(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (path, name) in
            [("box", &self.box_name), ("zone", &self.zone), ("region", &self.region)]
        {
            if !resource::is_name(name) {
                violations.push(Violation::new(path, "a name of a-z, 0-9 and inner hyphens"));
            }
        }
        if !self.platform.address.starts_with("http://") {
            violations
                .push(Violation::new("platform.address", "an address that starts with http://"));
        }
        let (platform, limits, money) = (&self.platform, &self.limits, &self.money);
        let ranges = [
            ("platform.timeout_ms", platform.timeout_ms, 10, 60_000),
            ("platform.watch_ms", platform.watch_ms, 100, 60_000),
            ("limits.connections", limits.connections as u64, 1, 1_000_000),
            ("limits.header_ms", limits.header_ms, 100, 120_000),
            ("limits.idle_ms", limits.idle_ms, 1_000, 3_600_000),
            ("limits.replay_bytes", limits.replay_bytes as u64, 0, 1 << 30),
            ("limits.replay_ms", limits.replay_ms, 0, 86_400_000),
            ("limits.connect_ms", limits.connect_ms, 10, 60_000),
            ("limits.stop_ms", limits.stop_ms, 100, 86_400_000),
            ("money.spacing_ms", money.spacing_ms, 0, 1_000),
            ("money.fold_ms", money.fold_ms, 10, 600_000),
            ("money.patience_ms", money.patience_ms, 1, 60_000),
            ("money.online_horizon_s", money.online_horizon_s, 1, 3_600),
            ("money.offline_horizon_s", money.offline_horizon_s, 1, 604_800),
            ("money.beat_ms", money.beat_ms, 10, 60_000),
            ("money.seal_after_ms", money.seal_after_ms, 50, 3_600_000),
            ("money.resolve_after_ms", money.resolve_after_ms, 50, 86_400_000),
            ("money.report_ms", money.report_ms, 10, 60_000),
            ("money.ready_budgets", money.ready_budgets as u64, 0, 10_000),
        ];
        for (path, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                violations.push(Violation::new(path, format!("between {least} and {most}")));
            }
        }
        if money.seal_after_ms < money.beat_ms * 2 {
            violations.push(Violation::new("money.seal_after_ms", "at least twice money.beat_ms"));
        }
        if !["error", "warn", "info", "debug", "trace"].contains(&self.log.level.as_str()) {
            violations.push(Violation::new("log.level", "error, warn, info, debug or trace"));
        }
        violations
    }

    /// Options of the platform client.
    pub fn platform_options(&self) -> platform::store::Options {
        platform::store::Options {
            address: self.platform.address.clone(),
            timeout: Duration::from_millis(self.platform.timeout_ms),
            watch_timeout: Duration::from_millis(self.platform.watch_ms),
        }
    }
}
