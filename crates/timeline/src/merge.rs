//! Merging the collected lines of many processes into one time line.

use crate::Event;

/// Which events to show; empty shows all.
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
    /// Whether the event passes.
    pub fn passes(&self, event: &Event) -> bool {
        let fits = |want: &Option<String>, has: Option<&str>| {
            want.as_deref().is_none_or(|want| has == Some(want))
        };
        fits(&self.request, event.request.as_deref())
            && fits(&self.budget, event.budget.as_deref())
            && fits(&self.box_name, Some(event.box_name()))
    }
}

/// The event of one log line: the bare event, or a JSON log line that carries one.
pub fn parse(line: &str) -> Option<Event> {
    if let Ok(event) = serde_json::from_str(line) {
        return Some(event);
    }
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let carried = value.get("fields").unwrap_or(&value).get("event")?;
    serde_json::from_str(carried.as_str()?).ok()
}

/// Orders events causally and drops those seen twice.
pub fn merge(events: impl IntoIterator<Item = Event>, filter: &Filter) -> Vec<Event> {
    let mut kept: Vec<Event> = events.into_iter().filter(|event| filter.passes(event)).collect();
    kept.sort_by(|a, b| (a.at, &a.by, a.seq).cmp(&(b.at, &b.by, b.seq)));
    kept.dedup_by(|a, b| (a.at, &a.by, a.seq) == (b.at, &b.by, b.seq));
    kept
}

/// One line for people.
pub fn render(event: &Event) -> String {
    let what = match serde_json::to_value(&event.what) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(serde_json::Value::Object(object)) => {
            object.iter().map(|(name, fields)| format!("{name} {}", fields_of(fields))).collect()
        }
        _ => String::new(),
    };
    let request = event.request.as_deref().unwrap_or("-");
    let budget = event.budget.as_deref().unwrap_or("-");
    format!("{:<18} {:<28} {request:<24} {budget:<14} {what}", event.at.to_string(), event.by)
}

fn fields_of(fields: &serde_json::Value) -> String {
    let Some(fields) = fields.as_object() else { return String::new() };
    let parts: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    parts.join(" ")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Timestamp, EventKind};

    fn event(ms: u64, by: &str, seq: u64) -> Event {
        let at = Timestamp { ms, count: 0 };
        Event { at, by: by.into(), seq, what: EventKind::Recorded, request: None, budget: None }
    }

    #[test]
    fn merged_lines_are_ordered_and_single() {
        let bare = serde_json::to_string(&event(2, "a.1", 2)).unwrap();
        let carried = serde_json::json!({"fields": {"event": bare}}).to_string();
        let lines = [bare.clone(), carried, "not json".to_owned()];
        let read = lines.iter().filter_map(|line| parse(line)).chain([event(1, "b.1", 9)]);
        let merged = merge(read, &Filter::default());
        assert_eq!(merged, vec![event(1, "b.1", 9), event(2, "a.1", 2)]);
        let of_a = Filter { box_name: Some("a".into()), ..Filter::default() };
        assert_eq!(merge(merged, &of_a).len(), 1);
    }
}
