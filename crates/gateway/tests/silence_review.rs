//! Engines that are silent for a moment beside others that refuse.

mod support;

use {
    engine::NotRunReason,
    std::time::Duration,
    support::{
        client::CallerRequest,
        models::{
            Script,
            Step::{Last, Pause, Token},
        },
        test_gateway::TestGateway,
    },
};

/// A stream of a live engine that was silent for a moment was cut, because it was given up before
/// another engine had taken it.
#[tokio::test(start_paused = true)]
async fn a_silent_stream_is_kept_until_another_engine_has_it() {
    let gateway = TestGateway::new().await;
    let slow = vec![Token(0), Pause(Duration::from_millis(1_200)), Token(1), Last(2)];
    let refused = || Script::Refuse(NotRunReason::Full);
    gateway.models.plan([Script::Stream(slow), refused(), refused(), refused()]);
    let answer = gateway.call(CallerRequest::chat(true)).await;
    assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
}
