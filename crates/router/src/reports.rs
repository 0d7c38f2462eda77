//! What engines and the platform say of endpoints, asked for now and then.

use std::{sync::Arc, time::Duration};

use timeline::EventKind;

use crate::{
    endpoints::{Load, Target},
    shared::Shared,
};

/// Asks all engines for their load, for as long as the router runs.
pub async fn poll_reports(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.money.report_ms);
    loop {
        tokio::time::sleep(every / 2 + shared.jitter(every)).await;
        let asked = shared.endpoints.models().into_iter().map(|target| ask(&shared, target));
        let left = futures_util::future::join_all(asked).await;
        note_leaving(&shared, left.into_iter().flatten());
    }
}

async fn ask(shared: &Shared, target: Target) -> Vec<Arc<str>> {
    let url = format!("http://{}/load", target.address);
    let limit = Duration::from_millis(shared.settings.limits.connect_ms);
    let sent = shared.http.get(url).timeout(limit).send().await;
    let Ok(answer) = sent.and_then(reqwest::Response::error_for_status) else {
        return Vec::new();
    };
    match answer.json::<Load>().await {
        Ok(load) => shared.endpoints.report(&target.name, &load, shared.now()),
        Err(_) => Vec::new(),
    }
}

/// Reads the platform's list of boxes, for as long as the router runs.
pub async fn poll_hosts(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.money.beat_ms);
    loop {
        tokio::time::sleep(every / 2 + shared.jitter(every)).await;
        if !shared.health.is_up() {
            continue;
        }
        match shared.store.hosts().await {
            Ok(hosts) => note_leaving(&shared, shared.endpoints.hosts(&hosts)),
            Err(_) => shared.health.record_failure(),
        }
    }
}

/// Notes endpoints that are leaving on the time line.
pub fn note_leaving(shared: &Shared, endpoints: impl IntoIterator<Item = Arc<str>>) {
    for endpoint in endpoints {
        shared.log.add(EventKind::Leaving { endpoint });
    }
}
