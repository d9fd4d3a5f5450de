//! Converts answers to and from the form in which claim rows store them.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    engine::WholeAnswer,
    http::{HeaderValue, StatusCode},
    infra::{ClaimState, StoredAnswer, StoredBody},
    smol_str::SmolStr,
};

/// Size limit of a stored answer's body.
pub const MAX_STORED_BYTES: usize = 64 * 1024;

/// Returns the claim state that stores `answer`, or `AnswerTooLarge` above [`MAX_STORED_BYTES`].
pub fn stored_state(answer: &WholeAnswer) -> ClaimState {
    if answer.body.len() > MAX_STORED_BYTES {
        return ClaimState::AnswerTooLarge;
    }
    let body = match std::str::from_utf8(&answer.body) {
        Ok(text) => StoredBody::Text(text.to_owned()),
        Err(_) => StoredBody::Base64(STANDARD.encode(&answer.body)),
    };
    let content_type = answer.content_type.as_ref().and_then(|value| value.to_str().ok());
    ClaimState::Answered(StoredAnswer {
        status: answer.status.as_u16(),
        content_type: content_type.map(SmolStr::new),
        body,
    })
}

/// Restores a stored answer. Returns `None` if the row does not hold a valid one.
pub fn restore_answer(stored: &StoredAnswer) -> Option<WholeAnswer> {
    let body = match &stored.body {
        StoredBody::Text(text) => Bytes::from(text.clone()),
        StoredBody::Base64(text) => STANDARD.decode(text).ok()?.into(),
    };
    let content_type = match &stored.content_type {
        Some(text) => Some(HeaderValue::from_str(text).ok()?),
        None => None,
    };
    Some(WholeAnswer { status: StatusCode::from_u16(stored.status).ok()?, content_type, body })
}
