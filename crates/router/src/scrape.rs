//! Updates metrics whose values are kept outside the registry.

use crate::{metrics::CallLabels, shared::Shared};

/// Copies them into the registry; called before each scrape.
pub fn refresh(shared: &Shared) {
    let metrics = &shared.metrics;
    metrics.platform_up.set(i64::from(shared.health.is_up()));
    for ((operation, kind), count) in shared.calls.snapshot() {
        let operation = format!("{operation:?}").to_lowercase();
        let labels = CallLabels { operation, kind: kind.to_string() };
        metrics.platform.get_or_create(&labels).set(count.calls as i64);
    }
}
