//! Polls engines for their load and the platform for hosts that are leaving.

use std::{sync::Arc, time::Duration};

use timeline::EventKind;

use crate::{
    endpoints::{Load, Target},
    shared::Shared,
};

/// Polls all engines for their load, for as long as the router runs.
pub async fn poll_reports(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.money.report_ms);
    loop {
        tokio::time::sleep(interval / 2 + shared.jitter(interval)).await;
        let polls =
            shared.endpoints.engines().into_iter().map(|target| poll_engine(&shared, target));
        let leaving = futures_util::future::join_all(polls).await;
        log_leaving(&shared, leaving.into_iter().flatten());
    }
}

async fn poll_engine(shared: &Shared, target: Target) -> Vec<Arc<str>> {
    let url = format!("http://{}/load", target.address);
    let timeout = Duration::from_millis(shared.settings.limits.connect_ms);
    let sent = shared.http.get(url).timeout(timeout).send().await;
    let Ok(answer) = sent.and_then(reqwest::Response::error_for_status) else {
        return Vec::new();
    };
    match answer.json::<Load>().await {
        Ok(load) => shared.endpoints.receive_load(&target.name, &load, shared.now()),
        Err(_) => Vec::new(),
    }
}

/// Polls the platform's list of hosts, for as long as the router runs.
pub async fn poll_hosts(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.money.beat_ms);
    loop {
        tokio::time::sleep(interval / 2 + shared.jitter(interval)).await;
        if !shared.health.is_up() {
            continue;
        }
        match shared.store.hosts().await {
            Ok(hosts) => log_leaving(&shared, shared.endpoints.apply_hosts(&hosts)),
            Err(_) => shared.health.record_failure(),
        }
    }
}

/// Logs endpoints that started to leave.
pub fn log_leaving(shared: &Shared, endpoints: impl IntoIterator<Item = Arc<str>>) {
    for endpoint in endpoints {
        shared.log.add(EventKind::Leaving { endpoint });
    }
}
