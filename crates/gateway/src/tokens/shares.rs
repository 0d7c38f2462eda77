//! Both sides of what keepers pass on to other boxes, for one customer.

use std::collections::BTreeMap;

use ledger::{Delta, Incarnation, Share};

/// Tokens that keepers passed on to this box.
#[derive(Debug, Default)]
pub struct KeeperShares {
    /// In the order in which the keepers first passed tokens on.
    entries: Vec<KeeperShare>,
}

#[derive(Debug)]
struct KeeperShare {
    keeper: Incarnation,
    share: Share,
    /// Totals that the keeper has acknowledged.
    acknowledged: Share,
}

impl KeeperShares {
    /// Tokens of keepers that are neither used nor returned.
    pub fn outstanding(&self) -> u64 {
        self.entries.iter().map(|entry| entry.share.outstanding()).sum()
    }

    /// Used tokens that were not reported to their keepers yet.
    pub fn unreported(&self) -> u64 {
        self.entries.iter().map(|entry| entry.share.used - entry.acknowledged.used).sum()
    }

    /// Counts up to `tokens` as used, from the oldest share first, so that shares of dead keepers
    /// are used up. Returns how many were.
    ///
    /// A request is counted with the first share that pays for it.
    pub fn spend(&mut self, tokens: u64) -> u64 {
        let mut left = tokens;
        for entry in &mut self.entries {
            let spent = entry.share.spend(left);
            entry.share.requests += u64::from(spent > 0 && left == tokens);
            left -= spent;
        }
        tokens - left
    }

    /// Applies the total that a keeper reports; returns the tokens that are new.
    pub fn receive(&mut self, keeper: &Incarnation, passed_on: u64) -> u64 {
        self.entry_mut(keeper).share.receive(passed_on)
    }

    /// Counts up to `tokens` of a keeper as returned; returns how many were.
    pub fn return_tokens(&mut self, keeper: &Incarnation, tokens: u64) -> u64 {
        let Some(entry) = self.entries.iter_mut().find(|entry| entry.keeper == *keeper) else {
            return 0;
        };
        let returned = tokens.min(entry.share.outstanding());
        entry.share.returned += returned;
        returned
    }

    /// Returns the totals of a keeper.
    pub fn share(&self, keeper: &Incarnation) -> Share {
        let entry = self.entries.iter().find(|entry| entry.keeper == *keeper);
        entry.map(|entry| entry.share).unwrap_or_default()
    }

    /// Whether a keeper has not acknowledged all that was used and returned.
    pub fn has_unreported(&self, keeper: &Incarnation) -> bool {
        let entry = self.entries.iter().find(|entry| entry.keeper == *keeper);
        entry.is_some_and(|entry| {
            let (now, acknowledged) = (entry.share, entry.acknowledged);
            (now.used, now.returned) != (acknowledged.used, acknowledged.returned)
        })
    }

    /// Records the totals that a keeper has acknowledged.
    pub fn acknowledge(&mut self, keeper: &Incarnation, share: Share) {
        self.entry_mut(keeper).acknowledged = share;
    }

    /// Returns the keepers that have passed tokens on.
    pub fn keepers(&self) -> impl Iterator<Item = &Incarnation> {
        self.entries.iter().map(|entry| &entry.keeper)
    }

    fn entry_mut(&mut self, keeper: &Incarnation) -> &mut KeeperShare {
        let at = self.entries.iter().position(|entry| entry.keeper == *keeper);
        let at = at.unwrap_or_else(|| {
            let (share, acknowledged) = (Share::default(), Share::default());
            self.entries.push(KeeperShare { keeper: keeper.clone(), share, acknowledged });
            self.entries.len() - 1
        });
        &mut self.entries[at]
    }
}

/// Tokens that this box passed on as a keeper.
#[derive(Debug, Default)]
pub struct BoxShares {
    entries: BTreeMap<Incarnation, BoxShare>,
}

#[derive(Debug, Default)]
struct BoxShare {
    share: Share,
    /// The box died, or the keeper is about to stop: reports are ignored, and no more tokens are
    /// passed on.
    closed: bool,
}

impl BoxShares {
    /// Tokens passed on, and not reported as used or returned.
    pub fn outstanding(&self) -> u64 {
        let open = self.entries.values().filter(|entry| !entry.closed);
        open.map(|entry| entry.share.outstanding()).sum()
    }

    /// Passes tokens on to a box.
    pub fn pass_on(&mut self, to: &Incarnation, tokens: u64) {
        let entry = self.entries.entry(to.clone()).or_default();
        debug_assert!(!entry.closed);
        entry.share.passed_on += tokens;
    }

    /// Total of the tokens passed on to a box.
    pub fn total(&self, to: &Incarnation) -> u64 {
        self.entries.get(to).map_or(0, |entry| entry.share.passed_on)
    }

    /// Whether the account of a box is closed.
    pub fn is_closed(&self, of: &Incarnation) -> bool {
        self.entries.get(of).is_some_and(|entry| entry.closed)
    }

    /// Applies the totals that a box reports; `None` if they do not fit what was passed on to it.
    pub fn receive_report(&mut self, from: &Incarnation, reported: Share) -> Option<Delta> {
        match self.entries.get_mut(from) {
            Some(entry) if entry.closed => None,
            Some(entry) => entry.share.receive_report(reported),
            None => Share::default().receive_report(reported),
        }
    }

    /// Closes the accounts of earlier incarnations of a box: only one incarnation runs at a time,
    /// and nobody knows what the dead ones used. Returns the tokens lost.
    pub fn close_earlier(&mut self, than: &Incarnation) -> u64 {
        let earlier = self.entries.iter_mut().filter(|(name, entry)| {
            !entry.closed && *name != than && name.box_name() == than.box_name()
        });
        let mut lost = 0;
        for (_, entry) in earlier {
            entry.closed = true;
            lost += entry.share.outstanding();
        }
        lost
    }

    /// Closes all accounts before a planned stop, after which no tokens can return. Returns the
    /// tokens lost.
    pub fn close_all(&mut self) -> u64 {
        let lost = self.outstanding();
        self.entries.values_mut().for_each(|entry| entry.closed = true);
        lost
    }
}
