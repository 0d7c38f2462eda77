//! Readiness checks for the balancer, and metrics for scrapers.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use objects::Calls;

use crate::{
    freshness::Subject,
    metrics::{Budget, Endpoint, Flow, Header, State, StoreCall},
    proxy::context::Context,
    sync::view::View,
};

type Page = Response<Full<Bytes>>;

fn page(status: StatusCode, text: impl Into<Bytes>) -> Page {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Answers whether the box accepts connections: it has a configuration, its link is not overloaded,
/// and no stop has begun.
pub fn answer_ready(
    context: Arc<Context>,
) -> impl Fn(Request<Incoming>) -> std::future::Ready<Page> + Clone + Send + 'static {
    move |_| {
        std::future::ready(match context.is_ready() {
            true => page(StatusCode::OK, "ready\n"),
            false => page(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        })
    }
}

/// Answers with the metrics as text.
pub fn answer_metrics(
    context: Arc<Context>,
    view: View,
    calls: Calls,
) -> impl Fn(Request<Incoming>) -> std::future::Ready<Page> + Clone + Send + 'static {
    move |_| {
        let metrics = &context.metrics;
        for ((operation, kind), count) in calls.snapshot() {
            let call = StoreCall { operation: format!("{operation:?}"), kind: kind.to_string() };
            metrics.calls.get_or_create(&call).set(count.calls as i64);
        }
        for balance in context.funds.balances() {
            let budget = Budget { customer: balance.customer.to_string() };
            metrics.free.get_or_create(&budget).set(balance.free as i64);
            metrics.promised.get_or_create(&budget).set(balance.promised as i64);
            metrics.unspent.get_or_create(&budget).set(balance.unspent as i64);
        }
        for ((topic, is_same_zone), size) in context.peers.traffic.snapshot() {
            let zone = if is_same_zone { "own" } else { "other" };
            for (way, bytes) in [("sent", size.sent), ("heard", size.received)] {
                metrics.peer_bytes.get_or_create(&Flow { topic, zone, way }).set(bytes as i64);
            }
        }
        let dropped = context.dropped_log_lines.lock().as_ref().map_or(0, |count| count());
        metrics.dropped_lines.set(dropped as i64);
        let status = view.status();
        metrics.evacuated.set(context.endpoints.evacuated() as i64);
        metrics.cold.set(context.endpoints.count_cold() as i64);
        metrics.leaving.set(context.endpoints.count_leaving() as i64);
        metrics.backing_off.set(context.endpoints.count_backing_off() as i64);
        for (name, count) in context.endpoints.unread_headers() {
            metrics.unreadable.get_or_create(&Header { name: name.to_string() }).set(count as i64);
        }
        metrics.limits.clear();
        for (endpoint, per_s) in context.endpoints.limits() {
            let labels = Endpoint { endpoint: endpoint.to_string() };
            metrics.limits.get_or_create(&labels).set(per_s);
        }
        metrics.cut_off.set(context.connections.count_cut_off() as i64);
        let streams = context.streams.counts();
        metrics.streams_known.set(streams.known as i64);
        metrics.stream_copies_lost.set(streams.lost as i64);
        let (reports, quarantined, suspect_parts) = context.crashes.counts();
        metrics.suspect_parts.set(suspect_parts as i64);
        metrics.crashes.set(reports as i64);
        metrics.quarantined.set(quarantined as i64);
        metrics.watches.set(i64::from(status.watches));
        metrics.store_age.set(status.age.map_or(-1, |age| age.as_millis() as i64));
        for subject in Subject::ALL {
            let Some(age) = context.freshness.age(subject) else { continue };
            let state = State { state: subject.as_str() };
            metrics.ages.get_or_create(&state).set(age.as_millis() as i64);
        }
        metrics.connections.set(context.connections.count_opened() as i64);
        std::future::ready(page(StatusCode::OK, metrics.text()))
    }
}
