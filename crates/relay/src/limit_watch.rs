//! Keeps the limits that servers name, with all other processes.

use {
    crate::server::ServerId,
    base::{RatePerSecond, SharedClock, Tick},
    limit::{KnownLimit, LimitChange, LimitNotice, LimitSettings, LimitTracker, NamedLimit},
    parking_lot::Mutex,
    std::time::Duration,
    tokio::sync::Notify,
    tracing::info,
};

/// A process tells a peer all limits that it knows only if they have not changed for this long:
/// until then the news may still be on their way to that peer.
const SETTLED_AFTER: Duration = Duration::from_secs(1);

/// What this process knows about the limits of servers, shared by all requests.
pub struct LimitWatch {
    tracker: Mutex<LimitTracker>,
    clock: SharedClock,
    /// Notified when there is an update for the other processes.
    update: Notify,
}

impl LimitWatch {
    /// Knows no limit, and no other process.
    pub(crate) fn new(clock: SharedClock) -> Self {
        let tracker = Mutex::new(LimitTracker::new(LimitSettings::default()));
        Self { tracker, clock, update: Notify::new() }
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
        let mut tracker = self.tracker.lock();
        if !tracker.is_idle() {
            tracker.expire(is_listed, self.clock.now());
        }
    }

    /// Whether a limit, or the end of one, is known for any server.
    pub fn is_idle(&self) -> bool {
        self.tracker.lock().is_idle()
    }

    /// Whether this process may send the server a request now.
    pub(crate) fn allows(&self, server: &ServerId, now: Tick) -> bool {
        self.tracker.lock().wait(server, now).is_some_and(|wait| wait.is_zero())
    }

    /// Counts a request to the server; false if none is allowed now.
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

    /// What a peer should be told whose [`Self::digest`] is another one. Empty while there are
    /// recent changes.
    pub fn settled_notices(&self) -> Vec<LimitNotice> {
        let now = self.clock.now();
        let tracker = self.tracker.lock();
        let is_settled = tracker.unchanged_for(now).is_some_and(|span| span >= SETTLED_AFTER);
        if is_settled { tracker.notices(now) } else { Vec::new() }
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
    let decision = if rate.is_some() { "server-limited" } else { "limit-ended" };
    info!(decision, %server, before, rate, source, "limits");
}
