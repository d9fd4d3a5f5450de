//! Buffers answers that are not streams, so that the caller gets a complete one or none.

use {
    crate::{codec::RequestCodec, send::LiveAnswer},
    bytes::Bytes,
    http::Response,
    http_body_util::{BodyExt, Full, Limited},
    std::time::Duration,
    tokio::time::timeout,
};

/// Maximum size of a buffered answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Reads the whole answer within `remaining`. The error is the reason for the log.
pub(crate) async fn collect_answer<C: RequestCodec>(
    codec: &C,
    answer: Box<LiveAnswer>,
    remaining: Duration,
) -> Result<Response<Full<Bytes>>, &'static str> {
    let LiveAnswer { mut head, body, .. } = *answer;
    let collecting = timeout(remaining, Limited::new(body, MAX_ANSWER_BYTES).collect());
    let bytes = match collecting.await {
        Err(_) => return Err("answer incomplete at the deadline"),
        Ok(Err(_)) => return Err("answer truncated or too large"),
        Ok(Ok(collected)) => collected.to_bytes(),
    };
    codec.strip_answer(&mut head.headers);
    Ok(Response::from_parts(head, Full::new(bytes)))
}
