//! Truth from the stand-ins against what was told and billed.

use std::collections::{BTreeMap, BTreeSet};

use ledger::{Bill, Ledger, Page};
use objects::Store;
use serde::Serialize;

use crate::{Fleet, Outcome, Response};

/// Figures that every experiment prints under these names.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests sent, retries included.
    pub requests: u64,
    /// Whole answers.
    pub answered: u64,
    /// Truthful refusals.
    pub refused_not_run: u64,
    /// "Unknown", or no answer at all.
    pub unknown: u64,
    /// Tokens served beyond what was paid.
    pub overspend_tokens: u64,
    /// Requests that ran and are on no bill.
    pub unbilled: u64,
    /// Requests on more than one bill.
    pub double_billed: u64,
    /// Unrepeatable requests that ran more than once.
    pub ran_twice: u64,
    /// Answers that were another request's.
    pub crossed: u64,
    /// Requests that ran although every attempt was told "not run".
    pub lied_not_run: u64,
    /// Tokens that nobody can spend until an operator declares a box destroyed.
    pub stranded_tokens: u64,
    /// Statements whose totals differ from the sum of their bills, or that break their ledger.
    pub unsound_ledgers: u64,
    /// Tokens served, as the endpoints counted.
    pub served_tokens: u64,
    /// Tokens billed.
    pub billed_tokens: u64,
}

impl Figures {
    /// Whether everything that must always hold held.
    pub fn is_sound(&self) -> bool {
        let must_be_zero = [
            self.overspend_tokens,
            self.unbilled,
            self.double_billed,
            self.ran_twice,
            self.crossed,
            self.lied_not_run,
            self.unsound_ledgers,
        ];
        must_be_zero.iter().all(|figure| *figure == 0)
    }
}

/// Everything needed to judge a fleet.
pub struct Audit {
    responses: Vec<Response>,
    /// Runs by `customer.key`: how often, on which budget, how many tokens.
    ran: BTreeMap<String, Vec<(String, u64)>>,
    unrepeatable: BTreeSet<String>,
    bills: BTreeMap<String, Vec<Bill>>,
    ledgers: BTreeMap<String, Ledger>,
    paid: BTreeMap<String, u64>,
}

impl Audit {
    /// Reads truth and books of a fleet that has settled.
    pub async fn of(fleet: &Fleet) -> Audit {
        let mut audit = Audit {
            responses: fleet.caller.responses(),
            ran: BTreeMap::new(),
            unrepeatable: BTreeSet::new(),
            bills: BTreeMap::new(),
            ledgers: BTreeMap::new(),
            paid: BTreeMap::new(),
        };
        audit.read_truth(fleet).await;
        audit.read_books(fleet).await;
        audit
    }

    async fn read_truth(&mut self, fleet: &Fleet) {
        for run in fleet.engines.iter().flat_map(|engine| engine.truth().runs) {
            let entry = (run.budget, run.prompt + run.output);
            self.ran.entry(run.key).or_default().push(entry);
        }
        let cost = fleet.spec("pool", "bookings").await["serves"]["service"]["cost"].as_u64();
        for run in fleet.services.iter().flat_map(|service| service.executions()) {
            let runs = self.ran.entry(run.key.clone()).or_default();
            runs.push((run.budget, cost.unwrap_or(0)));
        }
        let unrepeatable = self.responses.iter().filter(|got| got.route == "cancel");
        self.unrepeatable = unrepeatable.map(id).collect();
    }

    async fn read_books(&mut self, fleet: &Fleet) {
        let memory = fleet.platform.memory();
        for object in memory.list("ledger", "").await.expect("memory answers") {
            let ledger: Ledger = serde_json::from_str(&object.value).expect("ledgers are JSON");
            self.ledgers.insert(object.name.to_string(), ledger);
        }
        let mut bills = Vec::new();
        for object in memory.list("bills", "").await.expect("memory answers") {
            let page: Page = serde_json::from_str(&object.value).expect("pages are JSON");
            bills.extend(page.bills);
        }
        bills.extend(self.ledgers.values().flat_map(|ledger| ledger.statement.recent.clone()));
        for bill in bills {
            let key = format!("{}.{}", bill.customer, bill.key);
            self.bills.entry(key).or_default().push(bill);
        }
        for (_, budgets) in &fleet.plan.customers {
            for (budget, _) in budgets {
                let paid = fleet.spec("budget", budget).await["paid"].as_u64();
                self.paid.insert(budget.clone(), paid.unwrap_or(0));
            }
        }
    }

    /// Tokens served by budget, as the endpoints counted.
    pub fn served(&self) -> BTreeMap<&str, u64> {
        let mut served = BTreeMap::new();
        for (budget, tokens) in self.ran.values().flatten() {
            *served.entry(budget.as_str()).or_default() += tokens;
        }
        served
    }

    /// The figures.
    pub fn figures(&self) -> Figures {
        let count = |outcome: &[Outcome]| {
            self.responses.iter().filter(|got| outcome.contains(&got.outcome)).count() as u64
        };
        let served = self.served();
        let over = |(budget, tokens): (&&str, &u64)| {
            tokens.saturating_sub(self.paid.get(*budget).copied().unwrap_or(0))
        };
        let twice = |key: &&String| self.ran.get(*key).is_some_and(|runs| runs.len() > 1);
        Figures {
            requests: self.responses.len() as u64,
            answered: count(&[Outcome::Answered]),
            refused_not_run: count(&[Outcome::NotRun]),
            unknown: count(&[Outcome::Unknown, Outcome::NoResponse]),
            overspend_tokens: served.iter().map(over).sum(),
            unbilled: self.ran.keys().filter(|key| !self.bills.contains_key(*key)).count() as u64,
            double_billed: self.bills.values().filter(|bills| bills.len() > 1).count() as u64,
            ran_twice: self.unrepeatable.iter().filter(twice).count() as u64,
            crossed: self.responses.iter().filter(|got| got.crossed).count() as u64,
            lied_not_run: self.lied(),
            stranded_tokens: self.ledgers.values().flat_map(|l| l.stranded().into_values()).sum(),
            unsound_ledgers: self.ledgers.iter().filter(|(name, l)| !self.adds_up(name, l)).count()
                as u64,
            served_tokens: served.values().sum(),
            billed_tokens: self.bills.values().flatten().map(|bill| bill.tokens).sum(),
        }
    }

    /// What breaks a promise, in words, for whoever looks into it.
    pub fn faults(&self) -> Vec<String> {
        let unbilled = self.ran.iter().filter(|(key, _)| !self.bills.contains_key(*key));
        let mut faults: Vec<String> =
            unbilled.map(|(key, runs)| format!("`{key}` ran {runs:?} and is on no bill")).collect();
        let twice = self.bills.iter().filter(|(_, bills)| bills.len() > 1);
        faults.extend(twice.map(|(key, bills)| format!("`{key}` is billed by {bills:?}")));
        let unsound = self.ledgers.iter().filter(|(name, ledger)| !self.adds_up(name, ledger));
        faults.extend(unsound.map(|(name, ledger)| format!("ledger `{name}`: {ledger:?}")));
        faults
    }

    fn lied(&self) -> u64 {
        let mut only_refused: BTreeMap<String, bool> = BTreeMap::new();
        for got in &self.responses {
            let refused = got.outcome == Outcome::NotRun && got.reason != "key_reused";
            let all = only_refused.entry(id(got)).or_insert(true);
            *all &= refused;
        }
        let lied = |(key, refused): &(&String, &bool)| **refused && self.ran.contains_key(*key);
        only_refused.iter().filter(lied).count() as u64
    }

    fn adds_up(&self, name: &str, ledger: &Ledger) -> bool {
        // Bills know their customer, not their budget, so totals are compared where they can be.
        let statement = &ledger.statement;
        let recent: u64 = statement.recent.iter().map(|bill| bill.tokens).sum();
        let whole = statement.pages > 0 || recent == statement.tokens;
        let spent = ledger.spent == statement.tokens + ledger.absorbed;
        let paid = self.paid.get(name).is_none_or(|paid| ledger.spent <= *paid.max(&ledger.paid));
        ledger.is_sound() && whole && spent && paid
    }
}

fn id(got: &Response) -> String {
    format!("{}.{}", got.customer, got.key)
}
