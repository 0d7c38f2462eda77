//! Handling of one request, from its head to the answer of an endpoint or of the box itself.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use forward::Answer;
use http::{Request, Response, header};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use platform::{answer, request::Head};

use crate::way::{
    admit,
    gate::Gate,
    link::Link,
    refusal::Refusal,
    relay::{Flight, Relay},
    trip::{End, Trip},
};

/// Time limit of a request that names no deadline.
const LONGEST: Duration = Duration::from_secs(60);

pub type Body = Either<Full<Bytes>, Relay>;

impl Gate {
    /// Serves one request.
    pub async fn handle(self: Arc<Gate>, request: Request<Incoming>) -> Response<Body> {
        let since = self.clock.now();
        let head = Head::read(request.headers());
        let until = since.at() + head.deadline.unwrap_or(LONGEST);
        let mut trip = Trip::begin(&head, since, until, self.metrics.clone(), self.bills.clone());
        let mut response = match self.answer(request, head, &mut trip).await {
            Ok((answer, flight)) => relayed(*answer, flight, trip, self.link.clone()),
            Err(refusal) => {
                let response = refusal.response(trip.id.as_deref());
                trip.end(End::Refused(refusal), 0);
                response.map(|text| Either::Left(Full::new(Bytes::from(text))))
            }
        };
        if self.ends_connections() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
        head: Head,
        trip: &mut Trip,
    ) -> Result<(Box<Answer>, Flight), Refusal> {
        admit::check(&request)?;
        self.pulse.fresh().await;
        let call = self.admit(request, head, trip).await?;
        self.hold(&call, trip).await?;
        self.dispatch(&call, trip).await
    }
}

fn relayed(answer: Answer, flight: Flight, trip: Trip, link: Arc<Link>) -> Response<Body> {
    let headers = answer::towards_caller(&answer.head.headers);
    let status = answer.head.status;
    let relay = Relay::new(answer.body, status.as_u16(), flight, trip, link);
    let mut response = Response::new(Either::Right(relay));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
