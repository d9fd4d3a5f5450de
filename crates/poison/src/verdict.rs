//! What is decided about suspects.

use {
    crate::{refusal::RefusedSuspect, suspect::SuspectId},
    std::time::Duration,
};

/// What happens to a new request with its suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It is sent.
    Admitted,
    /// It is sent to see whether this refused suspect still crashes its server.
    Probed(SuspectId),
    /// It is refused.
    Refused(RefusedSuspect),
}

/// A suspect that is refused from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewRefusal {
    /// The suspect.
    pub suspect: SuspectId,
    /// Crashes that name it.
    pub crashes: usize,
    /// Different prompts that had it.
    pub prompts: usize,
    /// How long it is refused.
    pub term: Duration,
    /// Whether it was sound before these crashes.
    pub was_sound: bool,
    /// Whether there were crashes at the same time that do not name it.
    pub has_other_crashes: bool,
}
