//! Tries the paths to one server, overlapping, until one of them connects.

use {
    crate::{
        board::{PeerFailure, PeerHost},
        error::{ConnectError, RefusedSnafu, TimedOutSnafu, UnreachableSnafu},
        forward::{PeerRefusal, ask_peer},
        message::{ForwardQuery, ForwardReply},
        paths::{ServerPaths, ServerTarget},
        stream::ServerStream,
        tracker::PathChoice,
    },
    base::{HostId, ServiceName, Tick},
    futures::{
        future::{BoxFuture, FutureExt},
        stream::{FuturesUnordered, StreamExt},
    },
    snafu::ResultExt,
    std::{collections::VecDeque, io, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep_until},
    tracing::{info, warn},
};

/// Most peers that are asked for one connection.
const MAX_PEERS: usize = 4;
/// The same while all of them say that the whole service refuses connections: it has crashed, or all of
/// them are cut off from it.
const MAX_WITNESSES: usize = 8;
/// Time after which a further peer is asked while the paths tried before are silent; many times the
/// time to connect to a sound server.
const PEER_DELAY: Duration = Duration::from_millis(60);
/// Largest share of the whole limit that this delay may take.
const MAX_DELAY_SHARE: f64 = 0.2;
/// How much earlier the direct path is tried where it is in doubt. A server that is reached again
/// connects within it.
const HEAD_START: Duration = Duration::from_millis(15);

/// The end of one attempt.
enum AttemptEnd {
    Direct(io::Result<ServerStream>),
    Peer { node: HostId, outcome: Result<ServerStream, PeerRefusal> },
}

/// The attempts to connect to one server.
pub(crate) struct ConnectRace<'a> {
    paths: &'a ServerPaths,
    target: ServerTarget<'a>,
    began: Tick,
    limit: Duration,
    service: Option<ServiceName>,
    choice: PathChoice,
    query: Arc<Vec<u8>>,
    attempts: FuturesUnordered<BoxFuture<'static, AttemptEnd>>,
    /// Peers that were not asked yet.
    waiting: VecDeque<PeerHost>,
    /// Peers that were asked and have not replied.
    asked: Vec<HostId>,
    asked_count: usize,
    /// Peers that were refused by the server and by another one of its service.
    witnesses: usize,
    tried_direct: bool,
    /// Why the direct connection failed.
    direct_error: Option<io::Error>,
}

impl<'a> ConnectRace<'a> {
    pub(crate) fn new(paths: &'a ServerPaths, target: ServerTarget<'a>, limit: Duration) -> Self {
        let now = paths.clock.now();
        let service = paths.service_of(target.server);
        let choice = paths.tracker.lock().choose(target.server, service.as_ref(), now);
        let peers = if choice == PathChoice::DirectOnly { 0 } else { MAX_WITNESSES };
        let waiting = paths.board.lock().candidates(peers, now).into();
        Self {
            paths,
            target,
            began: now,
            limit,
            service,
            choice,
            query: Arc::default(),
            attempts: FuturesUnordered::new(),
            waiting,
            asked: Vec::new(),
            asked_count: 0,
            witnesses: 0,
            tried_direct: false,
            direct_error: None,
        }
    }

    /// Runs until a path connects or none is left.
    pub(crate) async fn run(&mut self) -> Result<ServerStream, ConnectError> {
        let delay = PEER_DELAY.min(self.limit.mul_f64(MAX_DELAY_SHARE));
        let mut next_peer_at = Instant::now();
        match self.choice {
            PathChoice::Direct | PathChoice::DirectOnly => next_peer_at += delay,
            PathChoice::Both => next_peer_at += HEAD_START.min(delay),
            PathChoice::Peer => {}
        }
        if self.choice != PathChoice::Peer {
            self.dial();
        }
        loop {
            if self.attempts.is_empty() && !self.try_next() {
                return Err(self.failure());
            }
            tokio::select! {
                biased;
                Some(end) = self.attempts.next() => if let Some(end) = self.apply(end) {
                    return end;
                },
                () = sleep_until(next_peer_at), if !self.waiting.is_empty() => {
                    self.note_slow_dial();
                    self.ask_next();
                    next_peer_at = Instant::now() + delay;
                }
            }
        }
    }

    /// Ends the race because the time ran out.
    pub(crate) fn give_up(&mut self) -> ConnectError {
        self.note_slow_dial();
        let now = self.paths.clock.now();
        let mut board = self.paths.board.lock();
        for node in &self.asked {
            board.note_failure(node, PeerFailure::Declined, now);
        }
        drop(board);
        self.note_down_if_own_links_work();
        let (address, limit) = (self.target.address, self.limit);
        if self.direct_error.is_some() {
            return UnreachableSnafu { address, peers: self.asked_count, refused: true }.build();
        }
        TimedOutSnafu { address, limit, is_confirmed: false }.build()
    }

    /// Starts another attempt; false if none is left.
    fn try_next(&mut self) -> bool {
        if self.ask_next() {
            return true;
        }
        let is_left = !self.tried_direct;
        if is_left {
            self.dial();
        }
        is_left
    }

    fn dial(&mut self) {
        self.tried_direct = true;
        let dialing = self.paths.dialer.dial(self.target.address);
        let attempt = async move { AttemptEnd::Direct(dialing.await.map(ServerStream::from)) };
        self.attempts.push(attempt.boxed());
    }

    fn ask_next(&mut self) -> bool {
        if self.asked_count >= MAX_PEERS && self.witnesses < self.asked_count {
            self.waiting.clear();
        }
        let Some(PeerHost { node, address, .. }) = self.waiting.pop_front() else { return false };
        if self.query.is_empty() {
            match ForwardQuery::encode(self.target.server, self.target.purpose) {
                Ok(query) => self.query = Arc::new(query),
                Err(error) => {
                    warn!(%error, "failed to encode a query for a forward");
                    self.waiting.clear();
                    return false;
                }
            }
        }
        self.asked.push(node.clone());
        self.asked_count += 1;
        let query = self.query.clone();
        let attempt =
            async move { AttemptEnd::Peer { node, outcome: ask_peer(address, query).await } };
        self.attempts.push(attempt.boxed());
        true
    }

    /// Applies the end of an attempt; `Some` ends the race.
    fn apply(&mut self, end: AttemptEnd) -> Option<Result<ServerStream, ConnectError>> {
        match end {
            AttemptEnd::Direct(Ok(stream)) => {
                self.paths.note_direct(self.target.server, self.service.as_ref());
                Some(Ok(stream))
            }
            AttemptEnd::Direct(Err(error)) => {
                self.note_failed();
                self.direct_error = Some(error);
                self.ask_unless_asking();
                None
            }
            AttemptEnd::Peer { node, outcome: Ok(stream) } => {
                let (id, server) = (self.target.purpose, self.target.server);
                info!(decision = "forwarded", id, %server, peer = %node, "reach");
                self.paths.note_forwarded(server, self.service.as_ref(), &node);
                Some(Ok(stream))
            }
            AttemptEnd::Peer { node, outcome: Err(refusal) } => self.apply_refusal(&node, refusal),
        }
    }

    fn apply_refusal(
        &mut self,
        node: &HostId,
        refusal: PeerRefusal,
    ) -> Option<Result<ServerStream, ConnectError>> {
        self.asked.retain(|asked| asked != node);
        let address = self.target.address;
        let failure = match refusal {
            PeerRefusal::Reply(ForwardReply::Refused) => {
                self.note_down();
                let source = self.direct_error.take();
                let source = source.unwrap_or_else(|| io::ErrorKind::ConnectionRefused.into());
                return Some(Err(source).context(RefusedSnafu { address, is_confirmed: true }));
            }
            PeerRefusal::Reply(ForwardReply::Silent) => {
                self.note_down();
                return Some(
                    TimedOutSnafu { address, limit: self.limit, is_confirmed: true }.fail(),
                );
            }
            PeerRefusal::Reply(reply) => {
                self.witnesses += usize::from(reply == ForwardReply::ServiceRefused);
                PeerFailure::Declined
            }
            PeerRefusal::NoReply => PeerFailure::Silent,
        };
        self.paths.board.lock().note_failure(node, failure, self.paths.clock.now());
        self.ask_unless_asking();
        None
    }

    fn ask_unless_asking(&mut self) {
        if self.asked.is_empty() {
            self.ask_next();
        }
    }

    /// Records that the direct connection takes too long, if it is still being made.
    fn note_slow_dial(&self) {
        if self.tried_direct && self.direct_error.is_none() {
            self.note_failed();
        }
    }

    fn note_down(&self) {
        let now = self.paths.clock.now();
        if self.paths.tracker.lock().note_down(self.target.server, now) {
            info!(decision = "down", server = %self.target.server, asked = self.asked_count, "reach");
        }
    }

    /// Spares the peers further questions for a server that nobody reached in time.
    fn note_down_if_own_links_work(&self) {
        let tracker = self.paths.tracker.lock();
        let connects = tracker.connects_since(self.service.as_ref(), self.began);
        drop(tracker);
        if connects && self.asked_count > 0 {
            self.note_down();
        }
    }

    fn note_failed(&self) {
        self.paths.tracker.lock().note_failed(self.target.server, self.service.as_ref());
    }

    fn failure(&mut self) -> ConnectError {
        self.note_down_if_own_links_work();
        let (address, peers) = (self.target.address, self.asked_count);
        match self.direct_error.take() {
            Some(source) if peers == self.witnesses => {
                ConnectError::Refused { address, source, is_confirmed: peers > 0 }
            }
            error => UnreachableSnafu { address, peers, refused: error.is_some() }.build(),
        }
    }
}
