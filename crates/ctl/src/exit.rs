//! Exit codes, one for each thing a script has to tell apart.

use std::process::ExitCode;

/// How a run of `gfctl` ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The answer was printed; a submitted or followed ticket is accepted and in force.
    Accepted,
    /// A controller answered that it cannot do this, or nothing has that name.
    Failed,
    /// The command line, settings file or ticket file has faults; nothing was sent.
    BadInput,
    /// The ticket is refused; nothing of it takes effect.
    Refused,
    /// The ticket is committed but not in force yet.
    Pending,
    /// Whether the ticket was committed is not known; submit it again with the same submission id.
    Unknown,
    /// No controller could be reached; nothing was sent.
    Unreachable,
}

impl ExitStatus {
    /// The code the process ends with.
    pub fn code(self) -> u8 {
        match self {
            Self::Accepted => 0,
            Self::Failed => 1,
            Self::BadInput => 2,
            Self::Refused => 3,
            Self::Pending => 4,
            Self::Unknown => 5,
            Self::Unreachable => 6,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
