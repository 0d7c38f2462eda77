//! Both sides of what keepers pass to other boxes, for one customer.

use std::collections::BTreeMap;

use ledger::{Delta, Incarnation, Share};

/// What keepers passed to this box.
#[derive(Debug, Default)]
pub struct Loans {
    /// In the order in which keepers first gave something.
    by: Vec<Loan>,
}

#[derive(Debug)]
struct Loan {
    keeper: Incarnation,
    share: Share,
    /// Totals that the keeper is known to have heard.
    heard: Share,
}

impl Loans {
    /// Tokens of keepers that are neither used nor given back.
    pub fn outstanding(&self) -> u64 {
        self.by.iter().map(|loan| loan.share.outstanding()).sum()
    }

    /// Used tokens of which their keepers have not heard.
    pub fn untold(&self) -> u64 {
        self.by.iter().map(|loan| loan.share.used - loan.heard.used).sum()
    }

    /// Marks up to `tokens` as used, the oldest loan first: a keeper that died keeps none open.
    /// Returns how many were.
    pub fn spend(&mut self, tokens: u64) -> u64 {
        let mut left = tokens;
        for loan in &mut self.by {
            let spent = loan.share.spend(left);
            loan.share.requests += u64::from(spent > 0 && left == tokens);
            left -= spent;
        }
        tokens - left
    }

    /// A keeper's total is heard; returns what is new of it.
    pub fn receive(&mut self, keeper: &Incarnation, given: u64) -> u64 {
        self.loan_mut(keeper).share.receive(given)
    }

    /// Marks up to `tokens` of a keeper's as given back; returns how many were.
    pub fn give_back(&mut self, keeper: &Incarnation, tokens: u64) -> u64 {
        let Some(loan) = self.by.iter_mut().find(|loan| loan.keeper == *keeper) else { return 0 };
        let returned = tokens.min(loan.share.outstanding());
        loan.share.returned += returned;
        returned
    }

    /// Totals with a keeper.
    pub fn share(&self, keeper: &Incarnation) -> Share {
        let loan = self.by.iter().find(|loan| loan.keeper == *keeper);
        loan.map(|loan| loan.share).unwrap_or_default()
    }

    /// Whether a keeper has not heard of all that it should.
    pub fn has_news(&self, keeper: &Incarnation) -> bool {
        let loan = self.by.iter().find(|loan| loan.keeper == *keeper);
        loan.is_some_and(|loan| {
            let (now, heard) = (loan.share, loan.heard);
            (now.used, now.returned) != (heard.used, heard.returned)
        })
    }

    /// A keeper heard these totals.
    pub fn heard(&mut self, keeper: &Incarnation, share: Share) {
        self.loan_mut(keeper).heard = share;
    }

    /// Keepers that passed something on.
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

/// What this box passed on as a keeper.
#[derive(Debug, Default)]
pub struct Passed {
    by: BTreeMap<Incarnation, Given>,
}

#[derive(Debug, Default)]
struct Given {
    share: Share,
    /// The box died: nothing of it is believed or passed on to it any more.
    closed: bool,
}

impl Passed {
    /// Tokens passed on and not known to be used or given back.
    pub fn outstanding(&self) -> u64 {
        let open = self.by.values().filter(|given| !given.closed);
        open.map(|given| given.share.outstanding()).sum()
    }

    /// Passes more on.
    pub fn pass_on(&mut self, to: &Incarnation, tokens: u64) {
        let given = self.by.entry(to.clone()).or_default();
        debug_assert!(!given.closed);
        given.share.given += tokens;
    }

    /// Total passed on to a box.
    pub fn total(&self, to: &Incarnation) -> u64 {
        self.by.get(to).map_or(0, |given| given.share.given)
    }

    /// Whether a box counts as dead.
    pub fn is_closed(&self, of: &Incarnation) -> bool {
        self.by.get(of).is_some_and(|given| given.closed)
    }

    /// A box tells its totals; `None` if they are no word of this pair.
    pub fn receive_report(&mut self, from: &Incarnation, told: Share) -> Option<Delta> {
        match self.by.get_mut(from) {
            Some(given) if given.closed => None,
            Some(given) => given.share.receive_report(told),
            None => Share::default().receive_report(told),
        }
    }

    /// A later life of a box is here: what its earlier ones had is lost, since a box has one life
    /// at a time and nobody knows what they used. Returns the tokens.
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

    /// This box ends by plan: nothing that is still out comes back to it. Returns the tokens.
    pub fn close_all(&mut self) -> u64 {
        let lost = self.outstanding();
        self.by.values_mut().for_each(|given| given.closed = true);
        lost
    }
}
