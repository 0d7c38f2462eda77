//! A request waits while it is found out whether endpoints ended under it, by an order of events that the test sets.

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use futures_util::FutureExt;
use gateway::{Clock, Crashes, Liveness};
use ledger::Incarnation;
use parking_lot::Mutex;
use quarantine::{Fingerprint, Limits, Verdict};
use tokio::{
    sync::oneshot,
    time::{Instant, advance},
};

const LIMITS: Limits = Limits { ended: 3, keep_s: 86_400 };
/// Longer than any request here may wait.
const LONG: Duration = Duration::from_secs(10);

/// Proofs that wait for the test, in the order in which connections broke.
type Proofs = Arc<Mutex<Vec<oneshot::Sender<Liveness>>>>;

fn request() -> Fingerprint {
    Fingerprint::of(None, [b"innocent".as_slice()])
}

/// A request whose connections broke at so many endpoints, and what proves whether they ended.
async fn broken(count: u16) -> (Crashes, Proofs) {
    let proofs = Proofs::default();
    let opened = proofs.clone();
    let prove = move |_: SocketAddr| {
        let (known, found) = oneshot::channel();
        opened.lock().push(known);
        async move { found.await.unwrap_or(Liveness::Unreachable) }.boxed()
    };
    let me = Incarnation::new("box-1", 1);
    let (crashes, reports) = Crashes::open(me, LIMITS, Box::new(prove), &Clock::manual());
    // Whoever passes reports on is not needed here, but must be there.
    Box::leak(Box::new(reports));
    for n in 0..count {
        let address = SocketAddr::from(([127, 0, 0, 1], n + 1));
        crashes.watch(&format!("i-{n}").into(), address, &request()).broke();
    }
    while proofs.lock().len() < usize::from(count) {
        tokio::task::yield_now().await;
    }
    (crashes, proofs)
}

#[tokio::test(start_paused = true)]
async fn what_is_found_out_decides() {
    use Liveness::{Ended, Unreachable, Running};
    let cases: [(&[Liveness], Verdict); 6] = [
        (&[Running, Running, Running], Verdict::Allowed),
        (&[Ended, Ended, Ended], Verdict::Quarantined { for_s: 86_400 }),
        (&[Ended, Ended, Running], Verdict::Suspect { ended: 2 }),
        (&[Unreachable, Unreachable, Unreachable], Verdict::Allowed),
        (&[Running, Ended, Running, Running, Running], Verdict::Suspect { ended: 1 }),
        (&[Ended, Running, Ended, Unreachable, Ended], Verdict::Quarantined { for_s: 86_400 }),
    ];
    for (found, expected) in cases {
        let (crashes, proofs) = broken(found.len() as u16).await;
        let asked = request();
        let mut verdict = pin!(crashes.verdict(&asked, Instant::now() + LONG));
        assert_eq!(verdict.as_mut().now_or_never(), None, "{found:?}: it waits");
        let known = std::mem::take(&mut *proofs.lock());
        for (known, found) in known.into_iter().zip(found) {
            known.send(*found).expect("somebody waits for it");
        }
        let verdict = verdict.await;
        // A day, less the second that may pass meanwhile.
        let is_expected = match (verdict, expected) {
            (Verdict::Quarantined { for_s }, Verdict::Quarantined { for_s: day }) => {
                (day - 60..=day).contains(&for_s)
            }
            (verdict, expected) => verdict == expected,
        };
        assert!(is_expected, "{found:?}: {verdict:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_no_longer_than_it_has_and_is_never_in_quarantine_meanwhile() {
    for left in [Duration::from_millis(10), LONG] {
        let (crashes, _proofs) = broken(5).await;
        let (asked, began) = (request(), Instant::now());
        let verdict = crashes.verdict(&asked, began + left).await;
        assert_eq!(verdict, Verdict::Unconfirmed { ended: 0 });
        assert!(began.elapsed() <= left.min(Duration::from_millis(50)));
    }
}

#[tokio::test(start_paused = true)]
async fn two_ends_that_are_not_proved_keep_nothing_waiting() {
    let (crashes, _proofs) = broken(2).await;
    let asked = request();
    let verdict = crashes.verdict(&asked, Instant::now() + LONG).now_or_never();
    assert_eq!(verdict, Some(Verdict::Allowed));
    advance(Duration::from_millis(1)).await;
}
