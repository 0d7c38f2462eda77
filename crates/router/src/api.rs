//! HTTP API for callers; metrics and health checks for operators.

use std::sync::Arc;

use bytes::Bytes;
use config::{Caller, Snapshot};
use resource::{Route, Workload};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, http::StatusCode};
use serde_json::json;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    call::{Call, Payload},
    chat::Chat,
    drive::drive,
    in_flight::RETRY_DELAY,
    outcome::{Reason, Refusal},
    render,
    requests::{Follower, Progress, Registration},
    service::end_to_end,
    shared::Shared,
};

/// Longest request key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Handles requests of callers.
pub struct Callers(pub Arc<Shared>);

/// Serves metrics and health checks.
pub struct Operators(pub Arc<Shared>);

#[async_trait::async_trait]
impl Handler for Callers {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let received_at = Instant::now();
        let shared = &self.0;
        let (key, has_caller_key) = match request_key(shared, request) {
            Ok(key) => key,
            Err(refusal) => return render::refusal(response, &refusal, "-"),
        };
        match self.respond(request, response, &key, has_caller_key, received_at).await {
            Ok(()) => {}
            Err(refusal) => render::refusal(response, &refusal, &key),
        }
    }
}

impl Callers {
    async fn respond(
        &self,
        request: &mut Request,
        response: &mut Response,
        key: &Arc<str>,
        has_caller_key: bool,
        received_at: Instant,
    ) -> Result<(), Refusal> {
        let snapshot = self.0.config.borrow().clone();
        let caller = authenticate(&snapshot, request)?;
        let path = request.uri().path().to_owned();
        let call = match path.trim_matches('/').split('/').collect::<Vec<_>>().as_slice() {
            ["v1", "chat", "completions"] if request.method() == http::Method::POST => {
                chat_call(&snapshot, request, caller).await?
            }
            ["v1", "models"] if request.method() == http::Method::GET => {
                models(&snapshot, &caller, response);
                return Ok(());
            }
            ["v1", "tickets"] if request.method() == http::Method::POST => {
                return tickets(&self.0, request, &caller, response).await;
            }
            ["services", route, rest @ ..] => {
                let rest = rest.join("/");
                service_call(&snapshot, request, caller, route, &rest).await?
            }
            _ => return Err(Reason::NoRoute.with("no route for this path and method")),
        };
        let call = Call { key: key.clone(), has_caller_key, received_at, ..call };
        self.answer(call, response).await
    }

    async fn answer(&self, call: Call, response: &mut Response) -> Result<(), Refusal> {
        let shared = &self.0;
        let (customer, key) = (call.caller.customer.clone(), call.key.clone());
        let mut follower = match shared.requests.register(&customer, &key, call.fingerprint) {
            Registration::Mismatch => {
                return Err(Reason::KeyReused.with("the key was already used for another request"));
            }
            Registration::Joined(follower) => {
                let event = timeline::EventKind::Replayed;
                shared.log.add_for_request(&key, &call.caller.budget, event);
                follower
            }
            Registration::New(driver, follower) => {
                shared.tasks.spawn(drive(shared.clone(), call, driver));
                follower
            }
        };
        let changed = follower.progress.wait_for(|now| !matches!(now, Progress::Waiting)).await;
        let progress = changed.map(|now| now.clone());
        let progress = progress.unwrap_or(Progress::Unknown(crate::outcome::Unknown::Incomplete));
        write(progress, follower, response, &key)
    }
}

fn write(
    progress: Progress,
    follower: Follower,
    response: &mut Response,
    key: &str,
) -> Result<(), Refusal> {
    match progress {
        Progress::Refused(refusal) => return Err(refusal),
        Progress::Unknown(unknown) => render::unknown(response, unknown, key),
        Progress::Answered(answer) => render::answer(response, &answer, key),
        Progress::Streaming(transcript) => {
            let _ = response.add_header(render::OUTCOME, "answered", true);
            let _ = response.add_header(render::REQUEST, key.to_owned(), true);
            let _ = response.add_header("content-type", "text/event-stream", true);
            let stream = transcript.stream();
            // The follower lives as long as the stream, which keeps the request wanted.
            response.stream(WithFollower { stream: Box::pin(stream), _follower: follower });
        }
        Progress::Waiting => unreachable!("the caller waits until the progress has changed"),
    }
    Ok(())
}

struct WithFollower<S> {
    stream: std::pin::Pin<Box<S>>,
    _follower: Follower,
}

impl<S: futures_util::Stream> futures_util::Stream for WithFollower<S> {
    type Item = S::Item;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        self.stream.as_mut().poll_next(context)
    }
}

fn request_key(shared: &Shared, request: &Request) -> Result<(Arc<str>, bool), Refusal> {
    match request.headers().get("idempotency-key") {
        None => Ok((format!("auto-{:016x}", shared.random_u64()).into(), false)),
        Some(value) => {
            let text = value.to_str().unwrap_or_default();
            let is_valid = !text.is_empty()
                && text.len() <= MAX_KEY_BYTES
                && text.bytes().all(|byte| byte.is_ascii_graphic());
            match is_valid {
                true => Ok((text.into(), true)),
                false => Err(Reason::Malformed.with(format!(
                    "the idempotency key must be 1 to {MAX_KEY_BYTES} visible ASCII characters"
                ))),
            }
        }
    }
}

fn authenticate(snapshot: &Snapshot, request: &Request) -> Result<Caller, Refusal> {
    let header = request.headers().get("authorization").and_then(|value| value.to_str().ok());
    let api_key = header.and_then(|text| text.strip_prefix("Bearer ")).map(str::trim);
    let caller = api_key.and_then(|api_key| snapshot.caller(api_key));
    caller.ok_or_else(|| Reason::Unauthenticated.with("a valid API key is required"))
}

fn resolve_route<'a>(
    snapshot: &'a Snapshot,
    caller: &Caller,
    name: &str,
) -> Result<(&'a Arc<Route>, &'a Arc<resource::Pool>), Refusal> {
    let route = snapshot.routes.get(name);
    let route = route.ok_or_else(|| Reason::NoRoute.with(format!("no route `{name}`")))?;
    if !may_use(route, caller) {
        return Err(Reason::Forbidden.with(format!("`{name}` is not open to this customer")));
    }
    let pool = snapshot.pools.get(&route.pool);
    let pool = pool.ok_or_else(|| {
        Reason::NoEndpoint.after("the pool of the route does not exist", RETRY_DELAY)
    })?;
    Ok((route, pool))
}

fn may_use(route: &Route, caller: &Caller) -> bool {
    route.customers.is_empty() || route.customers.contains(&caller.customer)
}

async fn body(request: &mut Request, max_bytes: u64) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    match request.payload_with_max_size(max_bytes).await {
        Ok(bytes) => Ok(bytes.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => {
            Err(Reason::TooLarge.with(format!("the body is larger than {max_bytes} bytes")))
        }
        Err(_) => Err(Reason::Malformed.with("the body is incomplete")),
    }
}

/// Largest chat body read before its route is known, in bytes.
const MAX_CHAT_BYTES: u64 = 64 << 20;

async fn chat_call(
    snapshot: &Snapshot,
    request: &mut Request,
    caller: Caller,
) -> Result<Call, Refusal> {
    let open = snapshot.routes.values().filter(|route| may_use(route, &caller));
    let max_bytes = open.map(|route| route.max_body).max().unwrap_or(0).min(MAX_CHAT_BYTES);
    let bytes = body(request, max_bytes).await?;
    let chat = Chat::read(&bytes)?;
    let (route, pool) = resolve_route(snapshot, &caller, &chat.model)?;
    if bytes.len() as u64 > route.max_body {
        let message = format!("the body is larger than {} bytes", route.max_body);
        return Err(Reason::TooLarge.with(message));
    }
    if !matches!(pool.serves, Workload::Model(_)) {
        return Err(Reason::NoRoute.with(format!("`{}` is not a model", chat.model)));
    }
    let limit = chat.max_tokens.unwrap_or(route.max_output).min(route.max_output);
    let (worst_case, prefix) = (chat.worst_case(pool, limit), chat.prefix());
    let (model, stream) = (chat.model.clone(), chat.stream);
    let route_name = model.clone();
    Ok(Call {
        worst_case,
        prefix,
        fingerprint: xxh3_64_with_seed(&bytes, 1),
        payload: Payload::Chat { body: chat.body(limit), limit, stream, model },
        ..base_call(caller, route_name, route)
    })
}

async fn service_call(
    snapshot: &Snapshot,
    request: &mut Request,
    caller: Caller,
    name: &str,
    rest: &str,
) -> Result<Call, Refusal> {
    let (route, pool) = resolve_route(snapshot, &caller, name)?;
    let Workload::Service { cost } = pool.serves else {
        return Err(Reason::NoRoute.with(format!("`{name}` is not a service")));
    };
    let bytes = body(request, route.max_body).await?;
    let method = request.method().clone();
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let path = format!("{rest}{query}");
    let seed = xxh3_64_with_seed(format!("{method} {name}/{path}").as_bytes(), 2);
    let headers = end_to_end(request.headers());
    let route_name = name.into();
    Ok(Call {
        worst_case: cost,
        fingerprint: xxh3_64_with_seed(&bytes, seed),
        payload: Payload::Service { method, path, headers, body: bytes },
        ..base_call(caller, route_name, route)
    })
}

fn base_call(caller: Caller, route_name: Arc<str>, route: &Arc<Route>) -> Call {
    Call {
        caller,
        key: "".into(),
        has_caller_key: false,
        route_name,
        route: route.clone(),
        worst_case: 0,
        prefix: balance::Prefix::default(),
        fingerprint: 0,
        received_at: Instant::now(),
        payload: Payload::Chat { body: Bytes::new(), limit: 0, stream: false, model: "".into() },
    }
}

/// Most tickets issued by one request.
const MAX_TICKETS: u64 = 100;

/// Issues tickets: keys of calls that must not run twice, which need no platform call to run.
async fn tickets(
    shared: &Shared,
    request: &mut Request,
    caller: &Caller,
    response: &mut Response,
) -> Result<(), Refusal> {
    let bytes = body(request, 1 << 10).await?;
    let parsed: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let count = parsed["count"].as_u64().filter(|count| (1..=MAX_TICKETS).contains(count));
    let count = count.ok_or_else(|| {
        Reason::Malformed.with(format!("`count` must be a whole number from 1 to {MAX_TICKETS}"))
    })?;
    let issue = |_| shared.tickets.issue(&caller.customer, shared.random_u64());
    let issued: Vec<_> = (0..count).filter_map(issue).collect();
    let _ = response.add_header("content-type", "application/json", true);
    let _ = response.write_body(json!({"tickets": issued}).to_string());
    Ok(())
}

fn models(snapshot: &Snapshot, caller: &Caller, response: &mut Response) {
    let is_model = |route: &Route| {
        let pool = snapshot.pools.get(&route.pool);
        pool.is_some_and(|pool| matches!(pool.serves, Workload::Model(_)))
    };
    let open = snapshot.routes.iter().filter(|(_, r)| may_use(r, caller) && is_model(r));
    let data: Vec<_> =
        open.map(|(name, _)| json!({"id": name, "object": "model", "owned_by": "pool"})).collect();
    let _ = response.add_header("content-type", "application/json", true);
    let _ = response.write_body(json!({"object": "list", "data": data}).to_string());
}

#[async_trait::async_trait]
impl Handler for Operators {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let shared = &self.0;
        let text = match request.uri().path() {
            "/metrics" => {
                crate::scrape::refresh(shared);
                shared.metrics.render()
            }
            "/health/live" => "live\n".to_owned(),
            "/health/ready" if *shared.stopping.borrow() => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                "stopping\n".to_owned()
            }
            "/health/ready" if *shared.watched.borrow() == 0 => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                "no configuration yet\n".to_owned()
            }
            "/health/ready" => "ready\n".to_owned(),
            _ => {
                response.status_code(StatusCode::NOT_FOUND);
                return;
            }
        };
        let _ = response.add_header("content-type", "text/plain; version=0.0.4", true);
        let _ = response.write_body(text);
    }
}
