//! Questions of requests to other processes, and the replies that they wait for.

use {
    base::SharedClock,
    parking_lot::Mutex,
    std::{
        collections::BTreeMap,
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        time::timeout,
    },
};

/// How long a request waits for a process that was asked: several times a datagram's way there and
/// back between failure domains. A reply that comes later is void.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Questions of one kind with replies of another.
pub(crate) struct QuestionDesk<Q, R> {
    clock: SharedClock,
    /// Questions that are still to be sent.
    questions: Mutex<Vec<Q>>,
    /// Notified when there is a question.
    asked: Notify,
    /// Where the replies to questions go, by their numbers.
    waiting: Mutex<BTreeMap<u64, oneshot::Sender<R>>>,
    next_number: AtomicU64,
}

impl<Q, R> QuestionDesk<Q, R> {
    pub(crate) fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            questions: Mutex::default(),
            asked: Notify::new(),
            waiting: Mutex::default(),
            // A reply to a question of an earlier run must not be taken for one of this run.
            next_number: AtomicU64::new(rand::random::<u32>().into()),
        }
    }

    /// Asks the question that `write` makes of its number. `None` if no reply came in time.
    pub(crate) async fn ask(&self, write: impl FnOnce(u64) -> Q) -> Option<R> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, reply) = oneshot::channel();
        self.waiting.lock().insert(number, sender);
        let _waiting = WaitingQuestion { desk: self, number };
        self.questions.lock().push(write(number));
        self.asked.notify_one();
        let asked_at = self.clock.now();
        let reply = timeout(ASK_TIMEOUT, reply).await.ok().and_then(Result::ok);
        // This process may have stood still since, and the reply with it.
        reply.filter(|_| self.clock.now().since(asked_at) <= ASK_TIMEOUT)
    }

    /// Waits for questions, and returns each of them once.
    pub(crate) async fn next_questions(&self) -> Vec<Q> {
        loop {
            let questions = std::mem::take(&mut *self.questions.lock());
            if !questions.is_empty() {
                return questions;
            }
            self.asked.notified().await;
        }
    }

    /// Passes the reply to a question on to the request that waits for it.
    pub(crate) fn receive_reply(&self, number: u64, reply: R) {
        if let Some(waiting) = self.waiting.lock().remove(&number) {
            // The request may have ended meanwhile.
            let _ = waiting.send(reply);
        }
    }
}

/// A question that waits for its reply; forgotten when dropped.
struct WaitingQuestion<'a, Q, R> {
    desk: &'a QuestionDesk<Q, R>,
    number: u64,
}

impl<Q, R> Drop for WaitingQuestion<'_, Q, R> {
    fn drop(&mut self) {
        self.desk.waiting.lock().remove(&self.number);
    }
}
