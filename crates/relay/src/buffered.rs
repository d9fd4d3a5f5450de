//! Buffers answers that are not streams, so that the caller gets a complete one or none.

use {
    crate::{
        answer_body::{AnswerBytes, RelayBody},
        codec::RequestCodec,
        loss::LossCause,
        memory::{BufferShare, MAX_ANSWER_BYTES},
        send::LiveAnswer,
        shared::RelayShared,
    },
    bytes::BytesMut,
    http::Response,
    http_body_util::{BodyExt, Full},
    hyper::body::{Body, Incoming},
    std::time::Duration,
    tokio::{task::yield_now, time::timeout},
};

/// Time after which a caller that does not read gives up its answer where others need the room.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// Connections that are closed for the room of one answer at a time.
const CUT_AT_ONCE: usize = 16;

/// Reads the whole answer within `remaining`.
pub(crate) async fn collect_answer<C: RequestCodec>(
    codec: &C,
    shared: &RelayShared,
    answer: Box<LiveAnswer>,
    remaining: Duration,
) -> Result<Response<RelayBody>, LossCause> {
    let LiveAnswer { mut head, body, .. } = *answer;
    let Ok(collected) = timeout(remaining, collect_body(shared, body)).await else {
        return Err(LossCause::Incomplete);
    };
    let bytes = collected?;
    codec.strip_answer(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Ok(Response::from_parts(head, RelayBody::Whole(Full::new(bytes))))
}

async fn collect_body(shared: &RelayShared, mut body: Incoming) -> Result<AnswerBytes, LossCause> {
    if body.size_hint().lower() > MAX_ANSWER_BYTES as u64 {
        return Err(LossCause::LengthTooLarge);
    }
    let mut share = shared.buffers.open();
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| LossCause::Truncated)?;
        let Ok(bytes) = frame.into_data() else { continue };
        let fits = share.resize(collected.len() + bytes.len());
        if !fits && !make_room(shared, &share).await {
            return Err(LossCause::TooLarge);
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(AnswerBytes::whole(collected.freeze(), share))
}

/// Closes connections whose callers do not read their answers until a share fits; false if there are none
/// left.
async fn make_room(shared: &RelayShared, share: &BufferShare) -> bool {
    while !share.fits() {
        if share.is_too_large() || shared.connections.cut_unread(UNREAD_TIME, CUT_AT_ONCE) == 0 {
            return false;
        }
        // The tasks of closed connections give back their room as they end.
        yield_now().await;
    }
    true
}
