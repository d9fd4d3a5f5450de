//! Decides whether a request is served: its route, its key, its body and what is known of it.

use {
    crate::{
        caller_body::{BodyLimits, BodyReader},
        codec::RequestCodec,
        config::{RelayConfig, RouteRule},
        identity::IdentityHasher,
        request::{CallerHead, Refusal, RefusalKind, RequestId},
        room::{RoomDemand, RoomPool},
        service::{CallContext, DEFAULT_RETRY_AFTER, RelayService},
        standing::{ConfigDoubt, NEWER_CONFIG_WAIT},
        trace::RequestTrace,
    },
    base::{ServiceName, WorkspaceId},
    hyper::body::Incoming,
    poison::{RequestSuspects, SuspectVerdict},
    std::sync::{Arc, atomic::Ordering},
    tokio::time::{Instant, timeout_at},
    tracing::info,
};

impl<C: RequestCodec> RelayService<C> {
    /// Finds the route, checks the key and reads the body.
    pub(crate) async fn admit(
        self: Arc<Self>,
        head: http::request::Parts,
        caller: CallerHead,
        body: Incoming,
        trace: Arc<RequestTrace>,
    ) -> Result<CallContext, Refusal> {
        let began = trace.began;
        let config = self.admitting_config(&caller, head.uri.path()).await?;
        let (route, workspace) = find_route(&config, &caller, head.uri.path())?;
        trace.set_kind(route.kind);
        self.shared.in_traffic.store(true, Ordering::Relaxed);
        let limit = caller.deadline.unwrap_or(route.timeout).min(route.timeout);
        let service = pick_service(route)
            .ok_or(Refusal::until(RefusalKind::NoServer, DEFAULT_RETRY_AFTER))?;
        let mut identity = IdentityHasher::new(&head, &caller, &service, workspace.as_ref());
        let limits = BodyLimits { bytes: config.limits.body_bytes, wait: limit };
        let (budget, clock) = (&self.shared.buffers, &self.shared.clock);
        let owner = trace.presence.address();
        let reader = BodyReader { budget, clock, id: &caller.id, owner };
        let arriving = trace.presence.begin_body();
        let body = reader.read(body, limits, &mut identity).await?;
        drop(arriving);
        let expires_at = began + limit;
        // After the body: closing a connection with unread bytes can lose the answer.
        if !self.shared.stop.covers(expires_at) {
            return Err(self.stop_refusal());
        }
        let suspects = RequestSuspects::new(&caller.parts, identity.finish());
        self.admit_suspects(&caller.id, &suspects)?;
        self.shared.budget.note_request(&service, began);
        let room = find_room(&config, route, &service, workspace.as_ref(), &caller);
        Ok(CallContext {
            id: caller.id,
            kind: route.kind,
            route: route.name.clone(),
            attempts: route.attempts.max(1),
            service,
            workspace,
            model: caller.model,
            size: caller.size,
            resumed_after: caller.last_event.filter(|_| route.kind.is_resumable()),
            room,
            suspects,
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            began,
            expires_at,
            trace,
        })
    }

    /// Refuses a new request that crashes servers, unless it is a probe.
    fn admit_suspects(&self, id: &RequestId, suspects: &RequestSuspects) -> Result<(), Refusal> {
        match self.shared.poison.admit(suspects) {
            SuspectVerdict::Admitted => Ok(()),
            SuspectVerdict::Probed(suspect) => {
                info!(id = %id, decision = "suspect-probed", %suspect, "request");
                Ok(())
            }
            SuspectVerdict::Refused(refused) => {
                info!(id = %id, decision = "suspect-refused", suspect = %refused.suspect,
                    left_s = refused.left.as_secs(), "request");
                Err(Refusal::until(refused.suspect.kind().into(), refused.left))
            }
        }
    }

    /// The configuration that admits a request. One that has no route or key for it decides only if
    /// it is known to be recent: a newer one may have them.
    async fn admitting_config(
        &self,
        caller: &CallerHead,
        path: &str,
    ) -> Result<Arc<RelayConfig>, Refusal> {
        let mut standing = self.shared.standing.subscribe();
        let half_deadline = caller.deadline.map_or(NEWER_CONFIG_WAIT, |deadline| deadline / 2);
        let until = Instant::now() + NEWER_CONFIG_WAIT.min(half_deadline);
        loop {
            // Read before the configuration, so that a replacement in between is not missed.
            let doubt = standing.borrow_and_update().doubt(self.shared.clock.now());
            let config = self.shared.config.load_full();
            let config =
                config.ok_or(Refusal::until(RefusalKind::NoConfig, DEFAULT_RETRY_AFTER))?;
            let Err(refusal) = find_route(&config, caller, path) else { return Ok(config) };
            let is_settled = match doubt {
                None => return Err(refusal),
                Some(ConfigDoubt::Behind) => timeout_at(until, standing.changed()).await.is_ok(),
                // There may be no newer one to wait for.
                Some(ConfigDoubt::Unconfirmed) => false,
            };
            if !is_settled {
                let kind = RefusalKind::ConfigInDoubt;
                return Err(Refusal::until(kind, DEFAULT_RETRY_AFTER));
            }
        }
    }
}

fn find_route<'a>(
    config: &'a RelayConfig,
    caller: &CallerHead,
    path: &str,
) -> Result<(&'a RouteRule, Option<WorkspaceId>), Refusal> {
    let route = config.route(&caller.host, path).ok_or(Refusal::new(RefusalKind::NoRoute))?;
    let workspace = caller.key.as_ref().and_then(|key| config.workspace(key));
    if workspace.is_none() && config.needs_keys() && !route.public {
        return Err(Refusal::new(RefusalKind::UnknownKey));
    }
    Ok((route, workspace.cloned()))
}

/// The room that a request asks for: that of the servers of its model, if its route has a goal for
/// streams.
fn find_room(
    config: &RelayConfig,
    route: &RouteRule,
    service: &ServiceName,
    workspace: Option<&WorkspaceId>,
    caller: &CallerHead,
) -> Option<RoomDemand> {
    let terms = config.terms().find(&route.name, workspace).filter(|_| route.kind.is_stream())?;
    let pool = RoomPool { service: service.clone(), model: caller.model.clone()? };
    Some(RoomDemand { pool, terms, is_resumed: caller.last_event.is_some() })
}

/// Picks one of the route's services at random, by their weights.
fn pick_service(route: &RouteRule) -> Option<ServiceName> {
    let total: f64 = route.splits.iter().map(|split| split.weight).sum();
    let mut sample = rand::random::<f64>() * total;
    let mut positive = route.splits.iter().filter(|split| split.weight > 0.0);
    for split in positive.clone() {
        if sample < split.weight {
            return Some(split.service.clone());
        }
        sample -= split.weight;
    }
    positive.next_back().map(|split| split.service.clone())
}
