//! Both sides of what keepers pass on to other boxes, for one customer.

use std::collections::BTreeMap;

use ledger::{Delta, Incarnation, Share};

/// Tokens that keepers passed on to this box.
#[derive(Debug, Default)]
pub struct Loans {
    /// In the order in which the keepers first passed tokens on.
    by: Vec<Loan>,
}

#[derive(Debug)]
struct Loan {
    keeper: Incarnation,
    share: Share,
    /// Totals that the keeper has acknowledged.
    heard: Share,
}

impl Loans {
    /// Tokens of keepers that are neither used nor returned.
    pub fn outstanding(&self) -> u64 {
        self.by.iter().map(|loan| loan.share.outstanding()).sum()
    }

    /// Used tokens that were not reported to their keepers yet.
    pub fn untold(&self) -> u64 {
        self.by.iter().map(|loan| loan.share.used - loan.heard.used).sum()
    }

    /// Counts up to `tokens` as used, from the oldest loan first, so that loans of dead keepers are
    /// used up. Returns how many were.
    pub fn spend(&mut self, tokens: u64) -> u64 {
        let mut left = tokens;
        for loan in &mut self.by {
            let spent = loan.share.spend(left);
            loan.share.requests += u64::from(spent > 0 && left == tokens);
            left -= spent;
        }
        tokens - left
    }

    /// Applies the total that a keeper reports; returns the tokens that are new.
    pub fn receive(&mut self, keeper: &Incarnation, given: u64) -> u64 {
        self.loan_mut(keeper).share.receive(given)
    }

    /// Counts up to `tokens` of a keeper as returned; returns how many were.
    pub fn give_back(&mut self, keeper: &Incarnation, tokens: u64) -> u64 {
        let Some(loan) = self.by.iter_mut().find(|loan| loan.keeper == *keeper) else { return 0 };
        let returned = tokens.min(loan.share.outstanding());
        loan.share.returned += returned;
        returned
    }

    /// Returns the totals of a keeper.
    pub fn share(&self, keeper: &Incarnation) -> Share {
        let loan = self.by.iter().find(|loan| loan.keeper == *keeper);
        loan.map(|loan| loan.share).unwrap_or_default()
    }

    /// Whether a keeper has not acknowledged all that was used and returned.
    pub fn has_news(&self, keeper: &Incarnation) -> bool {
        let loan = self.by.iter().find(|loan| loan.keeper == *keeper);
        loan.is_some_and(|loan| {
            let (now, heard) = (loan.share, loan.heard);
            (now.used, now.returned) != (heard.used, heard.returned)
        })
    }

    /// Records the totals that a keeper has acknowledged.
    pub fn heard(&mut self, keeper: &Incarnation, share: Share) {
        self.loan_mut(keeper).heard = share;
    }

    /// Returns the keepers that have passed tokens on.
    pub fn keepers(&self) -> impl Iterator<Item = &Incarnation> {
        self.by.iter().map(|loan| &loan.keeper)
    }

    fn loan_mut(&mut self, keeper: &Incarnation) -> &mut Loan {
        let at = self.by.iter().position(|loan| loan.keeper == *keeper);
        let at = at.unwrap_or_else(|| {
            let (share, heard) = (Share::default(), Share::default());
            self.by.push(Loan { keeper: keeper.clone(), share, heard });
            self.by.len() - 1
        });
        &mut self.by[at]
    }
}

/// Tokens that this box passed on as a keeper.
#[derive(Debug, Default)]
pub struct Passed {
    by: BTreeMap<Incarnation, Given>,
}

#[derive(Debug, Default)]
struct Given {
    share: Share,
    /// The box died: its reports are ignored, and it gets no more tokens.
    closed: bool,
}

impl Passed {
    /// Tokens passed on, and not reported as used or returned.
    pub fn outstanding(&self) -> u64 {
        let open = self.by.values().filter(|given| !given.closed);
        open.map(|given| given.share.outstanding()).sum()
    }

    /// Passes tokens on to a box.
    pub fn pass_on(&mut self, to: &Incarnation, tokens: u64) {
        let given = self.by.entry(to.clone()).or_default();
        debug_assert!(!given.closed);
        given.share.given += tokens;
    }

    /// Total of the tokens passed on to a box.
    pub fn total(&self, to: &Incarnation) -> u64 {
        self.by.get(to).map_or(0, |given| given.share.given)
    }

    /// Whether a box counts as dead.
    pub fn is_closed(&self, of: &Incarnation) -> bool {
        self.by.get(of).is_some_and(|given| given.closed)
    }

    /// Applies the totals that a box reports; `None` if they do not fit what was passed on to it.
    pub fn receive_report(&mut self, from: &Incarnation, told: Share) -> Option<Delta> {
        match self.by.get_mut(from) {
            Some(given) if given.closed => None,
            Some(given) => given.share.receive_report(told),
            None => Share::default().receive_report(told),
        }
    }

    /// Closes the accounts of earlier incarnations of a box: only one incarnation runs at a time,
    /// and nobody knows what the dead ones used. Returns the tokens lost.
    pub fn close_earlier(&mut self, than: &Incarnation) -> u64 {
        let earlier = self.by.iter_mut().filter(|(name, given)| {
            !given.closed && *name != than && name.box_name() == than.box_name()
        });
        let mut lost = 0;
        for (_, given) in earlier {
            given.closed = true;
            lost += given.share.outstanding();
        }
        lost
    }

    /// Closes all accounts before a planned stop, after which no tokens can return. Returns the
    /// tokens lost.
    pub fn close_all(&mut self) -> u64 {
        let lost = self.outstanding();
        self.by.values_mut().for_each(|given| given.closed = true);
        lost
    }
}
