//! Reading the server list and our own rows from another process that follows the store.
//!
//! Each change there concerns every process. With a hundred of them the store would answer a hundred
//! calls for each change, so a few processes read it and the others ask these.

use {
    crate::{
        accept::accept_until,
        ports::{
            ConfigUpdate, PlatformWatch, RowChange, ServerChange, WatchError, WatchPage,
            WatchPosition,
        },
        shelf::{PageShelf, ShelfAnswer},
        view::NodeView,
    },
    base::{HostId, SharedClock},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    snafu::{ResultExt, Snafu},
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
    tracing::{debug, info},
};

/// How long a question waits for news at the other process; short, so that one that stands still is
/// found before a leaving server must be known.
const NEWS_WAIT: Duration = Duration::from_millis(800);
/// Time limit of a question beyond [`NEWS_WAIT`].
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
/// A process that did not answer is not asked again for this long.
const AVOID_SPAN: Duration = Duration::from_secs(5);
/// Largest answer; well above a list of a thousand servers.
const MAX_ANSWER_BYTES: u32 = 4 << 20;

/// Length in front of an answer without a page.
const NO_PAGE: u32 = 0;

/// What is asked for, as the first byte of a question.
#[derive(Clone, Copy)]
#[repr(u8)]
enum SharedTable {
    Servers = 1,
    Rows = 2,
}

impl SharedTable {
    fn from_byte(byte: u8) -> Option<Self> {
        [Self::Servers, Self::Rows].into_iter().find(|table| *table as u8 == byte)
    }
}

/// Changes since the position that was asked for.
#[derive(Serialize, Deserialize)]
struct SharedPage<T> {
    changes: Vec<T>,
    position: WatchPosition,
}

/// Why another process gave no page.
#[derive(Debug, Snafu)]
enum ShareError {
    #[snafu(display("the connection failed: {source}"))]
    Broken { source: io::Error },
    #[snafu(display("no answer in time"))]
    Silent,
    #[snafu(display("it does not know what has changed"))]
    Unknown,
    #[snafu(display("an answer of {bytes} bytes is too large"))]
    TooLarge { bytes: u32 },
    #[snafu(display("the answer can't be read: {source}"))]
    Unreadable { source: postcard::Error },
}

/// What this process read from the store and keeps for others.
#[derive(Debug, Default)]
pub struct StoreShelves {
    /// The server list.
    pub servers: PageShelf<ServerChange>,
    /// Our own rows.
    pub rows: PageShelf<RowChange>,
}

/// A kept connection to a process that reads from the store.
struct PeerLink {
    node: HostId,
    stream: TcpStream,
}

/// The watches of the store, but for what another process reads there.
pub struct SharedWatch<W> {
    watch: Arc<W>,
    view: Arc<NodeView>,
    shelves: Arc<StoreShelves>,
    clock: SharedClock,
    servers: tokio::sync::Mutex<Option<PeerLink>>,
    rows: tokio::sync::Mutex<Option<PeerLink>>,
    /// Processes that did not answer, until when.
    avoided: Mutex<BTreeMap<HostId, Instant>>,
}

impl<W: PlatformWatch> SharedWatch<W> {
    /// A watch over the store's. What it reads from the store goes onto the shelves.
    pub fn new(
        watch: Arc<W>,
        view: Arc<NodeView>,
        shelves: Arc<StoreShelves>,
        clock: SharedClock,
    ) -> Self {
        Self {
            watch,
            view,
            shelves,
            clock,
            servers: tokio::sync::Mutex::new(None),
            rows: tokio::sync::Mutex::new(None),
            avoided: Mutex::new(BTreeMap::new()),
        }
    }

    /// Keeps what the store gave, or notes that it gave nothing.
    fn keep<T: Clone>(
        &self,
        shelf: &PageShelf<T>,
        page: Result<WatchPage<T>, WatchError>,
    ) -> Result<WatchPage<T>, WatchError> {
        match &page {
            Ok(page) => shelf.put(page, self.clock.now()),
            Err(_) => shelf.doubt(),
        }
        page
    }

    /// A page of the process that reads this table for others; none if the store has to be asked.
    async fn ask_reader<T: DeserializeOwned>(
        &self,
        table: SharedTable,
        link: &tokio::sync::Mutex<Option<PeerLink>>,
        after: Option<WatchPosition>,
    ) -> Option<WatchPage<T>> {
        let after = after?;
        let (node, address) = self.view.store_reader()?;
        if self.is_avoided(&node) {
            return None;
        }
        let mut slot = link.lock().await;
        // Taken out, so that a connection is given up with a question that is given up.
        let kept = slot.take().filter(|link| link.node == node);
        let asked = ask_peer(kept, &node, address, table, after);
        let answered = timeout(NEWS_WAIT + ANSWER_LIMIT, asked).await;
        match answered.unwrap_or(Err(ShareError::Silent)) {
            Ok((link, SharedPage { changes, position })) => {
                *slot = Some(link);
                Some(WatchPage { changes, position, whole: false })
            }
            Err(error) => {
                info!(decision = "read-from-store", peer = %node, why = %error, "state");
                if matches!(error, ShareError::Unknown) {
                    // The store may have been away there, and have dropped entries meanwhile.
                    self.view.note_outage();
                }
                self.avoided.lock().insert(node, Instant::now() + AVOID_SPAN);
                None
            }
        }
    }

    fn is_avoided(&self, node: &HostId) -> bool {
        let mut avoided = self.avoided.lock();
        let now = Instant::now();
        avoided.retain(|_, until| *until > now);
        avoided.contains_key(node)
    }
}

async fn ask_peer<T: DeserializeOwned>(
    kept: Option<PeerLink>,
    node: &HostId,
    address: SocketAddr,
    table: SharedTable,
    after: WatchPosition,
) -> Result<(PeerLink, SharedPage<T>), ShareError> {
    let mut link = match kept {
        Some(link) => link,
        None => {
            let stream = TcpStream::connect(address).await.context(BrokenSnafu)?;
            stream.set_nodelay(true).context(BrokenSnafu)?;
            PeerLink { node: node.clone(), stream }
        }
    };
    let mut question = [table as u8; 9];
    question[1..].copy_from_slice(&after.0.to_be_bytes());
    link.stream.write_all(&question).await.context(BrokenSnafu)?;
    let bytes = link.stream.read_u32().await.context(BrokenSnafu)?;
    match bytes {
        NO_PAGE => return UnknownSnafu.fail(),
        _ if bytes > MAX_ANSWER_BYTES => return TooLargeSnafu { bytes }.fail(),
        _ => {}
    }
    let mut answer = vec![0; bytes as usize];
    link.stream.read_exact(&mut answer).await.context(BrokenSnafu)?;
    let page = postcard::from_bytes(&answer).context(UnreadableSnafu)?;
    Ok((link, page))
}

impl<W: PlatformWatch> PlatformWatch for SharedWatch<W> {
    async fn watch_config(
        &self,
        after: Option<WatchPosition>,
        sentinel: bool,
    ) -> Result<WatchPage<ConfigUpdate>, WatchError> {
        let page = self.watch.watch_config(after, sentinel).await;
        let StoreShelves { servers, rows } = &*self.shelves;
        if page.is_ok() {
            let now = self.clock.now();
            servers.confirm(now);
            rows.confirm(now);
        } else {
            servers.doubt();
            rows.doubt();
        }
        page
    }

    async fn watch_servers(
        &self,
        after: Option<WatchPosition>,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        if let Some(page) = self.ask_reader(SharedTable::Servers, &self.servers, after).await {
            return Ok(page);
        }
        self.keep(&self.shelves.servers, self.watch.watch_servers(after).await)
    }

    async fn watch_rows(
        &self,
        after: Option<WatchPosition>,
    ) -> Result<WatchPage<RowChange>, WatchError> {
        if let Some(page) = self.ask_reader(SharedTable::Rows, &self.rows, after).await {
            return Ok(page);
        }
        self.keep(&self.shelves.rows, self.watch.watch_rows(after).await)
    }
}

/// Answers other processes' questions until cancelled.
pub async fn serve_shelves(
    listener: TcpListener,
    shelves: Arc<StoreShelves>,
    clock: SharedClock,
    stop: CancellationToken,
) {
    accept_until(listener, stop, |stream| {
        let (shelves, clock) = (shelves.clone(), clock.clone());
        async move {
            if let Err(error) = serve_reader(stream, &shelves, &clock).await {
                debug!(%error, "a reader is gone");
            }
        }
    })
    .await;
}

async fn serve_reader(
    mut stream: TcpStream,
    shelves: &StoreShelves,
    clock: &SharedClock,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let table = stream.read_u8().await?;
        let after = WatchPosition(stream.read_u64().await?);
        let answer = match SharedTable::from_byte(table) {
            Some(SharedTable::Servers) => answer_question(&shelves.servers, clock, after).await,
            Some(SharedTable::Rows) => answer_question(&shelves.rows, clock, after).await,
            None => return Err(io::Error::other(format!("no table has the number {table}"))),
        }?;
        let bytes = u32::try_from(answer.len()).map_err(io::Error::other)?;
        stream.write_u32(bytes).await?;
        stream.write_all(&answer).await?;
    }
}

/// An encoded page; empty when this process can't tell what has changed.
async fn answer_question<T: Clone + Serialize>(
    shelf: &PageShelf<T>,
    clock: &SharedClock,
    after: WatchPosition,
) -> io::Result<Vec<u8>> {
    let page = wait_for_news(shelf, clock, after).await;
    page.map_or(Ok(Vec::new()), |page| postcard::to_stdvec(&page).map_err(io::Error::other))
}

async fn wait_for_news<T: Clone>(
    shelf: &PageShelf<T>,
    clock: &SharedClock,
    after: WatchPosition,
) -> Option<SharedPage<T>> {
    let until = Instant::now() + NEWS_WAIT;
    loop {
        let news = shelf.news.notified();
        match shelf.read(after, clock.now()) {
            ShelfAnswer::News(WatchPage { changes, position, .. }) => {
                return Some(SharedPage { changes, position });
            }
            ShelfAnswer::Nothing(position) => {
                if Instant::now() >= until {
                    return Some(SharedPage { changes: Vec::new(), position });
                }
                // After the time the shelf is read once more, for the store may be in doubt.
                let _ = timeout_at(until, news).await;
            }
            ShelfAnswer::Unknown => return None,
        }
    }
}
