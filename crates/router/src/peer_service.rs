//! Serves requests of other boxes and exchanges status with them periodically.

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use objects::{Expect, Store};
use wire::{Answer, Frame, Message, PlatformCall, Status, Value};

use crate::{shared::Shared, sync::apply_accepted};

/// Fleet size up to which every box exchanges status with every other in each round.
const MAX_FULL_MESH: u64 = 9;
/// Peers per round in a larger fleet.
const FANOUT: usize = 2;
/// Length of a round in a small fleet; it grows with the number of boxes.
const ROUND: Duration = Duration::from_millis(300);
/// Longest round.
const MAX_ROUND: Duration = Duration::from_millis(2_400);

/// Answers requests of other boxes.
pub struct PeerService(pub Arc<Shared>);

#[async_trait::async_trait]
impl Answer for PeerService {
    async fn answer(&self, request: Message) -> Message {
        let shared = &self.0;
        shared.log.observe(request.stamp);
        let now = shared.now();
        shared.members.lock().touch(&request.from, now);
        let frame = answer(shared, request).await;
        Message { from: shared.me(), stamp: shared.log.stamp(), frame }
    }
}

async fn answer(shared: &Arc<Shared>, request: Message) -> Frame {
    match request.frame {
        Frame::Status(status) => {
            let reply = own_status(shared);
            shared.peers.record_status(&request.from, Some(status.clone()));
            apply_status(shared, &request.from, status);
            Frame::Status(reply)
        }
        Frame::Carry { by, entries } => {
            let accepted =
                entries.into_iter().filter(|e| shared.replicas.insert(by.clone(), e.clone()));
            Frame::Taken { count: accepted.count() as u64 }
        }
        Frame::Accepted => Frame::Objects { objects: shared.accepted.lock().texts() },
        Frame::Call(request) => call_platform(shared, request).await,
        Frame::Spare { budget, .. } => {
            let returned = shared.sessions.current().funds.return_surplus(&budget).await;
            Frame::Spared { returned }
        }
        Frame::Lend { budget, tokens } => {
            let transfer = shared.sessions.lend(&budget, tokens, &request.from);
            if let Some(transfer) = &transfer {
                let to = transfer.to.as_str().into();
                let event = timeline::EventKind::Transferred { to, tokens: transfer.tokens };
                shared.log.add_for_budget(&budget, event);
            }
            Frame::Lent { transfer }
        }
        Frame::Note { customer, key, place } => {
            shared.places.record(customer, key, place);
            Frame::Done
        }
        Frame::Locate { customer, key } => {
            let now = shared.now();
            Frame::Location(shared.places.find(&customer, &key, &request.from, now))
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
        | Frame::Refused { .. } => Frame::Refused { reason: "not a request".into() },
        // Not used by routers: the periodic status exchange carries the requests in flight.
        Frame::Prompt(_) => Frame::Done,
        // Engines behind routers name no rate limits, and each box learns from their load reports
        // whether they are leaving.
        Frame::PermitRequest(_)
        | Frame::PermitReply(_)
        | Frame::Limit { .. }
        | Frame::Departure { .. } => {
            Frame::Refused { reason: "endpoints report to each router directly".into() }
        }
        Frame::Draw(_)
        | Frame::Drawn(_)
        | Frame::Bills { .. }
        | Frame::HandOver { .. }
        | Frame::Replicate { .. }
        | Frame::Replica(_) => {
            Frame::Refused { reason: "routers write their ledgers themselves".into() }
        }
        Frame::Subscribe(_)
        | Frame::SubscribeToRoot(_)
        | Frame::SubscribeAged(_)
        | Frame::Update(_)
        | Frame::UpdatePart(_)
        | Frame::UpdateAged(_)
        | Frame::Crash { .. }
        | Frame::CrashText { .. }
        | Frame::Greet { .. } => {
            Frame::Refused { reason: "routers watch the platform themselves".into() }
        }
        Frame::StreamsBegan { .. }
        | Frame::FindStreams { .. }
        | Frame::KeepStreams { .. }
        | Frame::StreamsFound { .. } => {
            Frame::Refused { reason: "routers resume streams themselves".into() }
        }
        // A router needs no witness: its journal records exactly what is unused.
        Frame::Promise(_) | Frame::Seal { .. } => {
            Frame::Refused { reason: "this box is no witness".into() }
        }
    }
}

/// Makes a platform call for a peer, over this box's direct connection only, so that no call
/// passes through more than one peer.
async fn call_platform(shared: &Shared, request: PlatformCall) -> Frame {
    let store = &shared.direct;
    let value = |object: objects::Object| Value {
        kind: object.kind,
        name: object.name,
        version: object.version,
        value: object.value,
    };
    match request {
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
            Frame::Written(to_wire(store.put(&kind, &name, value, expect).await))
        }
        PlatformCall::Delete { kind, name, version } => {
            Frame::Written(to_wire(store.delete(&kind, &name, version).await))
        }
    }
}

fn to_wire(write: objects::Write) -> wire::Write {
    match write {
        objects::Write::Landed(version) => wire::Write::Landed(version),
        objects::Write::Refused => wire::Write::Refused,
        objects::Write::Failed => wire::Write::Failed,
        objects::Write::Unknown => wire::Write::Unknown,
    }
}

fn own_status(shared: &Shared) -> Status {
    let snapshot = shared.config.borrow().clone();
    Status {
        in_flight: shared.endpoints.snapshot(),
        newest_version: snapshot.newest_version(),
        version_sum: snapshot.version_sum(),
        is_platform_reachable: shared.fallback.is_direct() && shared.health.is_up(),
    }
}

/// Applies a peer's status; true if the peer has configuration that this box lacks.
fn apply_status(shared: &Shared, from: &Incarnation, status: Status) -> bool {
    let now = shared.now();
    let name: Arc<str> = from.box_name().into();
    shared.endpoints.receive_peer_load(&name, &status.in_flight, now);
    let snapshot = shared.config.borrow();
    status.newest_version > snapshot.newest_version() || status.version_sum > snapshot.version_sum()
}

/// Exchanges status with random peers in rounds, for as long as the router runs.
pub async fn gossip(shared: Arc<Shared>) {
    loop {
        let boxes = shared.boxes();
        let round =
            (ROUND * u32::try_from(boxes / MAX_FULL_MESH).unwrap_or(1).max(1)).min(MAX_ROUND);
        tokio::time::sleep(round / 2 + shared.jitter(round)).await;
        contact_seeds(&shared).await;
        let fanout = if boxes <= MAX_FULL_MESH { boxes as usize } else { FANOUT };
        let exchanges =
            shared.peers.sample(fanout).into_iter().map(|name| gossip_with(&shared, name));
        futures_util::future::join_all(exchanges).await;
    }
}

/// Contacts the peer addresses in the settings while no peer is known.
async fn contact_seeds(shared: &Arc<Shared>) {
    if !shared.peers.sample(1).is_empty() {
        return;
    }
    for address in &shared.settings.peers {
        if let Some((name, status)) = shared.peers.contact_seed(*address, own_status(shared)).await
        {
            receive_status(shared, &name, status).await;
        }
    }
}

async fn gossip_with(shared: &Arc<Shared>, name: Incarnation) {
    if let Some(status) = shared.peers.exchange_status(&name, own_status(shared)).await {
        receive_status(shared, &name, status).await;
    }
}

async fn receive_status(shared: &Arc<Shared>, name: &Incarnation, status: Status) {
    let now = shared.now();
    shared.members.lock().touch(name, now);
    if apply_status(shared, name, status)
        && let Some(Frame::Objects { objects }) = shared.peers.ask_one(name, Frame::Accepted).await
    {
        for object in objects {
            apply_accepted(shared, &object);
        }
        // A box that starts without the platform becomes ready with its peers' configuration.
        shared.watched.send_if_modified(|watched| {
            let first = *watched == 0;
            *watched = (*watched).max(1);
            first
        });
    }
}

/// Writes replicated journal entries of boxes that are gone to the platform, while it is reachable.
pub async fn write_replicas(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.money.seal_after_ms);
    loop {
        tokio::time::sleep(interval / 2 + shared.jitter(interval)).await;
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
