//! What answers say about the limits of servers.

use base::RatePerSecond;

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
