//! Comparison of what the stand-ins executed with responses, bills and ledgers.

use std::collections::{BTreeMap, BTreeSet};

use ledger::{Bill, Ledger, Page};
use objects::Store;
use serde::Serialize;

use crate::{Fleet, Outcome, Response};

/// Results of an audit; experiments print them under these names.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Requests sent, retries included.
    pub requests: u64,
    /// Complete responses.
    pub answered: u64,
    /// Refusals with the outcome `not-run`.
    pub refused_not_run: u64,
    /// Responses with the outcome `unknown`, incomplete or missing responses.
    pub unknown: u64,
    /// Tokens served beyond what was paid.
    pub overspend_tokens: u64,
    /// Requests that ran without a bill.
    pub unbilled: u64,
    /// Requests with more than one bill.
    pub double_billed: u64,
    /// Unrepeatable requests that ran more than once.
    pub ran_twice: u64,
    /// Responses that belong to another request.
    pub crossed: u64,
    /// Requests that ran although every attempt was refused as `not-run`.
    pub lied_not_run: u64,
    /// Tokens that nobody can spend until an operator declares a box destroyed.
    pub stranded_tokens: u64,
    /// Ledgers that are inconsistent in themselves or with their statement.
    pub unsound_ledgers: u64,
    /// Tokens served, as counted at the endpoints.
    pub served_tokens: u64,
    /// Tokens billed.
    pub billed_tokens: u64,
}

impl Figures {
    /// Whether no guarantee was violated.
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

/// Responses, executions and books of a fleet.
pub struct Audit {
    responses: Vec<Response>,
    /// Runs by `customer.key`, each with its budget and its tokens.
    executions: BTreeMap<String, Vec<(String, u64)>>,
    unrepeatable: BTreeSet<String>,
    bills: BTreeMap<String, Vec<Bill>>,
    ledgers: BTreeMap<String, Ledger>,
    paid: BTreeMap<String, u64>,
}

impl Audit {
    /// Reads the state of a fleet; all its runs should be billed by now.
    pub async fn of(fleet: &Fleet) -> Audit {
        let mut audit = Audit {
            responses: fleet.caller.responses(),
            executions: BTreeMap::new(),
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
            self.executions.entry(run.key).or_default().push(entry);
        }
        let cost = fleet.spec("pool", "bookings").await["serves"]["service"]["cost"].as_u64();
        for run in fleet.services.iter().flat_map(|service| service.executions()) {
            let runs = self.executions.entry(run.key.clone()).or_default();
            runs.push((run.budget, cost.unwrap_or(0)));
        }
        let unrepeatable = self.responses.iter().filter(|response| response.route == "cancel");
        self.unrepeatable = unrepeatable.map(request_id).collect();
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

    /// Tokens served by budget, as counted at the endpoints.
    pub fn served(&self) -> BTreeMap<&str, u64> {
        let mut served = BTreeMap::new();
        for (budget, tokens) in self.executions.values().flatten() {
            *served.entry(budget.as_str()).or_default() += tokens;
        }
        served
    }

    /// Compares what was read.
    pub fn figures(&self) -> Figures {
        let count = |outcome: &[Outcome]| {
            self.responses.iter().filter(|response| outcome.contains(&response.outcome)).count()
                as u64
        };
        let served = self.served();
        let over = |(budget, tokens): (&&str, &u64)| {
            tokens.saturating_sub(self.paid.get(*budget).copied().unwrap_or(0))
        };
        let twice = |key: &&String| self.executions.get(*key).is_some_and(|runs| runs.len() > 1);
        Figures {
            requests: self.responses.len() as u64,
            answered: count(&[Outcome::Answered]),
            refused_not_run: count(&[Outcome::NotRun]),
            unknown: count(&[Outcome::Unknown, Outcome::NoResponse]),
            overspend_tokens: served.iter().map(over).sum(),
            unbilled: self.executions.keys().filter(|key| !self.bills.contains_key(*key)).count()
                as u64,
            double_billed: self.bills.values().filter(|bills| bills.len() > 1).count() as u64,
            ran_twice: self.unrepeatable.iter().filter(twice).count() as u64,
            crossed: self.responses.iter().filter(|response| response.crossed).count() as u64,
            lied_not_run: self.ran_despite_refusal(),
            stranded_tokens: self.ledgers.values().flat_map(|l| l.stranded().into_values()).sum(),
            unsound_ledgers: self
                .ledgers
                .iter()
                .filter(|(name, l)| !self.is_consistent(name, l))
                .count() as u64,
            served_tokens: served.values().sum(),
            billed_tokens: self.bills.values().flatten().map(|bill| bill.tokens).sum(),
        }
    }

    /// Descriptions of missing bills, double bills and inconsistent ledgers.
    pub fn faults(&self) -> Vec<String> {
        let unbilled = self.executions.iter().filter(|(key, _)| !self.bills.contains_key(*key));
        let mut faults: Vec<String> =
            unbilled.map(|(key, runs)| format!("`{key}` ran {runs:?} and is on no bill")).collect();
        let twice = self.bills.iter().filter(|(_, bills)| bills.len() > 1);
        faults.extend(twice.map(|(key, bills)| format!("`{key}` is billed by {bills:?}")));
        let unsound =
            self.ledgers.iter().filter(|(name, ledger)| !self.is_consistent(name, ledger));
        faults.extend(unsound.map(|(name, ledger)| format!("ledger `{name}`: {ledger:?}")));
        faults
    }

    fn ran_despite_refusal(&self) -> u64 {
        let mut only_refused: BTreeMap<String, bool> = BTreeMap::new();
        for response in &self.responses {
            let refused = response.outcome == Outcome::NotRun && response.reason != "key_reused";
            let all = only_refused.entry(request_id(response)).or_insert(true);
            *all &= refused;
        }
        let ran_despite_refusal =
            |(key, refused): &(&String, &bool)| **refused && self.executions.contains_key(*key);
        only_refused.iter().filter(ran_despite_refusal).count() as u64
    }

    fn is_consistent(&self, name: &str, ledger: &Ledger) -> bool {
        // Bills name their customer, not their budget: the sum can be compared only while all bills
        // of the budget are still in its statement.
        let statement = &ledger.statement;
        let recent: u64 = statement.recent.iter().map(|bill| bill.tokens).sum();
        let sum_matches = statement.pages > 0 || recent == statement.tokens;
        let spent = ledger.spent == statement.tokens + ledger.absorbed;
        let paid = self.paid.get(name).is_none_or(|paid| ledger.spent <= *paid.max(&ledger.paid));
        ledger.is_sound() && sum_matches && spent && paid
    }
}

fn request_id(response: &Response) -> String {
    format!("{}.{}", response.customer, response.key)
}
