//! Refuses requests that crash servers, by themselves or by a part of their prompts.

use {
    crate::{question_desk::QuestionDesk, server::ServerId},
    base::{SharedClock, Tick},
    parking_lot::Mutex,
    poison::{
        CrashNotice, NewRefusal, PoisonSettings, PoisonTracker, PoisonUpdate, RefusalNotice,
        RefusedSuspect, RequestSuspects, RequestTrial, SuspectId, SuspectVerdict, turn_giver,
    },
    std::{
        collections::BTreeSet,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::Notify, time::sleep},
    tracing::{info, warn},
};

/// Longest random delay before this process tells the others that a suspect is sound. Shorter
/// than the time that they wait for it, see [`PoisonSettings::objection_window`].
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_millis(40);

/// A question for the turn at trying a request that may be the cause of crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TurnQuestion {
    /// The process to ask.
    pub giver: ServerId,
    /// The request.
    pub request: SuspectId,
    /// Tells the questions of this process apart.
    pub number: u64,
}

/// The processes that are alive, as far as this one knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct LiveProcesses {
    own: Option<ServerId>,
    live: Vec<ServerId>,
}

/// What this process knows about what crashes servers, shared by all requests.
pub struct PoisonWatch {
    tracker: Mutex<PoisonTracker>,
    clock: SharedClock,
    processes: Mutex<LiveProcesses>,
    turns: QuestionDesk<TurnQuestion, bool>,
    /// Whether an announcement is waiting for its delay.
    announcing: AtomicBool,
    /// Notified when there is an update for the other processes.
    update: Notify,
}

impl PoisonWatch {
    /// Knows nothing yet.
    pub fn new(clock: SharedClock) -> Arc<Self> {
        Arc::new(Self {
            tracker: Mutex::new(PoisonTracker::new(PoisonSettings::default(), rand::random())),
            processes: Mutex::default(),
            turns: QuestionDesk::new(clock.clone()),
            clock,
            announcing: AtomicBool::new(false),
            update: Notify::new(),
        })
    }

    /// Replaces the suspects that are never refused.
    pub fn set_admitted(&self, admitted: BTreeSet<SuspectId>) {
        self.tracker.lock().set_admitted(admitted);
    }

    /// The refused suspect of a request, if it has one.
    pub(crate) fn refused(&self, suspects: &RequestSuspects) -> Option<RefusedSuspect> {
        self.evaluate();
        self.tracker.lock().refused(suspects, self.clock.now())
    }

    /// Decides on a new request with these suspects.
    pub(crate) fn admit(&self, suspects: &RequestSuspects) -> SuspectVerdict {
        self.evaluate();
        self.tracker.lock().admit(suspects, self.clock.now())
    }

    /// Whether a request should not be sent to another server after one has crashed under it.
    pub(crate) fn has_likely_part(&self, suspects: &RequestSuspects) -> bool {
        let tracker = self.tracker.lock();
        !tracker.is_idle() && tracker.has_likely_part(suspects)
    }

    /// What a request that was never sound has cost, see [`PoisonTracker::trial`].
    pub(crate) fn trial(&self, suspects: &RequestSuspects) -> Option<RequestTrial> {
        self.tracker.lock().trial(suspects.request())
    }

    /// Replaces the list of live processes, which give turns. `own` is this process.
    pub fn set_processes(&self, own: &ServerId, live: Vec<ServerId>) {
        *self.processes.lock() = LiveProcesses { own: Some(own.clone()), live };
    }

    /// Whether this process may try a request that may be the cause of crashes; one at a time does, of
    /// all processes. Asks the one that gives the turns.
    pub(crate) async fn take_turn(&self, suspects: &RequestSuspects) -> bool {
        let request = suspects.request();
        let LiveProcesses { own, live } = self.processes.lock().clone();
        // A process that knows no other, such as one that has just started, gives the turn itself.
        let Some(own) = own else { return true };
        match turn_giver(request, &live) {
            Some(giver) if *giver != own => {
                let question = |number| TurnQuestion { giver: giver.clone(), request, number };
                self.turns.ask(question).await.unwrap_or_else(|| {
                    info!(decision = "turn-giver-silent", %request, node = %giver, "poison");
                    false
                })
            }
            _ => self.give_turn(request, &own),
        }
    }

    /// Answers the question of another process for a turn.
    pub fn give_turn(&self, request: SuspectId, holder: &ServerId) -> bool {
        self.tracker.lock().give_turn(request, holder, self.clock.now())
    }

    /// Waits for questions for turns, and returns each of them once.
    pub async fn next_questions(&self) -> Vec<TurnQuestion> {
        self.turns.next_questions().await
    }

    /// Passes the reply to a question on to the request that waits for it.
    pub fn receive_reply(&self, number: u64, has_turn: bool) {
        self.turns.receive_reply(number, has_turn);
    }

    pub(crate) fn knows_crash(&self, server: &ServerId) -> bool {
        self.tracker.lock().knows_crash(server, self.clock.now())
    }

    /// Records that a server answered a request that was sent at `sent_at`.
    pub(crate) fn note_answer(&self, server: &ServerId, sent_at: Tick) {
        if self.tracker.lock().note_answer(server, sent_at) {
            info!(decision = "crash-refuted", %server, "poison");
        }
    }

    /// Records that an answer to a request went on past its beginning.
    pub(crate) fn note_sound(&self, suspects: &RequestSuspects) {
        let freed = self.tracker.lock().note_sound(suspects, self.clock.now());
        for suspect in freed {
            info!(decision = "suspect-admitted", kind = %suspect.kind(), %suspect, why = "sound",
                "poison");
        }
        self.update.notify_one();
    }

    /// Records that a server crashed at `at` before it had answered a request.
    pub(crate) fn note_crash(
        self: &Arc<Self>,
        server: &ServerId,
        suspects: &RequestSuspects,
        at: Tick,
    ) {
        let now = self.clock.now();
        let notice = CrashNotice {
            server: server.clone(),
            prompt: suspects.prompt(),
            suspects: suspects.all().to_vec(),
            age: now.since(at),
        };
        if self.tracker.lock().note_crash(notice, now) {
            self.update.notify_one();
            self.announce_later();
        }
    }

    /// Applies an update of another process.
    pub fn receive(self: &Arc<Self>, update: &PoisonUpdate) {
        let now = self.clock.now();
        let was_refused = self.tracker.lock().refusals(now);
        let is_new = self.tracker.lock().receive(update, now);
        if is_new {
            self.log_changes(&was_refused, &self.refusals());
        }
        if is_new && !update.crashes.is_empty() {
            self.announce_later();
        }
        self.update.notify_one();
    }

    fn log_changes(&self, before: &[RefusalNotice], after: &[RefusalNotice]) {
        let has = |list: &[RefusalNotice], notice: &RefusalNotice| {
            list.iter().any(|known| known.suspect == notice.suspect)
        };
        for RefusalNotice { suspect, .. } in before.iter().filter(|known| !has(after, known)) {
            info!(decision = "suspect-admitted", kind = %suspect.kind(), %suspect,
                why = "a peer knows that it is sound", "poison");
        }
        for RefusalNotice { suspect, left, .. } in after.iter().filter(|new| !has(before, new)) {
            warn!(decision = "suspect-refused", kind = %suspect.kind(), %suspect,
                for_s = left.as_secs(), why = "a peer", "poison");
        }
    }

    /// Tells the other processes after a random delay which suspects are sound, unless another one
    /// has done so by then.
    fn announce_later(self: &Arc<Self>) {
        if self.announcing.swap(true, Ordering::Relaxed) {
            return;
        }
        let watch = self.clone();
        tokio::spawn(async move {
            sleep(MAX_ANNOUNCE_DELAY.mul_f64(rand::random())).await;
            watch.announcing.store(false, Ordering::Relaxed);
            watch.tracker.lock().announce_sound(watch.clock.now());
            watch.update.notify_one();
        });
    }

    /// Decides on the suspects that crashes name.
    pub fn evaluate(&self) {
        let refusals = self.tracker.lock().evaluate(self.clock.now());
        if refusals.is_empty() {
            return;
        }
        for refusal in refusals {
            let NewRefusal { suspect, crashes, prompts, term, was_sound, has_other_crashes } =
                refusal;
            warn!(decision = "suspect-refused", kind = %suspect.kind(), %suspect, crashes, prompts,
                was_sound, has_other_crashes, for_s = term.as_secs(), "poison");
        }
        self.update.notify_one();
    }

    /// Waits for an update for the other processes and removes it.
    pub async fn next_update(&self) -> PoisonUpdate {
        loop {
            self.update.notified().await;
            let update = self.tracker.lock().take_update();
            if !update.is_empty() {
                return update;
            }
        }
    }

    /// Evidence to tell a peer again, see [`PoisonTracker::evidence_to_repeat`].
    pub fn evidence_to_repeat(&self) -> PoisonUpdate {
        self.tracker.lock().evidence_to_repeat(self.clock.now())
    }

    /// All refused suspects.
    pub fn refusals(&self) -> Vec<RefusalNotice> {
        self.tracker.lock().refusals(self.clock.now())
    }

    /// A checksum of the refused suspects, see [`PoisonTracker::digest`].
    pub fn digest(&self) -> u64 {
        self.tracker.lock().digest(self.clock.now())
    }
}
