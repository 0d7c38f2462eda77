//! Prints changes of resources as they happen.

use std::time::Duration;

use objects::{Change, Store};
use platform::store::Client;
use resource::Kind;
use serde_json::{Value, json};
use snafu::ResultExt;
use tokio::time::Instant;

use crate::{
    cli::Watch,
    error::{Error, PlatformSnafu},
    exit::Code,
    input::parse_kind,
    output::Format,
};

/// Prints changes until the time limit, if there is one.
pub async fn watch(client: &Client, watch: &Watch, format: Format) -> Result<Code, Error> {
    let mut kinds = match &watch.kind {
        Some(name) => vec![parse_kind(name)?.as_str()],
        None => Kind::ALL.map(Kind::as_str).to_vec(),
    };
    kinds.extend(["accepted", "status"]);
    let end = (watch.seconds > 0).then(|| Instant::now() + Duration::from_secs(watch.seconds));
    let mut from = newest_version(client, &kinds).await?;
    while end.is_none_or(|end| Instant::now() < end) {
        let next = client.watch(&kinds, from);
        let limit = end.unwrap_or_else(|| Instant::now() + Duration::from_secs(3_600));
        let Ok(result) = tokio::time::timeout_at(limit, next).await else { break };
        let result = result.context(PlatformSnafu)?;
        for change in &result.changes {
            print(change, format);
        }
        from = result.next;
    }
    Ok(Code::Success)
}

async fn newest_version(client: &Client, kinds: &[&str]) -> Result<u64, Error> {
    let mut newest_version = 0;
    for kind in kinds {
        let objects = client.list(kind, "").await.context(PlatformSnafu)?;
        newest_version = objects.iter().map(|object| object.version).fold(newest_version, u64::max);
    }
    Ok(newest_version)
}

fn print(change: &Change, format: Format) {
    let value = change.value.as_deref();
    match format {
        Format::Json => {
            let value: Option<Value> = value.and_then(|text| serde_json::from_str(text).ok());
            let line = json!({
                "kind": change.kind, "name": change.name, "version": change.version,
                "value": value,
            });
            println!("{line}");
        }
        Format::Table => {
            let text = value.unwrap_or("deleted");
            println!("{:>8}  {:<10} {:<24} {text}", change.version, change.kind, change.name);
        }
    }
}
