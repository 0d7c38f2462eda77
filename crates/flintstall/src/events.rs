//! Prints the timeline merged from collected log lines.

use timeline::{Event, Filter, merge, parse, render};

use crate::{cli::Timeline, error::Error, exit::Code, input::read_text, output::Format};

/// Prints the events of all processes in causal order.
pub fn timeline(args: &Timeline, format: Format) -> Result<Code, Error> {
    let mut events: Vec<Event> = Vec::new();
    let standard_input = ["-".into()];
    let files = if args.files.is_empty() { &standard_input[..] } else { &args.files };
    for file in files {
        events.extend(read_text(file)?.lines().filter_map(parse));
    }
    let filter = Filter {
        request: args.request.clone(),
        budget: args.budget.clone(),
        box_name: args.box_name.clone(),
    };
    for event in merge(events, &filter) {
        match format {
            Format::Json => println!("{}", serde_json::to_string(&event).unwrap_or_default()),
            Format::Table => println!("{}", render(&event)),
        }
    }
    Ok(Code::Success)
}
