//! Answers that are taken in whole before the caller gets any of it.

use {
    crate::{codec::RequestCodec, send::LiveAnswer},
    bytes::Bytes,
    http::Response,
    http_body_util::{BodyExt, Full, Limited},
    std::time::Duration,
    tokio::time::timeout,
};

/// Largest answer that is kept in memory, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Takes the whole answer in, at most for `left`; says why it did not come whole otherwise.
pub(crate) async fn collect_answer<C: RequestCodec>(
    codec: &C,
    answer: Box<LiveAnswer>,
    left: Duration,
) -> Result<Response<Full<Bytes>>, &'static str> {
    let LiveAnswer { mut head, body, .. } = *answer;
    let collecting = timeout(left, Limited::new(body, MAX_ANSWER_BYTES).collect());
    let bytes = match collecting.await {
        Err(_) => return Err("no whole answer in time"),
        Ok(Err(_)) => return Err("answer broke off"),
        Ok(Ok(collected)) => collected.to_bytes(),
    };
    codec.strip_answer(&mut head.headers);
    Ok(Response::from_parts(head, Full::new(bytes)))
}
