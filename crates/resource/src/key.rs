//! API keys: `CUSTOMER.KEY.SECRET`, of which only a hash of the secret is stored.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Key, is_name};

/// An API key as a caller sends it, split but not yet checked.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ApiKey<'a> {
    /// Customer that the key claims to belong to.
    pub customer: &'a str,
    /// Name of the key on the customer.
    pub key: &'a str,
    secret: &'a str,
}

impl<'a> ApiKey<'a> {
    /// Splits an API key; `None` if it is not one.
    pub fn parse(text: &'a str) -> Option<ApiKey<'a>> {
        let (customer, rest) = text.split_once('.')?;
        let (key, secret) = rest.split_once('.')?;
        let fits = is_name(customer) && is_name(key) && (8..=128).contains(&secret.len());
        fits.then_some(ApiKey { customer, key, secret })
    }

    /// Whether this is the key whose hash is stored, in constant time.
    pub fn matches(&self, stored: &Key) -> bool {
        let hash = hash_secret(self.secret);
        hash.as_bytes().ct_eq(stored.sha256.as_bytes()).into()
    }
}

/// SHA-256 of the secret part, in lower-case hexadecimal.
pub fn hash_secret(secret: &str) -> String {
    let digest = Sha256::digest(secret.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
