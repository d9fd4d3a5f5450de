//! Records a streamed answer, so that it can be returned if the request is submitted again.

use {
    crate::claims::MAX_STORED_BYTES,
    bytes::{Bytes, BytesMut},
    engine::WholeAnswer,
    http::{HeaderValue, StatusCode},
};

/// The events of a stream so far, or `None` once they exceed [`MAX_STORED_BYTES`].
#[derive(Debug)]
pub struct StreamRecord(Option<BytesMut>);

impl Default for StreamRecord {
    fn default() -> Self {
        Self(Some(BytesMut::new()))
    }
}

impl StreamRecord {
    /// Appends an event; discards the record if it becomes too large.
    pub fn add(&mut self, event: &Bytes) {
        let Some(events) = &mut self.0 else { return };
        if events.len() + event.len() > MAX_STORED_BYTES {
            self.0 = None;
            return;
        }
        events.extend_from_slice(event);
    }

    /// Returns the stream as a single response, or `None` if it was too large.
    pub fn into_answer(self) -> Option<WholeAnswer> {
        Some(WholeAnswer {
            status: StatusCode::OK,
            content_type: Some(HeaderValue::from_static("text/event-stream")),
            body: self.0?.freeze(),
        })
    }
}
