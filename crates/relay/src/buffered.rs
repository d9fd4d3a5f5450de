//! Buffers answers that are not streams, so that the caller gets a complete one or none, and bounds
//! what is buffered of all answers.

use {
    crate::{codec::RequestCodec, loss::LossCause, send::LiveAnswer},
    bytes::{Bytes, BytesMut},
    http::Response,
    http_body_util::{BodyExt, Full},
    hyper::body::{Body, Incoming},
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// Maximum size of a buffered answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of all that is buffered of answers, in bytes: answers that are not streams, events that
/// are not complete, and events that callers have not taken. Many endless answers at once must not
/// exhaust the memory of a small host.
const MAX_BUFFERED_BYTES: usize = 24 * 1024 * 1024;

/// Bytes that are buffered for all requests of a process.
#[derive(Debug, Default)]
pub(crate) struct BufferBudget {
    used: AtomicUsize,
}

impl BufferBudget {
    /// A part of the budget that uses nothing yet.
    pub(crate) fn open(self: &Arc<Self>) -> BufferShare {
        BufferShare { budget: self.clone(), bytes: 0 }
    }
}

/// The part of the budget that one buffer uses, until it is dropped.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: Arc<BufferBudget>,
    bytes: usize,
}

impl BufferShare {
    /// Sets how many bytes the buffer holds; false if it or all of them together become too large.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let before = std::mem::replace(&mut self.bytes, bytes);
        let used = &self.budget.used;
        if bytes <= before {
            used.fetch_sub(before - bytes, Ordering::Relaxed);
            return true;
        }
        let grown = bytes - before;
        let total = used.fetch_add(grown, Ordering::Relaxed) + grown;
        bytes <= MAX_ANSWER_BYTES && total <= MAX_BUFFERED_BYTES
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the whole answer within `remaining`.
pub(crate) async fn collect_answer<C: RequestCodec>(
    codec: &C,
    budget: &Arc<BufferBudget>,
    answer: Box<LiveAnswer>,
    remaining: Duration,
) -> Result<Response<Full<Bytes>>, LossCause> {
    let LiveAnswer { mut head, body, .. } = *answer;
    let Ok(collected) = timeout(remaining, collect_body(budget, body)).await else {
        return Err(LossCause::Incomplete);
    };
    let bytes = collected?;
    codec.strip_answer(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Ok(Response::from_parts(head, Full::new(bytes)))
}

async fn collect_body(budget: &Arc<BufferBudget>, mut body: Incoming) -> Result<Bytes, LossCause> {
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(LossCause::LengthTooLarge);
    }
    let mut share = budget.open();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| LossCause::Truncated)?;
        let Ok(bytes) = frame.into_data() else { continue };
        if !share.resize(collected.len() + bytes.len()) {
            return Err(LossCause::TooLarge);
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
