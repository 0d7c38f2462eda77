//! The way of one request, from its head to the answer of an endpoint or of the box's own.

use std::{sync::Arc, time::Duration};

use balance::{Failure, Prefix};
use bytes::Bytes;
use forward::{Answer, Fault, Links};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use parking_lot::Mutex;
use platform::{
    answer,
    config::{Kind, Route},
    request::{self, Head, Order},
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time::Instant,
};

use crate::{
    bills::Bills,
    endpoints::{Chosen, Endpoints},
    funds::{Funds, Lack},
    metrics::Metrics,
    peers::Peers,
    refusal::{Reason, Refusal},
    relay::{Flight, Relay},
    retries::Retries,
    settings::Settings,
    table::Table,
    trip::{End, Trip},
};

/// How long a request without a deadline of its own may take.
const LONGEST: Duration = Duration::from_secs(60);
/// When to come back where an endpoint or a connection was full: some requests end meanwhile.
const SOON: Duration = Duration::from_millis(100);
/// When to come back where the box lacks tokens or its configuration: a settlement or a read
/// later.
const LATER: Duration = Duration::from_millis(1_000);
/// Endpoints tried where none of them got the request, besides the route's own bound.
const MOST_TRIED: usize = 4;
/// Connections to one endpoint that a box may hold even where its share is smaller.
const LEAST_CONNECTIONS: u64 = 4;
/// Connections to one endpoint where the configuration does not bound them.
const CONNECTIONS: u64 = 256;

/// Bytes set aside for a body whose length the head does not tell; the largest on the sheets of
/// the deployments has less than half of that.
const UNTOLD_BODY: usize = 256 << 10;

/// Body of an answer to a caller.
pub type Body = Either<Full<Bytes>, Relay>;

/// All that the way of a request needs.
pub struct Gate {
    pub settings: Settings,
    pub table: watch::Receiver<Option<Arc<Table>>>,
    pub endpoints: Arc<Endpoints>,
    pub links: Links,
    pub funds: Funds,
    pub peers: Peers,
    pub bills: Bills,
    pub retries: Mutex<Retries>,
    pub metrics: Metrics,
    /// Bytes of request bodies that may still be held.
    pub bodies: Arc<Semaphore>,
    pub stopping: watch::Receiver<bool>,
    pub started: Instant,
    /// Counts the log lines that were dropped.
    pub dropped_lines: Mutex<Option<Box<dyn Fn() -> usize + Send + Sync>>>,
}

/// A request that was read and admitted.
struct Call {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Room for the body, given back when the request ends.
    _room: OwnedSemaphorePermit,
    head: Head,
    prefix: Prefix,
    route: Route,
    service: Arc<str>,
    /// Connections that this box may hold to one endpoint.
    connections: usize,
    rank: Option<u8>,
}

/// What one try at an endpoint came to.
enum Try {
    /// An answer for the caller.
    Answer(Box<Answer>, Flight),
    /// The endpoint did not run it.
    NotRun(String),
    /// Nothing was sent to the endpoint.
    Unsent(String),
    /// It may have run there.
    Unknown(Refusal),
}

impl Gate {
    /// Serves one request.
    pub async fn handle(self: Arc<Gate>, request: Request<Incoming>) -> Response<Body> {
        let came = Instant::now();
        let head = Head::read(request.headers());
        let until = came + head.deadline.unwrap_or(LONGEST);
        let mut trip = Trip::begin(&head, came, until, self.metrics.clone(), self.bills.clone());
        let mut response = match self.answer(request, head, &mut trip).await {
            Ok((answer, flight)) => relayed(*answer, flight, trip),
            Err(refusal) => {
                let response = refusal.response(trip.id.as_deref());
                trip.end(End::Refused(refusal), 0);
                response.map(|text| Either::Left(Full::new(Bytes::from(text))))
            }
        };
        if *self.stopping.borrow() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        head: Head,
        trip: &mut Trip,
    ) -> Result<(Box<Answer>, Flight), Refusal> {
        check(&request)?;
        let call = self.admit(request, head, trip).await?;
        self.hold(&call, trip).await?;
        self.dispatch(&call, trip).await
    }

    /// Finds where a request goes and reads its body.
    async fn admit(
        &self,
        request: Request<Incoming>,
        head: Head,
        trip: &mut Trip,
    ) -> Result<Call, Refusal> {
        let table = self.table.borrow().clone();
        let table =
            table.ok_or_else(|| Reason::NoConfig.after(LATER, "no configuration was read yet"))?;
        trip.version = table.version();
        let host = request.headers().get(header::HOST).and_then(|host| host.to_str().ok());
        let route = table
            .route(host.unwrap_or_default(), request.uri().path())
            .ok_or_else(|| Reason::NoRoute.with("no route for this host and path"))?
            .clone();
        trip.route = Some(route.name.clone());
        trip.kind = Some(route.kind);
        if let Some(timeout) = route.timeout {
            trip.until = trip.until.min(trip.came + timeout);
        }
        let customer = match table.needs_keys() && !route.public {
            false => None,
            true => {
                let customer = head.key.as_deref().and_then(|key| table.customer(key));
                let unknown = || Reason::NoCustomer.with("no customer holds this key");
                Some(customer.ok_or_else(unknown)?)
            }
        };
        trip.customer = customer.map(|customer| customer.name.clone());
        let paid = customer.is_some_and(|customer| customer.paid.is_some());
        trip.tokens = head.tokens.filter(|_| paid);
        let id = head.id.as_deref().unwrap_or_default();
        let service = table
            .target(&route, id)
            .ok_or_else(|| Reason::NoEndpoint.after(LATER, "the route has no service"))?
            .clone();
        trip.service = Some(service.clone());
        let of = table.service(&service);
        let engine = of.and_then(|service| service.engine.as_ref());
        trip.event_tokens = engine.map_or(1, |engine| engine.event_tokens);
        let all = of.and_then(|service| service.connections).map_or(CONNECTIONS, u64::from);
        let connections = (all / self.funds.boxes()).max(LEAST_CONNECTIONS.min(all)) as usize;
        let rank = engine.map(|_| rank(customer.map_or(0, |c| c.priority), route.priority));
        let limit = table.config().limits.body_bytes;
        let (parts, body) = request.into_parts();
        let room = self.room(&body, limit)?;
        let body = self.read_body(body, limit, trip.until).await?;
        let prefix = Prefix::of_parts(head.parts.iter().map(|part| (part.id, part.tokens)));
        let (method, target, headers) = (parts.method, parts.uri, parts.headers);
        Ok(Call {
            method,
            target,
            headers,
            body,
            _room: room,
            head,
            prefix,
            route,
            service,
            connections,
            rank,
        })
    }

    /// Room for a body, by its length where the head tells it.
    fn room(&self, body: &Incoming, limit: usize) -> Result<OwnedSemaphorePermit, Refusal> {
        let told = http_body::Body::size_hint(body).exact().map(|bytes| bytes as usize);
        if told.is_some_and(|bytes| bytes > limit) {
            return Err(Reason::TooLarge.with(format!("more than {limit} bytes")));
        }
        let bytes = told.unwrap_or(UNTOLD_BODY.min(limit)) as u32;
        let room = self.bodies.clone().try_acquire_many_owned(bytes);
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
    async fn hold(&self, call: &Call, trip: &mut Trip) -> Result<(), Refusal> {
        let (Some(tokens), Some(customer)) = (trip.tokens, trip.customer.clone()) else {
            return Ok(());
        };
        let worst = tokens.prompt + tokens.most_output;
        let money = &self.settings.money;
        let patience = Duration::from_millis(money.wait_ms);
        let patience = call.route.target.map_or(patience, |target| patience.min(target / 2));
        let now = Instant::now();
        let until = (now + patience).min(trip.until);
        let from_store = (now + Duration::from_millis(money.store_ms)).min(until);
        let hold = match self.funds.hold(&customer, worst, from_store).await {
            Some(hold) => Some(hold),
            None => self.peers.borrow_for(&self.funds, &customer, worst, until).await,
        };
        if let Some(hold) = hold {
            trip.pay_with(hold);
            return Ok(());
        }
        Err(match self.funds.lack(&customer, worst) {
            Lack::Exhausted => {
                let detail = format!("what remains of the budget cannot hold {worst} tokens");
                Reason::BudgetExhausted.with(detail)
            }
            Lack::Short => {
                Reason::TokensShort.after(LATER, format!("this box lacks tokens for {worst}"))
            }
        })
    }

    /// Sends a request to endpoints until one of them answers or no more may be tried.
    async fn dispatch(
        &self,
        call: &Call,
        trip: &mut Trip,
    ) -> Result<(Box<Answer>, Flight), Refusal> {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().request(&call.service, now_s, &self.settings.retries);
        let mut tried: Vec<Arc<str>> = Vec::new();
        let mut last = Reason::NoEndpoint.after(SOON, "no endpoint of the service is known");
        while tried.len() < MOST_TRIED {
            if trip.left().is_zero() {
                return Err(Reason::TooLate.with("its time was over before it was sent"));
            }
            let Some(chosen) = self.endpoints.choose(&call.service, &call.prefix, &tried) else {
                break;
            };
            if trip.sent >= call.route.attempts || (trip.sent > 0 && !self.may_repeat(call)) {
                break;
            }
            tried.push(chosen.id.clone());
            match self.attempt(call, &chosen, trip).await {
                Try::Answer(answer, flight) => return Ok((answer, flight)),
                Try::Unsent(reason) => last = Reason::NoEndpoint.after(SOON, reason),
                Try::NotRun(reason) => last = Reason::NoEndpoint.after(SOON, reason),
                Try::Unknown(refusal) if !is_repeatable(&call.route) => return Err(refusal),
                Try::Unknown(refusal) => last = refusal,
            }
        }
        match trip.may_have_run && last.reason.is_not_run() {
            true => Err(Reason::Lost.with(last.detail)),
            false => Err(last),
        }
    }

    fn may_repeat(&self, call: &Call) -> bool {
        let now_s = self.started.elapsed().as_secs();
        let taken = self.retries.lock().take(&call.service, now_s, &self.settings.retries);
        if taken {
            self.metrics.repeats.inc();
        }
        taken
    }

    /// One try at one endpoint.
    async fn attempt(&self, call: &Call, chosen: &Chosen, trip: &mut Trip) -> Try {
        trip.endpoint = Some(chosen.id.clone());
        let left = trip.left();
        let order = Order {
            instance: &chosen.id,
            customer: trip.customer.as_deref(),
            left: Some(left),
            rank: call.rank,
            resume_after: call.head.resumed_after,
        };
        let headers = request::towards_endpoint(&call.headers, &order, call.body.len());
        let request = forward::Request {
            method: call.method.clone(),
            target: call.target.clone(),
            headers,
            body: call.body.clone(),
        };
        tracing::info!(
            event = "dispatched",
            id = trip.id.as_deref(),
            endpoint = &*chosen.id,
            service = &*call.service,
            load = chosen.load,
            cached = chosen.held,
            prompt = call.prefix.size(),
            config = trip.version,
            left_ms = left.as_millis() as u64,
            sent_before = trip.sent,
        );
        let endpoints = self.endpoints.clone();
        let mut flight = Flight::start(endpoints, call.service.clone(), chosen, &call.prefix);
        // From here on the endpoint may have it, also when this future is dropped.
        let (had_run, had_sent) = (trip.may_have_run, trip.sent);
        (trip.may_have_run, trip.sent) = (true, trip.sent + 1);
        let sending = self.links.send(chosen.address, call.connections, request);
        let outcome = match tokio::time::timeout_at(trip.until, sending).await {
            Err(_) => Try::Unknown(Reason::Silent.with("the endpoint did not answer in time")),
            Ok(Err(fault)) => lost(fault, &mut flight),
            Ok(Ok(answer)) => self.judge(call, chosen, trip, answer, flight),
        };
        match outcome {
            Try::Unsent(_) => (trip.may_have_run, trip.sent) = (had_run, had_sent),
            Try::NotRun(_) => trip.may_have_run = had_run,
            _ => {}
        }
        if let Try::Unsent(reason) | Try::NotRun(reason) = &outcome {
            tracing::info!(
                event = "not_taken",
                id = trip.id.as_deref(),
                endpoint = &*chosen.id,
                reason,
            );
        }
        outcome
    }

    /// Decides what an answer's head means.
    fn judge(
        &self,
        call: &Call,
        chosen: &Chosen,
        trip: &mut Trip,
        answer: Answer,
        mut flight: Flight,
    ) -> Try {
        let status = answer.head.status;
        let head = answer::Head::read(status, &answer.head.headers);
        let foreign = head.id.is_some() && head.id != call.head.id;
        if foreign {
            flight.fail(Failure::Broken);
            return Try::Unknown(Reason::Lost.with("the connection carried another answer"));
        }
        if let Some(load) = head.load {
            self.endpoints.report(&call.service, &chosen.id, load);
        }
        if head.not_run {
            flight.fail(Failure::Refused);
            if status == StatusCode::MISDIRECTED_REQUEST {
                flight.fail(Failure::Silent);
            }
            return Try::NotRun(format!("the endpoint declined with {status}"));
        }
        let again = is_repeatable(&call.route)
            && status.is_server_error()
            && trip.sent < call.route.attempts
            && self.endpoints.count(&call.service) > 1
            && self.may_repeat_later(call);
        if again {
            return Try::Unknown(Reason::Lost.with(format!("the endpoint failed with {status}")));
        }
        trip.first_byte = Some(trip.came.elapsed());
        flight.begin();
        Try::Answer(Box::new(answer), flight)
    }

    /// Whether a repeat is left, without taking it.
    fn may_repeat_later(&self, call: &Call) -> bool {
        let now_s = self.started.elapsed().as_secs();
        self.retries.lock().has(&call.service, now_s, &self.settings.retries)
    }
}

fn lost(fault: Fault, flight: &mut Flight) -> Try {
    match fault {
        Fault::Full { .. } => Try::Unsent(fault.to_string()),
        Fault::Unsent { reason } => {
            flight.fail(Failure::Silent);
            Try::Unsent(reason)
        }
        Fault::Unknown { reason } => {
            flight.fail(Failure::Broken);
            Try::Unknown(Reason::Lost.with(reason))
        }
    }
}

fn relayed(answer: Answer, flight: Flight, trip: Trip) -> Response<Body> {
    let headers = answer::towards_caller(&answer.head.headers);
    let status = answer.head.status;
    let relay = Relay::new(answer.body, status.as_u16(), flight, trip);
    let mut response = Response::new(Either::Right(relay));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Refuses heads that two readers could understand in two ways.
fn check(request: &Request<Incoming>) -> Result<(), Refusal> {
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

fn is_repeatable(route: &Route) -> bool {
    route.kind == Kind::Repeatable || (route.kind == Kind::Streaming && route.resumable)
}

/// Rank at an engine: the customer's comes before the route's.
fn rank(customer: u8, route: u8) -> u8 {
    customer.saturating_mul(3).saturating_add(route.min(2)).min(9)
}
