//! Lists and describes resources.

use config::{Accepted, object_name};
use member::Member;
use objects::{Object, Store};
use platform::store::Client;
use resource::Kind;
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::{
    cli::{Describe, Get},
    error::{Error, MissingSnafu, PlatformSnafu},
    exit::Code,
    input::parse_kind,
    output::Format,
    paint::{Tone, paint},
    table::Table,
};

/// Lists the resources of a kind, or shows one.
pub async fn get(client: &Client, get: &Get, format: Format) -> Result<Code, Error> {
    let kind = parse_kind(&get.kind)?;
    let objects = match &get.name {
        None => client.list(kind.as_str(), "").await.context(PlatformSnafu)?,
        Some(name) => {
            let found = client.get(kind.as_str(), name).await.context(PlatformSnafu)?;
            let missing = MissingSnafu { kind: kind.as_str(), name };
            vec![found.ok_or_else(|| missing.build())?]
        }
    };
    match format {
        Format::Json => {
            let items: Vec<Value> = objects.iter().map(to_json).collect();
            println!("{}", Value::Array(items));
        }
        Format::Table => {
            let mut table = Table::new(&["NAME", "VERSION", "SPEC"]);
            for object in &objects {
                let cells = [object.name.to_string(), object.version.to_string()];
                table.row(cells.into_iter().chain([object.value.to_string()]));
            }
            print!("{}", table.render());
        }
    }
    Ok(Code::Success)
}

fn value_of(object: &Object) -> Value {
    serde_json::from_str(&object.value).unwrap_or_default()
}

fn to_json(object: &Object) -> Value {
    json!({
        "kind": object.kind, "name": object.name, "version": object.version,
        "spec": value_of(object),
    })
}

/// Shows a resource, its accepted version and the boxes where that version is in force.
pub async fn describe(client: &Client, describe: &Describe, format: Format) -> Result<Code, Error> {
    let kind = parse_kind(&describe.kind)?;
    let name = &describe.name;
    let id = object_name(kind, name);
    let source = client.get(kind.as_str(), name).await.context(PlatformSnafu)?;
    let accepted = client.get("accepted", &id).await.context(PlatformSnafu)?;
    let status = client.get("status", &id).await.context(PlatformSnafu)?;
    let members = client.list("member", "").await.context(PlatformSnafu)?;
    if source.is_none() && accepted.is_none() {
        return MissingSnafu { kind: kind.as_str(), name }.fail();
    }
    let report = Report::new(source.as_ref(), accepted.as_ref(), status.as_ref(), &members);
    match format {
        Format::Json => println!("{}", report.to_json(source.as_ref())),
        Format::Table => report.print(kind, name, source.as_ref()),
    }
    Ok(Code::Success)
}

struct Report {
    /// Version of the resource as last written.
    source_version: u64,
    /// Version of the resource that was last accepted.
    accepted_version: u64,
    /// Why the last written version failed validation, if it did.
    invalid: Option<String>,
    /// Incarnations where the accepted version is in force.
    in_force: Vec<String>,
    /// Incarnations that have not confirmed the accepted version yet.
    not_in_force: Vec<String>,
}

impl Report {
    fn new(
        source: Option<&Object>,
        accepted: Option<&Object>,
        status: Option<&Object>,
        members: &[Object],
    ) -> Report {
        let version = source.map_or(0, |object| object.version);
        let accepted_source = accepted
            .and_then(|object| serde_json::from_str::<Accepted>(&object.value).ok())
            .map_or(0, |accepted| accepted.source);
        let status = status.map(value_of).unwrap_or_default();
        let is_current = status["source"].as_u64() == Some(version);
        let invalid = status["invalid"].as_str().filter(|_| is_current).map(str::to_owned);
        let required_version = accepted.map_or(u64::MAX, |object| object.version);
        let known: Vec<Member> =
            members.iter().filter_map(|object| serde_json::from_str(&object.value).ok()).collect();
        let (in_force, not_in_force): (Vec<_>, Vec<_>) =
            known.into_iter().partition(|member| member.watched >= required_version);
        let names = |members: Vec<Member>| -> Vec<String> {
            members.into_iter().map(|member| member.incarnation.to_string()).collect()
        };
        Report {
            source_version: version,
            accepted_version: accepted_source,
            invalid,
            in_force: names(in_force),
            not_in_force: names(not_in_force),
        }
    }

    fn to_json(&self, source: Option<&Object>) -> Value {
        json!({
            "version": self.source_version, "accepted": self.accepted_version, "invalid": self.invalid,
            "in_force": self.in_force, "not_heard": self.not_in_force,
            "spec": source.map(value_of),
        })
    }

    fn print(&self, kind: Kind, name: &str, source: Option<&Object>) {
        println!("{kind} {name}");
        println!("  written as version  {}", self.source_version);
        let accepted = format!("  accepted version    {}", self.accepted_version);
        let tone =
            if self.accepted_version >= self.source_version { Tone::Good } else { Tone::Bad };
        println!("{}", paint(tone, &accepted));
        if let Some(reason) = &self.invalid {
            println!("{}", paint(Tone::Bad, &format!("  not accepted        {reason}")));
        }
        println!(
            "  in force on         {} boxes: {}",
            self.in_force.len(),
            self.in_force.join(", ")
        );
        if !self.not_in_force.is_empty() {
            let line = format!("  not in force on     {}", self.not_in_force.join(", "));
            println!("{}", paint(Tone::Bad, &line));
        }
        if let Some(object) = source {
            let pretty = serde_json::to_string_pretty(&value_of(object)).unwrap_or_default();
            println!("{}", paint(Tone::Faint, &pretty));
        }
    }
}
