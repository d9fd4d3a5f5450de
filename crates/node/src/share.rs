//! Reading the server list from another process that follows the store.
//!
//! Each change of the list concerns every process. With a hundred of them the store would answer a
//! hundred calls for each change, so a few processes read it there and the others ask these.

use {
    crate::{
        ports::{
            ConfigUpdate, PlatformWatch, RowChange, ServerChange, WatchError, WatchPage,
            WatchPosition,
        },
        shelf::{PageShelf, ShelfAnswer},
        view::NodeView,
    },
    base::{HostId, SharedClock},
    parking_lot::Mutex,
    snafu::{ResultExt, Snafu},
    std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
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

base::value_type!(
    /// Changes since the position that was asked for.
    struct SharedPage {
        changes: Vec<ServerChange>,
        position: WatchPosition,
    }
);

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

/// A kept connection to a process that reads from the store.
struct PeerLink {
    node: HostId,
    stream: TcpStream,
}

/// The watches of the store, but for the server list where another process reads it.
pub struct ListSource<W> {
    watch: Arc<W>,
    view: Arc<NodeView>,
    shelf: Arc<PageShelf>,
    clock: SharedClock,
    link: tokio::sync::Mutex<Option<PeerLink>>,
    /// Processes that did not answer, until when.
    avoided: Mutex<BTreeMap<HostId, Instant>>,
}

impl<W: PlatformWatch> ListSource<W> {
    /// A source over the store's watches. What it reads from the store goes onto the shelf.
    pub fn new(
        watch: Arc<W>,
        view: Arc<NodeView>,
        shelf: Arc<PageShelf>,
        clock: SharedClock,
    ) -> Self {
        let avoided = Mutex::new(BTreeMap::new());
        Self { watch, view, shelf, clock, link: tokio::sync::Mutex::new(None), avoided }
    }

    async fn ask_store(
        &self,
        after: Option<WatchPosition>,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        let page = self.watch.watch_servers(after).await;
        match &page {
            Ok(page) => self.shelf.put(page, self.clock.now()),
            Err(_) => self.shelf.doubt(),
        }
        page
    }

    async fn ask_peer(
        &self,
        node: &HostId,
        address: SocketAddr,
        after: WatchPosition,
    ) -> Result<SharedPage, ShareError> {
        let mut slot = self.link.lock().await;
        // Taken out, so that a connection is given up with a question that is given up.
        let kept = slot.take().filter(|link| link.node == *node);
        let asked = async {
            let mut link = match kept {
                Some(link) => link,
                None => {
                    let stream = TcpStream::connect(address).await.context(BrokenSnafu)?;
                    stream.set_nodelay(true).context(BrokenSnafu)?;
                    PeerLink { node: node.clone(), stream }
                }
            };
            link.stream.write_u64(after.0).await.context(BrokenSnafu)?;
            let bytes = link.stream.read_u32().await.context(BrokenSnafu)?;
            if bytes == NO_PAGE {
                return Err(ShareError::Unknown);
            }
            if bytes > MAX_ANSWER_BYTES {
                return Err(ShareError::TooLarge { bytes });
            }
            let mut answer = vec![0; bytes as usize];
            link.stream.read_exact(&mut answer).await.context(BrokenSnafu)?;
            let page = postcard::from_bytes(&answer).context(UnreadableSnafu)?;
            Ok((link, page))
        };
        let answered = timeout(NEWS_WAIT + ANSWER_LIMIT, asked).await;
        let (link, page) = answered.unwrap_or(Err(ShareError::Silent))?;
        *slot = Some(link);
        Ok(page)
    }

    fn is_avoided(&self, node: &HostId) -> bool {
        let mut avoided = self.avoided.lock();
        let now = Instant::now();
        avoided.retain(|_, until| *until > now);
        avoided.contains_key(node)
    }
}

impl<W: PlatformWatch> PlatformWatch for ListSource<W> {
    async fn watch_config(
        &self,
        after: Option<WatchPosition>,
        sentinel: bool,
    ) -> Result<WatchPage<ConfigUpdate>, WatchError> {
        let page = self.watch.watch_config(after, sentinel).await;
        match &page {
            Ok(_) => self.shelf.confirm(self.clock.now()),
            Err(_) => self.shelf.doubt(),
        }
        page
    }

    async fn watch_servers(
        &self,
        after: Option<WatchPosition>,
    ) -> Result<WatchPage<ServerChange>, WatchError> {
        let reader = self.view.list_reader();
        let (Some(known), Some((node, address))) = (after, reader) else {
            return self.ask_store(after).await;
        };
        if self.is_avoided(&node) {
            return self.ask_store(after).await;
        }
        match self.ask_peer(&node, address, known).await {
            Ok(SharedPage { changes, position }) => {
                Ok(WatchPage { changes, position, whole: false })
            }
            Err(error) => {
                info!(decision = "list-from-store", peer = %node, why = %error, "state");
                if matches!(error, ShareError::Unknown) {
                    // The store may have been away there, and have dropped entries meanwhile.
                    self.view.note_outage();
                }
                self.avoided.lock().insert(node, Instant::now() + AVOID_SPAN);
                self.ask_store(after).await
            }
        }
    }

    async fn watch_rows(
        &self,
        after: Option<WatchPosition>,
    ) -> Result<WatchPage<RowChange>, WatchError> {
        self.watch.watch_rows(after).await
    }
}

/// Answers other processes' questions until cancelled.
pub async fn serve_list(
    listener: TcpListener,
    shelf: Arc<PageShelf>,
    clock: SharedClock,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => {
                let (shelf, clock, stop) = (shelf.clone(), clock.clone(), stop.clone());
                tokio::spawn(async move {
                    let served = tokio::select! {
                        () = stop.cancelled() => return,
                        served = serve_reader(stream, &shelf, &clock) => served,
                    };
                    if let Err(error) = served {
                        tracing::debug!(%peer, %error, "a reader of the server list is gone");
                    }
                });
            }
            Err(error) => {
                warn!(%error, "a connection of another process can't be accepted");
                tokio::time::sleep(ANSWER_LIMIT).await;
            }
        }
    }
}

async fn serve_reader(
    mut stream: TcpStream,
    shelf: &PageShelf,
    clock: &SharedClock,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let after = WatchPosition(stream.read_u64().await?);
        let Some(page) = wait_for_news(shelf, clock, after).await else {
            stream.write_u32(NO_PAGE).await?;
            continue;
        };
        let answer = postcard::to_stdvec(&page).map_err(io::Error::other)?;
        let bytes = u32::try_from(answer.len()).map_err(io::Error::other)?;
        stream.write_u32(bytes).await?;
        stream.write_all(&answer).await?;
    }
}

/// None when this process can't tell what has changed.
async fn wait_for_news(
    shelf: &PageShelf,
    clock: &SharedClock,
    after: WatchPosition,
) -> Option<SharedPage> {
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
