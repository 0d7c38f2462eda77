//! From the head of a request to a call that may be sent: route, customer, body, tokens.

use std::{sync::Arc, time::Duration};

use balance::Prefix;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use platform::{
    config::Route,
    request::{self, Head},
};
use quarantine::{Fingerprint, Verdict};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    proxy::{
        context::Context,
        exchange::Exchange,
        refusal::{Reason, Refusal, SOON},
    },
    tokens::funds::Shortage,
};

/// When to come back where the box lacks tokens or its configuration: a settlement or a read
/// later.
const LATER: Duration = Duration::from_millis(1_000);
/// Connections to one endpoint that a box may hold even where its share is smaller.
const LEAST_CONNECTIONS: u64 = 4;
/// Connections to one endpoint where the configuration does not bound them.
const CONNECTIONS: u64 = 256;
/// Bytes set aside for a body whose length the head does not tell; the largest on the sheets of
/// the deployments has less than half of that.
const UNTOLD_BODY: usize = 256 << 10;

/// A request that was read and admitted.
pub struct Call {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Room for the body, given back when the request ends.
    _room: OwnedSemaphorePermit,
    pub head: Head,
    pub prefix: Prefix,
    /// Its content.
    pub fingerprint: Fingerprint,
    pub route: Route,
    pub service: Arc<str>,
    /// Connections that this box may hold to one endpoint.
    pub connections: usize,
    /// Rank at an engine.
    pub rank: Option<u8>,
    /// The same for any service, 0 first.
    pub urgency: u8,
}

impl Context {
    /// Finds where a request goes and reads its body.
    pub async fn admit(
        &self,
        request: Request<Incoming>,
        head: Head,
        exchange: &mut Exchange,
    ) -> Result<Call, Refusal> {
        let table = self.table.borrow().clone();
        let table =
            table.ok_or_else(|| Reason::NoConfig.after(LATER, "no configuration was read yet"))?;
        exchange.version = table.version();
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let route = table
            .route(host.unwrap_or_default(), request.uri().path())
            .ok_or_else(|| Reason::NoRoute.with("no route for this host and path"))?
            .clone();
        exchange.route = Some(route.name.clone());
        if let Some(timeout) = route.timeout {
            exchange.until = exchange.until.min(exchange.came + timeout);
        }
        let customer = match table.needs_keys() && !route.public {
            false => None,
            true => {
                let customer = head.key.as_deref().and_then(|key| table.customer(key));
                let unknown = || Reason::NoCustomer.with("no customer holds this key");
                Some(customer.ok_or_else(unknown)?)
            }
        };
        exchange.customer = customer.map(|customer| customer.name.clone());
        let paid = customer.is_some_and(|customer| customer.paid.is_some());
        exchange.tokens = head.tokens.filter(|_| paid);
        let id = head.id.as_deref().unwrap_or_default();
        let service = table
            .target(&route, id)
            .ok_or_else(|| Reason::NoEndpoint.after(LATER, "the route has no service"))?
            .clone();
        exchange.service = Some(service.clone());
        let of = table.service(&service);
        let engine = of.and_then(|service| service.engine.as_ref());
        exchange.event_tokens = engine.map_or(1, |engine| engine.event_tokens);
        let all = of.and_then(|service| service.connections).map_or(CONNECTIONS, u64::from);
        let connections = (all / self.peers.boxes()).max(LEAST_CONNECTIONS.min(all)) as usize;
        let urgency = rank(customer.map_or(0, |c| c.priority), route.priority);
        let rank = engine.map(|_| urgency);
        let limit = table.config().limits.max_body_bytes;
        let (parts, body) = request.into_parts();
        let room = self.room(&body, limit)?;
        let body = self.read_body(body, limit, exchange.until).await?;
        self.link.request(body.len());
        let prefix = Prefix::of_parts(head.parts.iter().map(|part| (part.id, part.tokens)));
        let (method, target, headers) = (parts.method, parts.uri, parts.headers);
        let fingerprint = fingerprint(exchange.customer.as_ref(), &route, &method, &target, &body);
        exchange.fingerprint = Some(fingerprint.clone());
        self.check_quarantine(&fingerprint, exchange.until).await?;
        Ok(Call {
            method,
            target,
            headers,
            body,
            _room: room,
            head,
            prefix,
            fingerprint,
            route,
            service,
            connections,
            rank,
            urgency,
        })
    }

    /// Refuses a request that endpoints end with. What hangs on ends that are not proved yet comes again as
    /// soon as they are.
    pub async fn check_quarantine(
        &self,
        fingerprint: &Fingerprint,
        until: Instant,
    ) -> Result<(), Refusal> {
        match self.crashes.verdict(fingerprint, until).await {
            Verdict::Allowed | Verdict::Suspect { .. } => Ok(()),
            Verdict::Unconfirmed { .. } => {
                let known = Duration::from_millis(self.settings().limits.connect_ms);
                let detail = "connections to endpoints broke while they ran it, and whether the \
                              endpoints ended is not known yet";
                Err(Reason::Unconfirmed.after(known, detail))
            }
            Verdict::Quarantined { for_s } => Err(Reason::Quarantined
                .after(Duration::from_secs(for_s), "endpoints ended each time they ran it")),
        }
    }

    /// Room for a body, by its length where the head tells it.
    fn room(&self, body: &Incoming, limit: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let told = http_body::Body::size_hint(body).exact().map(|bytes| bytes as usize);
        if told.is_some_and(|bytes| bytes > limit) {
            return Err(Reason::TooLarge.with(format!("more than {limit} bytes")));
        }
        let bytes = told.unwrap_or(UNTOLD_BODY.min(limit)) as u32;
        let room = self.body_bytes.clone().try_acquire_many_owned(bytes);
        room.map_err(|_| Reason::Memory.after(SOON, "too many bodies are held"))
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        until: Instant,
    ) -> Result<Bytes, Refusal> {
        let read = tokio::time::timeout_at(until, Limited::new(body, limit).collect()).await;
        let late = Reason::BodyLate.with("the body did not arrive in time");
        match read.map_err(|_| late)? {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(Reason::TooLarge.with(format!("more than {limit} bytes")))
            }
            Err(error) => Err(Reason::Malformed.with(format!("the body broke off: {error}"))),
        }
    }

    /// Holds the worst case of a request that costs tokens.
    pub async fn hold(&self, call: &Call, exchange: &mut Exchange) -> Result<(), Refusal> {
        let (Some(tokens), Some(customer)) = (exchange.tokens, exchange.customer.clone()) else {
            return Ok(());
        };
        let worst = tokens.prompt + tokens.max_output;
        let settings = self.settings();
        let money = &settings.money;
        let patience = Duration::from_millis(money.wait_ms);
        let patience = call.route.target.map_or(patience, |target| patience.min(target / 2));
        let now = Instant::now();
        let until = (now + patience).min(exchange.until);
        let from_store = Duration::from_millis(money.store_ms);
        if let Some(hold) = self.acquirer.hold(&customer, worst, from_store, until).await {
            exchange.pay_with(hold);
            return Ok(());
        }
        Err(match self.funds.shortage(&customer, worst) {
            Shortage::Exhausted => {
                let detail = format!("what remains of the budget cannot hold {worst} tokens");
                Reason::BudgetExhausted.with(detail)
            }
            shortage @ Shortage::Local { .. } => {
                let detail = format!("this box lacks tokens for {worst}: {shortage}");
                Reason::TokensShort.after(LATER, detail)
            }
        })
    }
}

/// What tries of one request have in common: the host is the route's, as its callers may write it in several ways.
fn fingerprint(
    customer: Option<&Arc<str>>,
    route: &Route,
    method: &Method,
    target: &Uri,
    body: &[u8],
) -> Fingerprint {
    let target = target.path_and_query().map_or("", |target| target.as_str());
    let parts = [method.as_str().as_bytes(), route.host.as_bytes(), target.as_bytes(), body];
    Fingerprint::of(customer, parts)
}

/// Refuses heads that two readers could understand in two ways.
pub fn check_head(request: &Request<Incoming>) -> Result<(), Refusal> {
    let headers = request.headers();
    let several = |name: &header::HeaderName| headers.get_all(name).iter().count() > 1;
    let twice = headers.keys().find(|name| several(name) && request::is_single(name));
    if let Some(name) = twice {
        return Err(Reason::Malformed.with(format!("`{name}` stands there more than once")));
    }
    let both = headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING);
    if both {
        return Err(Reason::Malformed.with("both a length and an encoding of the body"));
    }
    let origin_form = request.uri().authority().is_none() && request.uri().path().starts_with('/');
    match origin_form && request.method() != Method::CONNECT {
        true => Ok(()),
        false => Err(Reason::Malformed.with("the target must be a path")),
    }
}

/// Rank at an engine: the customer's comes before the route's.
fn rank(customer: u8, route: u8) -> u8 {
    customer.saturating_mul(3).saturating_add(route.min(2)).min(9)
}
