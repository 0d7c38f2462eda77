//! Denials: the configuration has no route for a request, or no customer for its key.
//!
//! A denial is final for the caller, and rests on the configuration that the box knows. So a box denies
//! only by a configuration that the store confirmed lately, or that a box which reads the store did.
//! Otherwise the caller may come back, to this box or another one. The log line tells how old the
//! configuration is, who confirmed it, and what was looked up in it.

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    freshness::{Subject, Validity},
    metrics::Denied,
    proxy::{
        context::Context,
        exchange::Exchange,
        refusal::{Denial, Reason, Refusal, UNREADY_RETRY_DELAY},
    },
};

impl Context {
    /// Refuses a request for a host and path without a route.
    pub fn deny_route(&self, host: &str, path: &str, exchange: &mut Exchange) -> Refusal {
        self.deny(Reason::NoRoute.with("no route for this host and path"), exchange, || {
            format!("{host}{path}")
        })
    }

    /// Refuses a request whose key belongs to no customer. The key is a secret, so only its hash is
    /// logged.
    pub fn deny_customer(&self, key: Option<&str>, exchange: &mut Exchange) -> Refusal {
        self.deny(Reason::NoCustomer.with("the key belongs to no customer"), exchange, || {
            key.map_or_else(String::new, |key| format!("{:016x}", xxh3_64(key.as_bytes())))
        })
    }

    /// Refuses a request that the rest of a budget does not cover, by what the configuration says was
    /// paid.
    pub fn deny_budget(&self, tokens: u64) -> Refusal {
        let detail = format!("the remaining budget does not cover {tokens} tokens");
        self.deny_if_current(Reason::BudgetExhausted.with(detail))
    }

    fn deny(
        &self,
        refusal: Refusal,
        exchange: &mut Exchange,
        missing: impl FnOnce() -> String,
    ) -> Refusal {
        let validity = self.freshness.validity(Subject::Config);
        let labels = Denied { reason: refusal.reason.as_str(), config: validity.as_str() };
        self.metrics.denials.get_or_create(&labels).inc();
        exchange.denial = Some(Denial {
            missing: missing(),
            validity,
            age: self.freshness.age(Subject::Config),
            source: self.freshness.source(Subject::Config),
            up: self.started.elapsed(),
        });
        self.deny_if_current(refusal)
    }

    /// Makes a denial one that the caller may come back after, if the configuration may be replaced.
    fn deny_if_current(&self, denial: Refusal) -> Refusal {
        match self.freshness.validity(Subject::Config) {
            Validity::Current => denial,
            Validity::Outdated | Validity::Unconfirmed => {
                let detail = format!("{}, by a configuration that may be replaced", denial.detail);
                Reason::ConfigOutdated.after(UNREADY_RETRY_DELAY, detail)
            }
        }
    }
}
