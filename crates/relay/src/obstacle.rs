//! Why a request is sent to no server, or to no further one.

use std::fmt;

/// What keeps a request from being sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendObstacle {
    /// The route allows no further send.
    Attempts,
    /// Too little of the request's time is left.
    Time,
    /// This process may end before the request does.
    Stop,
    /// No server is left: there is none for the model, or each was tried, leaves or wants no requests.
    NoServer,
    /// Every server that is left has as much work as it can run at once.
    Full,
    /// Every server that is left is at the limit that it named.
    Limit,
    /// The retries for the service are used up.
    RetryBudget,
    /// The request may crash the next server too.
    Suspect,
}

impl SendObstacle {
    /// Whether it may be gone before the request's time is over.
    pub(crate) fn may_pass(self) -> bool {
        match self {
            Self::NoServer | Self::Full | Self::Limit | Self::RetryBudget => true,
            Self::Attempts | Self::Time | Self::Stop | Self::Suspect => false,
        }
    }

    /// The value of this obstacle in logs and metric labels.
    pub fn label(self) -> &'static str {
        match self {
            Self::Attempts => "attempts-used",
            Self::Time => "no-time",
            Self::Stop => "stopping",
            Self::NoServer => "no-server-left",
            Self::Full => "all-full",
            Self::Limit => "at-limit",
            Self::RetryBudget => "retry-budget",
            Self::Suspect => "suspect",
        }
    }
}

impl fmt::Display for SendObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.label())
    }
}
