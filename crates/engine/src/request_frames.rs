//! Incremental decoder of the server-sent events of a completion stream.

use {
    crate::{
        request::{StreamError, StreamFrame, TokenFrame},
        wire::DONE_EVENT,
    },
    base::AttemptId,
    bytes::{Buf, Bytes, BytesMut},
    serde::{Deserialize, de::IgnoredAny},
    std::borrow::Cow,
};

/// Largest event that is accepted, in bytes; bounds the buffer when a server never ends an event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events and decodes the fields that this system uses.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
    /// Bytes at the start of `buffer` in which no event ends.
    scanned: usize,
}

#[derive(Deserialize)]
struct FrameFields<'a> {
    #[serde(borrow, default)]
    gf_attempt: Option<Cow<'a, str>>,
    #[serde(default)]
    gf_index: Option<u64>,
    #[serde(default)]
    choices: Vec<ChoiceFields>,
}

#[derive(Deserialize)]
struct ChoiceFields {
    #[serde(default)]
    finish_reason: Option<IgnoredAny>,
}

impl FrameReader {
    /// Appends the next bytes of the stream, split at any position.
    pub fn push(&mut self, bytes: &Bytes) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next frame; `None` until enough bytes have been pushed to complete one.
    pub fn next_frame(&mut self) -> Option<Result<StreamFrame, StreamError>> {
        loop {
            let event = match self.next_event()? {
                Ok(event) => event,
                Err(error) => return Some(Err(error)),
            };
            if let Some(payload) = data_field(&event) {
                return Some(decode_frame(payload));
            }
        }
    }

    fn next_event(&mut self) -> Option<Result<Bytes, StreamError>> {
        let Some((length, separator)) = self.find_end() else {
            // A separator of up to 4 bytes may be cut off after its first 3.
            self.scanned = self.buffer.len().saturating_sub(3);
            if self.buffer.len() > MAX_EVENT_BYTES {
                let detail = format!("an event has more than {MAX_EVENT_BYTES} bytes");
                return Some(Err(StreamError::Unreadable { detail }));
            }
            return None;
        };
        let event = self.buffer.split_to(length).freeze();
        self.buffer.advance(separator);
        self.scanned = 0;
        Some(Ok(event))
    }

    /// Length of the first event and of the separator after it.
    fn find_end(&self) -> Option<(usize, usize)> {
        let bytes = &self.buffer[..];
        for index in self.scanned..bytes.len() {
            if bytes[index..].starts_with(b"\n\n") {
                return Some((index, 2));
            }
            if bytes[index..].starts_with(b"\r\n\r\n") {
                return Some((index, 4));
            }
        }
        None
    }
}

/// The first `data` field of an event; comments and other fields are skipped.
fn data_field(event: &Bytes) -> Option<Bytes> {
    for line in event.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if let Some(data) = line.strip_prefix(b"data:") {
            let data = data.strip_prefix(b" ").unwrap_or(data);
            return Some(event.slice_ref(data));
        }
    }
    None
}

fn decode_frame(payload: Bytes) -> Result<StreamFrame, StreamError> {
    if payload == DONE_EVENT.as_bytes() {
        return Ok(StreamFrame::End);
    }
    let fields: FrameFields<'_> = serde_json::from_slice(&payload)
        .map_err(|error| StreamError::Unreadable { detail: error.to_string() })?;
    let Some(index) = fields.gf_index else {
        return Err(StreamError::Unreadable { detail: "no gf_index".to_owned() });
    };
    let attempt = fields.gf_attempt.and_then(|text| AttemptId::new(text).ok());
    let last = fields.choices.iter().any(|choice| choice.finish_reason.is_some());
    Ok(StreamFrame::Token(TokenFrame { attempt, index, payload, last }))
}
