//! Keeps the limits that servers name, with all other processes.

use {
    crate::{question_desk::QuestionDesk, server::ServerId},
    base::{RatePerSecond, SharedClock, Tick},
    limit::{
        AskOutcome, KnownLimit, LimitChange, LimitNotice, LimitSettings, LimitTracker, NamedLimit,
        ServerRoom,
    },
    parking_lot::Mutex,
    std::time::Duration,
    tokio::sync::Notify,
    tracing::info,
};

/// A question to a process that shares the limit of a server: whether a request may be sent there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitQuestion {
    /// The process to ask.
    pub sharer: ServerId,
    /// The server.
    pub server: ServerId,
    /// Tells the questions of this process apart.
    pub number: u64,
}

/// What this process knows about the limits of servers, shared by all requests.
pub struct LimitWatch {
    tracker: Mutex<LimitTracker>,
    clock: SharedClock,
    /// Notified when there is an update for the other processes.
    update: Notify,
    questions: QuestionDesk<LimitQuestion, AskOutcome>,
}

impl LimitWatch {
    /// Knows no limit, and no other process.
    pub(crate) fn new(clock: SharedClock) -> Self {
        let tracker = Mutex::new(LimitTracker::new(LimitSettings::default()));
        Self { tracker, questions: QuestionDesk::new(clock.clone()), clock, update: Notify::new() }
    }

    /// Applies what an answer says about its server's limit. `sent_at` is when its request was sent;
    /// `source` says in logs what that was.
    pub fn note_answer(
        &self,
        server: &ServerId,
        named: NamedLimit,
        sent_at: Tick,
        source: &'static str,
    ) {
        let change = self.tracker.lock().note_answer(server, named, sent_at, self.clock.now());
        if let Some(change) = change {
            log_change(&change, source);
            self.update.notify_one();
        }
    }

    /// Records that a server is cold for `left` and tolerates only `rate` meanwhile; returns whether that
    /// is news, see [`LimitTracker::note_cold`].
    pub fn note_cold(&self, server: &ServerId, rate: RatePerSecond, left: Duration) -> bool {
        self.tracker.lock().note_cold(server, rate, left, self.clock.now())
    }

    /// Number of servers that are cold.
    pub fn cold_count(&self) -> usize {
        self.tracker.lock().cold_count(self.clock.now())
    }

    /// Applies what another process says.
    pub fn receive(&self, notices: &[LimitNotice]) {
        for change in self.tracker.lock().receive(notices, self.clock.now()) {
            log_change(&change, "peer");
        }
    }

    /// Replaces the list of live processes; the rate of a server is shared by some of them. `own` is
    /// this process.
    pub fn set_processes(&self, own: &ServerId, live: Vec<ServerId>) {
        self.tracker.lock().set_processes(own, live, self.clock.now());
    }

    /// Forgets what no longer matters.
    pub fn expire(&self, is_listed: impl Fn(&ServerId) -> bool) {
        self.tracker.lock().expire(is_listed, self.clock.now());
    }

    /// Whether a limit, or the end of one, is known for any server.
    pub fn is_idle(&self) -> bool {
        self.tracker.lock().is_idle()
    }

    /// Whether the server has room for a request, see [`LimitTracker::room`].
    pub(crate) fn room(&self, server: &ServerId, sample: u64, now: Tick) -> ServerRoom {
        self.tracker.lock().room(server, sample, now)
    }

    /// Asks another process whether a request may be sent to the server. Takes a moment at most.
    pub(crate) async fn ask(&self, server: &ServerId, sharer: &ServerId) -> bool {
        let question =
            |number| LimitQuestion { sharer: sharer.clone(), server: server.clone(), number };
        let outcome = self.questions.ask(question).await;
        let now = self.clock.now();
        match outcome {
            Some(AskOutcome::Granted) => return true,
            Some(AskOutcome::Denied(wait)) => {
                self.tracker.lock().note_denied(server, sharer, wait, now);
            }
            None => {
                info!(decision = "sharer-silent", %server, node = %sharer, "limits");
                self.tracker.lock().note_silent(sharer, now);
            }
        }
        false
    }

    /// Waits for questions to other processes, and returns each of them once.
    pub async fn next_questions(&self) -> Vec<LimitQuestion> {
        self.questions.next_questions().await
    }

    /// Answers the question of another process.
    pub fn answer_ask(&self, server: &ServerId) -> AskOutcome {
        self.tracker.lock().answer_ask(server, self.clock.now())
    }

    /// Passes the reply to a question on to the request that waits for it.
    pub fn receive_reply(&self, number: u64, outcome: AskOutcome) {
        self.questions.receive_reply(number, outcome);
    }

    /// Counts a request to the server that is sent without asking; false if none is allowed now.
    pub(crate) fn try_take(&self, server: &ServerId, now: Tick) -> bool {
        self.tracker.lock().try_take(server, now)
    }

    /// The limit of a server, if it has one.
    pub(crate) fn rate(&self, server: &ServerId) -> Option<RatePerSecond> {
        self.tracker.lock().rate(server)
    }

    /// Waits for changes that the other processes should know, and returns each of them once.
    pub async fn next_update(&self) -> Vec<LimitNotice> {
        loop {
            self.update.notified().await;
            let notices = self.tracker.lock().take_update(self.clock.now());
            if !notices.is_empty() {
                return notices;
            }
        }
    }

    /// What a peer should be told whose [`Self::digest`] is another one, see
    /// [`LimitTracker::settled_notices`].
    pub fn settled_notices(&self) -> Vec<LimitNotice> {
        self.tracker.lock().settled_notices(self.clock.now())
    }

    /// A checksum of the known limits, see [`LimitTracker::digest`].
    pub fn digest(&self) -> u64 {
        self.tracker.lock().digest()
    }

    /// The limits in force.
    pub fn limits(&self) -> Vec<KnownLimit> {
        self.tracker.lock().limits()
    }
}

fn log_change(change: &LimitChange, source: &'static str) {
    let LimitChange { server, before, after } = change;
    let text = |rate: &Option<RatePerSecond>| rate.map(|rate| rate.to_string());
    let (before, rate) = (text(before), text(after));
    let decision = if rate.is_some() { "limit-named" } else { "limit-ended" };
    info!(decision, %server, before, rate, source, "limits");
}
