//! Reads the configuration, the server list and the rows from another process instead of the store.
//!
//! Each change concerns every process. With a hundred processes the store would answer a
//! hundred calls for each change, so a few processes (the watchers) read the store and the others
//! query them.

use {
    crate::{
        accept::accept_until,
        config_share::{CONFIG_QUERY, ConfigAnswer, ConfigOffer, ConfigQuery, poll_config},
        config_tracker::{ConfigOrigin, millis},
        loop_lag::time_step,
        outage_turns::OutageTurns,
        page_cache::{CacheLookup, PageCache},
        peer_link::{LinkError, PeerLink, UnreadableSnafu},
        ports::{
            OperatorChange, PlatformWatch, RowChange, ServerChange, WatchError, WatchPage,
            WatchPosition,
        },
        store_reads::ReadReason,
        view::NodeView,
    },
    base::{HostId, SharedClock, StoreEra},
    parking_lot::Mutex,
    reach::FORWARD_QUERY,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::ResultExt,
    std::{
        collections::BTreeMap,
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, timeout_at},
    },
    tokio_util::sync::CancellationToken,
    tracing::{debug, info},
};

/// How long a watcher waits for a change before it answers a query with an empty page. Short, so
/// that a stalled watcher is detected before a leaving server must be known everywhere.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(800);
/// A query times out this long after [`MAX_QUERY_WAIT`].
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// How long a watcher is not queried after it failed to answer.
const AVOID_PERIOD: Duration = Duration::from_secs(5);
/// How long a watcher is not queried after it said that the store does not answer it.
const UNREACHABLE_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of watchers queried before the store is read.
const MAX_WATCHERS: usize = 2;
/// Duration from which on a response to another process has a log line: the link of this process or of
/// the other one is full.
const LOGGED_WRITE: Duration = Duration::from_millis(200);
/// The table whose changes a reader requests, encoded as the first byte of the request. The era and
/// the version of the position up to which the reader knows the table follow, as big-endian numbers
/// of eight bytes. 1, 2, 4, 5 and 7 were the tables of earlier formats.
#[derive(Clone, Copy)]
#[repr(u8)]
enum SharedTable {
    Servers = 11,
    Rows = 8,
}

impl SharedTable {
    fn from_byte(byte: u8) -> Option<Self> {
        [Self::Servers, Self::Rows].into_iter().find(|table| *table as u8 == byte)
    }
}

/// The answer of a watcher to a query of a table.
#[derive(Serialize, Deserialize)]
enum SharedAnswer<T> {
    /// The changes since the requested position.
    Page(SharedPage<T>),
    /// The watcher does not have the changes since that position.
    NotCovered,
    /// The store has not answered the watcher recently.
    Unreachable,
}

/// What a reader has from the watchers.
enum WatcherAnswer<T> {
    /// The changes since the position that it knows.
    Page(WatchPage<T>),
    /// The store has to be read: there is no watcher, or the one that was asked can't tell the changes.
    Missing,
    /// The store does not answer the watchers, or they are out of reach.
    Unanswered,
}

/// The changes since the requested position, and the position after them.
#[derive(Serialize, Deserialize)]
struct SharedPage<T> {
    changes: Vec<T>,
    position: WatchPosition,
    /// Time since the store last answered the watcher.
    age_ms: u32,
}

/// The pages that this process read from the store and serves to other processes.
#[derive(Debug, Default)]
pub struct StoreCaches {
    /// Pages of the server list.
    pub servers: PageCache<ServerChange>,
    /// Pages of the member and owner rows.
    pub rows: PageCache<RowChange>,
}

/// Reads from another process where possible, else from the store.
pub struct SharedWatch<W> {
    watch: Arc<W>,
    view: Arc<NodeView>,
    caches: Arc<StoreCaches>,
    clock: SharedClock,
    /// Connection for queries of the server list.
    server_link: tokio::sync::Mutex<Option<PeerLink>>,
    /// Connection for queries of the rows.
    row_link: tokio::sync::Mutex<Option<PeerLink>>,
    /// Connection for queries of the configuration.
    config_link: tokio::sync::Mutex<Option<PeerLink>>,
    /// Reads of the server list from the store while it does not answer.
    server_turns: OutageTurns,
    /// Reads of the rows from the store while it does not answer.
    row_turns: OutageTurns,
    /// Whether the configuration was last read from another process, so that the position in the
    /// store's history is out of date.
    config_position_outdated: AtomicBool,
    /// Whether the next read of the configuration is one of the store.
    store_turn: AtomicBool,
    /// Watchers that failed to answer, each with the time until which it is not queried.
    avoided: Mutex<BTreeMap<HostId, Instant>>,
}

impl<W: PlatformWatch> SharedWatch<W> {
    /// Wraps `watch`. Pages that are read from the store go into `caches`.
    pub fn new(
        watch: Arc<W>,
        view: Arc<NodeView>,
        caches: Arc<StoreCaches>,
        clock: SharedClock,
    ) -> Self {
        Self {
            watch,
            view,
            caches,
            clock,
            server_link: tokio::sync::Mutex::new(None),
            row_link: tokio::sync::Mutex::new(None),
            config_link: tokio::sync::Mutex::new(None),
            server_turns: OutageTurns::default(),
            row_turns: OutageTurns::default(),
            config_position_outdated: AtomicBool::new(false),
            store_turn: AtomicBool::new(false),
            avoided: Mutex::new(BTreeMap::new()),
        }
    }

    /// Caches a page that the store returned for a watch from `after`, or marks the store as
    /// unreachable.
    fn cache_page<T: Clone>(
        &self,
        cache: &PageCache<T>,
        after: Option<WatchPosition>,
        page: Result<WatchPage<T>, WatchError>,
    ) -> Result<WatchPage<T>, WatchError> {
        match &page {
            Ok(page) => cache.insert(after, page, self.clock.now()),
            Err(_) => cache.mark_unreachable(),
        }
        page
    }

    /// Whether other processes read the tables for this one while they can.
    fn is_reader(&self) -> bool {
        self.view.source_watcher(&|_| false).is_some()
    }

    fn note_turn<T>(&self, turns: &OutageTurns, page: &Result<WatchPage<T>, WatchError>) {
        match page {
            Err(WatchError::Unavailable { .. }) if self.is_reader() => {
                let processes = self.view.shared.processes.load(Ordering::Relaxed);
                turns.note_failure(processes, rand::random());
            }
            _ => turns.note_success(),
        }
    }

    /// A page from the watcher that serves this process, or from the next one if the store does not
    /// answer that one.
    async fn query_watcher<T: DeserializeOwned>(
        &self,
        table: SharedTable,
        link: &tokio::sync::Mutex<Option<PeerLink>>,
        after: Option<WatchPosition>,
    ) -> WatcherAnswer<T> {
        let Some(after) = after else { return WatcherAnswer::Missing };
        for _ in 0..MAX_WATCHERS {
            let usable = self.view.source_watcher(&|node| self.is_avoided(node));
            let Some((node, address)) = usable else { break };
            let sent_at = Instant::now();
            let answer = self
                .query_over(link, &node, address, async |link| query_page(link, table, after).await)
                .await;
            match answer {
                None => return WatcherAnswer::Missing,
                Some(SharedAnswer::Page(SharedPage { changes, position, age_ms })) => {
                    let age = Some(sent_at.elapsed() + Duration::from_millis(age_ms.into()));
                    let page = WatchPage { changes, position, is_snapshot: false, age };
                    return WatcherAnswer::Page(page);
                }
                Some(SharedAnswer::NotCovered) => {
                    // The store has the position that this read continues from.
                    info!(decision = "read-from-store", peer = %node, why = "not covered", "state");
                    return WatcherAnswer::Missing;
                }
                Some(SharedAnswer::Unreachable) => {
                    info!(decision = "source-unreachable", peer = %node, "state");
                    // In an outage the store may drop the entries of live servers; noting it keeps
                    // them for a while.
                    self.view.note_outage();
                    self.avoid(&node, UNREACHABLE_PERIOD);
                }
            }
        }
        if self.is_reader() { WatcherAnswer::Unanswered } else { WatcherAnswer::Missing }
    }

    /// A configuration from another process, in a page without a position of its own; `None` if the
    /// store has to be read.
    async fn query_config(
        &self,
        after: Option<WatchPosition>,
    ) -> Option<WatchPage<OperatorChange>> {
        let after = after?;
        if self.store_turn.swap(false, Ordering::Relaxed) {
            return None;
        }
        let (node, address) = self.view.config_source(&|node| self.is_avoided(node))?;
        let known = self.view.known_config();
        let ConfigAnswer { update, age, depth, evacuations } = self
            .query_over(&self.config_link, &node, address, async |link| {
                poll_config(link, known).await
            })
            .await?;
        self.view.set_config_origin(ConfigOrigin::peer(&node, depth));
        self.config_position_outdated.store(true, Ordering::Relaxed);
        self.view.adopt_evacuations(evacuations);
        let changes = update.map(OperatorChange::from).into_iter().collect();
        Some(WatchPage { changes, position: after, is_snapshot: false, age })
    }

    /// Runs a query over the kept connection to a process, or over a new one. The result is `None` if
    /// the store has to be read; a process that failed to answer is avoided for a while.
    async fn query_over<R>(
        &self,
        link: &tokio::sync::Mutex<Option<PeerLink>>,
        node: &HostId,
        address: SocketAddr,
        query: impl AsyncFnOnce(&mut PeerLink) -> Result<R, LinkError>,
    ) -> Option<R> {
        let mut slot = link.lock().await;
        // The connection is taken out, so that a cancelled query also closes it.
        let open_link = slot.take().filter(|link| link.node.as_ref() == Some(node));
        let connected = match open_link {
            Some(link) => Ok(link),
            None => PeerLink::connect(address, Some(node.clone())).await,
        };
        let queried = match connected {
            Ok(mut link) => {
                let response = query(&mut link).await;
                *slot = response.is_ok().then_some(link);
                response
            }
            Err(error) => Err(error),
        };
        queried
            .inspect_err(|error| {
                info!(decision = "read-from-store", peer = %node, why = %error, "state");
                self.avoid(node, AVOID_PERIOD);
            })
            .ok()
    }

    fn note_store_read(&self, table: &'static str, after: Option<WatchPosition>) {
        let has_source = self.view.source_watcher(&|_| false).is_some();
        let reason = read_reason(after, has_source, self.view.is_busy_owner());
        self.view.store_reads.note(table, reason);
    }

    fn avoid(&self, node: &HostId, period: Duration) {
        self.avoided.lock().insert(node.clone(), Instant::now() + period);
    }

    fn is_avoided(&self, node: &HostId) -> bool {
        let mut avoided = self.avoided.lock();
        let now = Instant::now();
        avoided.retain(|_, until| *until > now);
        avoided.contains_key(node)
    }
}

/// The failure of a read that was left out.
fn unanswered() -> WatchError {
    let detail = "the store answers neither this process nor its sources; it is asked in turns";
    WatchError::Unavailable { detail: detail.to_owned() }
}

fn read_reason(after: Option<WatchPosition>, has_source: bool, is_busy_owner: bool) -> ReadReason {
    match (after, has_source) {
        (None, _) => ReadReason::FullRead,
        (Some(_), true) => ReadReason::Fallback,
        (Some(_), false) if is_busy_owner => ReadReason::BusyOwner,
        (Some(_), false) => ReadReason::Watcher,
    }
}

/// Queries a watcher for the changes since a position.
async fn query_page<T: DeserializeOwned>(
    link: &mut PeerLink,
    table: SharedTable,
    after: WatchPosition,
) -> Result<SharedAnswer<T>, LinkError> {
    let mut request = [table as u8; 17];
    request[1..9].copy_from_slice(&after.era.0.to_be_bytes());
    request[9..].copy_from_slice(&after.version.to_be_bytes());
    let response = link.exchange(&request, MAX_QUERY_WAIT + RESPONSE_MARGIN).await?;
    time_step("page decoded", || postcard::from_bytes(&response)).context(UnreadableSnafu)
}

impl<W: PlatformWatch> PlatformWatch for SharedWatch<W> {
    async fn watch_config(
        &self,
        after: Option<WatchPosition>,
        short_poll: bool,
    ) -> Result<WatchPage<OperatorChange>, WatchError> {
        if let Some(page) = self.query_config(after).await {
            return Ok(page);
        }
        let outdated = self.config_position_outdated.swap(false, Ordering::Relaxed);
        let after = after.filter(|_| !outdated);
        let has_source = self.view.config_source(&|_| false).is_some();
        self.view.store_reads.note("config", read_reason(after, has_source, false));
        let page = self.watch.watch_config(after, short_poll).await;
        let StoreCaches { servers, rows } = &*self.caches;
        match &page {
            Ok(_) => {
                self.view.set_config_origin(ConfigOrigin::default());
                // Rows change so rarely that their own watch seldom returns. That of the server list
                // returns often where it is short, so an answer to another one shows nothing about it.
                let now = self.clock.now();
                rows.mark_reachable(now);
                if !self.view.needs_short_server_watch() {
                    servers.mark_reachable(now);
                }
            }
            Err(_) => {
                servers.mark_unreachable();
                rows.mark_unreachable();
            }
        }
        page
    }

    async fn watch_servers(
        &self,
        after: Option<WatchPosition>,
        short_poll: bool,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        let turns = &self.server_turns;
        match self.query_watcher(SharedTable::Servers, &self.server_link, after).await {
            WatcherAnswer::Page(page) => return Ok(page),
            WatcherAnswer::Unanswered if !turns.is_due() => return Err(unanswered()),
            WatcherAnswer::Unanswered | WatcherAnswer::Missing => {}
        }
        self.note_store_read("servers", after);
        let page = self.watch.watch_servers(after, short_poll).await;
        self.note_turn(turns, &page);
        self.cache_page(&self.caches.servers, after, page)
    }

    async fn read_servers(
        &self,
        after: WatchPosition,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        self.view.store_reads.note("servers", ReadReason::NewOwner);
        let page = self.watch.read_servers(after).await;
        self.note_turn(&self.server_turns, &page);
        self.cache_page(&self.caches.servers, Some(after), page)
    }

    async fn watch_rows(
        &self,
        after: Option<WatchPosition>,
    ) -> Result<WatchPage<RowChange>, WatchError> {
        let turns = &self.row_turns;
        match self.query_watcher(SharedTable::Rows, &self.row_link, after).await {
            WatcherAnswer::Page(page) => return Ok(page),
            WatcherAnswer::Unanswered if !turns.is_due() => return Err(unanswered()),
            WatcherAnswer::Unanswered | WatcherAnswer::Missing => {}
        }
        self.note_store_read("rows", after);
        let page = self.watch.watch_rows(after).await;
        self.note_turn(turns, &page);
        self.cache_page(&self.caches.rows, after, page)
    }

    fn abandon_waiting(&self) {
        if let Some((node, _)) = self.view.config_source(&|node| self.is_avoided(node)) {
            self.avoid(&node, AVOID_PERIOD);
        }
        self.watch.abandon_waiting();
    }

    fn read_store_next(&self) {
        self.store_turn.store(true, Ordering::Relaxed);
    }
}

/// Serves the configuration, the cached pages and forwards to other processes until cancelled.
pub async fn serve_caches(
    listener: TcpListener,
    view: Arc<NodeView>,
    caches: Arc<StoreCaches>,
    clock: SharedClock,
    stop: CancellationToken,
) {
    // Only peers connect here, and each has few connections.
    accept_until(listener, usize::MAX, stop, |stream| {
        let (view, caches, clock) = (view.clone(), caches.clone(), clock.clone());
        async move {
            if let Err(error) = serve_peer(stream, &view, &caches, &clock).await {
                debug!(%error, "connection to a peer closed");
            }
        }
    })
    .await;
}

/// Serves one connection of a peer: the queries of a reader until it ends, or a forward.
async fn serve_peer(
    mut stream: TcpStream,
    view: &NodeView,
    caches: &StoreCaches,
    clock: &SharedClock,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let first = stream.read_u8().await?;
    if first != FORWARD_QUERY {
        return serve_reader(stream, first, &view.offer, caches, clock).await;
    }
    let peer = stream.peer_addr()?.ip();
    if !view.with(|state| state.members.has_address(peer)) {
        return Err(io::Error::other(format!("{peer} is no member and may not use forwards")));
    }
    view.shared.paths.serve_forward(stream).await.map_err(io::Error::other)
}

/// Answers the queries of one reader until its connection ends. `table` is the first byte of the first
/// query.
async fn serve_reader(
    mut stream: TcpStream,
    mut table: u8,
    offer: &ConfigOffer,
    caches: &StoreCaches,
    clock: &SharedClock,
) -> io::Result<()> {
    loop {
        let response = if table == CONFIG_QUERY {
            let mut query = [0; ConfigQuery::BYTES];
            stream.read_exact(&mut query).await?;
            offer.answer(ConfigQuery::decode(&query), clock).await?
        } else {
            let Some(table) = SharedTable::from_byte(table) else {
                return Err(io::Error::other(format!("unknown table number {table}")));
            };
            let era = StoreEra(stream.read_u64().await?);
            let after = WatchPosition { era, version: stream.read_u64().await? };
            match table {
                SharedTable::Servers => respond(&caches.servers, clock, after).await,
                SharedTable::Rows => respond(&caches.rows, clock, after).await,
            }?
        };
        write_response(&mut stream, &response).await?;
        table = stream.read_u8().await?;
    }
}

async fn write_response(stream: &mut TcpStream, response: &[u8]) -> io::Result<()> {
    let bytes = u32::try_from(response.len()).map_err(io::Error::other)?;
    let began = Instant::now();
    stream.write_u32(bytes).await?;
    stream.write_all(response).await?;
    let took = began.elapsed();
    if took >= LOGGED_WRITE {
        info!(decision = "slow-write", bytes, took_ms = took.as_millis() as u64, "state");
    }
    Ok(())
}

/// Returns an encoded [`SharedAnswer`].
async fn respond<T: Clone + Serialize>(
    cache: &PageCache<T>,
    clock: &SharedClock,
    after: WatchPosition,
) -> io::Result<Vec<u8>> {
    let answer = wait_for_changes(cache, clock, after).await;
    time_step("page encoded", || postcard::to_stdvec(&answer)).map_err(io::Error::other)
}

/// The changes since a position, after waiting up to [`MAX_QUERY_WAIT`] for one.
async fn wait_for_changes<T: Clone>(
    cache: &PageCache<T>,
    clock: &SharedClock,
    after: WatchPosition,
) -> SharedAnswer<T> {
    let until = Instant::now() + MAX_QUERY_WAIT;
    loop {
        let updated = cache.updated.notified();
        let (page, is_due) = match cache.lookup(after, clock.now()) {
            CacheLookup::Changes(page) => (page, true),
            CacheLookup::UpToDate { position, age } => {
                let age = Some(age);
                let page = WatchPage { changes: Vec::new(), position, is_snapshot: false, age };
                (page, Instant::now() >= until)
            }
            CacheLookup::Miss => return SharedAnswer::NotCovered,
            CacheLookup::Unreachable => return SharedAnswer::Unreachable,
        };
        if is_due {
            let age_ms = page.age.map_or(u32::MAX, millis);
            let WatchPage { changes, position, .. } = page;
            return SharedAnswer::Page(SharedPage { changes, position, age_ms });
        }
        // At the timeout the cache is read once more, because the store may have become
        // unreachable.
        let _ = timeout_at(until, updated).await;
    }
}
