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
        /// Time since the answer that showed it was received, or, where the limit has ended, since
        /// the request of that answer was sent.
        pub age: Duration,
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
