//! Handling of one request, from its head to the answer of an endpoint or of the box itself.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use forward::Answer;
use http::{Request, Response, header};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use platform::{answer, request::Head};

use crate::proxy::{
    admit,
    context::Context,
    exchange::{Exchange, Outcome},
    link::Link,
    refusal::Refusal,
    relay::{InFlight, Relay},
};

/// Time limit of a request that names no deadline.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

pub type Body = Either<Full<Bytes>, Relay>;

impl Context {
    /// Serves one request.
    pub async fn handle(self: Arc<Context>, request: Request<Incoming>) -> Response<Body> {
        let start = self.clock.now();
        let head = Head::read(request.headers());
        let deadline = start.at() + head.deadline.unwrap_or(DEFAULT_TIMEOUT);
        let mut exchange =
            Exchange::begin(&head, start, deadline, self.metrics.clone(), self.bills.clone());
        let mut response = match self.answer(request, head, &mut exchange).await {
            Ok((answer, in_flight)) => {
                relay_answer(*answer, in_flight, exchange, self.link.clone())
            }
            Err(refusal) => {
                let response = refusal.response(exchange.id.as_deref());
                exchange.end(Outcome::Refused(refusal), 0);
                response.map(|text| Either::Left(Full::new(Bytes::from(text))))
            }
        };
        if self.closes_connections() {
            let close = header::HeaderValue::from_static("close");
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

fn relay_answer(
    answer: Answer,
    in_flight: InFlight,
    exchange: Exchange,
    link: Arc<Link>,
) -> Response<Body> {
    let headers = answer::caller_headers(&answer.head.headers);
    let status = answer.head.status;
    let is_event_stream = status.is_success() && answer::is_event_stream(&answer.head.headers);
    let relay =
        Relay::new(answer.body, status.as_u16(), is_event_stream, in_flight, exchange, link);
    let mut response = Response::new(Either::Right(relay));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
