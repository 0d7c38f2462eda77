//! API keys: `CUSTOMER.KEY.SECRET`, of which only a hash of the secret is stored.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Key, is_name};

/// An API key as a caller sends it: split into its parts, not yet verified.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ApiKey<'a> {
    /// Name of the customer that the key claims to belong to.
    pub customer: &'a str,
    /// Name of the key among the customer's keys.
    pub key: &'a str,
    secret: &'a str,
}

impl<'a> ApiKey<'a> {
    /// Splits an API key; `None` if `text` does not have the form of one.
    pub fn parse(text: &'a str) -> Option<ApiKey<'a>> {
        let (customer, rest) = text.split_once('.')?;
        let (key, secret) = rest.split_once('.')?;
        let is_valid = is_name(customer) && is_name(key) && (8..=128).contains(&secret.len());
        is_valid.then_some(ApiKey { customer, key, secret })
    }

    /// Whether the secret has the stored hash; compares in constant time.
    pub fn matches(&self, stored: &Key) -> bool {
        let hash = hash_secret(self.secret);
        hash.as_bytes().ct_eq(stored.sha256.as_bytes()).into()
    }
}

/// SHA-256 of the secret part of an API key, in lower-case hexadecimal.
pub fn hash_secret(secret: &str) -> String {
    let digest = Sha256::digest(secret.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
