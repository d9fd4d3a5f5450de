//! The slots of continuous batching, and the queue before them.

use {
    parking_lot::Mutex,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::oneshot, time::Instant},
};

/// Why no slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusal {
    /// The queue is full.
    Full,
    /// The queue was emptied because the group is gone.
    Emptied,
}

/// Load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Higher priority first, then in the order of arrival.
type WaitOrder = (Reverse<u8>, u64);

struct SlotCore {
    load: SlotLoad,
    arrivals: u64,
    waiting: BTreeMap<WaitOrder, oneshot::Sender<()>>,
    samples: VecDeque<(Instant, SlotLoad)>,
}

/// Gives slots by priority.
pub struct SlotQueue {
    core: Mutex<SlotCore>,
    queue_limit: u32,
    report_lag: Duration,
}

impl SlotQueue {
    /// A queue without slots that takes `queue_limit` waiting requests and reports its load
    /// `report_lag` late.
    pub fn new(queue_limit: u32, report_lag: Duration) -> Self {
        let core = SlotCore {
            load: SlotLoad::default(),
            arrivals: 0,
            waiting: BTreeMap::new(),
            samples: VecDeque::from([(Instant::now(), SlotLoad::default())]),
        };
        Self { core: Mutex::new(core), queue_limit, report_lag }
    }

    /// Sets how many requests run at once.
    pub fn set_slots(&self, slots: u32) {
        let mut core = self.core.lock();
        core.load.slots = slots;
        core.grant();
        core.sample(self.report_lag);
    }

    /// Refuses everything that waits.
    pub fn empty(&self) {
        let mut core = self.core.lock();
        core.waiting.clear();
        core.sample(self.report_lag);
    }

    /// The load now.
    pub fn load(&self) -> SlotLoad {
        self.core.lock().current()
    }

    /// The load as it was some time ago.
    pub fn reported(&self) -> SlotLoad {
        let core = self.core.lock();
        let seen = core.samples.iter().rev().find(|(at, _)| at.elapsed() >= self.report_lag);
        seen.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Waits for a slot.
    pub async fn acquire(self: &Arc<Self>, priority: u8) -> Result<SlotPermit, SlotRefusal> {
        let mut wait = self.enqueue(priority)?;
        match (&mut wait.granted).await {
            Ok(()) => {
                wait.taken = true;
                Ok(SlotPermit { queue: self.clone() })
            }
            Err(_) => Err(SlotRefusal::Emptied),
        }
    }

    fn enqueue(self: &Arc<Self>, priority: u8) -> Result<SlotWait, SlotRefusal> {
        let mut core = self.core.lock();
        if core.load.running >= core.load.slots && core.waiting.len() >= self.queue_limit as usize {
            return Err(SlotRefusal::Full);
        }
        core.arrivals += 1;
        let order = (Reverse(priority), core.arrivals);
        let (sender, granted) = oneshot::channel();
        core.waiting.insert(order, sender);
        core.grant();
        core.sample(self.report_lag);
        Ok(SlotWait { queue: self.clone(), order, granted, taken: false })
    }

    fn release(&self) {
        let mut core = self.core.lock();
        core.load.running -= 1;
        core.grant();
        core.sample(self.report_lag);
    }
}

impl SlotCore {
    fn current(&self) -> SlotLoad {
        SlotLoad { queued: self.waiting.len() as u32, ..self.load }
    }

    fn grant(&mut self) {
        while self.load.running < self.load.slots {
            let Some((_, sender)) = self.waiting.pop_first() else { return };
            if sender.send(()).is_ok() {
                self.load.running += 1;
            }
        }
    }

    fn sample(&mut self, lag: Duration) {
        let load = self.current();
        self.samples.push_back((Instant::now(), load));
        while self.samples.len() > 1 && self.samples[1].0.elapsed() >= lag {
            self.samples.pop_front();
        }
    }
}

/// A place in the queue; given up when dropped.
struct SlotWait {
    queue: Arc<SlotQueue>,
    order: WaitOrder,
    granted: oneshot::Receiver<()>,
    taken: bool,
}

impl Drop for SlotWait {
    fn drop(&mut self) {
        if self.taken {
            return;
        }
        self.queue.core.lock().waiting.remove(&self.order);
        // The slot may have been granted while the caller went away.
        if self.granted.try_recv().is_ok() {
            self.queue.release();
        }
    }
}

/// A slot; given back when dropped.
pub struct SlotPermit {
    queue: Arc<SlotQueue>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.release();
    }
}
