//! Writes and deletes resources, conditionally on the version that was read.

use objects::{Expect, Store, Write};
use platform::store::Client;
use resource::{Document, Kind, Spec};
use serde_json::Value;
use snafu::ResultExt;

use crate::{
    cli::{Apply, Check, Delete},
    error::{ConflictSnafu, Error, InDoubtSnafu, InvalidFileSnafu, MissingSnafu, PlatformSnafu},
    exit::Code,
    input::{parse_kind, read_text},
    paint::{Tone, paint},
};

/// Validates a resource file without the platform.
pub fn check(check: &Check) -> Result<Code, Error> {
    let documents = documents(&check.file)?;
    println!("{}: {} resources are valid", check.file.display(), documents.len());
    Ok(Code::Success)
}

fn documents(path: &std::path::Path) -> Result<Vec<Document>, Error> {
    let text = read_text(path)?;
    resource::read(&text).context(InvalidFileSnafu { path })
}

/// Writes all resources of a file, in the order of [`Kind::ALL`].
pub async fn apply(client: &Client, apply: &Apply) -> Result<Code, Error> {
    let mut documents = documents(&apply.file)?;
    documents.sort_by_key(|document| Kind::ALL.iter().position(|kind| *kind == document.kind));
    for document in &documents {
        write(client, document, apply.dry_run).await?;
    }
    Ok(Code::Success)
}

async fn write(client: &Client, document: &Document, dry_run: bool) -> Result<(), Error> {
    let (kind, name) = (document.kind.as_str(), &*document.name);
    let found = client.get(kind, name).await.context(PlatformSnafu)?;
    let before =
        found.as_ref().and_then(|object| Spec::from_json(document.kind, &object.value).ok());
    if before.as_ref() == Some(&document.spec) {
        println!("{kind} {name}: unchanged");
        return Ok(());
    }
    if dry_run {
        println!("{kind} {name}: would change");
        print_diff(found.as_ref().map(|object| &*object.value), &document.spec.to_json());
        return Ok(());
    }
    let expect = found.map_or(Expect::Absent, |object| Expect::Version(object.version));
    match client.put(kind, name, document.spec.to_json(), expect).await {
        Write::Landed(version) => println!("{kind} {name}: written as version {version}"),
        Write::Refused => return ConflictSnafu { kind, name }.fail(),
        Write::Failed | Write::Unknown => check_landed(client, document).await?,
    }
    Ok(())
}

/// Reads the resource back to find out whether a write without an answer took effect.
async fn check_landed(client: &Client, document: &Document) -> Result<(), Error> {
    let (kind, name) = (document.kind.as_str(), &*document.name);
    let read = client.get(kind, name).await.context(PlatformSnafu)?;
    let landed = read.and_then(|object| {
        let spec = Spec::from_json(document.kind, &object.value).ok()?;
        (spec == document.spec).then_some(object.version)
    });
    match landed {
        Some(version) => println!("{kind} {name}: written as version {version}"),
        None => return InDoubtSnafu { kind, name }.fail(),
    }
    Ok(())
}

fn print_diff(before: Option<&str>, after: &str) {
    let lines = |text: Option<&str>| -> Vec<String> {
        let value: Option<Value> = text.and_then(|text| serde_json::from_str(text).ok());
        let pretty = value.and_then(|value| serde_json::to_string_pretty(&value).ok());
        pretty.unwrap_or_default().lines().map(str::to_owned).collect()
    };
    let (before, after) = (lines(before), lines(Some(after)));
    for line in before.iter().filter(|line| !after.contains(line)) {
        println!("{}", paint(Tone::Bad, &format!("  - {line}")));
    }
    for line in after.iter().filter(|line| !before.contains(line)) {
        println!("{}", paint(Tone::Good, &format!("  + {line}")));
    }
}

/// Deletes a resource.
pub async fn delete(client: &Client, delete: &Delete) -> Result<Code, Error> {
    let kind = parse_kind(&delete.kind)?.as_str();
    let name = &*delete.name;
    let found = client.get(kind, name).await.context(PlatformSnafu)?;
    let Some(object) = found else { return MissingSnafu { kind, name }.fail() };
    match client.delete(kind, name, object.version).await {
        Write::Landed(version) => println!("{kind} {name}: deleted as version {version}"),
        Write::Refused => return ConflictSnafu { kind, name }.fail(),
        Write::Failed | Write::Unknown => return InDoubtSnafu { kind, name }.fail(),
    }
    Ok(Code::Success)
}
