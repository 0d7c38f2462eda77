//! Settings of a box on the users' platform: JSON with comments.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonc::{Error, Violation};
use serde::Deserialize;

/// All settings. Addresses and names have no defaults; everything else does.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the box, the same over all its lives.
    #[serde(rename = "box")]
    pub box_name: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Where it listens.
    pub listen: Listen,
    /// What the box can carry.
    #[serde(default)]
    pub machine: Machine,
    /// The platform's store.
    pub store: Store,
    /// Grants of prepaid tokens.
    #[serde(default)]
    pub money: Money,
    /// Requests sent to a second endpoint.
    #[serde(default)]
    pub retries: Retries,
    /// Requests to endpoints that are cold.
    #[serde(default)]
    pub cold: Cold,
    /// Requests that endpoints end with.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Bounds in time and number.
    #[serde(default)]
    pub limits: Limits,
    /// Log lines.
    #[serde(default)]
    pub log: Log,
}

/// Log lines.
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

/// What the box can carry, by which boxes choose whom they ask for tokens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Machine {
    /// Share of a processor core.
    pub cores: f64,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for Machine {
    /// All boxes alike.
    fn default() -> Machine {
        Machine { cores: 1.0, link_mbps: 1_000.0 }
    }
}

impl Machine {
    /// What the box can carry: hundredths of a core or Mbit/s, whichever are less. A message of a
    /// kilobyte takes about as much of either.
    pub fn strength(&self) -> u64 {
        (self.cores * 100.0).min(self.link_mbps) as u64
    }
}

/// Addresses.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's question whether the box takes requests.
    pub ready: SocketAddr,
    /// For metrics.
    pub operators: SocketAddr,
    /// For other boxes; without it, boxes do not pass tokens on.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// How to reach the platform's store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Its address.
    pub address: SocketAddr,
    /// Bound on one call, in milliseconds. Four times what the store takes when it is slow.
    #[serde(default = "store_timeout")]
    pub timeout_ms: u64,
    /// How long a watch waits for a change, in milliseconds. Each one is a call that is paid for;
    /// a dead connection is found sooner, by keep-alive probes.
    #[serde(default = "store_watch")]
    pub watch_ms: u64,
}

fn store_timeout() -> u64 {
    1_000
}

fn store_watch() -> u64 {
    20_000
}

/// Time between two settlements that requests wait for, in milliseconds: those that come meanwhile
/// share the next one. A tenth of what the shortest requests may take.
pub const SETTLEMENT_BATCH_MS: u64 = 40;

/// Part of what is paid, in thousandths, below which the share that boxes may hold shrinks with what is
/// unspent, before an outage was seen.
const PLENTY: u64 = 500;

/// How much of each budget a box holds, to serve without the store.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Money {
    /// Share of what is unspent that all boxes may hold together, in thousandths.
    pub share: u64,
    /// Seconds of use that a box holds at most; outages of the store up to this are ridden out.
    pub horizon_s: u64,
    /// Time between two settlements that nothing asks for, in milliseconds.
    pub settle_ms: u64,
    /// Shortest time between two settlements that no request waits for, in milliseconds.
    pub spacing_ms: u64,
    /// Longest time that a request waits for tokens, in milliseconds.
    pub wait_ms: u64,
    /// Time that a request waits for a settlement before other boxes are asked, in milliseconds:
    /// [`SETTLEMENT_BATCH_MS`] since the one before it, and a few calls of the store.
    pub store_ms: u64,
    /// Longest time that a keeper looks for tokens before it answers, in milliseconds: a settlement
    /// that waits for the one before it, and a question to other keepers.
    pub keeper_ms: u64,
}

impl Default for Money {
    /// Weighed in `docs/design/0005-platform.md` and `docs/DECISIONS.md`.
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

/// Bounds on sending a request to a second endpoint.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Share of the requests of this box that may be sent once more.
    pub ratio: f64,
    /// Repeats allowed besides, so that a box with little traffic has some.
    pub extra: u32,
    /// Seconds over which both are counted.
    pub window_s: u64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries { ratio: 0.15, extra: 2, window_s: 10 }
    }
}

/// Most requests that all boxes together send a cold endpoint within any second: what the operator's
/// configuration says that it bears, times a factor, and some more.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    /// The factor.
    pub factor: f64,
    /// Requests beyond that.
    pub extra: f64,
}

impl Default for Cold {
    /// Just what it bears.
    fn default() -> Cold {
        Cold { factor: 1.0, extra: 0.0 }
    }
}

/// When a request that endpoints end with is not run any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Quarantine {
    /// Endpoints that ended with it.
    pub ended: usize,
    /// Time for which each of them counts, in seconds.
    pub keep_s: u64,
}

impl Default for Quarantine {
    /// Three ends in a day. Of some 72,000 innocent requests of a model of nine engines and two guilty requests, 206
    /// were refused after two ends and none after three, for 3 engines a guilty request instead of 2
    /// (27 with no quarantine).
    fn default() -> Quarantine {
        Quarantine { ended: 3, keep_s: 86_400 }
    }
}

/// Bounds in time and number.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections of callers at once.
    pub connections: usize,
    /// Bytes of request bodies held at once.
    pub bodies: usize,
    /// Time for a connection to an endpoint to come up, in milliseconds.
    pub connect_ms: u64,
    /// A connection to an endpoint is given up after this long without an acknowledgement, in
    /// milliseconds.
    pub silent_ms: u64,
    /// Rest of a connection to an endpoint that does not say how long it keeps one, in
    /// milliseconds.
    pub rest_ms: u64,
    /// Time from a planned stop until requests under way are given up, in milliseconds.
    pub stop_ms: u64,
    /// Time from a planned stop until no more requests are taken, in milliseconds. The balancer
    /// asks every second and believes the second answer; a request that comes later than three
    /// seconds after the stop began might not end before the process has to.
    pub notice_ms: u64,
    /// Time after the store's return during which an endpoint without an entry is still used, in
    /// milliseconds. The platform puts entries that lapsed back within about two seconds.
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
    /// Reads and checks settings; the error names the key, its line and what is allowed.
    pub fn read(text: &str) -> Result<Settings, Error> {
        let (settings, lines) = jsonc::read::<Settings>(text)?;
        match settings.check().first() {
            Some(violation) => Err(violation.error(&lines)),
            None => Ok(settings),
        }
    }

    /// Values out of range.
    pub fn check(&self) -> Vec<Violation> {
        let (store, money, limits) = (&self.store, &self.money, &self.limits);
        let ranges = [
            ("store.timeout_ms", store.timeout_ms, 10, 60_000),
            ("store.watch_ms", store.watch_ms, 100, 30_000),
            ("money.share", money.share, 0, 1_000),
            ("money.horizon_s", money.horizon_s, 0, 86_400),
            ("money.settle_ms", money.settle_ms, 100, 3_600_000),
            ("money.spacing_ms", money.spacing_ms, 10, 3_600_000),
            ("money.store_ms", money.store_ms, 2 * SETTLEMENT_BATCH_MS, 60_000),
            ("money.keeper_ms", money.keeper_ms, 10, 60_000),
            ("money.wait_ms", money.wait_ms, 0, 60_000),
            ("retries.window_s", self.retries.window_s, 1, 3_600),
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
            .filter(|(_, value, least, most)| !(least..=most).contains(&value))
            .map(|(path, _, least, most)| {
                Violation::new(path, format!("between {least} and {most}"))
            })
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

    /// Groups of settings in which `next` differs and which are read at a start alone: addresses
    /// are bound then, and connections and buffers made.
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
            ("quarantine", self.quarantine != next.quarantine),
            ("limits", limits(self) != limits(next)),
            ("log", self.log != next.log),
        ];
        groups.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }

    /// When a request that endpoints end with is not run any more.
    pub fn quarantine(&self) -> quarantine::Limits {
        let Quarantine { ended, keep_s } = self.quarantine;
        quarantine::Limits { ended, keep_s }
    }

    /// Connections to endpoints.
    pub fn connections(&self) -> forward::Options {
        let ms = Duration::from_millis;
        forward::Options {
            connect_timeout: ms(self.limits.connect_ms),
            ack_timeout: ms(self.limits.silent_ms),
            idle_timeout: ms(self.limits.rest_ms),
            idle_margin: ms(1_000),
        }
    }

    /// Calls of the store.
    pub fn store(&self) -> platform::store::Options {
        platform::store::Options {
            address: format!("http://{}", self.store.address),
            timeout: Duration::from_millis(self.store.timeout_ms),
            watch: Duration::from_millis(self.store.watch_ms),
        }
    }

    /// Sizing of grants.
    pub fn policy(&self) -> ledger::Policy {
        ledger::Policy {
            offline_share: self.money.share,
            online_horizon: 0,
            offline_horizon: self.money.horizon_s,
            boxes: 1,
            scarcity_permille: PLENTY,
        }
    }
}
