//! Crashes of servers and the requests that were in flight there.

use {
    crate::{
        suspect::{SuspectId, SuspectKind},
        update::CrashNotice,
    },
    base::{HostId, Tick},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Notices about one server within this time are about the same crash.
const SAME_CRASH: Duration = Duration::from_millis(1_500);
/// Crashes that are kept.
const MAX_CRASHES: usize = 32;
/// Requests that are kept of one crash.
const MAX_REQUESTS: usize = 32;

#[derive(Debug)]
struct CrashedRequest {
    prompt: SuspectId,
    suspects: Vec<SuspectId>,
}

impl CrashedRequest {
    /// The suspects that none of the refused `causes` of the crash clears.
    fn sightings(&self, causes: &[SuspectId], at: Tick) -> Vec<CrashSighting> {
        let suspects = self.suspects.iter().enumerate();
        let counted = suspects
            .filter(|(_, suspect)| causes.iter().all(|cause| !clears(*cause, self, **suspect)));
        let prompt = self.prompt;
        counted
            .map(|(depth, suspect)| CrashSighting { suspect: *suspect, at, prompt, depth })
            .collect()
    }
}

/// The end of one incarnation of a server.
#[derive(Debug)]
pub(crate) struct ServerCrash {
    server: HostId,
    at: Tick,
    requests: Vec<CrashedRequest>,
}

impl ServerCrash {
    fn suspects(&self) -> impl Iterator<Item = SuspectId> {
        self.requests.iter().flat_map(|request| request.suspects.iter().copied())
    }
}

/// A suspect of a request that a server had not begun to answer when it crashed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashSighting {
    pub(crate) suspect: SuspectId,
    /// When the server crashed.
    pub(crate) at: Tick,
    /// Tells prompts apart.
    pub(crate) prompt: SuspectId,
    /// Position among the suspects of the request.
    pub(crate) depth: usize,
}

/// The crashes that this process knows of.
#[derive(Debug, Default)]
pub(crate) struct CrashLog {
    crashes: VecDeque<ServerCrash>,
    /// When servers that were said to have crashed were sent requests which they answered.
    answered: BTreeMap<HostId, Tick>,
}

impl CrashLog {
    pub(crate) fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Drops the crashes of a server that has answered a request which was sent later: it had not
    /// crashed, but was cut off from the process that said so. Returns whether there were any.
    pub(crate) fn note_answer(&mut self, server: &HostId, sent_at: Tick) -> bool {
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.server != *server || crash.at >= sent_at);
        let is_refuted = self.crashes.len() < before;
        if is_refuted || self.answered.contains_key(server) {
            self.answered.insert(server.clone(), sent_at);
        }
        is_refuted
    }

    /// Adds a request of a crash at `at`; false if it was known, or if the server has answered since.
    pub(crate) fn insert(&mut self, notice: &CrashNotice, at: Tick) -> bool {
        if self.answered.get(&notice.server).is_some_and(|answered| *answered > at) {
            return false;
        }
        let request = CrashedRequest { prompt: notice.prompt, suspects: notice.suspects.clone() };
        let is_same = |crash: &&mut ServerCrash| {
            crash.server == notice.server && crash.at.since(at).max(at.since(crash.at)) < SAME_CRASH
        };
        let Some(crash) = self.crashes.iter_mut().find(is_same) else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let server = notice.server.clone();
            self.crashes.push_back(ServerCrash { server, at, requests: vec![request] });
            return true;
        };
        let is_same = |known: &CrashedRequest| {
            known.prompt == request.prompt && known.suspects == request.suspects
        };
        let is_known = crash.requests.iter().any(is_same);
        if is_known || crash.requests.len() >= MAX_REQUESTS {
            return false;
        }
        crash.requests.push(request);
        true
    }

    /// Whether a crash of the server is known that happened less than [`SAME_CRASH`] ago.
    pub(crate) fn has_recent(&self, server: &HostId, now: Tick) -> bool {
        self.crashes.iter().any(|crash| crash.server == *server && now.since(crash.at) < SAME_CRASH)
    }

    /// Requests of crashes within `recent` that no refused suspect explains, from the `from`-th on.
    pub(crate) fn unexplained(
        &self,
        explains: impl Fn(SuspectId) -> bool,
        from: usize,
        recent: Duration,
        now: Tick,
    ) -> impl Iterator<Item = CrashNotice> {
        let open = self
            .crashes
            .iter()
            .filter(move |crash| now.since(crash.at) < recent && !crash.suspects().any(&explains));
        let notices = open.flat_map(move |crash| {
            crash.requests.iter().map(move |request| CrashNotice {
                server: crash.server.clone(),
                prompt: request.prompt,
                suspects: request.suspects.clone(),
                age: now.since(crash.at),
            })
        });
        notices.skip(from)
    }

    /// When the crashes happened that name a suspect, in the order in which they became known.
    pub(crate) fn times(&self, suspect: SuspectId) -> impl Iterator<Item = Tick> {
        self.crashes
            .iter()
            .filter(move |crash| crash.suspects().any(|named| named == suspect))
            .map(|crash| crash.at)
    }

    /// Drops the crashes before `limit`.
    pub(crate) fn expire(&mut self, limit: Tick) {
        self.crashes.retain(|crash| crash.at >= limit);
        self.answered.retain(|_, at| *at >= limit);
    }

    /// The suspects that crashes name.
    pub(crate) fn suspects(&self) -> BTreeSet<SuspectId> {
        self.crashes.iter().flat_map(ServerCrash::suspects).collect()
    }

    /// The suspects of every unanswered request at every crash. Leaves out those that a refused suspect
    /// clears, because it explains the crash.
    pub(crate) fn sightings(
        &self,
        explains: impl Fn(SuspectId) -> bool,
    ) -> impl Iterator<Item = CrashSighting> {
        self.crashes.iter().flat_map(move |crash| {
            let causes: Vec<SuspectId> = crash.suspects().filter(|id| explains(*id)).collect();
            crash.requests.iter().flat_map(move |request| request.sightings(&causes, crash.at))
        })
    }
}

/// Whether a refused suspect clears a suspect of a request at the same crash. A refused request does
/// not clear its own parts: they may be what crashes servers in it, and in others.
fn clears(cause: SuspectId, request: &CrashedRequest, suspect: SuspectId) -> bool {
    let is_own = cause.kind() == SuspectKind::Request && request.suspects.contains(&cause);
    cause != suspect && !is_own
}
