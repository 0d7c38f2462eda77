//! Body of a response, tied to its connection.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body::Frame;
use hyper::body::Incoming;

use crate::{Fault, connections::Lease};

/// Body of a response. Reading it to its end releases the connection; dropping it earlier closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    lease: Option<Lease>,
}

impl Body {
    pub(crate) fn new(incoming: Incoming, lease: Lease) -> Body {
        let mut body = Body { incoming, lease: Some(lease) };
        body.release_if_complete();
        body
    }

    fn release_if_complete(&mut self) {
        if http_body::Body::is_end_stream(&self.incoming) {
            self.release_connection();
        }
    }

    fn release_connection(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.release();
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Fault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Fault>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        match frame {
            None => {
                self.release_connection();
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                self.lease.iter().for_each(Lease::hear);
                self.release_if_complete();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.lease = None;
                Poll::Ready(Some(Err(Fault::Unknown { reason: error.to_string() })))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        http_body::Body::is_end_stream(&self.incoming)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        http_body::Body::size_hint(&self.incoming)
    }
}
