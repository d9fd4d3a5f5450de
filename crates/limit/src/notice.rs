//! What answers and other processes say about the limits of servers.

use {
    base::{HostId, RatePerSecond},
    std::time::Duration,
};

/// What one answer of a server says about its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NamedLimit {
    /// The server names no limit: it has none.
    #[default]
    Absent,
    /// The requests per second that the server accepts from all processes together.
    Rate(RatePerSecond),
    /// The value can't be used. It neither sets nor ends a limit.
    Unreadable,
}

base::value_type!(
    /// What one process tells the others about the limit of one server.
    pub struct LimitNotice {
        /// Id of the server.
        pub server: HostId,
        /// Its limit; `None` if it has none any more.
        pub rate: Option<RatePerSecond>,
        /// Time since the answer that showed it was received.
        pub age: Duration,
    }
);

base::value_type!(
    /// What a process that shares the rate of a server says to one that asks to send it a request.
    #[derive(Copy)]
    pub enum AskOutcome {
        /// The request may be sent.
        Granted,
        /// It may not, and there is no use in asking again before this time has passed.
        Denied(Duration),
    }
);

/// A change of the known limit of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Id of the server.
    pub server: HostId,
    /// Its limit before the change, if any.
    pub before: Option<RatePerSecond>,
    /// Its limit now, if any.
    pub after: Option<RatePerSecond>,
}
