//! Reads events from the frames of a stream.

use {
    crate::{
        events::{EventSplitter, have_content},
        loss::LossCause,
        memory::BufferShare,
    },
    bytes::Bytes,
    hyper::body::Frame,
};

/// What a frame of a stream, or the end of its frames, contains.
pub(crate) enum ReadStep {
    /// Complete events.
    Events(Bytes),
    /// No complete event with content.
    NoEvent,
    /// The end of the stream: after a complete event, or why it is incomplete.
    End(Result<(), LossCause>),
}

/// Reads events from the frames of a stream, over all servers that serve parts of it.
pub(crate) struct EventReader {
    splitter: EventSplitter,
    /// For the incomplete event in the splitter.
    share: BufferShare,
    /// Whether any server has sent an event to this process.
    has_first: bool,
}

impl EventReader {
    /// A reader of a stream that continues after an event, or begins if `after` is `None`.
    pub(crate) fn new(share: BufferShare, after: Option<u64>) -> Self {
        Self { splitter: EventSplitter::new(after), share, has_first: false }
    }

    /// Reads what the server sent; `None` is the end of its answer.
    pub(crate) fn read(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> ReadStep {
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return ReadStep::End(Err(LossCause::ConnectionBroke)),
            None if self.splitter.discard_partial() => {
                return ReadStep::End(Err(LossCause::PartialEvent));
            }
            None if !self.has_any() => return ReadStep::End(Err(LossCause::NoEvent)),
            None => return ReadStep::End(Ok(())),
        };
        let Ok(bytes) = frame.into_data() else { return ReadStep::NoEvent };
        let Ok(events) = self.splitter.push(bytes) else {
            return ReadStep::End(Err(LossCause::EventTooLong));
        };
        if !self.share.resize(self.splitter.buffered()) {
            return ReadStep::End(Err(LossCause::TooLarge));
        }
        match events.filter(|events| have_content(events)) {
            Some(events) => ReadStep::Events(events),
            None => ReadStep::NoEvent,
        }
    }

    /// Records an event; true for the first one.
    pub(crate) fn note_first(&mut self) -> bool {
        !std::mem::replace(&mut self.has_first, true)
    }

    pub(crate) fn has_first(&self) -> bool {
        self.has_first
    }

    /// Whether the caller has events of the stream, so that its rest may be empty.
    fn has_any(&self) -> bool {
        self.has_first || self.splitter.last_id().is_some()
    }

    /// Whether another server can go on after the events so far.
    pub(crate) fn is_resumable(&self) -> bool {
        !self.has_first || self.splitter.last_id().is_some()
    }

    /// Id of the last event that had one.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Forgets the bytes of an incomplete event.
    pub(crate) fn discard_partial(&mut self) {
        self.splitter.discard_partial();
        self.share.resize(0);
    }
}
