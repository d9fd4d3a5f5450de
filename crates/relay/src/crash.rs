//! Tells whether a server crashed while it worked on requests.

use {
    crate::{
        loss::LossCause, progress::SendRecord, server::BackendServer, service::CallContext,
        shared::RelayShared,
    },
    base::Tick,
    futures::stream::{FuturesUnordered, StreamExt},
    rand::seq::IteratorRandom,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
    tracing::info,
};

/// A server that crashes on a request does so as it begins to write the answer. A stream that goes on
/// for this long after its first event has not crashed its server; longer than the time between two
/// events of a fully loaded model engine.
pub(crate) const SOUND_AFTER: Duration = Duration::from_millis(250);

/// How long a request waits for the outcome of a check. A server that crashed refuses the connection
/// after one way there and back between failure domains; one that is cut off does not answer.
const CHECK_WAIT: Duration = Duration::from_millis(50);

/// Most other servers that are asked before a server counts as crashed.
const CONTROL_SERVERS: usize = 4;

/// The answer of one server to a request, as far as it bears on whether the request crashes servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerProgress {
    first_event_at: Option<Tick>,
    is_sound: bool,
}

impl AnswerProgress {
    /// Records an event. Returns true once, when the answer has gone on for [`SOUND_AFTER`].
    pub(crate) fn note_event(&mut self, now: Tick) -> bool {
        let began = *self.first_event_at.get_or_insert(now);
        let is_new = !self.is_sound && now.since(began) >= SOUND_AFTER;
        self.is_sound |= is_new;
        is_new
    }

    /// Whether the server survived the beginning of the answer.
    pub(crate) fn is_sound(&self) -> bool {
        self.is_sound
    }
}

/// Checks whether a server to which the connection broke has crashed: then it refuses connections. A
/// crash counts against the suspects of the request.
///
/// Returns when that is known, so that it counts for the next send, or after [`CHECK_WAIT`]; the check
/// goes on then.
async fn check_crash(shared: &Arc<RelayShared>, ctx: &CallContext, server: &BackendServer) {
    let (id, suspects, server) = (ctx.id.clone(), ctx.suspects.clone(), server.clone());
    let shared = shared.clone();
    let broke_at = shared.clock.now();
    let check = tokio::spawn(async move {
        let crashed = shared.poison.knows_crash(&server.id)
            || match shared.paths.connect(server.target("crash check")).await {
                Err(error) if error.is_refusal() => {
                    error.is_confirmed() || reaches_another(&shared, &server).await
                }
                _ => false,
            };
        shared.metrics.note_crash_check(crashed);
        info!(id = %id, decision = "crash-check", server = %server.id, crashed,
            suspects = %suspects, "request");
        // A server that leaves ends connections too, and refuses new ones.
        if crashed && !server.counters.is_leaving() {
            shared.poison.note_crash(&server.id, &suspects, broke_at);
        }
    });
    // Without an outcome the request goes on as if the server had not crashed.
    let _ = timeout(CHECK_WAIT, check).await;
}

/// Records that the answer of a server is lost or incomplete because of `why`: where its connection
/// ended, the request may have crashed it, unless the answer `is_sound`.
pub(crate) async fn note_break(
    shared: &Arc<RelayShared>,
    ctx: &CallContext,
    record: &SendRecord,
    server: &BackendServer,
    why: LossCause,
    is_sound: bool,
) {
    if why.is_broken_connection() && !is_sound {
        record.note_break();
        check_crash(shared, ctx, server).await;
    }
}

/// Whether this process reaches any other server. One that all servers refuse is more likely cut off
/// than all of them crashed. True if there is no other.
async fn reaches_another(shared: &RelayShared, server: &BackendServer) -> bool {
    let others: Vec<BackendServer> = {
        let table = shared.servers.load();
        let others = table.all().filter(|other| other.id != server.id);
        others.cloned().choose_multiple(&mut rand::rng(), CONTROL_SERVERS)
    };
    let mut checks: FuturesUnordered<_> =
        others.iter().map(|other| shared.paths.connect(other.target("crash check"))).collect();
    while let Some(check) = checks.next().await {
        if check.is_ok() {
            return true;
        }
    }
    others.is_empty()
}
