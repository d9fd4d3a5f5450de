//! Puts the token frames of one answer in order and drops foreign, duplicate and late frames.

use {base::AttemptId, engine::TokenFrame, std::collections::BTreeMap};

/// Limit of frames buffered ahead of a missing one.
const MAX_EARLY_FRAMES: usize = 64;

/// Reorders the frames of an answer across all attempts of its request.
#[derive(Debug)]
pub struct FrameSequence {
    attempt: AttemptId,
    next: u64,
    early: BTreeMap<u64, TokenFrame>,
    complete: bool,
    dropped: u64,
}

impl FrameSequence {
    /// Creates a sequence that expects frame 0 of `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, next: 0, early: BTreeMap::new(), complete: false, dropped: 0 }
    }

    /// Switches to another attempt, which continues after the frames delivered so far.
    pub fn resume(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        self.early.clear();
    }

    /// Accepts a frame from the engine. Drops frames of other attempts, duplicates, late frames and
    /// those that exceed the buffer; buffers frames that are ahead of a missing one.
    pub fn accept(&mut self, frame: TokenFrame) {
        let own = frame.attempt.as_ref() == Some(&self.attempt);
        let needed = frame.index >= self.next && !self.complete;
        let fits = frame.index == self.next || self.early.len() < MAX_EARLY_FRAMES;
        if !own || !needed || !fits || self.early.contains_key(&frame.index) {
            self.dropped += 1;
            return;
        }
        self.early.insert(frame.index, frame);
    }

    /// Removes and returns the next frame in order, if it has arrived.
    pub fn pop(&mut self) -> Option<TokenFrame> {
        let frame = self.early.remove(&self.next)?;
        self.next += 1;
        if frame.last {
            self.complete = true;
            self.dropped += self.early.len() as u64;
            self.early.clear();
        }
        Some(frame)
    }

    /// Number of frames returned by [`Self::pop`], which is the offset to resume at.
    pub fn delivered(&self) -> u64 {
        self.next
    }

    /// Whether the last frame, which carries the finish reason, was returned by [`Self::pop`].
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Number of frames dropped, over all attempts.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
