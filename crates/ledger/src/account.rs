//! What one box may still spend of one budget, as it knows itself.

use serde::{Deserialize, Serialize};

/// Which part of a grant tokens come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Part {
    /// Usable only once the intent has landed in the journal.
    Online,
    /// Usable with no word from the platform.
    Offline,
}

/// Tokens of one part, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Given by landed draws, less what was returned.
    pub given: u64,
    /// Charged for work that ended.
    pub charged: u64,
    /// Held for work under way, at its worst case.
    pub reserved: u64,
}

impl Tokens {
    /// What a new request may reserve.
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

/// Tokens held for one request; given back or charged exactly once.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation is settled or cancelled"]
pub struct Reservation {
    /// Part the tokens come from.
    pub part: Part,
    /// Worst case held, in tokens.
    pub tokens: u64,
}

/// What a reservation lacked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deficit {
    /// Tokens missing in that part.
    pub missing: u64,
}

impl Account {
    /// Tokens of one part.
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

    /// Takes up to `tokens` free tokens out, before they are returned or passed on.
    pub fn take(&mut self, part: Part, tokens: u64) -> u64 {
        let of = self.tokens_mut(part);
        let taken = tokens.min(of.free());
        of.given -= taken;
        taken
    }

    /// Holds the worst case of a request, or says what is missing.
    pub fn reserve(&mut self, part: Part, tokens: u64) -> Result<Reservation, Deficit> {
        let of = self.tokens_mut(part);
        let free = of.free();
        if free < tokens {
            return Err(Deficit { missing: tokens - free });
        }
        of.reserved += tokens;
        Ok(Reservation { part, tokens })
    }

    /// Ends a reservation: `charged` is spent, the rest is free again.
    ///
    /// Returns what was charged, never more than was held.
    pub fn settle(&mut self, reservation: Reservation, charged: u64) -> u64 {
        let charged = charged.min(reservation.tokens);
        let of = self.tokens_mut(reservation.part);
        of.reserved -= reservation.tokens;
        of.charged += charged;
        charged
    }

    /// Tokens neither charged nor reserved, over both parts.
    pub fn free(&self) -> u64 {
        self.online.free() + self.offline.free()
    }

    /// Whether nothing is held for work under way.
    pub fn is_idle(&self) -> bool {
        self.online.reserved == 0 && self.offline.reserved == 0
    }
}
