//! Structured logs on standard output.
//!
//! A separate thread writes the lines from a queue, so that a stalled reader of the output blocks
//! no other task; a full queue drops lines. A budget for each second limits the volume.

use {
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Instant,
    },
    tracing::{Level, Metadata, subscriber::SetGlobalDefaultError},
    tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard},
    tracing_subscriber::{filter::filter_fn, layer::SubscriberExt},
};

/// Lines written per second. A request logs about four lines, and a host handles some dozens of
/// requests per second.
const LINES_PER_S: u64 = 500;
/// Capacity of the queue for the writer thread.
const QUEUED_LINES: usize = 1_024;

/// Lines over the budget since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines dropped because they were over the budget of their second.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Counts the lines of the current second.
struct LineBudget {
    started: Instant,
    second: AtomicU64,
    lines: AtomicU64,
}

impl LineBudget {
    fn try_take(&self) -> bool {
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

/// Starts logging at level info and above; warnings and errors do not count against the budget.
/// Dropping the guard flushes the queue.
pub fn start_logs() -> Result<WorkerGuard, SetGlobalDefaultError> {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUED_LINES);
    let (writer, guard) = builder.finish(std::io::stdout());
    let budget =
        LineBudget { started: Instant::now(), second: AtomicU64::new(0), lines: AtomicU64::new(0) };
    let admit = move |meta: &Metadata<'_>| {
        let urgent = *meta.level() <= Level::WARN;
        *meta.level() <= Level::INFO && (urgent || budget.try_take())
    };
    let lines = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(writer);
    let subscriber = tracing_subscriber::registry()
        .with(tracing_subscriber::Layer::with_filter(lines, filter_fn(admit)));
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(guard)
}
