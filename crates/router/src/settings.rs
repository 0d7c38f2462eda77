//! Settings of a router daemon: JSON with comments, checked before anything listens.

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
    /// Where it listens.
    pub listen: Listen,
    /// How it reaches the platform.
    pub platform: PlatformSettings,
    /// Addresses of a few other boxes, for a start without the platform.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: Limits,
    /// How it handles money.
    #[serde(default)]
    pub money: Money,
    /// What it logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses that the daemon listens on, as IP numbers with ports.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For metrics and health.
    pub operators: SocketAddr,
    /// For other boxes; without it the box takes no peers.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// Where other boxes reach it, if not at `peers` itself.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
}

/// The platform's object API.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base address, such as `http://10.0.0.5:7000`.
    pub address: String,
    /// Bound on each call, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// How long one watch waits, in milliseconds.
    #[serde(default = "default_watch")]
    pub watch_ms: u64,
}

/// Limits towards callers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections at once.
    pub connections: usize,
    /// Time for a request's headers, in milliseconds.
    pub header_ms: u64,
    /// Time without a byte on a connection, in milliseconds.
    pub idle_ms: u64,
    /// Bytes of answers kept for retries.
    pub replay_bytes: usize,
    /// How long an answer is kept for retries, in milliseconds.
    pub replay_ms: u64,
    /// Time for a connection to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// Longest planned stop, in milliseconds.
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

/// How a box handles money.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Money {
    /// Least time between two journal writes, in milliseconds.
    pub spacing_ms: u64,
    /// How often outcomes are folded, in milliseconds.
    pub fold_ms: u64,
    /// How long a request waits for the platform before it turns to the offline part.
    pub patience_ms: u64,
    /// Seconds of use that the online part covers.
    pub online_horizon_s: u64,
    /// Seconds of use that the offline part covers at most.
    pub offline_horizon_s: u64,
    /// How often a box shows that it lives, in milliseconds.
    pub beat_ms: u64,
    /// Time without a sign of life after which a journal is sealed, in milliseconds.
    pub seal_after_ms: u64,
    /// Time after the seal when the declared rule decides, in milliseconds.
    pub resolve_after_ms: u64,
    /// How often endpoints are asked for their load, in milliseconds.
    pub report_ms: u64,
    /// Budgets that every box gets ready for, used there or not.
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

/// What the daemon logs.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// For people or for programs.
    pub format: LogFormat,
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings { format: LogFormat::Human, level: "info".into() }
    }
}

/// Form of the log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Lines for people.
    Human,
    /// One JSON object a line.
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
    /// Reads and checks settings; the error names the key, its line and what is allowed.
    pub fn read(text: &str) -> Result<Settings, Error> {
        let (settings, lines) = jsonc::read::<Settings>(text)?;
        match settings.check().first() {
            Some(violation) => Err(violation.to_error(&lines)),
            None => Ok(settings),
        }
    }

    /// Values out of range.
    pub fn check(&self) -> Vec<Violation> {
        let mut found = Vec::new();
        for (path, name) in
            [("box", &self.box_name), ("zone", &self.zone), ("region", &self.region)]
        {
            if !resource::is_name(name) {
                found.push(Violation::new(path, "a name of a-z, 0-9 and inner hyphens"));
            }
        }
        if !self.platform.address.starts_with("http://") {
            found.push(Violation::new("platform.address", "an address that starts with http://"));
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
                found.push(Violation::new(path, format!("between {least} and {most}")));
            }
        }
        if money.seal_after_ms < money.beat_ms * 2 {
            found.push(Violation::new("money.seal_after_ms", "at least twice money.beat_ms"));
        }
        if !["error", "warn", "info", "debug", "trace"].contains(&self.log.level.as_str()) {
            found.push(Violation::new("log.level", "error, warn, info, debug or trace"));
        }
        found
    }

    /// How the platform is reached.
    pub fn platform_options(&self) -> platform::store::Options {
        platform::store::Options {
            address: self.platform.address.clone(),
            timeout: Duration::from_millis(self.platform.timeout_ms),
            watch_timeout: Duration::from_millis(self.platform.watch_ms),
        }
    }
}
