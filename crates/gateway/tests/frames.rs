//! Only frames of the current attempt reach the caller, each once and in order.

mod support;

use {
    base::AttemptId,
    bytes::Bytes,
    engine::TokenFrame,
    gateway::sequence::FrameSequence,
    support::{
        client::CallerRequest,
        models::{
            Script,
            Step::{self, Break, End, Foreign, Last, Token},
        },
        test_gateway::TestGateway,
    },
    yare::parameterized,
};

#[parameterized(
    in_order = { vec![Token(0), Token(1), Last(2), End] },
    duplicated = { vec![Token(0), Token(0), Token(1), Token(1), Last(2), Last(2), End] },
    late = { vec![Token(0), Token(1), Token(0), Last(2), End] },
    out_of_order = { vec![Token(1), Token(0), Last(2), End] },
    last_first = { vec![Last(2), Token(1), Token(0), End] },
    foreign_before = { vec![Foreign(0), Token(0), Token(1), Last(2), End] },
    foreign_between = { vec![Token(0), Foreign(1), Foreign(2), Token(1), Last(2), End] },
    foreign_ahead = { vec![Token(0), Foreign(5), Token(1), Last(2), End] },
    without_end_mark = { vec![Token(0), Token(1), Last(2)] },
    broken_after_last = { vec![Token(0), Token(1), Last(2), Break] },
)]
fn disordered_stream_is_delivered_complete(steps: Vec<Step>) {
    run_paused(async move {
        let gateway = TestGateway::new().await;
        gateway.models.plan([Script::Stream(steps)]);
        let answer = gateway.call(CallerRequest::chat(true)).await;
        assert_eq!(answer.tokens(), (vec![0, 1, 2], true));
        assert_eq!(gateway.models.dispatches().len(), 1);
    });
}

#[parameterized(
    gap = { vec![Token(0), Token(2), Token(3), Last(4), End], 1 },
    gap_filled_by_another = { vec![Token(0), Foreign(1), Token(2), Last(4), End], 1 },
    end_mark_too_early = { vec![Token(0), Token(1), End], 2 },
    only_end_mark = { vec![End], 0 },
    closed_too_early = { vec![Token(0), Token(1), Token(2)], 3 },
)]
fn missing_frames_are_requested_again(steps: Vec<Step>, offset: u64) {
    run_paused(async move {
        let gateway = TestGateway::new().await;
        gateway.models.plan([Script::Stream(steps)]);
        let answer = gateway.call(CallerRequest::chat(true)).await;
        assert_eq!(answer.tokens(), (vec![0, 1, 2, 3, 4], true));
        let dispatches = gateway.models.dispatches();
        assert_eq!(dispatches.len(), 2);
        assert_eq!(dispatches[1].offset, offset);
        assert_ne!(dispatches[0].attempt, dispatches[1].attempt);
    });
}

#[test]
fn frames_of_an_earlier_attempt_are_dropped_after_a_resume() {
    let first = AttemptId::new("first").unwrap();
    let second = AttemptId::new("second").unwrap();
    let mut sequence = FrameSequence::new(first.clone());
    sequence.accept(frame(&first, 0));
    assert_eq!(sequence.pop().map(|frame| frame.index), Some(0));
    sequence.accept(frame(&first, 2));
    sequence.resume(second.clone());
    sequence.accept(frame(&first, 1));
    assert_eq!(sequence.pop(), None);
    sequence.accept(frame(&second, 1));
    assert_eq!(sequence.pop().map(|frame| frame.index), Some(1));
    // Frame 2 of the first attempt must not be delivered.
    assert_eq!(sequence.pop(), None);
    assert_eq!(sequence.delivered(), 2);
}

#[test]
fn frames_far_ahead_are_dropped() {
    let attempt = AttemptId::new("one").unwrap();
    let mut sequence = FrameSequence::new(attempt.clone());
    for index in 1..10_000 {
        sequence.accept(frame(&attempt, index));
    }
    assert!(sequence.dropped() > 9_000);
    sequence.accept(frame(&attempt, 0));
    assert_eq!(sequence.pop().map(|frame| frame.index), Some(0));
}

fn frame(attempt: &AttemptId, index: u64) -> TokenFrame {
    TokenFrame { attempt: Some(attempt.clone()), index, payload: Bytes::new(), last: false }
}

fn run_paused(test: impl Future<Output = ()>) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().start_paused(true).build().unwrap().block_on(test);
}
