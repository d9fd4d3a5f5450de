//! Waits until a stream has begun in earnest.

use {
    crate::{
        loss::LossCause,
        memory::BufferShare,
        reader::{EventReader, ReadStep},
        send::{LiveAnswer, SendOutcome},
    },
    http_body_util::BodyExt,
    tokio::time::{Instant, timeout_at},
};

/// Waits for the first event of a stream, or for its whole end if it is resumed after the event `after`.
/// Until then the server has promised nothing. What was read stays with the answer.
pub(crate) async fn wait_for_event(
    mut answer: Box<LiveAnswer>,
    after: Option<u64>,
    shares: [BufferShare; 2],
    ends_at: Instant,
) -> SendOutcome {
    let [share, mut early_share] = shares;
    let mut reader = EventReader::new(share, after);
    loop {
        let Ok(frame) = timeout_at(ends_at, answer.body.frame()).await else {
            return SendOutcome::Lost(LossCause::NoAnswer);
        };
        if let Some(Ok(frame)) = &frame
            && let Some(bytes) = frame.data_ref()
        {
            answer.early.push_back(bytes.clone());
            let held = answer.early.iter().map(|bytes| bytes.len()).sum();
            if !early_share.resize(held) {
                return SendOutcome::Lost(LossCause::TooLarge);
            }
        }
        match reader.read(frame) {
            ReadStep::NoEvent => {}
            ReadStep::Events(_) | ReadStep::End(Ok(())) => return SendOutcome::Begun(answer),
            ReadStep::End(Err(why)) => return SendOutcome::Lost(why),
        }
    }
}
