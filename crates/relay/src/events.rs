//! Splits a stream of server-sent events at event boundaries.

use bytes::{Bytes, BytesMut};

/// Maximum size of an incomplete event that is buffered; a longer one breaks the stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers bytes until events are complete, and remembers the id of the last complete one.
///
/// A stream may break inside an event. Since only complete events are returned, another server can
/// resume the stream after the last of them.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id }
    }

    /// Appends bytes and returns the events that are complete now, or `None` if there are none. Fails
    /// when an incomplete event exceeds `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        if self.partial.is_empty()
            && let Some(end) = last_event_end(&bytes)
        {
            self.note_ids(&bytes[..end]);
            if end < bytes.len() {
                self.partial.extend_from_slice(&bytes[end..]);
            }
            return Ok(Some(bytes.slice(..end)));
        }
        self.partial.extend_from_slice(&bytes);
        if let Some(end) = last_event_end(&self.partial) {
            let whole = self.partial.split_to(end).freeze();
            self.note_ids(&whole);
            return Ok(Some(whole));
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// Bytes of the incomplete event that are buffered.
    pub fn buffered(&self) -> usize {
        self.partial.len()
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the buffered bytes of an incomplete event; returns whether there were any.
    pub fn discard_partial(&mut self) -> bool {
        let had_partial = !self.partial.is_empty();
        self.partial.clear();
        had_partial
    }

    fn note_ids(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Some(id) = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok())
            {
                self.last_id = Some(id);
            }
        }
    }
}

/// Number of events in `events`, which are complete.
pub(crate) fn count_events(events: &[u8]) -> u64 {
    let ends = memchr::memmem::find_iter(events, b"\n\n").count();
    let ends = ends + memchr::memmem::find_iter(events, b"\r\n\r\n").count();
    ends.max(1) as u64
}

/// Whether complete events carry data or an id. Comments and empty lines do not: a stalled server may
/// send them to keep its connection open.
pub(crate) fn have_content(events: &[u8]) -> bool {
    let is_content = |line: &[u8]| !matches!(line.first(), None | Some(b':' | b'\r'));
    events.split(|byte| *byte == b'\n').any(is_content)
}

/// An incomplete event exceeds the buffer limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Position after the empty line that ends the last complete event.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let dos = memchr::memmem::rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}
