//! Readiness checks for the balancer, and metrics for scrapers.

use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use objects::Calls;

use crate::{
    metrics::{Budget, Flow, Header, Named, Purpose},
    news::view::View,
    way::gate::Gate,
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
    gate: Arc<Gate>,
) -> impl Fn(Request<Incoming>) -> std::future::Ready<Page> + Clone + Send + 'static {
    move |_| {
        std::future::ready(match gate.is_ready() {
            true => page(StatusCode::OK, "ready\n"),
            false => page(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        })
    }
}

/// Answers with the metrics as text.
pub fn answer_metrics(
    gate: Arc<Gate>,
    view: View,
    calls: Calls,
) -> impl Fn(Request<Incoming>) -> std::future::Ready<Page> + Clone + Send + 'static {
    move |_| {
        let metrics = &gate.metrics;
        for ((operation, kind), count) in calls.snapshot() {
            let purpose = Purpose { operation: format!("{operation:?}"), kind: kind.to_string() };
            metrics.calls.get_or_create(&purpose).set(count.calls as i64);
        }
        for balance in gate.funds.balances() {
            let budget = Budget { customer: balance.customer.to_string() };
            metrics.free.get_or_create(&budget).set(balance.free as i64);
            metrics.kept.get_or_create(&budget).set(balance.kept as i64);
            metrics.unspent.get_or_create(&budget).set(balance.unspent as i64);
        }
        for ((topic, is_near), size) in gate.peers.traffic.snapshot() {
            let zone = if is_near { "own" } else { "other" };
            for (way, bytes) in [("sent", size.sent), ("heard", size.heard)] {
                metrics.peer_bytes.get_or_create(&Flow { topic, zone, way }).set(bytes as i64);
            }
        }
        let dropped = gate.dropped_lines.lock().as_ref().map_or(0, |count| count());
        metrics.dropped_lines.set(dropped as i64);
        let standing = view.standing();
        metrics.evacuated.set(gate.endpoints.evacuated() as i64);
        metrics.cold.set(gate.endpoints.count_cold() as i64);
        metrics.leaving.set(gate.endpoints.count_leaving() as i64);
        metrics.resting.set(gate.endpoints.count_resting() as i64);
        for (name, count) in gate.endpoints.unread() {
            metrics.unread.get_or_create(&Header { name: name.to_string() }).set(count as i64);
        }
        metrics.limits.clear();
        for (endpoint, per_s) in gate.endpoints.limits() {
            let named = Named { endpoint: endpoint.to_string() };
            metrics.limits.get_or_create(&named).set(per_s);
        }
        let (reports, quarantined) = gate.crashes.counts();
        metrics.crashes.set(reports as i64);
        metrics.quarantined.set(quarantined as i64);
        metrics.looks.set(i64::from(standing.looks));
        metrics.news_age.set(standing.age.map_or(-1, |age| age.as_millis() as i64));
        metrics.connections.set(gate.links.opened() as i64);
        std::future::ready(page(StatusCode::OK, metrics.text()))
    }
}
