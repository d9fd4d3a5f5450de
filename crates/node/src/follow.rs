//! Follows the configuration, the server list and the rows in the store.

use {
    crate::{
        config_share::{ConfigAnswer, fetch_config},
        config_tracker::ConfigOrigin,
        loop_lag::time_step,
        ports::{
            OperatorChange, PlatformWatch, ServerChange, WatchError, WatchPage, WatchPosition,
        },
        view::NodeView,
    },
    relay::CONFIG_TRUST,
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::sleep},
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// First pause after a failed read; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed reads; a change has to take effect well within two seconds.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a page of the server list while a group of an owned fabric domain is being formed or
/// released, because its next step waits for the engines' entries. Entries that change together are
/// then read together.
const BUSY_OWNER_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a page of the server list in all other cases. Processes learn of opened and broken
/// groups from owners sooner; a leaving server has to be known within two seconds.
const SERVER_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a new configuration, so that versions in quick succession are read together.
const CONFIG_PAUSE: Duration = Duration::from_millis(100);
/// Pause after a page of member and owner rows; at a common start hundreds are written one by one.
const ROW_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of peers asked in one attempt to catch up.
const MAX_FETCHES: usize = 4;

/// Follows the three watches until cancelled.
pub async fn follow_all<W: PlatformWatch>(
    watch: Arc<W>,
    view: Arc<NodeView>,
    stop: CancellationToken,
) {
    let config = follow(
        WatchSettings {
            what: "config",
            pause: &|| CONFIG_PAUSE,
            wanted: None,
            rereads_after_failure: true,
        },
        |after| watch.watch_config(after, view.is_watcher()),
        |page| view.apply_config_page(page),
        // The other watches may be waiting for a response that never arrives.
        || watch.abandon_waiting(),
    );
    let server_pause = || if view.is_busy_owner() { BUSY_OWNER_PAUSE } else { SERVER_PAUSE };
    let servers = follow(
        WatchSettings {
            what: "servers",
            pause: &server_pause,
            wanted: Some(&view.list_wanted),
            rereads_after_failure: false,
        },
        |after| next_servers(&*watch, &view, after),
        |page| {
            if page.has_news() {
                view.apply_servers(page);
            } else {
                view.note_servers_read(page.position);
            }
        },
        || view.note_outage(),
    );
    let rows = follow(
        WatchSettings {
            what: "rows",
            pause: &|| ROW_PAUSE,
            wanted: None,
            rereads_after_failure: false,
        },
        |after| watch.watch_rows(after),
        |page| {
            if page.has_news() {
                view.apply_rows(page);
            }
        },
        || {},
    );
    let all = async { tokio::join!(config, servers, rows, catch_up(&*watch, &view)) };
    tokio::select! {
        () = stop.cancelled() => {}
        _ = all => {}
    }
}

/// The next page of the server list. Ends the wait for a change where a new owner needs to know what the
/// store has now.
async fn next_servers<W: PlatformWatch>(
    watch: &W,
    view: &NodeView,
    after: Option<WatchPosition>,
) -> Result<WatchPage<ServerChange>, WatchError> {
    let waiting = watch.watch_servers(after, view.needs_short_server_watch());
    let Some(after) = after else { return waiting.await };
    tokio::select! {
        page = waiting => page,
        () = view.list_wanted.notified() => watch.read_servers(after).await,
    }
}

/// Fetches the configuration from a peer that has a newer one or a confirmed one, when this process's
/// own read may have stalled or its source may be cut off. A response that is arriving goes on.
async fn catch_up<W: PlatformWatch>(watch: &W, view: &NodeView) {
    loop {
        view.outdated.notified().await;
        let peers = view.better_peers();
        if peers.is_empty() {
            // The store may be out for all, or this process's sources and peers are cut off from it.
            if view.take_store_turn() {
                watch.read_store_next();
            }
            continue;
        }
        watch.abandon_waiting();
        for peer in peers.into_iter().take(MAX_FETCHES) {
            if fetch_from(view, peer).await {
                break;
            }
            view.distrust_peer(peer);
        }
    }
}

/// Fetches the configuration from one peer; returns whether that made it newer or confirmed it.
async fn fetch_from(view: &NodeView, peer: SocketAddr) -> bool {
    let known = view.known_config();
    let answer = match fetch_config(peer, known).await {
        Ok(answer) => answer,
        Err(error) => {
            info!(decision = "not-caught-up", %peer, why = %error, "state");
            return false;
        }
    };
    let ConfigAnswer { update, age, depth, evacuations } = answer;
    if update.is_none() && age.is_none_or(|age| age >= CONFIG_TRUST) {
        info!(decision = "not-caught-up", %peer, why = "nothing newer", "state");
        return false;
    }
    view.set_config_origin(ConfigOrigin::peer(peer, depth));
    let position = WatchPosition::default();
    view.adopt_evacuations(evacuations);
    let changes = update.map(OperatorChange::from).into_iter().collect();
    let page = WatchPage { changes, position, is_snapshot: false, age };
    time_step("config", || view.apply_config_page(page));
    true
}

/// How one watch is followed.
struct WatchSettings<'a> {
    /// Name of the watch in logs.
    what: &'static str,
    /// Pause after a page that has changes.
    pause: &'a (dyn Fn() -> Duration + Sync),
    /// Notified when the next page is wanted without a pause.
    wanted: Option<&'a Notify>,
    /// Whether to read everything again after a failure, for a table of few rows: its history may
    /// hold many versions, of which only the newest count.
    rereads_after_failure: bool,
}

impl WatchSettings<'_> {
    async fn rest(&self) {
        let pause = sleep((self.pause)());
        let Some(wanted) = self.wanted else { return pause.await };
        tokio::select! {
            () = pause => {}
            // For the read that follows.
            () = wanted.notified() => wanted.notify_one(),
        }
    }
}

/// Reads the pages of one watch and applies them. `note_outage` is called on each failure.
async fn follow<T, F>(
    settings: WatchSettings<'_>,
    mut read: impl FnMut(Option<WatchPosition>) -> F,
    mut apply: impl FnMut(WatchPage<T>),
    mut note_outage: impl FnMut(),
) where
    F: Future<Output = Result<WatchPage<T>, WatchError>>,
{
    let WatchSettings { what, rereads_after_failure, .. } = settings;
    let mut after = None;
    let mut failures: u32 = 0;
    // Whether no change was read since the history was last gone.
    let mut history_gone = false;
    loop {
        match read(after).await {
            Ok(page) => {
                if failures > 0 {
                    info!(decision = "store-regained", what, failures, "state");
                    failures = 0;
                }
                after = Some(page.position);
                history_gone &= page.is_snapshot;
                let has_news = page.has_news();
                time_step(what, || apply(page));
                if has_news {
                    settings.rest().await;
                }
            }
            Err(WatchError::HistoryGone { position }) => {
                warn!(
                    decision = "history-gone",
                    what,
                    era = position.era.0,
                    after = position.version,
                    "state"
                );
                // A store whose responses have no valid era has no history that can be used.
                if std::mem::replace(&mut history_gone, true) {
                    sleep(MAX_PAUSE).await;
                }
                after = None;
            }
            Err(error) => {
                if failures == 0 {
                    warn!(decision = "store-lost", what, why = %error, "state");
                }
                note_outage();
                failures += 1;
                if rereads_after_failure {
                    after = None;
                }
                let doubled = MIN_PAUSE * 2_u32.pow(failures.min(4) - 1);
                sleep(doubled.min(MAX_PAUSE)).await;
            }
        }
    }
}
