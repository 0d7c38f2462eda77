//! Answering other boxes, and exchanging with them now and then.

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use objects::{Expect, Store};
use wire::{Answer, Frame, Message, PlatformCall, Status, Value};

use crate::{follow::put_in_force, shared::Shared};

/// Boxes up to which everyone exchanges with everyone in each turn.
const FEW: u64 = 9;
/// Peers that a box exchanges with in one turn of a larger fleet.
const FANOUT: usize = 2;
/// Time of one turn of a small fleet.
const TURN: Duration = Duration::from_millis(300);
/// Longest time of one turn.
const TURN_MOST: Duration = Duration::from_millis(2_400);

/// Answers the questions of other boxes.
pub struct PeerService(pub Arc<Shared>);

#[async_trait::async_trait]
impl Answer for PeerService {
    async fn answer(&self, question: Message) -> Message {
        let shared = &self.0;
        shared.log.observe(question.stamp);
        let now = shared.now();
        shared.members.lock().touch(&question.from, now);
        let frame = answer(shared, question).await;
        Message { from: shared.me(), stamp: shared.log.stamp(), frame }
    }
}

async fn answer(shared: &Arc<Shared>, question: Message) -> Frame {
    match question.frame {
        Frame::Status(told) => {
            let reply = told_by(shared);
            shared.peers.note(&question.from, Some(told.clone()));
            take(shared, &question.from, told);
            Frame::Status(reply)
        }
        Frame::Carry { by, entries } => {
            let taken =
                entries.into_iter().filter(|e| shared.replicas.insert(by.clone(), e.clone()));
            Frame::Taken { count: taken.count() as u64 }
        }
        Frame::Accepted => Frame::Objects { objects: shared.accepted.lock().texts() },
        Frame::Call(question) => call(shared, question).await,
        Frame::Spare { budget, .. } => {
            let returned = shared.sessions.current().funds.return_surplus(&budget).await;
            Frame::Spared { returned }
        }
        Frame::Lend { budget, tokens } => {
            let transfer = shared.sessions.lend(&budget, tokens, &question.from);
            if let Some(transfer) = &transfer {
                let to = transfer.to.as_str().into();
                let what = timeline::EventKind::Transferred { to, tokens: transfer.tokens };
                shared.log.add_for_budget(&budget, what);
            }
            Frame::Lent { transfer }
        }
        Frame::Note { customer, key, place } => {
            shared.places.note(customer, key, place);
            Frame::Done
        }
        Frame::Locate { customer, key } => {
            let now = shared.now();
            Frame::Location(shared.places.find(&customer, &key, &question.from, now))
        }
        Frame::Taken { .. }
        | Frame::Objects { .. }
        | Frame::Found { .. }
        | Frame::Written(_)
        | Frame::Spared { .. }
        | Frame::Lent { .. }
        | Frame::Location(_)
        | Frame::Done
        | Frame::Promised { .. }
        | Frame::Sealed { .. }
        | Frame::Refused { .. } => Frame::Refused { reason: "not a question".into() },
        // A hint; boxes of this kind tell what they have under way regularly.
        Frame::Prompt(_) => Frame::Done,
        // The engines of this interface name no limits, and say in their reports whether they leave.
        Frame::PermitRequest(_)
        | Frame::PermitReply(_)
        | Frame::Limit { .. }
        | Frame::Departure { .. } => {
            Frame::Refused { reason: "endpoints of this interface report to each box".into() }
        }
        Frame::Draw(_) | Frame::Drawn(_) | Frame::Bills { .. } | Frame::HandOver { .. } => {
            Frame::Refused {
                reason: "boxes of this interface write their ledgers themselves".into(),
            }
        }
        Frame::Subscribe(_) | Frame::Update(_) | Frame::Crash { .. } | Frame::Greet { .. } => {
            Frame::Refused {
                reason: "boxes of this interface follow the platform themselves".into(),
            }
        }
        // Boxes of this kind keep journals, which say exactly what is unused.
        Frame::Promise(_) | Frame::Seal { .. } => {
            Frame::Refused { reason: "this box is nobody's witness".into() }
        }
    }
}

/// Makes a platform call for a peer, by this box's own direct way only.
async fn call(shared: &Shared, question: PlatformCall) -> Frame {
    let store = &shared.direct;
    let value = |object: objects::Object| Value {
        kind: object.kind,
        name: object.name,
        version: object.version,
        value: object.value,
    };
    match question {
        PlatformCall::Get { kind, name } => {
            let found = store.get(&kind, &name).await;
            Frame::Found { objects: found.ok().map(|o| o.into_iter().map(value).collect()) }
        }
        PlatformCall::List { kind, prefix } => {
            let found = store.list(&kind, &prefix).await;
            Frame::Found { objects: found.ok().map(|o| o.into_iter().map(value).collect()) }
        }
        PlatformCall::Put { kind, name, value, version } => {
            let expect = if version == 0 { Expect::Absent } else { Expect::Version(version) };
            Frame::Written(written(store.put(&kind, &name, value, expect).await))
        }
        PlatformCall::Delete { kind, name, version } => {
            Frame::Written(written(store.delete(&kind, &name, version).await))
        }
    }
}

fn written(write: objects::Write) -> wire::Write {
    match write {
        objects::Write::Landed(version) => wire::Write::Landed(version),
        objects::Write::Refused => wire::Write::Refused,
        objects::Write::Failed => wire::Write::Failed,
        objects::Write::Unknown => wire::Write::Unknown,
    }
}

fn told_by(shared: &Shared) -> Status {
    let snapshot = shared.config.borrow().clone();
    Status {
        in_flight: shared.endpoints.snapshot(),
        newest: snapshot.newest(),
        versions: snapshot.sum(),
        platform: shared.relayed.is_direct() && shared.health.is_up(),
    }
}

/// Takes over what a peer told; true if its configuration is worth asking for.
fn take(shared: &Shared, from: &Incarnation, told: Status) -> bool {
    let now = shared.now();
    let name: Arc<str> = from.box_name().into();
    shared.endpoints.peer(&name, &told.in_flight, now);
    let snapshot = shared.config.borrow();
    told.newest > snapshot.newest() || told.versions > snapshot.sum()
}

/// Exchanges with a few peers in turn, for as long as the router runs.
pub async fn exchange(shared: Arc<Shared>) {
    loop {
        let boxes = shared.boxes();
        let turn = (TURN * u32::try_from(boxes / FEW).unwrap_or(1).max(1)).min(TURN_MOST);
        tokio::time::sleep(turn / 2 + shared.jitter(turn)).await;
        seed(&shared).await;
        let fanout = if boxes <= FEW { boxes as usize } else { FANOUT };
        let asked = shared.peers.some(fanout).into_iter().map(|name| exchange_one(&shared, name));
        futures_util::future::join_all(asked).await;
    }
}

/// A box that knows nobody asks the addresses of its settings.
async fn seed(shared: &Arc<Shared>) {
    if !shared.peers.some(1).is_empty() {
        return;
    }
    for address in &shared.settings.peers {
        if let Some((name, told)) = shared.peers.seed(*address, told_by(shared)).await {
            learn(shared, &name, told).await;
        }
    }
}

async fn exchange_one(shared: &Arc<Shared>, name: Incarnation) {
    if let Some(told) = shared.peers.tell(&name, told_by(shared)).await {
        learn(shared, &name, told).await;
    }
}

async fn learn(shared: &Arc<Shared>, name: &Incarnation, told: Status) {
    let now = shared.now();
    shared.members.lock().touch(name, now);
    if take(shared, name, told)
        && let Some(Frame::Objects { objects }) = shared.peers.ask_one(name, Frame::Accepted).await
    {
        for object in objects {
            put_in_force(shared, &object);
        }
        // A box that starts with no platform serves what its peers hold.
        shared.watched.send_if_modified(|watched| {
            let first = *watched == 0;
            *watched = (*watched).max(1);
            first
        });
    }
}

/// Hands in what is carried for boxes that are gone, once the platform answers.
pub async fn hand_in(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.money.seal_after_ms);
    loop {
        tokio::time::sleep(every / 2 + shared.jitter(every)).await;
        if !shared.health.is_up() {
            continue;
        }
        let (now, after) = (shared.now(), shared.settings.money.seal_after_ms);
        let live: Vec<Incarnation> = {
            let members = shared.members.lock();
            members.live(now, after).map(|member| member.incarnation.clone()).collect()
        };
        let store: &dyn Store = &*shared.store;
        for by in shared.replicas.incarnations().into_iter().filter(|by| !live.contains(by)) {
            if shared.replicas.hand_in(store, &by, &shared.me()).await {
                shared.log.add(timeline::EventKind::HandedIn { incarnation: by.as_str().into() });
            }
        }
    }
}
