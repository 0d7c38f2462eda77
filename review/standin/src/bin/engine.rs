//! A model engine as a process: `engine ID ADDRESS STORE SERVICE ZONE EVENT_TOKENS EVENT_MS RECORD`.

use std::{path::Path, thread, time::Duration};

use review_standin::{
    endpoint::{Endpoint, Work},
    record::Record,
};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [id, address, store, service, zone, event_tokens, event_ms, record] = &arguments[..] else {
        panic!("eight arguments are needed");
    };
    let work = Work::Engine {
        event_tokens: event_tokens.parse().expect("a number"),
        event_time: Duration::from_millis(event_ms.parse().expect("a number")),
    };
    let record = Record::create(Path::new(record));
    let address = address.parse().expect("an address");
    let engine = Endpoint::spawn_at(address, id, work, &record);
    engine.register(store.parse().expect("an address"), service, zone);
    loop {
        thread::park();
    }
}
