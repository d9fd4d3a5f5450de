//! Accepts connections until cancelled.

use {
    std::{collections::VecDeque, future::Future, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::AbortHandle,
        time::Instant,
    },
    tokio_util::sync::CancellationToken,
    tracing::{info, warn},
};

/// Pause after a failed accept, for example when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a connection is left in peace; its request is on its way.
const REQUEST_TIME: Duration = Duration::from_secs(1);
/// A connection is closed at once if this many times more are open than should be.
const BURST_FACTOR: usize = 8;
/// Least number of tasks at which those that have ended are removed.
const MIN_PRUNE: usize = 64;
/// Time between two log lines about closed connections or failed accepts.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Serves each connection in a task of its own. On cancellation it stops accepting and drops the
/// open connections. Beyond `most` connections it closes the oldest ones.
pub(crate) async fn accept_until<F>(
    listener: TcpListener,
    most: usize,
    stop: CancellationToken,
    serve: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut open = OpenTasks::new(most);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                open.make_room();
                let (serving, stop) = (serve(stream), stop.clone());
                let task = tokio::spawn(async move {
                    tokio::select! {
                        () = serving => {}
                        () = stop.cancelled() => {}
                    }
                });
                open.add(task.abort_handle());
            }
            Err(error) => {
                if open.may_log() {
                    warn!(%error, "failed to accept a connection");
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The tasks of open connections, the oldest first.
struct OpenTasks {
    most: usize,
    tasks: VecDeque<OpenTask>,
    /// Number of tasks at which those that have ended are removed.
    prune_at: usize,
    /// Closed since the last log line.
    closed: usize,
    logged_at: Instant,
}

struct OpenTask {
    handle: AbortHandle,
    began: Instant,
}

impl OpenTasks {
    fn new(most: usize) -> Self {
        let prune_at = MIN_PRUNE.min(most);
        Self { most, tasks: VecDeque::new(), prune_at, closed: 0, logged_at: Instant::now() }
    }

    fn add(&mut self, handle: AbortHandle) {
        self.tasks.push_back(OpenTask { handle, began: Instant::now() });
    }

    /// Closes connections if there are too many.
    fn make_room(&mut self) {
        if self.tasks.len() < self.prune_at {
            return;
        }
        self.tasks.retain(|task| !task.handle.is_finished());
        self.prune_at = (2 * self.tasks.len()).max(MIN_PRUNE).min(self.most);
        while self.tasks.len() >= self.most {
            let is_burst = self.tasks.len() >= self.most.saturating_mul(BURST_FACTOR);
            let Some(oldest) = self.tasks.front() else { return };
            if oldest.began.elapsed() < REQUEST_TIME && !is_burst {
                break;
            }
            oldest.handle.abort();
            self.tasks.pop_front();
            self.closed += 1;
        }
        if self.closed > 0 && self.may_log() {
            let count = std::mem::take(&mut self.closed);
            info!(
                decision = "connections-cut",
                why = "own-port",
                count,
                open = self.tasks.len(),
                "process"
            );
        }
    }

    fn may_log(&mut self) -> bool {
        let may_log = self.logged_at.elapsed() >= LOG_INTERVAL;
        if may_log {
            self.logged_at = Instant::now();
        }
        may_log
    }
}
