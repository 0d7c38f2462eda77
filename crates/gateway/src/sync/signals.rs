//! What endpoints said of themselves in answers to this box, on its way to all others.
//!
//! A box that has not heard of a limit, or that an endpoint leaves, goes on to send until an answer tells it. So each is told
//! to the homes of news, which pass it on to all boxes within milliseconds. Of limits only who hands out turns needs the
//! figure itself, and hears it with each question; to the others news says that a turn is needed, or not any more.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};

use crate::{
    fleet::peers::Peers,
    proxy::{announcer::Announcement, endpoints::Endpoints},
    sync::view::View,
};

/// Time between two words of a box to which an endpoint said that it leaves, while the entry of that says nothing of it: a
/// home of news that started since has not heard.
const TELL_EVERY: Duration = Duration::from_millis(1_000);

/// Tells of words for as long as the box runs.
pub async fn publish(
    view: View,
    peers: Peers,
    endpoints: Arc<Endpoints>,
    mut told: mpsc::Receiver<Announcement>,
) {
    loop {
        let own = endpoints.own_departures();
        let word = tokio::select! {
            word = told.recv() => word,
            () = sleep(TELL_EVERY), if !own.is_empty() => {
                own.iter().for_each(|(instance, address)| peers.publish_departure(instance, *address));
                continue;
            }
        };
        let Some(word) = word else { return };
        match word {
            Announcement::LimitChanged { instance } => {
                publish_limit(&view, &peers, &endpoints, &instance, false)
            }
            Announcement::LimitUnchanged { instance } => {
                publish_limit(&view, &peers, &endpoints, &instance, true)
            }
            Announcement::Draining { instance, address } => {
                view.receive_departure(&instance, address);
                peers.publish_departure(&instance, address);
            }
        }
    }
}

fn publish_limit(
    view: &View,
    peers: &Peers,
    endpoints: &Endpoints,
    instance: &Arc<str>,
    is_repeated: bool,
) {
    let Some(said) = endpoints.limit_notice(instance) else { return };
    if view.receive_limit(instance, said.limit) || is_repeated {
        peers.publish_limit(instance, said.limit);
    }
}
