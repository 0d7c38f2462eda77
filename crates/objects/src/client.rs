//! The HTTP implementation of [`Store`], every call bounded in time and counted.

use std::{sync::Arc, time::Duration};

use reqwest::{Method, StatusCode, header};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::{Calls, Change, Error, Expect, Host, Object, Operation, Store, Watch, Write};

/// How to reach the platform.
#[derive(Debug, Clone)]
pub struct Options {
    /// Base address, such as `http://127.0.0.1:7000`.
    pub address: String,
    /// Bound on every call but a watch.
    pub timeout: Duration,
    /// How long one watch waits for a change.
    pub watch: Duration,
}

/// A client of the platform's object API over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    options: Options,
    calls: Calls,
}

#[derive(Deserialize)]
struct Item {
    kind: Arc<str>,
    name: Arc<str>,
    version: u64,
    value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Item>,
    #[serde(default)]
    next: u64,
    #[serde(default)]
    gap: bool,
}

impl Client {
    /// Opens a client; nothing is sent yet.
    pub fn open(options: Options) -> Client {
        let http = reqwest::Client::builder()
            .connect_timeout(options.timeout)
            .pool_max_idle_per_host(16)
            .build()
            .expect("a client without TLS settings always builds");
        Client { http, options, calls: Calls::default() }
    }

    /// The counters of this client's calls.
    pub fn calls(&self) -> Calls {
        self.calls.clone()
    }

    fn request(&self, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("{}{path}", self.options.address);
        self.http.request(method, url).timeout(self.options.timeout)
    }

    async fn page(&self, request: reqwest::RequestBuilder) -> Result<(Page, usize), Error> {
        let answer = request.send().await.map_err(unreachable)?;
        let status = answer.status();
        let body = answer.bytes().await.map_err(unreachable)?;
        check(status)?;
        let page = serde_json::from_slice(&body).map_err(malformed)?;
        Ok((page, body.len()))
    }

    async fn write(&self, request: reqwest::RequestBuilder) -> Write {
        let answer = match request.send().await {
            Ok(answer) => answer,
            Err(error) if error.is_connect() => return Write::Failed,
            Err(_) => return Write::Unknown,
        };
        match answer.status() {
            StatusCode::PRECONDITION_FAILED => Write::Refused,
            StatusCode::TOO_MANY_REQUESTS => Write::Failed,
            status if status.is_success() => version(&answer).map_or(Write::Unknown, Write::Landed),
            status if status.is_client_error() => Write::Failed,
            _ => Write::Unknown,
        }
    }
}

#[async_trait::async_trait]
impl Store for Client {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        let request = self.request(Method::GET, &format!("/objects/{kind}/{name}"));
        let sent = request.send().await;
        let answer = sent.inspect_err(|_| self.calls.add(Operation::Get, kind, 0, 0));
        let answer = answer.map_err(unreachable)?;
        if answer.status() == StatusCode::NOT_FOUND {
            self.calls.add(Operation::Get, kind, 0, 0);
            return Ok(None);
        }
        check(answer.status())?;
        let version = version(&answer)
            .ok_or_else(|| Error::Malformed { reason: "no version in the answer".into() })?;
        let text = answer.text().await.map_err(unreachable)?;
        self.calls.add(Operation::Get, kind, 0, text.len());
        Ok(Some(Object { kind: kind.into(), name: name.into(), version, value: text.into() }))
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error> {
        let request = self.request(Method::GET, &format!("/objects/{kind}"));
        let result = self.page(request.query(&[("prefix", prefix)])).await;
        let received = result.as_ref().map_or(0, |(_, size)| *size);
        self.calls.add(Operation::List, kind, 0, received);
        Ok(result?.0.items.into_iter().filter_map(object).collect())
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write {
        self.calls.add(Operation::Put, kind, value.len(), 0);
        let request = self.request(Method::PUT, &format!("/objects/{kind}/{name}"));
        let request = match expect {
            Expect::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Expect::Version(version) => request.header(header::IF_MATCH, version),
        };
        self.write(request.body(value)).await
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write {
        self.calls.add(Operation::Put, kind, 0, 0);
        let request = self.request(Method::DELETE, &format!("/objects/{kind}/{name}"));
        self.write(request.header(header::IF_MATCH, version)).await
    }

    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error> {
        let wait = self.options.watch;
        let request = self
            .request(Method::GET, "/watch")
            .query(&[("kinds", kinds.join(",")), ("from", from.to_string())])
            .query(&[("wait_ms", wait.as_millis().to_string())])
            .timeout(wait + self.options.timeout);
        let result = self.page(request).await;
        let received = result.as_ref().map_or(0, |(_, size)| *size);
        self.calls.add(Operation::Watch, "watch", 0, received);
        let (page, _) = result?;
        let changes = page.items.into_iter().map(change).collect();
        Ok(Watch { changes, next: page.next, gap: page.gap })
    }

    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.calls.add(Operation::Get, "hosts", 0, 0);
        let answer = self.request(Method::GET, "/hosts").send().await.map_err(unreachable)?;
        check(answer.status())?;
        answer.json().await.map_err(unreachable)
    }
}

fn object(item: Item) -> Option<Object> {
    let value = item.value?.get().into();
    Some(Object { kind: item.kind, name: item.name, version: item.version, value })
}

fn change(item: Item) -> Change {
    let value = item.value.map(|raw| raw.get().into());
    Change { kind: item.kind, name: item.name, version: item.version, value }
}

fn version(answer: &reqwest::Response) -> Option<u64> {
    answer.headers().get(header::ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}

fn check(status: StatusCode) -> Result<(), Error> {
    match status {
        StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited),
        status if status.is_success() => Ok(()),
        status => Err(Error::Unreachable { reason: format!("status {status}") }),
    }
}

fn unreachable(error: reqwest::Error) -> Error {
    Error::Unreachable { reason: error.to_string() }
}

fn malformed(error: serde_json::Error) -> Error {
    Error::Malformed { reason: error.to_string() }
}
