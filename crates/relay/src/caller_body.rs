//! Reads the bodies of callers' requests, each into memory that the budget has room for.

use {
    crate::{
        held_body::{GrowingBody, HeldBody},
        identity::IdentityHasher,
        memory::{MemoryBudget, MemoryShortage},
        request::{Refusal, RefusalKind, RequestId},
        service::DEFAULT_RETRY_AFTER,
    },
    base::SharedClock,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{net::IpAddr, pin::pin, sync::Arc, time::Duration},
    tokio::time::timeout,
    tracing::info,
};

/// What a body may take.
pub(crate) struct BodyLimits {
    /// Maximum size, in bytes.
    pub(crate) bytes: usize,
    /// Time within which it arrives.
    pub(crate) wait: Duration,
}

/// Reads bodies within the memory of the process.
pub(crate) struct BodyReader<'a> {
    pub(crate) budget: &'a Arc<MemoryBudget>,
    pub(crate) clock: &'a SharedClock,
    pub(crate) id: &'a RequestId,
    /// The caller's address.
    pub(crate) owner: Option<IpAddr>,
}

impl BodyReader<'_> {
    /// Reads a body and adds it to the request's identity. One whose length is announced is refused
    /// before it is read if it is too large or there is no room for it. The connection then discards a
    /// part of it, so that its caller gets the refusal.
    pub(crate) async fn read(
        &self,
        body: Incoming,
        limits: BodyLimits,
        identity: &mut IdentityHasher,
    ) -> Result<HeldBody, Refusal> {
        if body.is_end_stream() {
            return Ok(HeldBody::default());
        }
        let read = async {
            match body.size_hint().exact() {
                Some(length) if length > limits.bytes as u64 => {
                    Err(Refusal::new(RefusalKind::BodyTooLarge))
                }
                length => {
                    let held = self.hold(length.map_or(0, |length| length as usize))?;
                    self.fill(held, body, limits.bytes, identity).await
                }
            }
        };
        match timeout(limits.wait, read).await {
            Err(_) => Err(Refusal::new(RefusalKind::TimedOutUnsent)),
            Ok(result) => result,
        }
    }

    /// Reserves room for a body of an announced length, or 0.
    fn hold(&self, length: usize) -> Result<GrowingBody, Refusal> {
        let share = self.budget.admit_body(length, self.owner, self.clock.now());
        let share = share.map_err(|shortage| self.refuse(length, shortage))?;
        Ok(GrowingBody::new(share, self.clock.clone()))
    }

    async fn fill(
        &self,
        mut held: GrowingBody,
        mut body: Incoming,
        limit: usize,
        identity: &mut IdentityHasher,
    ) -> Result<HeldBody, Refusal> {
        let mut evicted = pin!(held.share().evicted());
        loop {
            let frame = tokio::select! {
                biased;
                () = &mut evicted => {
                    return Err(self.refuse_evicted(&held));
                }
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|_| Refusal::new(RefusalKind::BadHead))?;
            let Ok(bytes) = frame.into_data() else { continue };
            let length = held.length_with(bytes.len());
            if length > limit {
                return Err(Refusal::new(RefusalKind::BodyTooLarge));
            }
            held.extend(&bytes).map_err(|shortage| self.refuse(length, shortage))?;
            identity.update(&bytes);
        }
        let length = held.length();
        held.finish().map_err(|shortage| self.refuse(length, shortage))
    }

    /// Refuses a body that arrived too slowly and has lost its room to another one.
    fn refuse_evicted(&self, held: &GrowingBody) -> Refusal {
        let shortage = held.share().lost();
        let retry_after = shortage.frees_after.unwrap_or(DEFAULT_RETRY_AFTER);
        info!(id = %self.id, decision = "body-evicted", bytes = held.length(),
            held = shortage.held.0, retry_ms = retry_after.as_millis() as u64, "request");
        Refusal::until(RefusalKind::MemoryFull, retry_after)
    }

    fn refuse(&self, bytes: usize, shortage: MemoryShortage) -> Refusal {
        let retry_after = shortage.frees_after.unwrap_or(DEFAULT_RETRY_AFTER);
        info!(id = %self.id, decision = "no-memory", bytes, held = shortage.held.0,
            retry_ms = retry_after.as_millis() as u64, "request");
        Refusal::until(RefusalKind::MemoryFull, retry_after)
    }
}
