//! Prints the timeline merged from collected log lines.

use timeline::{Event, Filter, merge, parse, render};

use crate::{cli::Timeline, decode::text_of, error::Error, exit::Code, output::Form};

/// Prints the events of all processes in causal order.
pub fn timeline(wanted: &Timeline, form: Form) -> Result<Code, Error> {
    let mut events: Vec<Event> = Vec::new();
    let standard = ["-".into()];
    let files = if wanted.files.is_empty() { &standard[..] } else { &wanted.files };
    for file in files {
        events.extend(text_of(file)?.lines().filter_map(parse));
    }
    let filter = Filter {
        request: wanted.request.clone(),
        budget: wanted.budget.clone(),
        box_name: wanted.box_name.clone(),
    };
    for event in merge(events, &filter) {
        match form {
            Form::Json => println!("{}", serde_json::to_string(&event).unwrap_or_default()),
            Form::Table => println!("{}", render(&event)),
        }
    }
    Ok(Code::Success)
}
