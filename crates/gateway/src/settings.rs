//! Settings of a box on the users' platform: JSON with comments.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonc::{Error, Violation};
use serde::Deserialize;

use crate::{fleet::regions::Regions, freshness::Bounds};

/// All settings. Addresses and names are required; everything else has defaults.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, the same over all its incarnations.
    #[serde(rename = "box")]
    pub box_name: Arc<str>,
    /// Availability zone of the box.
    pub zone: Arc<str>,
    /// Region of each availability zone, as an object; needed only where there are several.
    #[serde(default)]
    pub regions: Regions,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Resources of the box.
    #[serde(default)]
    pub machine: Machine,
    /// The platform's store.
    pub store: Store,
    /// Grants of prepaid tokens.
    #[serde(default)]
    pub money: Money,
    /// Retries of requests at a second endpoint.
    #[serde(default)]
    pub retries: Retries,
    /// Requests to cold endpoints.
    #[serde(default)]
    pub cold: Cold,
    /// Streams that callers take up again.
    #[serde(default)]
    pub streams: Streams,
    /// Quarantine of requests that crash endpoints.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Limits on time and resources.
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub log: Log,
}

/// Log output.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
}

impl Default for Log {
    fn default() -> Log {
        Log { level: "info".into() }
    }
}

/// Resources of the box, by which boxes choose keepers and watchers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Processor cores, possibly a fraction.
    pub cores: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for Machine {
    /// The same for all boxes.
    fn default() -> Machine {
        Machine { cores: 1.0, link_mbps: 1_000.0 }
    }
}

impl Machine {
    /// Capacity of the box: the smaller of hundredths of a core and Mbit/s. A message of one
    /// kilobyte uses about the same amount of each.
    pub fn capacity(&self) -> u64 {
        (self.cores * 100.0).min(self.link_mbps) as u64
    }
}

/// Addresses to listen on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's readiness checks.
    pub ready: SocketAddr,
    /// For metrics.
    pub operators: SocketAddr,
    /// For other boxes. Without it, this box does not exchange tokens with others.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// Access to the platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of a call, in milliseconds: four times the latency of a slow store.
    #[serde(default = "store_timeout")]
    pub timeout_ms: u64,
    /// How long a watch waits for a change, in milliseconds. Each watch is a paid call; keep-alive
    /// probes detect a dead connection sooner.
    #[serde(default = "store_watch")]
    pub watch_ms: u64,
    /// How old what this box knows of endpoints and of the configuration may become, in milliseconds:
    /// the time after which a leaving endpoint must get no more work, and a configuration be in force.
    #[serde(default = "store_max_age")]
    pub max_age_ms: u64,
}

fn store_timeout() -> u64 {
    1_000
}

fn store_watch() -> u64 {
    20_000
}

fn store_max_age() -> u64 {
    2_000
}

/// Shortest time between two settlements that requests wait for, in milliseconds; requests that
/// arrive in between share the next one. A tenth of the shortest deadlines.
pub const SETTLEMENT_BATCH_MS: u64 = 40;

/// Unspent part of what was paid, in thousandths, below which the share that boxes may hold shrinks
/// along with it. Applies as long as no outage has been seen.
const SCARCITY_PERMILLE: u64 = 500;
/// Part of what is unspent, in thousandths, that all boxes hold by their use as long as no outage
/// has been seen.
const USE_PERMILLE: u64 = 350;

/// How much of each budget a box holds, to serve requests without the store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Money {
    /// Share of the unspent tokens that all boxes together may hold, in thousandths.
    pub share: u64,
    /// Longest use for which a box holds tokens, in seconds; it survives store outages of that
    /// length.
    pub horizon_s: u64,
    /// Interval between periodic settlements, in milliseconds.
    pub settle_ms: u64,
    /// Shortest time between two settlements that no request waits for, in milliseconds.
    pub spacing_ms: u64,
    /// Longest time that a request waits for tokens, in milliseconds.
    pub wait_ms: u64,
    /// How long a request waits for a settlement before other boxes are asked, in milliseconds:
    /// [`SETTLEMENT_BATCH_MS`] and a few calls to the store.
    pub store_ms: u64,
    /// How long a keeper may wait for tokens before it answers, in milliseconds: a settlement
    /// queued behind another one, and a request to other keepers.
    pub keeper_ms: u64,
}

impl Default for Money {
    /// See `docs/design/0005-platform.md` and `docs/DECISIONS.md`.
    fn default() -> Money {
        Money {
            share: 600,
            horizon_s: 10,
            settle_ms: 3_000,
            spacing_ms: 700,
            wait_ms: 250,
            store_ms: 100,
            keeper_ms: 150,
        }
    }
}

/// Limits on retries at a second endpoint.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Share of this box's requests that may be retried.
    pub ratio: f64,
    /// Retries allowed in addition, for a box with little traffic.
    pub extra: u32,
    /// Window over which requests and retries are counted, in seconds.
    pub window_s: u64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { ratio: 0.15, extra: 2, window_s: 10 }
    }
}

/// Limit on the requests that all boxes together send to a cold endpoint per second: the rate in
/// the operator's configuration times `factor`, plus `extra`.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    pub factor: f64,
    pub extra: f64,
}

impl Default for Cold {
    /// Exactly the configured rate.
    fn default() -> Cold {
        Cold { factor: 1.0, extra: 0.0 }
    }
}

/// Streams that callers take up again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Streams {
    /// How long after its end a stream may be taken up, in milliseconds.
    pub memory_ms: u64,
}

impl Default for Streams {
    fn default() -> Streams {
        Streams { memory_ms: 60_000 }
    }
}

/// When a request that crashes endpoints is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quarantine {
    /// Number of endpoints that have to crash while running the request.
    pub ended: usize,
    /// How long each crash counts, in seconds.
    pub keep_s: u64,
}

impl Default for Quarantine {
    /// Three crashes: an innocent request is sometimes running during two crashes that others
    /// cause, and hardly ever during three: of some 72,000 innocent requests of a model with two guilty
    /// ones, 206 were refused after two crashes and none after three.
    fn default() -> Quarantine {
        Quarantine { ended: 3, keep_s: 86_400 }
    }
}

/// Limits on time and resources.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Concurrent connections of callers.
    pub connections: usize,
    /// Total size of buffered request bodies, in bytes.
    pub bodies: usize,
    /// Timeout to connect to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// How long data sent to an endpoint may stay unacknowledged before the connection is closed,
    /// in milliseconds.
    pub silent_ms: u64,
    /// Idle timeout of a connection to an endpoint that does not announce its own, in milliseconds.
    pub rest_ms: u64,
    /// Time from a planned stop until running requests are aborted, in milliseconds.
    pub stop_ms: u64,
    /// Time from a planned stop until new connections are no longer accepted, in milliseconds. The
    /// balancer checks every second and reacts to the second failure. A request accepted later than
    /// three seconds into the stop might not end before the process has to.
    pub notice_ms: u64,
    /// How long after an outage of the store an endpoint without an entry is still used, in
    /// milliseconds. The platform restores lapsed entries within about two seconds.
    pub lapse_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connections: 2_000,
            bodies: 16 << 20,
            connect_ms: 300,
            silent_ms: 3_000,
            rest_ms: 4_000,
            stop_ms: 7_300,
            notice_ms: 2_500,
            lapse_ms: 2_300,
        }
    }
}

impl Settings {
    /// Parses and validates settings; the error names the key, its line and the allowed values.
    pub fn read(text: &str) -> Result<Settings, Error> {
        let (settings, lines) = jsonc::read::<Settings>(text)?;
        match settings.check().first() {
            Some(violation) => Err(violation.to_error(&lines)),
            None => Ok(settings),
        }
    }

    /// Values out of range.
    pub fn check(&self) -> Vec<Violation> {
        let (store, money, limits) = (&self.store, &self.money, &self.limits);
        let ranges = [
            ("store.timeout_ms", store.timeout_ms, 10, 60_000),
            ("store.watch_ms", store.watch_ms, 100, 30_000),
            ("store.max_age_ms", store.max_age_ms, 500, 600_000),
            ("money.share", money.share, 0, 1_000),
            ("money.horizon_s", money.horizon_s, 0, 86_400),
            ("money.settle_ms", money.settle_ms, 100, 3_600_000),
            ("money.spacing_ms", money.spacing_ms, 10, 3_600_000),
            ("money.store_ms", money.store_ms, 2 * SETTLEMENT_BATCH_MS, 60_000),
            ("money.keeper_ms", money.keeper_ms, 10, 60_000),
            ("money.wait_ms", money.wait_ms, 0, 60_000),
            ("retries.window_s", self.retries.window_s, 1, 3_600),
            ("streams.memory_ms", self.streams.memory_ms, 100, 86_400_000),
            ("quarantine.ended", self.quarantine.ended as u64, 1, 1_000),
            ("quarantine.keep_s", self.quarantine.keep_s, 1, 31_536_000),
            ("limits.connections", limits.connections as u64, 1, 1_000_000),
            ("limits.bodies", limits.bodies as u64, 1 << 16, 1 << 34),
            ("limits.connect_ms", limits.connect_ms, 10, 60_000),
            ("limits.silent_ms", limits.silent_ms, 100, 600_000),
            ("limits.stop_ms", limits.stop_ms, 100, 86_400_000),
        ];
        let mut found: Vec<Violation> = ranges
            .into_iter()
            .filter(|(_, value, min, max)| !(min..=max).contains(&value))
            .map(|(path, _, min, max)| Violation::new(path, format!("between {min} and {max}")))
            .collect();
        if self.box_name.is_empty() {
            found.push(Violation::new("box", "a name"));
        }
        for (path, value) in
            [("machine.cores", self.machine.cores), ("machine.link_mbps", self.machine.link_mbps)]
        {
            if !(value > 0.0 && value.is_finite()) {
                found.push(Violation::new(path, "above 0"));
            }
        }
        for (path, value) in [("cold.factor", self.cold.factor), ("cold.extra", self.cold.extra)] {
            if !(0.0..=1_000.0).contains(&value) {
                found.push(Violation::new(path, "between 0 and 1000"));
            }
        }
        if !(0.0..=1.0).contains(&self.retries.ratio) {
            found.push(Violation::new("retries.ratio", "between 0 and 1"));
        }
        if !["error", "warn", "info", "debug", "trace"].contains(&self.log.level.as_str()) {
            found.push(Violation::new("log.level", "error, warn, info, debug or trace"));
        }
        found
    }

    /// Groups of settings in which `next` differs and that take effect only at a restart:
    /// addresses, connections and buffers are set up at the start.
    pub fn restart_only_changes(&self, next: &Settings) -> Vec<&'static str> {
        let limits =
            |settings: &Settings| Limits { stop_ms: 0, notice_ms: 0, ..settings.limits.clone() };
        let groups = [
            ("box", self.box_name != next.box_name),
            ("zone", self.zone != next.zone),
            ("machine", self.machine != next.machine),
            ("listen", self.listen != next.listen),
            ("store", self.store != next.store),
            ("cold", self.cold != next.cold),
            ("streams", self.streams != next.streams),
            ("quarantine", self.quarantine != next.quarantine),
            ("limits", limits(self) != limits(next)),
            ("log", self.log != next.log),
        ];
        groups.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    pub fn quarantine(&self) -> quarantine::Limits {
        let Quarantine { ended, keep_s } = self.quarantine;
        quarantine::Limits { crashes: ended, keep_s }
    }

    /// Options of connections to endpoints.
    pub fn connections(&self) -> forward::Options {
        let ms = Duration::from_millis;
        forward::Options {
            connect_timeout: ms(self.limits.connect_ms),
            ack_timeout: ms(self.limits.silent_ms),
            idle_timeout: ms(self.limits.rest_ms),
            idle_margin: ms(1_000),
        }
    }

    /// Options of the store's client.
    pub fn store(&self) -> platform::store::Options {
        platform::store::Options {
            address: format!("http://{}", self.store.address),
            timeout: Duration::from_millis(self.store.timeout_ms),
            watch_timeout: Duration::from_millis(self.store.watch_ms),
        }
    }

    /// How old what the box knows may become.
    pub fn freshness(&self) -> Bounds {
        Bounds { max_age: Duration::from_millis(self.store.max_age_ms) }
    }

    /// Sizing of grants.
    pub fn policy(&self) -> ledger::Policy {
        ledger::Policy {
            offline_share: self.money.share,
            online_horizon: 0,
            offline_horizon: Duration::from_secs(self.money.horizon_s),
            boxes: 1,
            scarcity_permille: SCARCITY_PERMILLE,
            use_permille: USE_PERMILLE,
        }
    }
}
