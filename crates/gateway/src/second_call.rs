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
    /// The attempt's permit.
    pub permit: Arc<RequestPermit>,
    /// Why it was not run, if that is known.
    pub not_run: Option<NotRunReason>,
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
        self.progress.second_permits.add(permit.clone());
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
        Err(DispatchError::NotRun { reason, .. }) => {
            Err(FailedCall { target, permit, not_run: Some(reason) })
        }
        Ok(_) | Err(DispatchError::Unknown { .. }) => {
            Err(FailedCall { target, permit, not_run: None })
        }
    }
}
