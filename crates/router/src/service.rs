//! Proxies calls to plain HTTP services.

use std::{sync::Arc, time::Duration};

use balance::Failure;
use forward::Framing;
use http::{HeaderMap, HeaderName, header::CONTENT_TYPE};
use ledger::Ended;
use reqwest::Response;
use timeline::EventKind;

use crate::{
    answer::Answer,
    call::{Call, Payload},
    dispatch::{Sent, dispatch},
    in_flight::{InFlight, Prepared},
    outcome::Unknown,
    requests::Progress,
    runs::settle_by_rule,
    shared::Shared,
};

/// Largest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Hop-by-hop headers, and headers that the router sets or consumes itself.
const NOT_FORWARDED: [&str; 14] = [
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

/// The headers to forward: all but [`NOT_FORWARDED`] and those named by `Connection`.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all("connection");
    let named: Vec<String> = listed
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let passes = |name: &HeaderName| {
        !NOT_FORWARDED.contains(&name.as_str())
            && !named.iter().any(|listed| listed == name.as_str())
    };
    let forwarded = headers.iter().filter(|(name, _)| passes(name));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

/// Dispatches a call whose tokens are reserved to a plain service and returns its answer.
pub async fn serve(
    shared: &Arc<Shared>,
    call: &Call,
    prepared: Prepared,
    in_flight: InFlight,
) -> Progress {
    let Payload::Service { method, path, headers, body } = &call.payload else {
        unreachable!("only calls to plain services are served");
    };
    let Prepared { hold, claim } = prepared;
    let send = |address: &str| {
        let url = format!("http://{address}/{path}");
        shared.http.request(method.clone(), url).headers(headers.clone()).body(body.clone())
    };
    let (mut in_flight, sent) = match dispatch(shared, call, &hold, in_flight, send).await {
        Ok(sent) => sent,
        Err(progress) => return progress,
    };
    let answer = match sent {
        Sent::Answered(response) => read_answer(response, call.time_left()).await,
        Sent::Uncertain(unknown) => Err(unknown),
        Sent::NotRun { .. } => unreachable!("dispatch tries another endpoint or refuses"),
    };
    match answer {
        Err(unknown) => {
            in_flight.failure = Some(Failure::Broken);
            settle_by_rule(shared, hold);
            if let Some(claim) = claim {
                claim.leave_open();
            }
            Progress::Unknown(unknown)
        }
        Ok(answer) => {
            let charged = hold.finish(call.worst_case, Ended::Answered);
            shared.metrics.tokens.inc_by(charged);
            let event = EventKind::Answered { tokens: charged };
            shared.log.add_for_request(&call.key, &call.caller.budget, event);
            if let Some(claim) = claim {
                claim.answered(stored_answer(&answer));
            }
            Progress::Answered(Arc::new(answer))
        }
    }
}

async fn read_answer(mut response: Response, timeout: Duration) -> Result<Answer, Unknown> {
    let status = response.status().as_u16();
    let headers = end_to_end(response.headers());
    // Half an answer would look like this too, and be stored as the whole one.
    if Framing::of(response.headers(), response.content_length() == Some(0)) == Framing::Close {
        return Err(Unknown::Incomplete);
    }
    let mut body = Vec::new();
    let reading = async {
        while let Some(chunk) = response.chunk().await.map_err(|_| Unknown::Incomplete)? {
            if body.len() + chunk.len() > MAX_ANSWER_BYTES {
                return Err(Unknown::Incomplete);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    tokio::time::timeout(timeout, reading).await.map_err(|_| Unknown::Incomplete)??;
    Ok(Answer { status, headers, body: body.into() })
}

fn stored_answer(answer: &Answer) -> claim::Answer {
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
    fn hop_by_hop_headers_are_not_forwarded() {
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
        let forwarded = end_to_end(&headers);
        let mut names: Vec<&str> = forwarded.keys().map(HeaderName::as_str).collect();
        names.sort_unstable();
        assert_eq!(names, ["accept", "x-clinic"]);
    }
}
