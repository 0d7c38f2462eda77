//! Admission of a request: finds its route and customer, reads its body and reserves its tokens.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use balance::Prefix;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use platform::{
    config::Route,
    request::{self, Head},
};
use quarantine::{Fingerprint, Prompt, Verdict};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    proxy::{
        context::Context,
        crashes::Content,
        exchange::Exchange,
        origins::Destination,
        refusal::{CAPACITY_RETRY_DELAY, Reason, Refusal, UNREADY_RETRY_DELAY},
    },
    tokens::funds::Shortage,
};

/// Connections to one endpoint that each box may hold, however small its share is.
const MIN_CONNECTIONS: u64 = 4;
/// Connections to one endpoint from all boxes, unless the configuration sets a limit.
const DEFAULT_CONNECTIONS: u64 = 256;
/// Bytes reserved for a body of unknown length (without `Content-Length`).
const UNSIZED_BODY_BYTES: usize = 256 << 10;

/// A request that has been read and admitted.
pub struct AdmittedRequest {
    pub method: Method,
    pub target: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Memory reserved for the body; released on drop.
    _body_permit: OwnedSemaphorePermit,
    pub head: Head,
    pub prefix: Prefix,
    /// What in it may crash an endpoint.
    pub content: Content,
    pub route: Route,
    pub service: Arc<str>,
    /// Software version that began the stream that it takes up, if any.
    pub version: Option<Arc<str>>,
    /// Availability zones in which it may be served; `None` for all.
    pub zones: Option<BTreeSet<Arc<str>>>,
    /// Limit of connections from this box to one endpoint.
    pub max_connections: usize,
    /// The rank to send to the endpoint; `None` if the service has no engines.
    pub engine_rank: Option<u8>,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
}

impl AdmittedRequest {
    /// Whether it goes to a model engine.
    pub fn is_for_engine(&self) -> bool {
        self.engine_rank.is_some()
    }
}

impl Context {
    /// Resolves the route, customer and service of a request and reads its body.
    pub async fn admit(
        &self,
        request: Request<Incoming>,
        head: Head,
        exchange: &mut Exchange,
    ) -> Result<AdmittedRequest, Refusal> {
        let table = self.table.borrow().clone();
        let table = table.ok_or_else(|| {
            Reason::NoConfig.after(UNREADY_RETRY_DELAY, "no configuration has been loaded yet")
        })?;
        exchange.config_version = table.version();
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let (host, path) = (host.unwrap_or_default(), request.uri().path());
        let Some(route) = table.route(host, path).cloned() else {
            return Err(self.deny_route(host, path, exchange));
        };
        exchange.route = Some(route.name.clone());
        if let Some(timeout) = route.timeout {
            exchange.deadline = exchange.deadline.min(exchange.arrived_at + timeout);
        }
        let customer = match table.needs_keys() && !route.public {
            false => None,
            true => {
                let key = head.key.as_deref();
                let Some(customer) = key.and_then(|key| table.customer(key)) else {
                    return Err(self.deny_customer(key, exchange));
                };
                Some(customer)
            }
        };
        exchange.customer = customer.map(|customer| customer.name.clone());
        let paid = customer.is_some_and(|customer| customer.paid.is_some());
        exchange.tokens = head.tokens.filter(|_| paid);
        let Destination { service, version } =
            self.destination(&table, &route, &head, exchange).await?;
        exchange.service = Some(service.clone());
        let of_customer = customer.map_or(&[][..], |customer| &customer.allowed_regions);
        let zones = self.settings().regions.allowed_zones(&[&route.allowed_regions, of_customer]);
        if zones.as_ref().is_some_and(BTreeSet::is_empty) {
            let detail = "the route and the customer allow no region that has endpoints";
            return Err(Reason::NoEndpoint.after(UNREADY_RETRY_DELAY, detail));
        }
        let service_config = table.service(&service);
        let engine = service_config.and_then(|service| service.engine.as_ref());
        exchange.event_tokens = engine.map_or(1, |engine| engine.event_tokens);
        let fleet_max = service_config
            .and_then(|service| service.max_connections)
            .map_or(DEFAULT_CONNECTIONS, u64::from);
        let max_connections =
            (fleet_max / self.peers.boxes()).max(MIN_CONNECTIONS.min(fleet_max)) as usize;
        let rank = rank(customer.map_or(0, |c| c.priority), route.priority);
        let engine_rank = engine.map(|_| rank);
        let limit = table.config().limits.max_body_bytes;
        let (parts, body) = request.into_parts();
        let body_permit = self.reserve_body(&body, limit)?;
        let body = self.read_body(body, limit, exchange.deadline).await?;
        self.link.record_request(body.len());
        let prefix = Prefix::of_parts(head.parts.iter().map(|part| (part.id, part.tokens)));
        let (method, target, headers) = (parts.method, parts.uri, parts.headers);
        let fingerprint = fingerprint(exchange.customer.as_ref(), &route, &method, &target, &body);
        exchange.fingerprint = Some(fingerprint.clone());
        let ids: Vec<u64> = head.parts.iter().map(|part| part.id).collect();
        let prompt = Prompt::of(exchange.customer.as_ref(), &ids);
        let content = Content { fingerprint, prompt };
        self.check_quarantine(&content, exchange.deadline).await?;
        Ok(AdmittedRequest {
            method,
            target,
            headers,
            body,
            _body_permit: body_permit,
            head,
            prefix,
            content,
            route,
            service,
            version,
            zones,
            max_connections,
            engine_rank,
            rank,
        })
    }

    /// Refuses a request that crashes endpoints. While crashes are still being verified, asks the caller
    /// to retry after that.
    pub async fn check_quarantine(
        &self,
        content: &Content,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        if let Some((part, for_s)) =
            content.prompt.as_ref().and_then(|it| self.crashes.held_part(it))
        {
            let detail =
                format!("endpoints crashed each time they answered a prompt with part {part}");
            return Err(Reason::Quarantined.after(Duration::from_secs(for_s), detail));
        }
        match self.crashes.verdict(&content.fingerprint, deadline).await {
            Verdict::Allowed | Verdict::Suspect { .. } => Ok(()),
            Verdict::Unconfirmed { .. } => {
                let delay = Duration::from_millis(self.settings().limits.connect_ms);
                let detail = "connections to endpoints broke while they ran this request, and \
                              whether the endpoints crashed is still being verified";
                Err(Reason::Unconfirmed.after(delay, detail))
            }
            Verdict::Quarantined { for_s } => Err(Reason::Quarantined.after(
                Duration::from_secs(for_s),
                "endpoints crashed each time they ran this request",
            )),
        }
    }

    /// Reserves memory for a body.
    fn reserve_body(&self, body: &Incoming, limit: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let declared = http_body::Body::size_hint(body).exact().map(|bytes| bytes as usize);
        if declared.is_some_and(|bytes| bytes > limit) {
            return Err(Reason::TooLarge.with(format!("the body exceeds {limit} bytes")));
        }
        let bytes = declared.unwrap_or(UNSIZED_BODY_BYTES.min(limit)) as u32;
        let permit = self.body_bytes.clone().try_acquire_many_owned(bytes);
        permit.map_err(|_| {
            Reason::Memory.after(CAPACITY_RETRY_DELAY, "the memory for request bodies is exhausted")
        })
    }

    async fn read_body(
        &self,
        body: Incoming,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let read = tokio::time::timeout_at(deadline, Limited::new(body, limit).collect()).await;
        let too_late = Reason::BodyLate.with("the body did not arrive in time");
        match read.map_err(|_| too_late)? {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => {
                Err(Reason::TooLarge.with(format!("the body exceeds {limit} bytes")))
            }
            Err(error) => Err(Reason::Malformed.with(format!("failed to read the body: {error}"))),
        }
    }

    /// Reserves the most tokens that a request can cost: its prompt and its longest output.
    pub async fn hold(
        &self,
        admitted: &AdmittedRequest,
        exchange: &mut Exchange,
    ) -> Result<(), Refusal> {
        let (Some(tokens), Some(customer)) = (exchange.tokens, exchange.customer.clone()) else {
            return Ok(());
        };
        let max_tokens = tokens.prompt + tokens.max_output;
        let settings = self.settings();
        let money = &settings.money;
        let wait = Duration::from_millis(money.wait_ms);
        let wait = admitted.route.target_latency.map_or(wait, |target| wait.min(target / 2));
        let now = Instant::now();
        let deadline = (now + wait).min(exchange.deadline);
        let store_timeout = Duration::from_millis(money.store_ms);
        if let Some(hold) = self.acquirer.hold(&customer, max_tokens, store_timeout, deadline).await
        {
            exchange.set_hold(hold);
            return Ok(());
        }
        Err(match self.funds.shortage(&customer, max_tokens) {
            Shortage::Exhausted => self.deny_budget(max_tokens),
            shortage @ (Shortage::Local { .. } | Shortage::Rationed { .. }) => {
                let detail = format!("this box lacks tokens for {max_tokens}: {shortage}");
                Reason::TokensShort.after(UNREADY_RETRY_DELAY, detail)
            }
        })
    }
}

/// Fingerprint of a request, the same each time that a caller sends it. Uses the host of the route, since callers may
/// spell it differently.
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

/// Refuses heads that two HTTP parsers could interpret differently (request smuggling).
pub fn check_head(request: &Request<Incoming>) -> Result<(), Refusal> {
    let headers = request.headers();
    let is_repeated = |name: &header::HeaderName| headers.get_all(name).iter().count() > 1;
    let repeated = headers.keys().find(|name| is_repeated(name) && request::is_single(name));
    if let Some(name) = repeated {
        return Err(Reason::Malformed.with(format!("header `{name}` appears more than once")));
    }
    let has_both = headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING);
    if has_both {
        return Err(Reason::Malformed.with("both Content-Length and Transfer-Encoding are present"));
    }
    let origin_form = request.uri().authority().is_none() && request.uri().path().starts_with('/');
    match origin_form && request.method() != Method::CONNECT {
        true => Ok(()),
        false => Err(Reason::Malformed.with("the request target must be a path")),
    }
}

/// Combined priority, from 0 (most urgent) to 9: the customer's decides before the route's.
fn rank(customer: u8, route: u8) -> u8 {
    customer.saturating_mul(3).saturating_add(route.min(2)).min(9)
}
