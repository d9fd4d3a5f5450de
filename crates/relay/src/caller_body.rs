//! Reads the bodies of callers' requests.

use {
    crate::{
        identity::IdentityHasher,
        request::{Refusal, RefusalKind},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::timeout,
};

/// Reads a body of at most `limit` bytes within `wait`, and adds it to the request's identity.
pub(crate) async fn read_body(
    body: Incoming,
    limit: usize,
    wait: Duration,
    identity: &mut IdentityHasher,
) -> Result<Bytes, Refusal> {
    let hashed = Limited::new(body, limit).map_frame(|frame| {
        if let Some(bytes) = frame.data_ref() {
            identity.update(bytes);
        }
        frame
    });
    match timeout(wait, hashed.collect()).await {
        Err(_) => Err(Refusal::new(RefusalKind::TimedOutUnsent)),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::new(RefusalKind::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Refusal::new(RefusalKind::BadHead)),
    }
}
