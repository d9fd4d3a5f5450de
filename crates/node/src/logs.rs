//! Structured logs on standard output.
//!
//! Lines go through a queue to a thread that writes them, so that a reader that stands still holds
//! nobody up; a full queue drops lines. A budget a second bounds the volume.

use {
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Instant,
    },
    tracing::{Level, Metadata, subscriber::SetGlobalDefaultError},
    tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{filter::filter_fn, layer::SubscriberExt},
};

/// Lines a second that are written; a request has about four, and a host carries some dozens of
/// requests a second.
const LINES_PER_S: u64 = 500;
/// Lines that may wait for the writer.
const QUEUED_LINES: usize = 1_024;

/// Lines that were over the budget since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that were not written because a second had too many.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Counts the lines of the present second.
struct LineBudget {
    started: Instant,
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineBudget {
    fn take(&self) -> bool {
        let second = self.started.elapsed().as_secs();
        if self.second.swap(second, Ordering::Relaxed) != second {
            self.lines.store(0, Ordering::Relaxed);
        }
        let within = self.lines.fetch_add(1, Ordering::Relaxed) < LINES_PER_S;
        if !within {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        within
    }
}

/// Begins to write lines of level info and above; the guard writes out what waits when dropped.
pub fn start_logs() -> Result<WorkerGuard, SetGlobalDefaultError> {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let budget =
        LineBudget { started: Instant::now(), second: AtomicU64::new(0), lines: AtomicU64::new(0) };
    let admit = move |meta: &Metadata<'_>| {
        let urgent = *meta.level() <= Level::WARN;
        *meta.level() <= Level::INFO && (urgent || budget.take())
    };
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer);
    let subscriber = tracing_subscriber::registry()
        .with(tracing_subscriber::Layer::with_filter(lines, filter_fn(admit)));
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(guard)
}
