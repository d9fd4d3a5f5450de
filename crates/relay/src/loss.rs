//! Why the answer of a server was lost or is incomplete.

use std::fmt;

/// Why no complete answer came from a server to which a request may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The HTTP client could not be set up on the connection.
    NoHandshake,
    /// No head of an answer came in time.
    NoAnswer,
    /// The connection ended or was reset before the answer was complete.
    ConnectionBroke,
    /// The head of the answer has a status that ends no exchange.
    NoFinalStatus,
    /// The answer does not belong to the request.
    Foreign,
    /// The stream ended before its first event.
    NoEvent,
    /// The stream ended inside an event.
    PartialEvent,
    /// The stream had no data for too long.
    Silent,
    /// The stream had data but no event for too long.
    NoProgress,
    /// An event of the stream exceeds the buffer limit.
    EventTooLong,
    /// The deadline passed before the answer was complete.
    Incomplete,
    /// The announced length exceeds the limit.
    LengthTooLarge,
    /// The connection broke inside an answer that is not a stream.
    Truncated,
    /// The answer exceeds the limit.
    TooLarge,
    /// The answer ended with its connection, and its server is not known to be sound.
    DoubtfulEnd,
    /// The same for a server that was leaving.
    LeavingEnd,
}

impl LossCause {
    /// Whether the connection ended, as it does when the server crashes.
    pub(crate) fn is_broken_connection(self) -> bool {
        matches!(
            self,
            Self::ConnectionBroke
                | Self::NoEvent
                | Self::PartialEvent
                | Self::Truncated
                | Self::DoubtfulEnd
        )
    }

    /// The value of this cause in logs and metric labels.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoHandshake => "no handshake",
            Self::NoAnswer => "no answer in time",
            Self::ConnectionBroke => "connection broke",
            Self::NoFinalStatus => "no final status",
            Self::Foreign => "foreign answer",
            Self::NoEvent => "end of stream without an event",
            Self::PartialEvent => "partial event at end of stream",
            Self::Silent => "silent",
            Self::NoProgress => "bytes without an event",
            Self::EventTooLong => "event too long",
            Self::Incomplete => "answer incomplete at the deadline",
            Self::LengthTooLarge => "announced length is too large",
            Self::Truncated => "answer truncated",
            Self::TooLarge => "answer too large",
            Self::DoubtfulEnd => "server not found sound after the end",
            Self::LeavingEnd => "server left at the end",
        }
    }
}

impl fmt::Display for LossCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.label())
    }
}
