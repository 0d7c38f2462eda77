//! Streams that callers take up again: at which software version they have to go on.
//!
//! What two versions of an endpoint's software write does not fit together, so a stream goes on only at the version that
//! began it. Where no box and no page in the store knows that, the request is refused without having run, unless the
//! record of the service proves that it had but one version for as long as a stream can be taken up. So origins are told
//! to other boxes and to the store only from the moment at which a service may have a second version.

use std::{sync::Arc, time::Duration};

use platform::{
    config::{Kind, Route},
    request::Head,
};
use wire::{StreamKey, StreamOrigin};

use crate::{
    config_table::ConfigTable,
    fleet::streams::{self, Found, Sent, Streams, Tell},
    metrics::TakenUp,
    proxy::{
        context::Context,
        exchange::Exchange,
        refusal::{Reason, Refusal},
    },
    sole_versions::{handle::SoleVersions, history::Seen, record::Versions},
};

/// `Retry-After` where this box may soon know more of a stream, or another one does already.
pub const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval at which a box looks whether a service has a second version.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(100);

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    pub service: Arc<str>,
    /// Software version that began the stream; `None` if the request takes up none.
    pub version: Option<Arc<str>>,
}

/// What is known of the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Origin {
    /// This box relayed it or took it up before.
    Remembered(StreamOrigin),
    /// Another box told.
    Told(StreamOrigin),
    /// The service had no other version for long enough.
    Sole(StreamOrigin),
    /// The store told.
    Stored(StreamOrigin),
    /// No box knows it.
    Unknown,
    /// No box told, but not all of them answered.
    Unheard,
}

impl Origin {
    /// Name in log lines and metrics.
    fn as_str(&self) -> &'static str {
        match self {
            Origin::Remembered(_) => "remembered",
            Origin::Told(_) => "told",
            Origin::Sole(_) => "sole_version",
            Origin::Stored(_) => "stored",
            Origin::Unknown => "unknown",
            Origin::Unheard => "unheard",
        }
    }

    fn known(&self) -> Option<&StreamOrigin> {
        match self {
            Origin::Remembered(origin)
            | Origin::Told(origin)
            | Origin::Sole(origin)
            | Origin::Stored(origin) => Some(origin),
            Origin::Unknown | Origin::Unheard => None,
        }
    }
}

/// Whether a request takes up a stream.
fn takes_up_stream(head: &Head, route: &Route) -> bool {
    route.kind == Kind::Streaming && (head.resumes.is_some() || head.resumed_after.is_some())
}

/// Whether callers may take up the streams of a route.
fn can_be_taken_up(route: &Route) -> bool {
    route.kind == Kind::Streaming && route.resumable
}

/// Key of the stream that an attempt of the same customer began.
fn key(exchange: &Exchange, attempt: &str) -> StreamKey {
    streams::key(exchange.customer.as_deref(), attempt)
}

impl Context {
    /// Finds out where a request goes.
    pub async fn destination(
        &self,
        table: &ConfigTable,
        route: &Route,
        head: &Head,
        exchange: &Exchange,
    ) -> Result<Destination, Refusal> {
        let first_attempt = head.resumes.as_deref().or(head.id.as_deref());
        let drawn = table.target(route, first_attempt.unwrap_or_default());
        let drawn = drawn.ok_or_else(Refusal::no_service)?;
        if !takes_up_stream(head, route) {
            return Ok(Destination { service: drawn.clone(), version: None });
        }
        let origin = self.find_origin(head, drawn, exchange).await;
        self.report_origin(&origin, head, exchange);
        let is_routed = |origin: &StreamOrigin| {
            route.targets.iter().any(|target| target.service == origin.service)
        };
        match origin.known() {
            Some(known) if is_routed(known) => {
                let StreamOrigin { service, version } = known.clone();
                Ok(Destination { service, version: Some(version) })
            }
            Some(_) => {
                let detail = "the route no longer goes to the service that began the stream";
                Err(Reason::VersionGone.with(detail))
            }
            None if origin == Origin::Unheard => {
                let detail = "boxes that may know which version began the stream did not answer";
                Err(Reason::VersionUnknown.after(RETRY_DELAY, detail))
            }
            None if self.sole_versions.seen(drawn) != Seen::Several => {
                let detail = "it is not known yet which version began the stream";
                Err(Reason::VersionUnknown.after(RETRY_DELAY, detail))
            }
            None => {
                Err(Reason::VersionUnknown.with("it is not known which version began the stream"))
            }
        }
    }

    /// Finds out where a stream began; at `drawn` if the service is not known otherwise.
    async fn find_origin(&self, head: &Head, drawn: &Arc<str>, exchange: &Exchange) -> Origin {
        let found = match &head.resumes {
            Some(attempt) => self.streams.find(key(exchange, attempt), exchange.deadline).await,
            None => Found::Nowhere,
        };
        let not_found = match found {
            Found::Here(origin) => return Origin::Remembered(origin),
            Found::AtHome(origin) => return Origin::Told(origin),
            Found::Nowhere => Origin::Unknown,
            Found::Unheard => Origin::Unheard,
        };
        if let Some(version) = self.sole_versions.sole_version(drawn, exchange.deadline).await {
            return Origin::Sole(StreamOrigin { service: drawn.clone(), version });
        }
        let Some(attempt) = &head.resumes else { return not_found };
        match self.streams.find_stored(key(exchange, attempt), exchange.deadline).await {
            Found::Here(origin) | Found::AtHome(origin) => Origin::Stored(origin),
            Found::Nowhere => not_found,
            Found::Unheard => Origin::Unheard,
        }
    }

    fn report_origin(&self, origin: &Origin, head: &Head, exchange: &Exchange) {
        let known_from = origin.as_str();
        self.metrics.streams_taken_up.get_or_create(&TakenUp { known_from }).inc();
        tracing::info!(
            event = "stream_taken_up",
            id = exchange.id.as_deref(),
            resumes = head.resumes.as_deref(),
            resumed_after = head.resumed_after,
            service = origin.known().map(|origin| &*origin.service),
            version = origin.known().map(|origin| &*origin.version),
            known_from,
        );
    }

    /// Software versions at which a request may begin a stream that can be taken up, if not at all: the store has to know
    /// of the others first. `version` is that of the stream that it takes up.
    pub fn open_versions(
        &self,
        route: &Route,
        service: &Arc<str>,
        version: Option<&str>,
    ) -> Option<Versions> {
        let begins_stream = version.is_none() && can_be_taken_up(route);
        begins_stream.then(|| self.sole_versions.open_versions(service)).flatten()
    }

    /// Remembers where the stream of a response began, or goes on, here and at other boxes.
    pub fn record_origin(
        &self,
        origin: StreamOrigin,
        route: &Route,
        head: &Head,
        exchange: &Exchange,
    ) -> Option<Sent> {
        let first_attempt = head.resumes.as_ref().or(head.id.as_ref());
        let attempt = first_attempt.filter(|_| can_be_taken_up(route))?;
        let tell = match self.sole_versions.is_settled(&origin.service) {
            false => Tell::Now,
            true if self.sole_versions.reaches_store() => Tell::Later,
            true => Tell::Homes,
        };
        let sent = self.streams.record(key(exchange, attempt), origin, tell);
        // One that is taken up was sent before.
        sent.filter(|_| head.resumes.is_none())
    }
}

/// Tells other boxes where running streams began, as soon as their service may have a second version, or the store is out
/// of reach.
pub async fn tell_when_versions_differ(streams: Streams, sole_versions: SoleVersions) {
    let mut ticks = tokio::time::interval(VERSIONS_INTERVAL);
    loop {
        ticks.tick().await;
        for service in streams.held_services() {
            match sole_versions.is_settled(&service) {
                false => streams.tell(&service),
                true if sole_versions.reaches_store() => {}
                true => streams.tell_homes(&service),
            }
        }
    }
}
