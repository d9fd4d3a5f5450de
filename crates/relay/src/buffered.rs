//! Buffers answers that are not streams, so that the caller gets a complete one or none.

use {
    crate::{
        codec::RequestCodec,
        loss::LossCause,
        memory::{MAX_ANSWER_BYTES, MemoryBudget},
        send::LiveAnswer,
    },
    bytes::{Bytes, BytesMut},
    http::Response,
    http_body_util::{BodyExt, Full},
    hyper::body::{Body, Incoming},
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Reads the whole answer within `remaining`.
pub(crate) async fn collect_answer<C: RequestCodec>(
    codec: &C,
    budget: &Arc<MemoryBudget>,
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

async fn collect_body(budget: &Arc<MemoryBudget>, mut body: Incoming) -> Result<Bytes, LossCause> {
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
