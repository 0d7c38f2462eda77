//! A box's local view of what it may still spend of one budget.

use serde::{Deserialize, Serialize};

/// The part of a grant that tokens come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// Usable only after the intent has landed in the journal.
    Online,
    /// Usable without contact to the platform.
    Offline,
}

/// Tokens of one part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Granted, passed on or lent to this box, less what it returned, passed on or lent.
    pub given: u64,
    /// Charged for requests that ended.
    pub charged: u64,
    /// Reserved for requests in progress, at their worst case.
    pub reserved: u64,
}

impl Tokens {
    /// Tokens that a new request may reserve.
    pub fn free(&self) -> u64 {
        self.given.saturating_sub(self.charged + self.reserved)
    }
}

/// One box's account of one budget.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Account {
    online: Tokens,
    offline: Tokens,
}

/// Tokens reserved for one request. Released or charged exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation must be settled"]
pub struct Reservation {
    /// Part that the tokens come from.
    pub part: Part,
    /// Worst case of the request, in tokens.
    pub tokens: u64,
}

/// Error of a reservation that exceeds the free tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deficit {
    /// Tokens missing in the part.
    pub missing: u64,
}

impl Account {
    pub fn tokens(&self, part: Part) -> Tokens {
        match part {
            Part::Online => self.online,
            Part::Offline => self.offline,
        }
    }

    fn tokens_mut(&mut self, part: Part) -> &mut Tokens {
        match part {
            Part::Online => &mut self.online,
            Part::Offline => &mut self.offline,
        }
    }

    /// Adds tokens whose draw or transfer has landed.
    pub fn add(&mut self, part: Part, tokens: u64) {
        self.tokens_mut(part).given += tokens;
    }

    /// Removes up to `tokens` free tokens, before they are returned or passed on. Returns how many
    /// were removed.
    pub fn remove(&mut self, part: Part, tokens: u64) -> u64 {
        let of = self.tokens_mut(part);
        let taken = tokens.min(of.free());
        of.given -= taken;
        taken
    }

    /// Reserves the worst case of a request.
    pub fn reserve(&mut self, part: Part, tokens: u64) -> Result<Reservation, Deficit> {
        let of = self.tokens_mut(part);
        let free = of.free();
        if free < tokens {
            return Err(Deficit { missing: tokens - free });
        }
        of.reserved += tokens;
        Ok(Reservation { part, tokens })
    }

    /// Ends a reservation: `charged` tokens are spent, the rest is free again.
    ///
    /// Returns what was charged, never more than was reserved.
    pub fn settle(&mut self, reservation: Reservation, charged: u64) -> u64 {
        let charged = charged.min(reservation.tokens);
        let of = self.tokens_mut(reservation.part);
        of.reserved -= reservation.tokens;
        of.charged += charged;
        charged
    }

    /// Tokens of both parts that are neither charged nor reserved.
    pub fn free(&self) -> u64 {
        self.online.free() + self.offline.free()
    }

    /// Whether nothing is reserved.
    pub fn is_idle(&self) -> bool {
        self.online.reserved == 0 && self.offline.reserved == 0
    }
}
