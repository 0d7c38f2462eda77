//! Handling of one request, from its head to the answer of an endpoint or of the box itself.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use forward::{Answer, Framing};
use http::{HeaderValue, Request, Response, Version, header};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use platform::{answer, request::Head};

use crate::proxy::{
    admit,
    caller_close::CallerClose,
    context::Context,
    exchange::{Exchange, Outcome},
    in_flight::InFlight,
    link::Link,
    refusal::Refusal,
    relay::{self, Kind, Relay},
};

/// Time limit of a request that names no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

pub type Body = Either<Full<Bytes>, Relay>;

impl Context {
    /// Serves one request.
    pub async fn handle(self: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let start = self.clock.now();
        let caller = Caller::of(&request);
        let head = Head::read(request.headers());
        let deadline = start.at() + head.deadline.unwrap_or(DEFAULT_TIMEOUT);
        let mut exchange =
            Exchange::begin(&head, start, deadline, self.metrics.clone(), self.bills.clone());
        let mut response = match self.answer(request, head, &mut exchange).await {
            Ok((answer, in_flight)) => {
                relay_answer(*answer, caller, in_flight, exchange, self.link.clone())
            }
            Err(refusal) => {
                // The only place where a refusal becomes a response.
                let refusal = exchange.refuse(refusal);
                let response = refusal.response(exchange.id.as_deref());
                exchange.end(Outcome::Refused(refusal), 0);
                response.map(|text| Either::Left(Full::new(Bytes::from(text))))
            }
        };
        if self.closes_connections() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        head: Head,
        exchange: &mut Exchange,
    ) -> Result<(Box<Answer>, InFlight), Refusal> {
        admit::check_head(&request)?;
        self.watchdog.wait_until_fresh().await;
        let call = self.admit(request, head, exchange).await?;
        self.hold(&call, exchange).await?;
        self.dispatch(&call, exchange).await
    }
}

/// What the response to a caller depends on.
struct Caller {
    version: Version,
    close: CallerClose,
}

impl Caller {
    fn of(request: &Request<Incoming>) -> Caller {
        let close = request.extensions().get::<CallerClose>().cloned().unwrap_or_default();
        Caller { version: request.version(), close }
    }
}

fn relay_answer(
    answer: Answer,
    caller: Caller,
    in_flight: InFlight,
    exchange: Exchange,
    link: Arc<Link>,
) -> Response<Body> {
    let Answer { head, body, framing, .. } = answer;
    let mut headers = answer::caller_headers(&head.headers);
    let is_event_stream = head.status.is_success() && answer::is_event_stream(&head.headers);
    // A caller of HTTP/1.0 knows no chunks.
    let ends_by_close = framing == Framing::Close
        || (framing == Framing::Chunks && caller.version == Version::HTTP_10);
    let caller = relay::Caller { connection: caller.close, ends_by_close };
    let kind = Kind { status: head.status.as_u16(), is_event_stream };
    let relay = Relay::new(body, kind, caller, in_flight, exchange, link);
    if ends_by_close {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let mut response = Response::new(Either::Right(relay));
    if ends_by_close {
        // `hyper` puts a response of HTTP/1.1 into chunks, and their end would say that it is whole.
        *response.version_mut() = Version::HTTP_10;
    }
    *response.status_mut() = head.status;
    *response.headers_mut() = headers;
    response
}
