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
        state: State::Open,
    }
    .boxed()
}

/// A body that arrives in pieces, passed on as they are.
pub(crate) fn pieces(pieces: mpsc::Receiver<Piece>) -> Body {
    Pieces {
        pieces,
        state: State::Open,
    }
    .boxed()
}

/// A piece of a body that is passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

struct Pieces {
    pieces: mpsc::Receiver<Piece>,
    state: State,
}

impl HttpBody for Pieces {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.state {
            State::Open => {}
            State::Ended => return Poll::Ready(None),
            State::Broken => {
                let error = io::Error::other("the answer is not whole");
                return Poll::Ready(Some(Err(error)));
            }
        }
        match std::task::ready!(self.pieces.poll_recv(context)) {
            Some(Piece::Data(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(Piece::End) => {
                self.state = State::Ended;
                Poll::Ready(None)
            }
            None => {
                // As in `Events`: what was passed on is written before the error.
                self.state = State::Broken;
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.state == State::Ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

struct Events {
    events: mpsc::Receiver<Event>,
    id: request::Id,
    state: State,
}

#[derive(PartialEq, Eq)]
enum State {
    /// More events may come.
    Open,
    /// The answer is whole.
    Ended,
    /// The answer is broken off after what was passed on has been written.
    Broken,
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
        match self.state {
            State::Open => {}
            State::Ended => return Poll::Ready(None),
            State::Broken => {
                let error = io::Error::other("the answer is not whole");
                return Poll::Ready(Some(Err(error)));
            }
        }
        let next = std::task::ready!(self.events.poll_recv(context));
        Poll::Ready(match next {
            Some(Event::Data(data)) => Some(Ok(event(&data))),
            Some(Event::Failed(refusal)) => {
                // The channel closes next, so that the connection is broken off after this event.
                Some(Ok(event(&refusal.json(self.id))))
            }
            Some(Event::End) => {
                self.state = State::Ended;
                Some(Ok(event(b"[DONE]")))
            }
            None => {
                // An error drops what hyper has not yet written. It writes when the body has
                // nothing ready, so the error waits for one more poll.
                self.state = State::Broken;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        self.state == State::Ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
