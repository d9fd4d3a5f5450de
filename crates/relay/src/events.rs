//! Cuts a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

/// The largest event that is kept while its end has not come; a longer one breaks the stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Gives back whole events only, and remembers the id of the last one.
///
/// A server may break off inside an event. What was given back up to then ends with a whole event,
/// so another server can go on after it.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventCutter {
    /// A cutter for a stream that goes on after event `last_id`.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id }
    }

    /// Takes bytes in and gives back the whole events among them; none where there is no whole one
    /// yet. Fails when an event is too long.
    pub fn push(&mut self, bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        if self.partial.is_empty()
            && let Some(end) = last_end(&bytes)
        {
            self.note_ids(&bytes[..end]);
            if end < bytes.len() {
                self.partial.extend_from_slice(&bytes[end..]);
            }
            return Ok(Some(bytes.slice(..end)));
        }
        self.partial.extend_from_slice(&bytes);
        if let Some(end) = last_end(&self.partial) {
            let whole = self.partial.split_to(end).freeze();
            self.note_ids(&whole);
            return Ok(Some(whole));
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        Ok(None)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Drops the beginning of an event that did not come whole; true if there was one.
    pub fn drop_partial(&mut self) -> bool {
        let had = !self.partial.is_empty();
        self.partial.clear();
        had
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

/// An event is longer than any that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Where the last whole event ends: after its empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    let unix = memchr::memmem::rfind(bytes, b"\n\n").map(|at| at + 2);
    let dos = memchr::memmem::rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}
