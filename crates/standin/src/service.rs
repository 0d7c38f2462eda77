//! A plain service that records its executions.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use parking_lot::Mutex;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router};
use serde_json::json;

use crate::Server;

/// One execution of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Dispatch id.
    pub dispatch: String,
    /// Request key.
    pub key: String,
    /// Budget that pays.
    pub budget: String,
    /// Path of the call.
    pub path: String,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<Execution>>,
    delay: Mutex<Duration>,
    drop_responses: Mutex<bool>,
}

/// A plain service on loopback.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
    server: Arc<Server>,
}

impl Service {
    /// Starts a service that responds to each call after `delay`.
    pub async fn spawn(delay: Duration) -> Service {
        let shared = Arc::new(Shared { delay: Mutex::new(delay), ..Shared::default() });
        let handler = Api(shared.clone());
        let server = Server::spawn(Router::with_path("{**rest}").goal(handler)).await;
        Service { shared, server: Arc::new(server) }
    }

    /// Address that it listens on.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Changes the duration of a call.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock() = delay;
    }

    /// Sets whether calls run without ever getting a response.
    pub fn set_drop_responses(&self, drop: bool) {
        *self.shared.drop_responses.lock() = drop;
    }

    /// All executions so far, in order.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.runs.lock().clone()
    }

    /// Number of executions of each request key.
    pub fn runs_by_key(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for run in self.shared.runs.lock().iter() {
            *runs.entry(run.key.clone()).or_default() += 1;
        }
        runs
    }
}

struct Api(Arc<Shared>);

#[async_trait::async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        request: &mut Request,
        _: &mut Depot,
        response: &mut Response,
        _: &mut FlowCtrl,
    ) {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let execution = Execution {
            dispatch: header("x-request-id"),
            key: header("idempotency-key"),
            budget: header("x-budget"),
            path: request.uri().path().to_owned(),
        };
        let id = execution.dispatch.clone();
        let method = request.method().to_string();
        let path = execution.path.clone();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let body = request.payload_with_max_size(4 << 20).await.map(|b| b.len()).unwrap_or(0);
        let number = {
            let mut runs = self.0.runs.lock();
            runs.push(execution);
            runs.len()
        };
        let delay = *self.0.delay.lock();
        tokio::time::sleep(delay).await;
        if *self.0.drop_responses.lock() {
            std::future::pending::<()>().await;
        }
        let _ = response.add_header("x-request-id", id, true);
        let answer = json!({
            "method": method, "path": path, "query": query, "body_bytes": body, "run": number,
        });
        let _ = response.add_header("content-type", "application/json", true);
        let _ = response.write_body(answer.to_string());
    }
}
