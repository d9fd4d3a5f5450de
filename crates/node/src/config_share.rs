//! Passes the newest configuration from process to process.
//!
//! Every process needs every version, and a version with thousands of routes takes a slow link
//! seconds. So only the watchers read it from the store; each other process queries one process,
//! and at most a few others query it in turn (see `MemberTable::config_source`).

use {
    crate::{
        peer_link::{LinkError, PeerLink, UnreadableSnafu},
        ports::{ConfigStamp, ConfigUpdate},
    },
    base::StoreEra,
    bytes::{Buf, Bytes},
    parking_lot::Mutex,
    snafu::ResultExt,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, OnceLock},
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// How long a process waits for a newer configuration before it answers a query without one. A
/// process whose source is stalled learns of a newer version from gossip much earlier.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(4);
/// A query times out this long after [`MAX_QUERY_WAIT`].
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time in which a process that is known to have a newer configuration begins to send it.
const FETCH_LIMIT: Duration = Duration::from_millis(800);

/// First byte of a query. A [`ConfigQuery`] follows.
pub(crate) const CONFIG_QUERY: u8 = 3;

/// The fields of a query after its first byte.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigQuery {
    /// The configuration that the reader has.
    pub(crate) known: ConfigStamp,
    /// How long to wait for a newer one.
    pub(crate) wait: Duration,
}

impl ConfigQuery {
    /// Length of the encoded fields, in bytes.
    pub(crate) const BYTES: usize = 20;

    /// Version, era and milliseconds to wait, as big-endian numbers of eight, eight and four bytes.
    fn encode(self) -> [u8; Self::BYTES] {
        let wait_ms = u32::try_from(self.wait.as_millis()).unwrap_or(u32::MAX);
        let mut bytes = [0; Self::BYTES];
        bytes[..8].copy_from_slice(&self.known.version.to_be_bytes());
        bytes[8..16].copy_from_slice(&self.known.era.0.to_be_bytes());
        bytes[16..].copy_from_slice(&wait_ms.to_be_bytes());
        bytes
    }

    pub(crate) fn decode(bytes: &[u8; Self::BYTES]) -> Self {
        let mut rest = &bytes[..];
        let (version, era) = (rest.get_u64(), rest.get_u64());
        let wait = Duration::from_millis(rest.get_u32().into());
        Self { known: ConfigStamp { version, era: StoreEra(era) }, wait }
    }
}

/// The newest configuration of this process, encoded at most once for all queries.
#[derive(Debug)]
struct OfferedConfig {
    update: Arc<ConfigUpdate>,
    encoded: OnceLock<Bytes>,
}

/// The newest configuration, for the queries of other processes.
#[derive(Debug, Default)]
pub struct ConfigOffer {
    newest: Mutex<Option<Arc<OfferedConfig>>>,
    changed: Notify,
}

impl ConfigOffer {
    /// Replaces the configuration and answers the waiting queries.
    pub fn publish(&self, update: Arc<ConfigUpdate>) {
        *self.newest.lock() = Some(Arc::new(OfferedConfig { update, encoded: OnceLock::new() }));
        self.changed.notify_waiters();
    }

    /// The encoded configuration if it is newer than the reader's, after waiting for one.
    pub(crate) async fn answer(&self, query: ConfigQuery) -> io::Result<Option<Bytes>> {
        let until = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let newest = self.newest.lock().clone();
            if let Some(offered) = newest.filter(|offered| offered.update.stamp() > query.known) {
                return offered.encode().map(Some);
            }
            if timeout_at(until, changed).await.is_err() {
                return Ok(None);
            }
        }
    }
}

impl OfferedConfig {
    fn encode(&self) -> io::Result<Bytes> {
        if let Some(encoded) = self.encoded.get() {
            return Ok(encoded.clone());
        }
        let encoded = postcard::to_stdvec(&*self.update).map_err(io::Error::other)?;
        Ok(self.encoded.get_or_init(|| Bytes::from(encoded)).clone())
    }
}

/// Waits at another process for a configuration newer than `known`; `None` if it got none.
pub(crate) async fn poll_config(
    link: &mut PeerLink,
    known: ConfigStamp,
) -> Result<Option<ConfigUpdate>, LinkError> {
    let query = ConfigQuery { known, wait: MAX_QUERY_WAIT };
    send_query(link, query, MAX_QUERY_WAIT + RESPONSE_MARGIN).await
}

/// Fetches the configuration of a process that has a newer one than `known`.
pub(crate) async fn fetch_config(
    address: SocketAddr,
    known: ConfigStamp,
) -> Result<Option<ConfigUpdate>, LinkError> {
    let mut link = PeerLink::connect(address, None).await?;
    send_query(&mut link, ConfigQuery { known, wait: Duration::ZERO }, FETCH_LIMIT).await
}

async fn send_query(
    link: &mut PeerLink,
    query: ConfigQuery,
    limit: Duration,
) -> Result<Option<ConfigUpdate>, LinkError> {
    let request = [&[CONFIG_QUERY], &query.encode()[..]].concat();
    let response = link.exchange(&request, limit).await?;
    if response.is_empty() {
        return Ok(None);
    }
    let update: ConfigUpdate = postcard::from_bytes(&response).context(UnreadableSnafu)?;
    Ok(Some(update).filter(|update| update.stamp() > query.known))
}
