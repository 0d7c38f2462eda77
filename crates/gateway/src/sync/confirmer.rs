//! The root that has the store confirm what all know, and the box that it confirms.
//!
//! Each box that reads the store itself could have the store confirm its state, and the calls for it
//! would grow with their number. So one of the roots does, and any other box that reads the store
//! subscribes to it: it takes over the updates and their ages, and lets its own watches wait as long
//! as they may. The updates come with the ages, since a watch of its own may be deaf. It does so while
//! the store does not answer itself, too, and tells its subscribers of that all the same.
//!
//! It has the store confirm its state itself from the moment at which the confirming root is silent,
//! stops, does not reach the store, or names an age beyond [`Bounds::take_over_after`]; and, whatever
//! that root says, for a while for each state that reaches this age. Ages only grow on their way, so two
//! boxes that take each other for the confirming root both find out.
//!
//! [`Bounds::take_over_after`]: crate::freshness::Bounds::take_over_after

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use parking_lot::Mutex;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use wire::{Subscribe, SubscribeAged, UpdateAged};

use crate::{
    freshness::{Freshness, Subject},
    sync::setup::Setup,
};

/// Time after which the root answers without updates, as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Additional time allowed for the answer: many times the round trip between availability zones.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a full snapshot, or each part of it.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before the root is asked again after it was silent.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which this box has the store confirm a state itself once that was overdue. Where the store
/// is so slow that it is overdue each time, that costs less than a watch which ends early and another.
const TAKE_OVER_TIME: Duration = Duration::from_secs(5);

/// Whether another root has the store confirm what this box knows.
#[derive(Debug, Clone)]
pub struct Confirmer {
    is_other: watch::Sender<bool>,
    /// When each state was overdue last.
    overdue: Arc<Mutex<[Option<Instant>; Subject::ALL.len()]>>,
}

impl Confirmer {
    /// No other root does yet.
    pub fn new() -> Confirmer {
        Confirmer { is_other: watch::channel(false).0, overdue: Arc::default() }
    }

    /// Whether another root has the store confirm a state, in time.
    pub fn is_other(&self, freshness: &Freshness, subject: Subject) -> bool {
        let overdue = self.overdue.lock()[subject as usize];
        *self.is_other.borrow()
            && overdue.is_none_or(|at| at.elapsed() > TAKE_OVER_TIME)
            && !freshness.take_over_in(subject).is_zero()
    }

    /// Returns once this box has to have the store confirm a state itself.
    pub async fn lost(&self, freshness: &Freshness, subject: Subject) {
        let mut is_other = self.is_other.subscribe();
        loop {
            let left = freshness.take_over_in(subject);
            if left.is_zero() {
                self.overdue.lock()[subject as usize] = Some(Instant::now());
                return;
            }
            // Fails when the time is over, since `self` holds the sender.
            if timeout(left, is_other.wait_for(|is_other| !is_other)).await.is_ok() {
                return;
            }
        }
    }

    /// Subscribes to the confirming root for as long as this box reads the store.
    pub async fn follow(self, setup: Setup) {
        loop {
            if let Some(root) = confirming_root(&setup) {
                self.subscribe(&setup, &root).await;
            }
            self.is_other.send_replace(false);
            sleep(RETRY_DELAY).await;
        }
    }

    /// Receives updates and ages from a root until it is silent or no longer the confirming one.
    async fn subscribe(&self, setup: &Setup, root: &Incarnation) {
        let (mut last, mut confirmation, mut is_cut_off) = (0, 0, false);
        while confirming_root(setup).as_ref() == Some(root) {
            let wait = if last == 0 { Duration::ZERO } else { HEARTBEAT_INTERVAL };
            let subscribe = Subscribe {
                watcher: root.clone(),
                since: Some(last),
                config: setup.view.config_at(),
                is_store_unreachable: is_cut_off,
                wait_ms: wait.as_millis() as u64,
            };
            let request = SubscribeAged { subscribe, is_relay: true, confirmation };
            let margin = if last == 0 { SNAPSHOT_TIMEOUT } else { ANSWER_TIMEOUT };
            let sent_ms = setup.view.freshness().now_ms();
            let answered = setup.peers.subscribe(request, wait + margin, SNAPSHOT_TIMEOUT).await;
            let Some(UpdateAged { mut update, ages, held_ms, confirmation: confirmed, .. }) =
                answered
            else {
                return;
            };
            (last, confirmation) = (update.last, confirmed);
            is_cut_off = update.store_unreachable_ms.is_some();
            setup.store.note_version(update.endpoints_at);
            // What has no version of the store reaches both boxes; from here it could come back.
            update.changes.retain(|change| change.version != 0);
            setup.view.apply_followed(update);
            // A box of a version that says no ages names no confirmation either.
            let says_ages = confirmed > 0;
            if says_ages {
                setup.view.receive_ages(&ages, sent_ms, held_ms, &root.as_str().into());
            }
            let confirms = says_ages && !is_cut_off;
            let suffices = confirms && setup.view.freshness().bounds().suffice(&ages);
            self.is_other
                .send_if_modified(|is_other| std::mem::replace(is_other, suffices) != suffices);
        }
    }
}

/// The root that has the store confirm what this box knows, unless that is this box.
fn confirming_root(setup: &Setup) -> Option<Incarnation> {
    let confirming = setup.peers.watchers().confirming.clone();
    confirming.filter(|root| root != setup.peers.me())
}
