//! State of one budget in a session.

use std::sync::Arc;

use ledger::{Account, Deficit, Draw, Ledger, Part, Reservation};
use parking_lot::Mutex;
use tokio::{sync::Mutex as AsyncMutex, time::Instant};

use crate::usage::Usage;

/// A ledger write whose outcome is unknown.
#[derive(Debug, Clone)]
pub struct Pending {
    /// Version of the ledger that the write expected.
    pub expected: u64,
    pub next: Ledger,
    pub draw: Draw,
    /// Number of the write, as stored in the grant.
    pub write: u64,
}

/// Last known state of the ledger object.
#[derive(Debug, Default)]
pub struct CachedLedger {
    pub version: u64,
    pub ledger: Option<Ledger>,
    pub pending: Option<Pending>,
    /// Number of writes so far.
    pub writes: u64,
    /// Whether the journal lists the budget.
    pub listed: bool,
    pub read_at: Option<Instant>,
}

/// Account, usage and ledger of one budget. The lock on `cached` allows one ledger write at a time.
pub struct Entry {
    pub budget: Arc<str>,
    pub account: Mutex<Account>,
    pub usage: Mutex<Usage>,
    pub cached: AsyncMutex<CachedLedger>,
}

impl Entry {
    pub fn new(budget: Arc<str>) -> Entry {
        Entry {
            budget,
            account: Mutex::default(),
            usage: Mutex::default(),
            cached: AsyncMutex::default(),
        }
    }

    pub fn reserve(&self, part: Part, tokens: u64) -> Result<Reservation, Deficit> {
        self.usage.lock().record_reservation(tokens);
        self.account.lock().reserve(part, tokens)
    }

    pub fn settle(&self, reservation: Reservation, charged: u64) -> u64 {
        let charged = self.account.lock().settle(reservation, charged);
        self.usage.lock().record_charge(charged);
        charged
    }

    pub fn free(&self, part: Part) -> u64 {
        self.account.lock().tokens(part).free()
    }
}
