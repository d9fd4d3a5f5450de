//! The bodies of answers to callers. What they hold counts against the memory until it is written to the
//! caller's socket.

use {
    crate::{memory::BufferShare, pump::PieceBody},
    bytes::{Buf, Bytes},
    http_body_util::Full,
    hyper::body::{Body, Frame, SizeHint},
    snafu::Snafu,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::OwnedSemaphorePermit,
};

/// The stream ended before its last event. The caller's connection is closed without the final
/// chunk, so that the caller can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("stream truncated before its last event"))]
pub(crate) struct StreamTruncated;

/// Bytes of an answer with the room that they take. The HTTP library drops them once they are written.
#[derive(Debug)]
pub(crate) struct AnswerBytes {
    bytes: Bytes,
    _share: Option<BufferShare>,
    /// The place among the pieces of a stream that wait.
    _place: Option<OwnedSemaphorePermit>,
}

impl AnswerBytes {
    /// A whole answer.
    pub(crate) fn whole(bytes: Bytes, share: BufferShare) -> Self {
        Self { bytes, _share: Some(share), _place: None }
    }

    /// A piece of a stream.
    pub(crate) fn piece(bytes: Bytes, share: BufferShare, place: OwnedSemaphorePermit) -> Self {
        Self { bytes, _share: Some(share), _place: Some(place) }
    }
}

impl From<Bytes> for AnswerBytes {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, _share: None, _place: None }
    }
}

impl Buf for AnswerBytes {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// The body of an answer to a caller.
pub(crate) enum RelayBody {
    /// An answer of this process.
    Own(Full<Bytes>),
    /// A whole answer of a server.
    Whole(Full<AnswerBytes>),
    /// A stream.
    Pieces(PieceBody),
}

impl Body for RelayBody {
    type Data = AnswerBytes;
    type Error = StreamTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<AnswerBytes>, StreamTruncated>>> {
        match self.get_mut() {
            Self::Own(body) => Pin::new(body).poll_frame(context).map(|frame| {
                frame.map(|frame| match frame {
                    Ok(frame) => Ok(frame.map_data(AnswerBytes::from)),
                    Err(never) => match never {},
                })
            }),
            Self::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map(|frame| frame.map(|frame| frame.map_err(|never| match never {}))),
            Self::Pieces(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Whole(body) => body.is_end_stream(),
            Self::Pieces(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Whole(body) => body.size_hint(),
            Self::Pieces(body) => body.size_hint(),
        }
    }
}
