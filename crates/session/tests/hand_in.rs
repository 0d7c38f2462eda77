//! Records of a long outage exceed the size of a journal object, so they are handed in over several writes.

use std::{sync::Arc, time::Duration};

use config::Snapshot;
use ledger::{Draw, Ended, Evidence, Incarnation, Journal, Ledger, Outcome, Part, Record};
use objects::{Expect, Store, Write};
use session::{Health, Operation, Options, Sessions, Setup};
use standin::Memory;
use timeline::Log;
use tokio::sync::watch;

const RECORDS: u64 = 8_000;

fn record(n: u64) -> Record {
    let evidence = Evidence::Recorded;
    let outcome = Outcome { position: 0, charged: 1, ended: Ended::Answered, evidence };
    Record {
        n,
        budget: "bornova".into(),
        customer: "dis".into(),
        key: format!("a-key-of-the-usual-length-{n:012}").into(),
        part: Part::Offline,
        reserved: 1,
        endpoint: "e".into(),
        outcome: Some(outcome),
    }
}

#[tokio::test(start_paused = true)]
async fn records_of_long_outage_are_handed_in_in_batches_and_billed_once() {
    let memory = Memory::default();
    let log = Log::open("box");
    let (_config, receiver) = watch::channel(Arc::new(Snapshot::default()));
    let setup = Setup {
        box_name: "box".into(),
        store: Arc::new(memory.clone()),
        health: Health::open(log.clone()),
        config: receiver,
        options: Options { online_horizon: 5, offline_horizon: 60, boxes: 1 },
        min_write_interval: Duration::ZERO,
        log,
        peers: None,
    };
    let sessions = Sessions::open(setup, 1);
    let me: Incarnation = sessions.me();
    let mut ledger = Ledger::default();
    ledger.apply_paid(RECORDS, 1);
    ledger.draw(&me, Draw { offline: RECORDS, ..Draw::default() }, 1).unwrap();
    let put = memory.put("ledger", "bornova", ledger.to_json(), Expect::Absent).await;
    assert!(matches!(put, Write::Landed(_)));
    let session = sessions.current();
    session.funds.prepare(&"bornova".into(), 1);
    for _ in 0..RECORDS {
        let n = session.recorder.number();
        session.recorder.add(Operation::HandIn(record(n), Evidence::Recorded));
    }
    let mut largest = 0;
    for _ in 0..30 {
        tokio::time::sleep(Duration::from_secs(2)).await;
        sessions.maintain().await;
        let object = memory.get("journal", me.as_str()).await.unwrap().unwrap();
        let journal: Journal = serde_json::from_str(&object.value).unwrap();
        largest = largest.max(journal.records.len());
    }
    let object = memory.get("ledger", "bornova").await.unwrap().unwrap();
    let ledger: Ledger = serde_json::from_str(&object.value).unwrap();
    assert_eq!((ledger.statement.count, ledger.spent), (RECORDS, RECORDS));
    assert!(largest <= 3_500, "{largest} records in one object");
}
