//! Bodies of requests and answers.

use crate::parse::bad;
use crate::reply::{Event, Refusal};
use bytes::{Bytes, BytesMut};
use entity::{request, unit};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::error::Elapsed;

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// A body that is there already.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// A body of server-sent events.
pub(crate) fn events(events: mpsc::Receiver<Event>, id: request::Id) -> Body {
    let part = move |next| match next {
        Event::Data(data) => Part::More(event(&data)),
        // The channel closes next, so that the connection is broken off after this event.
        Event::Failed(refusal) => Part::More(event(&refusal.json(id))),
        Event::End => Part::Last(Some(event(b"[DONE]"))),
    };
    Parts::new(events, part).boxed()
}

/// A body that arrives in pieces, passed on as they are.
pub(crate) fn pieces(pieces: mpsc::Receiver<Piece>) -> Body {
    let part = |next| match next {
        Piece::Data(data) => Part::More(data),
        Piece::End => Part::Last(None),
    };
    Parts::new(pieces, part).boxed()
}

/// All of a caller's body, which has at most so many bytes.
///
/// # Errors
///
/// The outer one: it did not arrive within `time`. The inner one: it is refused.
pub(crate) async fn read(
    body: Incoming,
    limit: unit::Bytes,
    time: Duration,
) -> Result<Result<Bytes, Refusal>, Elapsed> {
    let size = usize::try_from(limit.0).unwrap_or(usize::MAX);
    let collected = tokio::time::timeout(time, Limited::new(body, size).collect()).await?;
    Ok(match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body has more than {limit}");
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Refusal::not_run(status, "body-too-large", message))
        }
        Err(error) => Err(bad("bad-body", error.to_string())),
    })
}

/// A piece of a body that is passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// What an item of a channel adds to a body.
enum Part {
    /// Bytes, after which more may come.
    More(Bytes),
    /// The end, before which there may be bytes.
    Last(Option<Bytes>),
}

/// A body of the items of a channel.
struct Parts<T, F> {
    items: mpsc::Receiver<T>,
    part: F,
    state: State,
}

impl<T, F> Parts<T, F> {
    fn new(items: mpsc::Receiver<T>, part: F) -> Self {
        Self {
            items,
            part,
            state: State::Open,
        }
    }
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

fn event(data: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(data.len() + 8);
    for line in data.split(|byte| *byte == b'\n') {
        bytes.extend_from_slice(b"data: ");
        bytes.extend_from_slice(line);
        bytes.extend_from_slice(b"\n");
    }
    bytes.extend_from_slice(b"\n");
    bytes.freeze()
}

impl<T, F: FnMut(T) -> Part + Unpin> HttpBody for Parts<T, F> {
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
        let Some(next) = std::task::ready!(self.items.poll_recv(context)) else {
            // An error drops what hyper has not yet written. It writes when the body has nothing
            // ready, so the error waits for one more poll.
            self.state = State::Broken;
            context.waker().wake_by_ref();
            return Poll::Pending;
        };
        let bytes = match (self.part)(next) {
            Part::More(bytes) => Some(bytes),
            Part::Last(bytes) => {
                self.state = State::Ended;
                bytes
            }
        };
        Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.state == State::Ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
