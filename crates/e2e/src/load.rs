//! Steady load by callers that follow the address answers, with an account of every request.

use {
    crate::{
        caller::{CallEnd, Caller, Completion},
        cluster::{CALLER_KEY, TestCluster},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
        task::JoinHandle,
        time::{Instant, MissedTickBehavior, interval},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// How long callers keep an address answer.
const ADDRESS_KEEP: Duration = Duration::from_millis(1_000);

/// What a load does.
#[derive(Clone, Debug)]
pub struct LoadShape {
    /// Time between two requests.
    pub interval: Duration,
    /// Tokens of each answer.
    pub tokens: u64,
    /// What the requests are, in turn.
    pub kinds: Vec<LoadKind>,
}

impl Default for LoadShape {
    fn default() -> Self {
        Self { interval: Duration::from_millis(40), tokens: 20, kinds: vec![LoadKind::Completion] }
    }
}

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadKind {
    /// A streamed completion that may be repeated.
    Completion,
    /// A streamed completion that runs at most once.
    KeyedCompletion,
    /// A call of the plain service that runs at most once.
    KeyedService,
}

/// One request as it was sent.
#[derive(Clone, Debug)]
pub enum LoadCall {
    /// A completion.
    Completion(Completion),
    /// A call of the plain service.
    Service {
        /// Its idempotency key, which no other call has.
        key: String,
    },
}

impl LoadCall {
    fn new(kind: LoadKind, caller: &Caller, tokens: u64) -> Self {
        let key = uuid::Uuid::new_v4().to_string();
        let completion = caller.new_completion("load", tokens);
        match kind {
            LoadKind::Completion => Self::Completion(completion),
            LoadKind::KeyedCompletion => {
                Self::Completion(Completion { key: Some(key), ..completion })
            }
            LoadKind::KeyedService => Self::Service { key },
        }
    }

    async fn send(&self, caller: &Caller, gateway: SocketAddr) -> CallEnd {
        match self {
            Self::Completion(completion) => caller.complete(gateway, completion).await,
            Self::Service { key } => caller.submit(gateway, key, key).await,
        }
    }
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct LoadRecord {
    /// The request.
    pub call: LoadCall,
    /// The gateway it went to.
    pub gateway: SocketAddr,
    /// Its end.
    pub end: CallEnd,
    /// When it was sent.
    pub sent: Instant,
}

/// A load that runs until it is stopped.
pub struct SteadyLoad {
    stop: CancellationToken,
    sender: JoinHandle<()>,
    records: UnboundedReceiver<LoadRecord>,
}

impl SteadyLoad {
    /// Starts requests at the gateways of a cluster.
    pub fn start(cluster: &TestCluster, shape: LoadShape) -> Self {
        let gateways = cluster.nodes.iter().map(|node| node.addresses.gateway).collect();
        let caller = Arc::new(Caller::new(gateways, CALLER_KEY));
        let stop = CancellationToken::new();
        let (records, receiver) = unbounded_channel();
        let sender = tokio::spawn(send_until(caller, shape, stop.clone(), records));
        Self { stop, sender, records: receiver }
    }

    /// Stops sending, waits for every request's end and gives the records.
    pub async fn stop(mut self) -> Vec<LoadRecord> {
        self.stop.cancel();
        self.sender.await.expect("the sender does not panic");
        let mut records = Vec::new();
        while let Some(record) = self.records.recv().await {
            records.push(record);
        }
        records
    }
}

async fn send_until(
    caller: Arc<Caller>,
    shape: LoadShape,
    stop: CancellationToken,
    records: UnboundedSender<LoadRecord>,
) {
    let tracker = TaskTracker::new();
    let mut ticks = interval(shape.interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut book = AddressBook::default();
    let mut sent_count = 0;
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => {}
        }
        let Some(gateway) = book.choose(&caller).await else { continue };
        let kind = shape.kinds[sent_count % shape.kinds.len()];
        sent_count += 1;
        let call = LoadCall::new(kind, &caller, shape.tokens);
        let (caller, records) = (caller.clone(), records.clone());
        tracker.spawn(async move {
            let sent = Instant::now();
            let end = call.send(&caller, gateway).await;
            // The load's owner may be gone when a test fails.
            let _ = records.send(LoadRecord { call, gateway, end, sent });
        });
    }
    tracker.close();
    tracker.wait().await;
}

/// The last address answer, kept for a while.
#[derive(Default)]
struct AddressBook {
    addresses: Vec<SocketAddr>,
    asked: Option<Instant>,
    next: usize,
}

impl AddressBook {
    async fn choose(&mut self, caller: &Caller) -> Option<SocketAddr> {
        if self.asked.is_none_or(|asked| asked.elapsed() > ADDRESS_KEEP) {
            if let Some(answer) = caller.addresses().await {
                self.addresses = answer.addresses.iter().map(|line| line.address).collect();
            }
            self.asked = Some(Instant::now());
        }
        self.next += 1;
        self.addresses.get(self.next % self.addresses.len().max(1)).copied()
    }
}
