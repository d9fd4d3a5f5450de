//! Queues requests while all backend servers of a class are at their limit of requests in flight.

use {
    crate::refusal::{Refusal, RefusalKind},
    base::{SharedClock, Tick, Weight, WorkspaceId},
    parking_lot::Mutex,
    route::{FairQueue, PushOutcome, QueueEntry, QueuePlace, QueueSettings},
    std::{
        sync::atomic::{AtomicU64, AtomicUsize, Ordering},
        time::Duration,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Weight of a new interval between completions in the moving average: `1 / 2^INTERVAL_SHIFT`.
const INTERVAL_SHIFT: u32 = 3;
/// Bounds of the retry delay sent with a refusal.
const RETRY_AFTER: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// The queueing parameters of a request.
#[derive(Clone, Debug)]
pub struct WaitRequest {
    /// The workspace whose share of the queue the request uses.
    pub workspace: WorkspaceId,
    /// Weight of the workspace relative to others in fair queueing.
    pub weight: Weight,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Arrival time of the request, which determines its queue position.
    pub arrived: Tick,
    /// Latest time to wait for admission.
    pub until: Tick,
}

type WakeSender = oneshot::Sender<()>;

/// The admission queue of one model or service.
///
/// The lock is held for single queue operations. It is not used while targets have free slots.
pub struct AdmissionQueue {
    clock: SharedClock,
    queue: Mutex<FairQueue<WakeSender>>,
    waiting: AtomicUsize,
    last_completion_nanos: AtomicU64,
    interval_nanos: AtomicU64,
}

impl std::fmt::Debug for AdmissionQueue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AdmissionQueue").field("waiting", &self.waiting()).finish_non_exhaustive()
    }
}

/// Removes a request from the queue if its wait is cancelled or times out.
struct QueuedGuard<'a> {
    queue: &'a AdmissionQueue,
    position: Option<QueuePlace>,
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        let Some(position) = self.position.take() else { return };
        let removed = self.queue.with_queue(|queue| queue.remove(&position));
        if removed.is_none() {
            // The request was admitted already but no longer needs the slot: admit the next one.
            self.queue.wake(1);
        }
    }
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            queue: Mutex::new(FairQueue::new(QueueSettings::default())),
            waiting: AtomicUsize::new(0),
            last_completion_nanos: AtomicU64::new(0),
            interval_nanos: AtomicU64::new(0),
        }
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Waits until the request is admitted. `has_free_slot` is checked once after queueing.
    ///
    /// # Errors
    ///
    /// Refuses the request at once if its expected wait is too long or the queue is full, and later
    /// if another request displaces it or its time runs out.
    pub async fn wait(
        &self,
        request: &WaitRequest,
        has_free_slot: impl Fn() -> bool,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let expected = self.expected_wait(self.waiting());
        if now + expected > request.until {
            return Err(self.overloaded("the queue will not get to the request in time"));
        }
        let (waker, admitted) = oneshot::channel();
        let position = self.push(request, waker)?;
        let mut guard = QueuedGuard { queue: self, position: Some(position) };
        if has_free_slot() {
            // A slot was freed between the caller's last choice and the push.
            self.wake(1);
        }
        let remaining = request.until.since(now);
        let result = timeout(remaining, admitted).await;
        match result {
            Ok(Ok(())) => {
                guard.position = None;
                Ok(())
            }
            Ok(Err(_)) => {
                guard.position = None;
                Err(self.overloaded("requests of others took the place in the queue"))
            }
            Err(_) => Err(self.overloaded("no room became free in time")),
        }
    }

    /// Records the end of a request for the wait estimate and admits the next one.
    pub fn note_end(&self) {
        let now = self.clock.now();
        let last = self.last_completion_nanos.swap(now.0, Ordering::AcqRel);
        if last != 0 {
            let interval = now.since(Tick(last)).as_nanos() as u64;
            let average = self.interval_nanos.load(Ordering::Relaxed);
            let next = average - (average >> INTERVAL_SHIFT) + (interval >> INTERVAL_SHIFT);
            self.interval_nanos.store(next, Ordering::Relaxed);
        }
        self.wake(1);
    }

    /// Admits up to `count` requests, which then choose a target again.
    pub fn wake(&self, count: usize) {
        if self.waiting() == 0 {
            return;
        }
        for _ in 0..count {
            let now = self.clock.now();
            let entry = self.with_queue(|queue| {
                // Dropping the senders of expired entries refuses those requests.
                drop(queue.expire(now));
                queue.pop()
            });
            let Some(entry) = entry else { return };
            // If the receiver was dropped, its guard admits the next request.
            let _ = entry.item.send(());
        }
    }

    fn push(&self, request: &WaitRequest, waker: WakeSender) -> Result<QueuePlace, Refusal> {
        let entry = QueueEntry {
            workspace: request.workspace.clone(),
            priority: request.priority,
            deadline: request.until,
            item: waker,
        };
        let outcome = self.with_queue(|queue| {
            // Ordering by arrival keeps the position of a request that is queued again.
            queue.push(entry, request.weight, request.arrived)
        });
        match outcome {
            PushOutcome::Waits(position) => Ok(position),
            // Dropping the sender of the displaced entry refuses that request.
            PushOutcome::Displaced(position, _) => Ok(position),
            PushOutcome::Refused(_) => Err(self.overloaded("the queue is full")),
        }
    }

    fn with_queue<T>(&self, change: impl FnOnce(&mut FairQueue<WakeSender>) -> T) -> T {
        let mut queue = self.queue.lock();
        let result = change(&mut queue);
        self.waiting.store(queue.len(), Ordering::Release);
        result
    }

    fn expected_wait(&self, ahead: usize) -> Duration {
        let interval = Duration::from_nanos(self.interval_nanos.load(Ordering::Relaxed));
        interval.saturating_mul(u32::try_from(ahead).unwrap_or(u32::MAX))
    }

    fn overloaded(&self, detail: &str) -> Refusal {
        let (shortest, longest) = RETRY_AFTER;
        let wait = self.expected_wait(self.waiting() + 1).clamp(shortest, longest);
        Refusal::not_run(RefusalKind::Overloaded, detail).retry_after(wait)
    }
}
