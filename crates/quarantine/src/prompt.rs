//! Parts of prompts that requests share.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Maximum number of parts of one prompt that are compared; the first ones are those that prompts share.
const MAX_PARTS: usize = 16;

/// The parts of a prompt that other prompts may hold as well: all but the last, which belongs to the request or to its
/// session.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Prompt {
    customer: Arc<str>,
    parts: Vec<u64>,
}

/// A part of a customer's prompts. Callers choose the ids, so another customer's part with the same id is another part.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Part {
    customer: Arc<str>,
    id: u64,
}

impl Prompt {
    /// The shared parts of a prompt whose parts have these ids; `None` if there are none.
    pub fn of(customer: Option<&Arc<str>>, ids: &[u64]) -> Option<Prompt> {
        let (_, shared) = ids.split_last()?;
        let parts: Vec<u64> = shared.iter().take(MAX_PARTS).copied().collect();
        let customer = customer.cloned().unwrap_or_default();
        (!parts.is_empty()).then_some(Prompt { customer, parts })
    }

    /// Its parts, in order.
    pub fn parts(&self) -> impl Iterator<Item = Part> {
        self.parts.iter().map(|id| Part { customer: self.customer.clone(), id: *id })
    }

    /// Splits it into a prompt with the parts for which `is_first` is true and one with the others; `None` for
    /// none.
    pub fn split(
        &self,
        mut is_first: impl FnMut(&Part) -> bool,
    ) -> (Option<Prompt>, Option<Prompt>) {
        let (first, others): (Vec<Part>, Vec<Part>) = self.parts().partition(|part| is_first(part));
        let prompt = |parts: Vec<Part>| {
            let parts: Vec<u64> = parts.into_iter().map(|part| part.id).collect();
            (!parts.is_empty()).then(|| Prompt { customer: self.customer.clone(), parts })
        };
        (prompt(first), prompt(others))
    }

    /// Whether it holds a part.
    pub fn contains(&self, part: &Part) -> bool {
        self.customer == part.customer && self.parts.contains(&part.id)
    }
}

impl fmt::Display for Prompt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, id) in self.parts.iter().enumerate() {
            let separator = if number == 0 { "" } else { "," };
            write!(f, "{separator}{id:x}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}@{}", self.id, self.customer)
    }
}
