//! Merges the log lines of many processes into one timeline.

use crate::Event;

/// Selects events; criteria that are `None` match all.
#[derive(Debug, Clone, Default)]
pub struct Filter {
    /// Only events of this request.
    pub request: Option<String>,
    /// Only events of this budget.
    pub budget: Option<String>,
    /// Only events of this box.
    pub box_name: Option<String>,
}

impl Filter {
    /// Whether an event meets all criteria.
    pub fn matches(&self, event: &Event) -> bool {
        let field_matches = |want: &Option<String>, has: Option<&str>| {
            want.as_deref().is_none_or(|want| has == Some(want))
        };
        field_matches(&self.request, event.request.as_deref())
            && field_matches(&self.budget, event.budget.as_deref())
            && field_matches(&self.box_name, Some(event.box_name()))
    }
}

/// Parses a line that is an event, or a JSON log line with an event in its `event` field.
pub fn parse(line: &str) -> Option<Event> {
    if let Ok(event) = serde_json::from_str(line) {
        return Some(event);
    }
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let embedded = value.get("fields").unwrap_or(&value).get("event")?;
    serde_json::from_str(embedded.as_str()?).ok()
}

/// Orders the selected events causally and removes duplicates.
pub fn merge(events: impl IntoIterator<Item = Event>, filter: &Filter) -> Vec<Event> {
    let mut selected: Vec<Event> =
        events.into_iter().filter(|event| filter.matches(event)).collect();
    selected.sort_by(|a, b| (a.at, &a.by, a.seq).cmp(&(b.at, &b.by, b.seq)));
    selected.dedup_by(|a, b| (a.at, &a.by, a.seq) == (b.at, &b.by, b.seq));
    selected
}

/// Formats an event as one line of text.
pub fn render(event: &Event) -> String {
    let what = match serde_json::to_value(&event.what) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(serde_json::Value::Object(object)) => {
            object.iter().map(|(name, fields)| format!("{name} {}", join_fields(fields))).collect()
        }
        _ => String::new(),
    };
    let request = event.request.as_deref().unwrap_or("-");
    let budget = event.budget.as_deref().unwrap_or("-");
    format!("{:<18} {:<28} {request:<24} {budget:<14} {what}", event.at.to_string(), event.by)
}

fn join_fields(fields: &serde_json::Value) -> String {
    let Some(fields) = fields.as_object() else { return String::new() };
    let parts: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    parts.join(" ")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{EventKind, Timestamp};

    fn event(ms: u64, by: &str, seq: u64) -> Event {
        let at = Timestamp { ms, count: 0 };
        Event { at, by: by.into(), seq, what: EventKind::Recorded, request: None, budget: None }
    }

    #[test]
    fn merged_events_are_ordered_without_duplicates() {
        let bare = serde_json::to_string(&event(2, "a.1", 2)).unwrap();
        let embedded = serde_json::json!({"fields": {"event": bare}}).to_string();
        let lines = [bare.clone(), embedded, "not json".to_owned()];
        let read = lines.iter().filter_map(|line| parse(line)).chain([event(1, "b.1", 9)]);
        let merged = merge(read, &Filter::default());
        assert_eq!(merged, vec![event(1, "b.1", 9), event(2, "a.1", 2)]);
        let of_a = Filter { box_name: Some("a".into()), ..Filter::default() };
        assert_eq!(merge(merged, &of_a).len(), 1);
    }
}
