//! Plain services: what is passed on, and what is not.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use http::{HeaderMap, HeaderName, header::CONTENT_TYPE};
use ledger::Ended;
use reqwest::Response;
use timeline::EventKind;

use crate::{
    answer::Answer,
    call::{Call, Payload},
    dispatch::{Sent, dispatch},
    flight::{Flight, Secured},
    outcome::Unknown,
    requests::Progress,
    runs::rule,
    shared::Shared,
};

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Headers that belong to one connection, or that the router sets itself.
const OWN: [&str; 14] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-request-id",
];

/// The headers that are passed on: neither hop-by-hop ones nor those that the router sets.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all("connection");
    let named: Vec<String> = listed
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passes = |name: &HeaderName| {
        !OWN.contains(&name.as_str()) && !named.iter().any(|listed| listed == name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| passes(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Sends a held call to a plain service and returns its answer.
pub async fn serve(
    shared: &Arc<Shared>,
    call: &Call,
    secured: Secured,
    flight: Flight,
) -> Progress {
    let Payload::Service { method, path, headers, body } = &call.payload else {
        unreachable!("only calls of plain services come here");
    };
    let Secured { hold, claim } = secured;
    let send = |address: &str| {
        let url = format!("http://{address}/{path}");
        shared.http.request(method.clone(), url).headers(headers.clone()).body(body.clone())
    };
    let (mut flight, sent) = match dispatch(shared, call, &hold, flight, send).await {
        Ok(sent) => sent,
        Err(progress) => return progress,
    };
    let answer = match sent {
        Sent::Answering(response) => read_answer(response, call.left()).await,
        Sent::Doubt(unknown) => Err(unknown),
        Sent::NotReceived { .. } => unreachable!("tried elsewhere or refused"),
    };
    match answer {
        Err(unknown) => {
            flight.failure = Some(Failure::Broken);
            rule(shared, hold);
            if let Some(claim) = claim {
                claim.leave_open();
            }
            Progress::Unknown(unknown)
        }
        Ok(answer) => {
            let charged = hold.finish(call.worst, Ended::Answered);
            shared.metrics.tokens.inc_by(charged);
            let what = EventKind::Answered { tokens: charged };
            shared.log.add_for_request(&call.key, &call.caller.budget, what);
            if let Some(claim) = claim {
                claim.answered(kept(&answer));
            }
            Progress::Answered(Arc::new(answer))
        }
    }
}

async fn read_answer(mut response: Response, within: Duration) -> Result<Answer, Unknown> {
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    let mut body = Vec::new();
    let reading = async {
        while let Some(chunk) = response.chunk().await.map_err(|_| Unknown::Broken)? {
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(Unknown::Broken);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    tokio::time::timeout(within, reading).await.map_err(|_| Unknown::Broken)??;
    Ok(Answer { status, headers, body: body.into() })
}

fn kept(answer: &Answer) -> claim::Answer {
    let content_type = answer.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let text = std::str::from_utf8(&answer.body).ok();
    claim::Answer {
        status: answer.status,
        content_type: content_type.unwrap_or("application/octet-stream").into(),
        body: text.filter(|text| text.len() <= claim::MAX_ANSWER_BYTES).map(Into::into),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hop_by_hop_headers_stay_here() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "close, X-Once"),
            ("x-once", "1"),
            ("accept", "a"),
            ("te", "b"),
            ("authorization", "secret"),
            ("x-clinic", "7"),
        ] {
            headers.insert(name, value.parse().unwrap());
        }
        let kept = end_to_end(&headers);
        let mut names: Vec<&str> = kept.keys().map(HeaderName::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "x-clinic"]);
    }
}
