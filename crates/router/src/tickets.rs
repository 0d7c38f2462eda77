//! Request keys issued in advance, each bound to the process that issued it.
//!
//! A call that must not run twice needs a claim in the platform before it runs. A ticket needs
//! none: only the process that issued it may run it, and that process remembers which ones are
//! used. A caller that holds tickets can therefore go on through a platform outage. After that
//! process has ended, no other runs the ticket: whether it ran is then *unknown*.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;

/// Prefix of every ticket. A call that must not run twice never runs with a key that has this
/// prefix but was not issued here.
const PREFIX: &str = "ticket.";
/// Most unused tickets of one box.
const MAX_UNUSED: usize = 100_000;

/// What a key is to this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Not a ticket.
    Plain,
    /// Issued here to this customer and unused.
    Unused,
    /// Issued here, but used or issued to another customer.
    Used,
    /// Issued by another process.
    Foreign,
}

/// Tickets issued by this process.
#[derive(Debug)]
pub struct Tickets {
    secret: String,
    unused: Mutex<HashMap<Arc<str>, Arc<str>>>,
}

impl Tickets {
    /// Starts without tickets; `secret` must be random: it marks this process's tickets.
    pub fn new(secret: u64) -> Tickets {
        Tickets { secret: format!("{secret:016x}"), unused: Mutex::default() }
    }

    /// Issues a ticket to a customer; `nonce` must be random. `None` if too many are unused.
    pub fn issue(&self, customer: &Arc<str>, nonce: u64) -> Option<Arc<str>> {
        let key: Arc<str> = format!("{PREFIX}{}.{nonce:016x}", self.secret).into();
        let mut unused = self.unused.lock();
        (unused.len() < MAX_UNUSED).then(|| {
            unused.insert(key.clone(), customer.clone());
            key
        })
    }

    /// Classifies a customer's key.
    pub fn kind(&self, customer: &str, key: &str) -> Kind {
        let Some(suffix) = key.strip_prefix(PREFIX) else { return Kind::Plain };
        if !suffix.starts_with(&self.secret) {
            return Kind::Foreign;
        }
        match self.unused.lock().get(key) {
            Some(owner) if **owner == *customer => Kind::Unused,
            Some(_) | None => Kind::Used,
        }
    }

    /// Consumes a ticket; true for one caller only.
    pub fn consume(&self, customer: &str, key: &str) -> bool {
        let is_unused = self.kind(customer, key) == Kind::Unused;
        is_unused && self.unused.lock().remove(key).is_some()
    }

    /// Restores a ticket whose call was not dispatched.
    pub fn restore(&self, customer: &Arc<str>, key: &Arc<str>) {
        self.unused.lock().insert(key.clone(), customer.clone());
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_ticket_is_used_once_by_its_customer_at_its_box() {
        let (here, there) = (Tickets::new(1), Tickets::new(2));
        let customer: Arc<str> = "dis".into();
        let key = here.issue(&customer, 7).unwrap();
        assert_eq!(there.kind("dis", &key), Kind::Foreign);
        assert_eq!(here.kind("other", &key), Kind::Used);
        assert_eq!(here.kind("dis", "chair-7"), Kind::Plain);
        assert!(!here.consume("other", &key));
        assert!(here.consume("dis", &key));
        assert!(!here.consume("dis", &key));
        here.restore(&customer, &key);
        assert!(here.consume("dis", &key));
    }
}
