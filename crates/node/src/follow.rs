//! Follows the configuration, the server list and the rows in the store.

use {
    crate::{
        ports::{PlatformWatch, WatchError, WatchPage, WatchPosition},
        view::NodeView,
    },
    std::{future::Future, sync::Arc, time::Duration},
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
/// Pause after a page of member and owner rows.
const ROW_PAUSE: Duration = Duration::from_millis(50);

/// Follows the three watches until cancelled.
pub async fn follow_all<W: PlatformWatch>(
    watch: Arc<W>,
    view: Arc<NodeView>,
    stop: CancellationToken,
) {
    // If the configuration watch fails or a peer has a newer configuration, the other watches may
    // be waiting for a response that never arrives, so all of them restart.
    let restart = Notify::new();
    let config = follow(
        "config",
        &view.outdated,
        || Duration::ZERO,
        |after| watch.watch_config(after, view.is_watcher()),
        |page| page.changes.into_iter().for_each(|update| view.apply_config(update)),
        || restart.notify_waiters(),
    );
    let servers = follow(
        "servers",
        &restart,
        || if view.is_busy_owner() { BUSY_OWNER_PAUSE } else { SERVER_PAUSE },
        |after| watch.watch_servers(after),
        |page| view.apply_servers(page),
        || view.note_outage(),
    );
    let rows = follow(
        "rows",
        &restart,
        || ROW_PAUSE,
        |after| watch.watch_rows(after),
        |page| view.apply_rows(page),
        || {},
    );
    let all = async { tokio::join!(config, servers, rows) };
    tokio::select! {
        () = stop.cancelled() => {}
        _ = all => {}
    }
}

/// Reads the pages of one watch and applies them, with a `pause` after each page that has changes.
/// `what` names the watch in logs. A notification of `restart` ends a waiting read as a failure,
/// and `note_outage` is called on each failure.
async fn follow<T, F>(
    what: &'static str,
    restart: &Notify,
    pause: impl Fn() -> Duration,
    mut read: impl FnMut(Option<WatchPosition>) -> F,
    mut apply: impl FnMut(WatchPage<T>),
    mut note_outage: impl FnMut(),
) where
    F: Future<Output = Result<WatchPage<T>, WatchError>>,
{
    let mut after = None;
    let mut failures: u32 = 0;
    loop {
        let page = tokio::select! {
            page = read(after) => page,
            () = restart.notified() => {
                let detail = "another watch or a peer shows that this watch is stalled".to_owned();
                Err(WatchError::Unavailable { detail })
            }
        };
        match page {
            Ok(page) => {
                if failures > 0 {
                    info!(decision = "store-regained", what, failures, "state");
                    failures = 0;
                }
                after = Some(page.position);
                if page.is_snapshot || !page.changes.is_empty() {
                    apply(page);
                    sleep(pause()).await;
                }
            }
            Err(WatchError::HistoryGone { position }) => {
                warn!(decision = "history-gone", what, after = position.0, "state");
                after = None;
            }
            Err(error) => {
                if failures == 0 {
                    warn!(decision = "store-lost", what, why = %error, "state");
                }
                note_outage();
                failures += 1;
                let doubled = MIN_PAUSE * 2_u32.pow(failures.min(4) - 1);
                sleep(doubled.min(MAX_PAUSE)).await;
            }
        }
    }
}
