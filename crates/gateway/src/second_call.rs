//! Second attempts of a plain service's call, beside one whose host is alive and silent.

use {
    crate::{
        core::GatewayCore,
        permit::RequestPermit,
        pick::PickedTarget,
        service_run::{CallProgress, ServiceRun},
        silence::{SecondAttempts, SecondFuture},
    },
    engine::{DispatchError, NotRunReason, ServiceDispatch, WholeAnswer},
    futures::FutureExt,
    route::RouteTarget,
    std::sync::Arc,
};

/// An answer that arrived before that of the present attempt.
pub struct AnsweredCall {
    /// The server that gave it.
    pub picked: PickedTarget,
    /// Its answer, which is no error of the server.
    pub answer: WholeAnswer,
}

/// A second attempt that ended without an answer.
pub struct FailedCall {
    /// Where the call was sent.
    pub target: Arc<RouteTarget>,
    /// Whether the server may have run it.
    pub may_have_run: bool,
    /// Whether the server is not asked again for this call.
    pub avoid: bool,
}

/// Starts second attempts of a call.
pub struct CallSeconds<'a, 'p> {
    /// State of the process.
    pub core: &'a GatewayCore,
    /// The call.
    pub run: &'a ServiceRun,
    /// Target of the present attempt.
    pub present: &'p RouteTarget,
    /// Counts the attempts and keeps the targets that are not tried again.
    pub progress: &'p mut CallProgress,
}

impl<'a> SecondAttempts<'a, AnsweredCall, FailedCall> for CallSeconds<'a, '_> {
    fn start(&mut self) -> Option<SecondFuture<'a, AnsweredCall, FailedCall>> {
        let picked = self.run.pick_second(self.core, self.progress, self.present)?;
        let permit = self.run.permit(self.core, &picked);
        let remaining = self.run.context.deadline.since(self.core.now());
        let dispatch = self.run.dispatch(self.core, &picked, permit.clone(), remaining);
        Some(call_second(self.core, picked, permit, dispatch).boxed())
    }

    fn note_failure(&mut self, failure: FailedCall) {
        self.run.note_failed_second(self.core, self.progress, &failure);
    }
}

async fn call_second(
    core: &GatewayCore,
    picked: PickedTarget,
    permit: Arc<RequestPermit>,
    dispatch: ServiceDispatch,
) -> Result<AnsweredCall, FailedCall> {
    let target = picked.target.clone();
    match core.ports.services.call(dispatch).await {
        Ok(answer) if !answer.status.is_server_error() => Ok(AnsweredCall { picked, answer }),
        Ok(_) => Err(FailedCall { target, may_have_run: true, avoid: true }),
        Err(DispatchError::NotRun { reason, .. }) => {
            let avoid = reason != NotRunReason::PermitEnded;
            Err(FailedCall { target, may_have_run: false, avoid })
        }
        Err(DispatchError::Unknown { .. }) => {
            Err(FailedCall { target, may_have_run: permit.was_used(), avoid: true })
        }
    }
}
