//! Deadline, priority and keys of a request, parsed from its headers.

use {
    crate::{
        refusal::{Refusal, RefusalKind},
        snapshot::KeyDigest,
    },
    base::{IdempotencyKey, Tick},
    engine::wire,
    http::{HeaderMap, header},
    sha2::{Digest, Sha256},
    std::time::Duration,
};

/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 5;
/// Priorities range from 0 (lowest) to this one.
const MAX_PRIORITY: u8 = 9;

/// Default and upper bound of request deadlines, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct DeadlineBounds {
    /// Used for a request without a deadline header.
    pub default_deadline: Duration,
    /// Requests with a longer deadline are refused.
    pub max_deadline: Duration,
}

/// Arrival time of a request and the parameters from its headers.
#[derive(Clone, Debug)]
pub struct RequestContext {
    /// When this gateway received the request.
    pub arrived: Tick,
    /// When the answer must be complete.
    pub deadline: Tick,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Idempotency key; a request with one is run at most once.
    pub key: Option<IdempotencyKey>,
}

impl RequestContext {
    /// Parses the headers of a request that was received at `arrived`.
    pub fn parse(
        headers: &HeaderMap,
        arrived: Tick,
        bounds: DeadlineBounds,
    ) -> Result<Self, Refusal> {
        Ok(Self {
            arrived,
            deadline: arrived + parse_deadline(headers, bounds)?,
            priority: parse_priority(headers)?,
            key: parse_idempotency_key(headers)?,
        })
    }
}

/// Returns the SHA-256 digest of the API key in the `Authorization` header.
pub fn parse_bearer_key(headers: &HeaderMap) -> Result<KeyDigest, Refusal> {
    let missing = || {
        let detail = "send the workspace's key as `Authorization: Bearer KEY`";
        Refusal::not_run(RefusalKind::UnknownKey, detail)
    };
    let value = headers.get(header::AUTHORIZATION).ok_or_else(missing)?;
    let (scheme, key) =
        value.to_str().ok().and_then(|text| text.split_once(' ')).ok_or_else(missing)?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(missing());
    }
    Ok(Sha256::digest(key.trim().as_bytes()).into())
}

fn parse_deadline(headers: &HeaderMap, bounds: DeadlineBounds) -> Result<Duration, Refusal> {
    let Some(text) = header_text(headers, wire::DEADLINE_HEADER)? else {
        return Ok(bounds.default_deadline);
    };
    let max_millis = bounds.max_deadline.as_millis() as u64;
    match text.parse::<u64>() {
        Ok(millis) if (1..=max_millis).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => Err(bad_header(
            wire::DEADLINE_HEADER,
            text,
            &format!("a whole number of milliseconds from 1 to {max_millis}"),
        )),
    }
}

fn parse_priority(headers: &HeaderMap) -> Result<u8, Refusal> {
    let Some(text) = header_text(headers, wire::PRIORITY_HEADER)? else {
        return Ok(DEFAULT_PRIORITY);
    };
    match text.parse::<u8>() {
        Ok(priority) if priority <= MAX_PRIORITY => Ok(priority),
        _ => Err(bad_header(wire::PRIORITY_HEADER, text, "a whole number from 0 to 9")),
    }
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(text) = header_text(headers, wire::IDEMPOTENCY_HEADER)? else { return Ok(None) };
    match IdempotencyKey::new(text) {
        Ok(key) => Ok(Some(key)),
        Err(error) => Err(bad_header(wire::IDEMPOTENCY_HEADER, text, &error.to_string())),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(bad_header(name, "(not text)", "visible ASCII text")),
    }
}

fn bad_header(name: &str, given: &str, expected: &str) -> Refusal {
    let detail = format!("header {name}: `{given}` is not usable; wanted: {expected}");
    Refusal::not_run(RefusalKind::BadRequest, detail)
}
