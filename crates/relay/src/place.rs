//! A place for one request at a server.

use {
    crate::{
        backlog::RequestWork,
        obstacle::SendObstacle,
        request::Refusal,
        retry::RetryPermit,
        server::{BackendServer, InFlight},
    },
    base::Tick,
    cost::FirstEventEstimate,
    std::time::Duration,
};

/// The right to send one request to one server. While it is held, the request counts as in flight at the
/// server and, unless it is the first send, against the retry budget; a place that is dropped unused
/// gives both back. Room below a limit that the server named is not given back: the process that
/// granted it has passed its turn on.
#[derive(Debug)]
pub(crate) struct ServerPlace {
    server: BackendServer,
    in_flight: InFlight,
    /// When the first event is expected, if that is known.
    expected: Option<FirstEventEstimate>,
    /// `None` for the first send of a request.
    permit: Option<RetryPermit>,
}

impl ServerPlace {
    /// Takes a place at a server that has room for the request.
    pub(crate) fn take(server: BackendServer, permit: Option<RetryPermit>) -> Self {
        let in_flight = server.counters.start();
        Self { server, in_flight, expected: None, permit }
    }

    /// Counts the request's work at the server as well.
    pub(crate) fn with_work(self, work: RequestWork, expected: FirstEventEstimate) -> Self {
        let in_flight = self.in_flight.with_work(work);
        Self { in_flight, expected: Some(expected), ..self }
    }

    /// When the first event is expected; `None` if that is not known.
    pub(crate) fn expected(&self) -> Option<FirstEventEstimate> {
        self.expected
    }

    pub(crate) fn server(&self) -> &BackendServer {
        &self.server
    }

    /// Uses the place, as the request leaves this process. The server's load counts it until the
    /// returned guard is dropped.
    pub(crate) fn depart(self) -> InFlight {
        if let Some(permit) = self.permit {
            permit.spend();
        }
        self.in_flight
    }
}

/// Why there is no place for a request.
#[derive(Clone, Debug)]
pub(crate) enum PlaceError {
    /// Something that may change keeps it from being sent, or its route or time.
    Obstacle(SendObstacle),
    /// It is held back because it may crash servers, and refused like this.
    HeldBack(Refusal),
}

impl PlaceError {
    /// Whether there may be a place later.
    pub(crate) fn may_pass(&self) -> bool {
        match self {
            Self::Obstacle(obstacle) => obstacle.may_pass(),
            Self::HeldBack(_) => false,
        }
    }

    /// The obstacle, for logs.
    pub(crate) fn obstacle(&self) -> SendObstacle {
        match self {
            Self::Obstacle(obstacle) => *obstacle,
            Self::HeldBack(_) => SendObstacle::Suspect,
        }
    }
}

impl From<SendObstacle> for PlaceError {
    fn from(obstacle: SendObstacle) -> Self {
        Self::Obstacle(obstacle)
    }
}

/// How often a request whose server is silent looks for a place at another one. Load reports arrive
/// about this often.
const SEARCH_INTERVAL: Duration = Duration::from_millis(250);

/// When a request whose server is silent looks for a place at another one.
#[derive(Debug, Default)]
pub(crate) struct PlaceSearch {
    looked_at: Option<Tick>,
    obstacle: Option<SendObstacle>,
    is_over: bool,
}

impl PlaceSearch {
    /// Whether to look now.
    pub(crate) fn is_due(&self, now: Tick) -> bool {
        !self.is_over && self.looked_at.is_none_or(|at| now.since(at) >= SEARCH_INTERVAL)
    }

    /// Time until the next look; `None` if there is none.
    pub(crate) fn wait(&self) -> Option<Duration> {
        (!self.is_over).then_some(SEARCH_INTERVAL)
    }

    /// Records that another server had a place and did not take the request.
    pub(crate) fn note_refused(&mut self, now: Tick) {
        self.looked_at = Some(now);
    }

    /// Records that there was no place. Returns the obstacle if it is another one than before.
    pub(crate) fn note_none(&mut self, error: &PlaceError, now: Tick) -> Option<SendObstacle> {
        let obstacle = error.obstacle();
        self.looked_at = Some(now);
        self.is_over = !error.may_pass();
        (self.obstacle.replace(obstacle) != Some(obstacle)).then_some(obstacle)
    }
}
