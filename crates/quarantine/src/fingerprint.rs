//! Identity of a request across retries.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use xxhash_rust::xxh3::Xxh3;

/// Separates the digest from the customer in the text form.
const SEPARATOR: char = '@';

/// Hash of a request's content: the same for each try of it, at whichever box.
///
/// The hash is not cryptographic, so the customer is kept beside it in full: crafted collisions can
/// affect only the customer who sends them.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint {
    customer: Arc<str>,
    digest: u128,
}

impl Fingerprint {
    /// The fingerprint of a customer's request with these parts, such as its host, target and body,
    /// in order.
    pub fn of<'a>(
        customer: Option<&Arc<str>>,
        parts: impl IntoIterator<Item = &'a [u8]>,
    ) -> Fingerprint {
        let mut hash = Xxh3::new();
        for part in parts {
            // The length keeps different splits of the same bytes apart.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Fingerprint { customer: customer.cloned().unwrap_or_default(), digest: hash.digest128() }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}{SEPARATOR}{}", self.digest, self.customer)
    }
}

impl Serialize for Fingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Fingerprint {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Fingerprint, D::Error> {
        let text = String::deserialize(deserializer)?;
        let unreadable = || D::Error::custom("a fingerprint is 32 hex digits, `@` and a customer");
        let (digest, customer) = text.split_once(SEPARATOR).ok_or_else(unreadable)?;
        let digest = u128::from_str_radix(digest, 16).map_err(|_| unreadable())?;
        Ok(Fingerprint { customer: customer.into(), digest })
    }
}
