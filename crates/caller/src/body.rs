//! Bodies of answers.

use crate::reply::Event;
use bytes::{Bytes, BytesMut};
use entity::request;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// A body that is there already.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A body of server-sent events.
pub(crate) fn events(events: mpsc::Receiver<Event>, id: request::Id) -> Body {
    Events {
        events,
        id,
        ended: false,
    }
    .boxed()
}

struct Events {
    events: mpsc::Receiver<Event>,
    id: request::Id,
    ended: bool,
}

fn event(data: &[u8]) -> Frame<Bytes> {
    let mut bytes = BytesMut::with_capacity(data.len() + 8);
    for line in data.split(|byte| *byte == b'\n') {
        bytes.extend_from_slice(b"data: ");
        bytes.extend_from_slice(line);
        bytes.extend_from_slice(b"\n");
    }
    bytes.extend_from_slice(b"\n");
    Frame::data(bytes.freeze())
}

impl HttpBody for Events {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let next = std::task::ready!(self.events.poll_recv(context));
        Poll::Ready(match next {
            Some(Event::Data(data)) => Some(Ok(event(&data))),
            Some(Event::Failed(refusal)) => {
                // The channel closes next, so that the connection is broken off after this event.
                Some(Ok(event(&refusal.json(self.id))))
            }
            Some(Event::End) => {
                self.ended = true;
                Some(Ok(event(b"[DONE]")))
            }
            None => Some(Err(io::Error::other("the answer is not whole"))),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
