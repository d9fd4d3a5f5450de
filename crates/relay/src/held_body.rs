//! The body of a caller's request in memory.

use {
    crate::memory::{BodyShare, MemoryShortage},
    base::SharedClock,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
    },
};

/// Size of a full piece, in bytes. Pieces of one size leave no gaps in the memory that a later body does
/// not fit into, as whole bodies do.
const PIECE_BYTES: usize = 64 * 1024;

/// A body that is being read, with the room that it takes.
pub(crate) struct GrowingBody {
    full: Vec<Bytes>,
    last: Vec<u8>,
    length: usize,
    share: BodyShare,
    clock: SharedClock,
}

impl GrowingBody {
    /// A body without any bytes. `share` has the room for its announced length.
    pub(crate) fn new(share: BodyShare, clock: SharedClock) -> Self {
        Self { full: Vec::new(), last: Vec::new(), length: 0, share, clock }
    }

    /// The room that the body has.
    pub(crate) fn share(&self) -> &BodyShare {
        &self.share
    }

    /// Bytes that have arrived.
    pub(crate) fn length(&self) -> usize {
        self.length
    }

    /// Length with `more` bytes.
    pub(crate) fn length_with(&self, more: usize) -> usize {
        self.length + more
    }

    /// Adds bytes, unless there is no room for them.
    pub(crate) fn extend(&mut self, mut bytes: &[u8]) -> Result<(), MemoryShortage> {
        let length = self.length + bytes.len();
        let now = self.clock.now();
        if length > self.share.bytes() {
            self.share.grow(length.next_multiple_of(PIECE_BYTES), now)?;
        }
        self.share.note_arrived(bytes.len(), now);
        self.length = length;
        while !bytes.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_piece(bytes.len());
            }
            let free = self.last.capacity() - self.last.len();
            let (now, later) = bytes.split_at(free.min(bytes.len()));
            self.last.extend_from_slice(now);
            bytes = later;
        }
        Ok(())
    }

    /// Begins a piece after a full one: as large as the room that is left, or `bytes` at least.
    fn begin_piece(&mut self, bytes: usize) {
        let done = std::mem::take(&mut self.last);
        if !done.is_empty() {
            self.full.push(Bytes::from(done));
        }
        let before = self.full.iter().map(Bytes::len).sum();
        let room = self.share.bytes().saturating_sub(before);
        self.last = Vec::with_capacity(room.max(bytes).min(PIECE_BYTES));
    }

    /// The whole body, unless it has lost its room.
    pub(crate) fn finish(mut self) -> Result<HeldBody, MemoryShortage> {
        self.share.note_whole()?;
        if !self.last.is_empty() {
            self.full.push(Bytes::from(self.last));
        }
        let pieces = BodyPieces { pieces: self.full, share: self.share, clock: self.clock };
        Ok(HeldBody { pieces: Some(Arc::new(pieces)), next: 0, left: self.length as u64 })
    }
}

/// The pieces of a body and the room that they take, until their last use.
struct BodyPieces {
    pieces: Vec<Bytes>,
    share: BodyShare,
    clock: SharedClock,
}

impl Drop for BodyPieces {
    fn drop(&mut self) {
        self.share.note_end(self.clock.now());
    }
}

/// A body that can be sent any number of times. Clones share its memory.
#[derive(Clone, Default)]
pub(crate) struct HeldBody {
    /// `None` if the body is empty.
    pieces: Option<Arc<BodyPieces>>,
    next: usize,
    left: u64,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let pieces = self.pieces.as_ref().map_or(&[][..], |held| &held.pieces);
        let Some(piece) = pieces.get(self.next).cloned() else { return Poll::Ready(None) };
        self.next += 1;
        self.left -= piece.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
