//! Limits that endpoints named in answers to this box, on their way to all others.
//!
//! A box that has not heard of a limit sends freely until an answer tells it. So each change is told to the homes of
//! news, which pass it on to all boxes within milliseconds. Only who hands out turns needs the figure itself, and hears
//! it with each question; to the others news says that a turn is needed, or not any more.

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::{
    fleet::peers::Peers,
    news::view::View,
    way::{endpoints::Endpoints, turns::Word},
};

/// Limits that wait to be told; each takes microseconds.
pub const WAITING: usize = 256;

/// Tells of limits for as long as the box runs.
pub async fn tell(
    view: View,
    peers: Peers,
    endpoints: Arc<Endpoints>,
    mut told: mpsc::Receiver<Word>,
) {
    while let Some(word) = told.recv().await {
        let (life, is_repeated) = match word {
            Word::Changed(life) => (life, false),
            Word::Stays(life) => (life, true),
        };
        let Some(said) = endpoints.said(&life) else { continue };
        if view.hear_limit(&life, said.limit) || is_repeated {
            peers.tell_limit(&life, said.limit);
        }
    }
}
