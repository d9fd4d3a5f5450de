//! Passes the newest configuration and the evacuated failure domains from process to process.
//!
//! Every process needs every version, and a version with thousands of routes takes a slow link
//! seconds. So only the watchers read it from the store; each other process queries one process,
//! and at most a few others query it in turn (see `MemberTable::config_source`). A query is answered
//! when the process has a newer configuration or a later confirmation of its own, so that both pass
//! down the tree without a pause.

use {
    crate::{
        config_tracker::{ConfigClaim, millis},
        evacuation::{EvacuationClaim, EvacuationSet},
        loop_lag::time_step,
        peer_link::{LinkError, PeerLink, TimedOutSnafu, UnreadableSnafu},
        ports::{ConfigStamp, ConfigUpdate, WatchPosition},
    },
    base::{SharedClock, StoreEra, Tick},
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
        time::{Instant, timeout, timeout_at},
    },
};

/// How long a process waits before it answers a query although it has nothing new. Longer than the
/// time between two confirmations by the store.
const MAX_QUERY_WAIT: Duration = Duration::from_millis(1_800);
/// A query times out this long after [`MAX_QUERY_WAIT`].
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);
/// Time in which a process that claims to have a better configuration must accept a connection and
/// begin to answer; several round trips. The next one is asked after it.
const FETCH_LIMIT: Duration = Duration::from_millis(250);
/// A later confirmation is worth an answer if it is later by this much.
const MIN_GAIN: Duration = Duration::from_millis(300);
/// Stands for an age that is not known, in messages.
const UNKNOWN_AGE: u32 = u32::MAX;

/// First byte of a query; those of other messages to a process are in `share` and `reach`. A
/// [`ConfigQuery`] follows. 3 was that of queries without an age, 6 that of queries without evacuated
/// domains.
pub(crate) const CONFIG_QUERY: u8 = 10;

/// What a process has when it asks another one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownConfig {
    /// Its configuration, and the age of that.
    pub(crate) config: ConfigClaim,
    /// Its evacuated failure domains.
    pub(crate) evacuations: EvacuationClaim,
}

/// The fields of a query after its first byte.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConfigQuery {
    /// What the reader has.
    pub(crate) known: KnownConfig,
    /// How long to wait for a newer one.
    pub(crate) wait: Duration,
}

impl ConfigQuery {
    /// Length of the encoded fields, in bytes.
    pub(crate) const BYTES: usize = 48;

    /// Version, era, age and wait, as big-endian numbers of eight, eight, four and four bytes; era,
    /// version and checksum of the evacuated domains, of eight bytes each.
    fn encode(self) -> [u8; Self::BYTES] {
        let KnownConfig { config, evacuations } = self.known;
        let mut bytes = [0; Self::BYTES];
        bytes[..8].copy_from_slice(&config.stamp.version.to_be_bytes());
        bytes[8..16].copy_from_slice(&config.stamp.era.0.to_be_bytes());
        bytes[16..20].copy_from_slice(&config.age_ms.unwrap_or(UNKNOWN_AGE).to_be_bytes());
        bytes[20..24].copy_from_slice(&millis(self.wait).to_be_bytes());
        bytes[24..32].copy_from_slice(&evacuations.as_of.era.0.to_be_bytes());
        bytes[32..40].copy_from_slice(&evacuations.as_of.version.to_be_bytes());
        bytes[40..].copy_from_slice(&evacuations.digest.to_be_bytes());
        bytes
    }

    pub(crate) fn decode(bytes: &[u8; Self::BYTES]) -> Self {
        let mut rest = &bytes[..];
        let (version, era) = (rest.get_u64(), rest.get_u64());
        let age_ms = Some(rest.get_u32()).filter(|age_ms| *age_ms != UNKNOWN_AGE);
        let wait = Duration::from_millis(rest.get_u32().into());
        let config = ConfigClaim { stamp: ConfigStamp { version, era: StoreEra(era) }, age_ms };
        let (era, version) = (StoreEra(rest.get_u64()), rest.get_u64());
        let as_of = WatchPosition { era, version };
        let evacuations = EvacuationClaim { as_of, digest: rest.get_u64() };
        Self { known: KnownConfig { config, evacuations }, wait }
    }
}

base::value_type!(
    /// What the answer to a query says beside the configuration.
    struct AnswerHead {
        /// What the answering process says about its configuration.
        claim: ConfigClaim,
        /// How long it held the query. The answer was made at least that long after the query was
        /// sent, whatever time it took to arrive.
        held_ms: u32,
        /// Number of processes between the store and the answering one.
        depth: u8,
        /// The evacuated failure domains.
        evacuations: EvacuationSet,
    }
);

/// The answer to a query.
#[derive(Debug)]
pub(crate) struct ConfigAnswer {
    /// The configuration, if it is newer than the reader's.
    pub(crate) update: Option<ConfigUpdate>,
    /// Time since that, or else the reader's own one, was known to be the newest; `None` if the
    /// answer does not show it.
    pub(crate) age: Option<Duration>,
    /// Number of processes between the store and the answering one.
    pub(crate) depth: u8,
    /// The evacuated failure domains that the answering process knows.
    pub(crate) evacuations: EvacuationSet,
}

/// The newest configuration of this process, encoded at most once for all queries.
#[derive(Debug)]
struct OfferedConfig {
    update: Arc<ConfigUpdate>,
    encoded: OnceLock<Bytes>,
}

#[derive(Clone, Debug, Default)]
struct OfferState {
    newest: Option<Arc<OfferedConfig>>,
    confirmed_at: Option<Tick>,
    depth: u8,
    evacuations: EvacuationSet,
}

/// The newest configuration, for the queries of other processes.
#[derive(Debug, Default)]
pub struct ConfigOffer {
    state: Mutex<OfferState>,
    changed: Notify,
}

impl ConfigOffer {
    /// Replaces the configuration and answers the waiting queries.
    pub fn publish(&self, update: Arc<ConfigUpdate>) {
        let offered = OfferedConfig { update, encoded: OnceLock::new() };
        self.state.lock().newest = Some(Arc::new(offered));
        self.changed.notify_waiters();
    }

    /// Records the evacuated domains, when they and the configuration were last known to be the newest,
    /// and the number of processes between the store and this one.
    pub fn confirm(&self, confirmed_at: Option<Tick>, depth: u8, evacuations: EvacuationSet) {
        {
            let mut state = self.state.lock();
            (state.confirmed_at, state.depth) = (confirmed_at, depth);
            state.evacuations = evacuations;
        }
        self.changed.notify_waiters();
    }

    /// The encoded answer to a query, after waiting for something new.
    pub(crate) async fn answer(
        &self,
        query: ConfigQuery,
        clock: &SharedClock,
    ) -> io::Result<Vec<u8>> {
        let received_at = clock.now();
        let KnownConfig { config: known, evacuations } = query.known;
        let known_at = known.age().map(|age| received_at.back(age));
        let until = Instant::now() + query.wait;
        loop {
            let changed = self.changed.notified();
            let state = self.state.lock().clone();
            let is_news = state.is_newer(known.stamp)
                || state.evacuations.is_news_to(&evacuations)
                || state.confirmed_at > known_at.map(|at| at + MIN_GAIN);
            if is_news || timeout_at(until, changed).await.is_err() {
                let now = clock.now();
                return state.encode(known.stamp, now.since(received_at), now);
            }
        }
    }
}

impl OfferState {
    fn stamp(&self) -> ConfigStamp {
        self.newest.as_ref().map(|offered| offered.update.stamp()).unwrap_or_default()
    }

    fn is_newer(&self, known: ConfigStamp) -> bool {
        self.stamp() > known
    }

    fn encode(&self, known: ConfigStamp, held: Duration, now: Tick) -> io::Result<Vec<u8>> {
        let claim = ConfigClaim::new(self.stamp(), self.confirmed_at.map(|at| now.since(at)));
        let evacuations = self.evacuations.clone();
        let head = AnswerHead { claim, held_ms: millis(held), depth: self.depth, evacuations };
        let mut answer = postcard::to_stdvec(&head).map_err(io::Error::other)?;
        if let Some(offered) = self.newest.as_ref().filter(|_| self.is_newer(known)) {
            answer.extend_from_slice(&offered.encode()?);
        }
        Ok(answer)
    }
}

impl OfferedConfig {
    fn encode(&self) -> io::Result<Bytes> {
        if let Some(encoded) = self.encoded.get() {
            return Ok(encoded.clone());
        }
        let encoded = time_step("config encoded", || {
            let encoded = postcard::to_stdvec(&*self.update)?;
            // Earlier versions of this program ignore what follows the configuration.
            let encoded = postcard::to_extend(self.update.relay.engines(), encoded)?;
            postcard::to_extend(self.update.relay.terms(), encoded)
        });
        let encoded = encoded.map_err(io::Error::other)?;
        Ok(self.encoded.get_or_init(|| Bytes::from(encoded)).clone())
    }
}

/// Waits at another process for something newer than what is known, or for a later confirmation.
pub(crate) async fn poll_config(
    link: &mut PeerLink,
    known: KnownConfig,
) -> Result<ConfigAnswer, LinkError> {
    let query = ConfigQuery { known, wait: MAX_QUERY_WAIT };
    send_query(link, query, MAX_QUERY_WAIT + RESPONSE_MARGIN).await
}

/// Asks a process that claims to have a better configuration than the known one.
pub(crate) async fn fetch_config(
    address: SocketAddr,
    known: KnownConfig,
) -> Result<ConfigAnswer, LinkError> {
    let connecting = timeout(FETCH_LIMIT, PeerLink::connect(address, None)).await;
    let mut link = connecting.unwrap_or_else(|_| TimedOutSnafu.fail())?;
    send_query(&mut link, ConfigQuery { known, wait: Duration::ZERO }, FETCH_LIMIT).await
}

/// Decodes a configuration. One from an earlier version of this program lacks the speeds of engines, or
/// the goals and priorities.
fn decode_config(encoded: &[u8]) -> Result<ConfigUpdate, postcard::Error> {
    let (mut update, rest): (ConfigUpdate, &[u8]) = postcard::take_from_bytes(encoded)?;
    if rest.is_empty() {
        return Ok(update);
    }
    let (speeds, rest) = postcard::take_from_bytes(rest)?;
    update.relay = update.relay.with_engines(speeds);
    if !rest.is_empty() {
        update.relay = update.relay.with_terms(postcard::from_bytes(rest)?);
    }
    Ok(update)
}

async fn send_query(
    link: &mut PeerLink,
    query: ConfigQuery,
    limit: Duration,
) -> Result<ConfigAnswer, LinkError> {
    let request = [&[CONFIG_QUERY], &query.encode()[..]].concat();
    let sent_at = Instant::now();
    let response = link.exchange(&request, limit).await?;
    let (head, rest): (AnswerHead, &[u8]) =
        postcard::take_from_bytes(&response).context(UnreadableSnafu)?;
    let update: Option<ConfigUpdate> = match rest {
        [] => None,
        encoded => {
            let decoded = time_step("config decoded", || decode_config(encoded));
            Some(decoded.context(UnreadableSnafu)?)
        }
    };
    // A process with an older configuration can't confirm this one.
    let known = query.known.config.stamp;
    let claimed_age = head.claim.age().filter(|_| head.claim.stamp >= known);
    let held = Duration::from_millis(head.held_ms.into());
    let age = claimed_age.map(|age| sent_at.elapsed().saturating_sub(held) + age);
    let update = update.filter(|update| update.stamp() > known);
    Ok(ConfigAnswer { update, age, depth: head.depth, evacuations: head.evacuations })
}
