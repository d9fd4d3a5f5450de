//! Second attempts of a completion, beside one whose host is alive and silent.

use {
    crate::{
        attempt::{Attempt, DispatchEnd, lost},
        core::GatewayCore,
        permit::RequestPermit,
        run::{CompletionRun, RunProgress},
        silence::{SecondAttempts, SecondFuture},
    },
    engine::{FrameStream, ModelAnswer, ModelDispatch, StreamFrame, TokenFrame, WholeAnswer},
    futures::{FutureExt, StreamExt},
    route::RouteTarget,
    std::sync::Arc,
};

/// The first progress of a second attempt.
pub enum SecondAnswer {
    /// The stream, after its first frame that the caller needs.
    Stream(FrameStream, TokenFrame),
    /// A single response.
    Whole(WholeAnswer),
}

/// A second attempt that gave progress before the present one.
pub struct OpenedAttempt<'a> {
    /// Runs on in place of the present attempt.
    pub attempt: Attempt<'a>,
    /// What it gave.
    pub answer: SecondAnswer,
}

/// A second attempt that ended without progress.
pub struct FailedAttempt<'a> {
    /// Where the request was sent.
    pub target: Arc<RouteTarget>,
    /// The attempt's permit.
    pub permit: Arc<RequestPermit>,
    /// Why it ended.
    pub end: DispatchEnd<'a>,
}

/// Asks the engine to cancel an attempt that is dropped.
struct CancelGuard<'a>(Option<Attempt<'a>>);

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = &self.0 {
            attempt.cancel_if_sent();
        }
    }
}

/// Starts second attempts of a completion.
pub struct CompletionSeconds<'a, 'p> {
    /// State of the process.
    pub core: &'a Arc<GatewayCore>,
    /// The request.
    pub run: &'a CompletionRun,
    /// Target of the present attempt, which is chosen again only if no other one has room.
    pub present: &'p RouteTarget,
    /// Counts the attempts and keeps the targets that refused the request.
    pub progress: &'p mut RunProgress,
}

impl<'a> SecondAttempts<'a, Box<OpenedAttempt<'a>>, FailedAttempt<'a>>
    for CompletionSeconds<'a, '_>
{
    fn start(&mut self) -> Option<SecondFuture<'a, Box<OpenedAttempt<'a>>, FailedAttempt<'a>>> {
        let picked = self.run.pick_second(self.core, self.progress, self.present)?;
        let attempt = Attempt::new(self.core, self.run, picked);
        self.progress.second_permits.add(attempt.permit.clone());
        let dispatch = ModelDispatch { new_connection: true, ..attempt.dispatch(self.progress) };
        Some(run_second(attempt, dispatch).boxed())
    }

    fn note_failure(&mut self, failure: FailedAttempt<'a>) {
        self.run.note_failed_second(self.core, self.progress, &failure);
    }
}

async fn run_second<'a>(
    attempt: Attempt<'a>,
    dispatch: ModelDispatch,
) -> Result<Box<OpenedAttempt<'a>>, FailedAttempt<'a>> {
    let (target, permit) = (attempt.picked.target.clone(), attempt.permit.clone());
    let mut guard = CancelGuard(Some(attempt));
    let attempt = guard.0.as_ref().expect("taken below only");
    match first_progress(attempt, dispatch).await {
        Ok(answer) => {
            let attempt = guard.0.take().expect("taken here only");
            Ok(Box::new(OpenedAttempt { attempt, answer }))
        }
        Err(end) => Err(FailedAttempt { target, permit, end }),
    }
}

async fn first_progress<'a>(
    attempt: &Attempt<'a>,
    dispatch: ModelDispatch,
) -> Result<SecondAnswer, DispatchEnd<'a>> {
    let offset = dispatch.offset;
    let opening = attempt.open_and_read(dispatch, |frame| frame.index >= offset);
    let answer = attempt.while_alive(opening).await?;
    match answer {
        SecondAnswer::Whole(answer) if offset > 0 || answer.status.is_server_error() => {
            Err(lost("the engine answered with an error"))
        }
        answer => Ok(answer),
    }
}

/// Reads a stream up to the first frame that is `needed`.
pub async fn read_first_frame<'a>(
    answer: ModelAnswer,
    needed: impl Fn(&TokenFrame) -> bool,
) -> Result<SecondAnswer, DispatchEnd<'a>> {
    let mut stream = match answer {
        ModelAnswer::Whole(answer) => return Ok(SecondAnswer::Whole(answer)),
        ModelAnswer::Stream(stream) => stream,
    };
    loop {
        match stream.next().await {
            Some(Ok(StreamFrame::Token(frame))) if needed(&frame) => {
                return Ok(SecondAnswer::Stream(stream, frame));
            }
            Some(Ok(StreamFrame::Token(_))) => {}
            Some(Ok(StreamFrame::End)) | None => {
                return Err(lost("the stream ended too early"));
            }
            Some(Err(error)) => return Err(lost(&error.to_string())),
        }
    }
}
