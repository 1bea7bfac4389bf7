//! Bodies of requests and answers.

use crate::bodies::Lease;
use crate::parse::bad;
use crate::reply::{Event, Refusal};
use bytes::{Bytes, BytesMut};
use entity::{Span, request, unit};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::borrow::Cow;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, io::Error>;

/// Returns a body of bytes that are in memory already.
pub(crate) fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed()
}

/// Returns a body of server-sent events.
pub(crate) fn event_stream(events: mpsc::Receiver<Event>, id: request::Id) -> Body {
    let part = move |next| match next {
        Event::Data(data) => Part::More(encode_event(&data)),
        // The sender closes the channel without `Event::End`, which aborts the connection after this
        // event.
        Event::Failed(refusal) => Part::More(encode_event(&refusal.json(id))),
        Event::End => Part::Last(Some(encode_event(b"[DONE]"))),
    };
    Parts::new(events, part).boxed()
}

/// Returns a body that forwards pieces unchanged as they arrive.
pub(crate) fn forwarded(pieces: mpsc::Receiver<Piece>) -> Body {
    let part = |next| match next {
        Piece::Data(data) => Part::More(data),
        Piece::End => Part::Last(None),
    };
    Parts::new(pieces, part).boxed()
}

/// A body that keeps a value until it has been sent or is given up.
pub(crate) fn keeping<T: Send + Sync + Unpin + 'static>(body: Body, kept: T) -> Body {
    BodyExt::boxed(Keeping { body, _kept: kept })
}

struct Keeping<T> {
    body: Body,
    _kept: T,
}

impl<T: Unpin> HttpBody for Keeping<T> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Delay that a caller is told whose body can't be held now.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    /// Largest size.
    pub size: unit::Bytes,
    /// Longest time to arrive.
    pub time: Span,
}

/// Reads a caller's whole body into memory that it has on lease.
///
/// # Errors
///
/// Returns the refusal of a body that is too large, too slow or malformed, or for which there is no memory.
pub(crate) async fn read(body: Incoming, limits: Limits, lease: &Lease) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limits.size.0 {
        return Err(too_large(limits.size));
    }
    let end = tokio::time::Instant::now() + limits.time.duration();
    tokio::select! {
        read = read_pieces(body, limits.size, lease) => read,
        () = lease.evicted() => Err(slow("the body stalled while others needed its memory")),
        () = tokio::time::sleep_until(end) => {
            Err(slow(format!("the body did not arrive within {}", limits.time)))
        }
    }
}

/// Copies each piece, as a piece keeps the buffer that it was read into.
async fn read_pieces(
    mut body: Incoming,
    size: unit::Bytes,
    lease: &Lease,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| bad("bad-body", error.to_string()))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if (whole.len() + piece.len()) as u64 > size.0 {
            return Err(too_large(size));
        }
        lease.grow(piece.len(), size).map_err(|full| {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Refusal::not_run(status, "bodies-full", full.to_string()).with_retry_after(RETRY_AFTER)
        })?;
        whole.extend_from_slice(&piece);
    }
    lease.complete();
    Ok(whole.freeze())
}

fn too_large(limit: unit::Bytes) -> Refusal {
    let message = format!("the body has more than {limit}");
    Refusal::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
}

fn slow(message: impl Into<Cow<'static, str>>) -> Refusal {
    Refusal::not_run(StatusCode::REQUEST_TIMEOUT, "slow-body", message)
}

/// Item of a body that is forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Next bytes of the body.
    Data(Bytes),
    /// End of a complete body.
    End,
}

/// Bytes that a channel's item adds to a body.
enum Part {
    /// Bytes that more may follow.
    More(Bytes),
    /// The last bytes of the body, if any.
    Last(Option<Bytes>),
}

/// Body whose data is produced from the items of a channel.
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
    /// More items may arrive.
    Open,
    /// The body is complete.
    Ended,
    /// The channel closed early; the connection is aborted once the data so far has been written.
    Aborted,
}

/// Encodes data as a server-sent event, with one `data:` field for each line.
fn encode_event(data: &[u8]) -> Bytes {
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
            State::Aborted => {
                let error = io::Error::other("the answer is not whole");
                return Poll::Ready(Some(Err(error)));
            }
        }
        let Some(next) = std::task::ready!(self.items.poll_recv(context)) else {
            // hyper discards data that it has not written yet when a body returns an error. It
            // writes when the body is pending, so the error is returned by the next poll.
            self.state = State::Aborted;
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
