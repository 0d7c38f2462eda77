//! Publishes signals of endpoints to all other boxes.
//!
//! A box that does not know of a limit, or that an endpoint leaves, would continue to send until an
//! answer shows it. So signals are sent to the watchers, which pass them on to all boxes within
//! milliseconds. Only the issuer of permits needs the value of a limit, and gets it with each
//! request for a permit; the other boxes learn only whether a permit is needed.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};

use crate::{
    fleet::peers::Peers,
    proxy::{announcer::Announcement, endpoints::Endpoints},
    sync::view::View,
};

/// Interval at which a box repeats that an endpoint leaves, until the endpoint's entry shows it: a
/// watcher that started since does not know.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Publishes signals for as long as the box runs.
pub async fn publish(
    view: View,
    peers: Peers,
    endpoints: Arc<Endpoints>,
    mut announcements: mpsc::Receiver<Announcement>,
) {
    loop {
        let own = endpoints.own_departures();
        let announcement = tokio::select! {
            announcement = announcements.recv() => announcement,
            () = sleep(REPEAT_INTERVAL), if !own.is_empty() => {
                own.iter().for_each(|(instance, address)| peers.publish_departure(instance, *address));
                continue;
            }
        };
        let Some(announcement) = announcement else { return };
        match announcement {
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
    let Some(notice) = endpoints.limit_notice(instance) else { return };
    if view.receive_limit(instance, notice.limit) || is_repeated {
        peers.publish_limit(instance, notice.limit);
    }
}
