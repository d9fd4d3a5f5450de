//! What a relay logs and counts.

use {
    super::TestRelay,
    parking_lot::Mutex,
    prometheus_client::{encoding::text::encode, registry::Registry},
    std::{io, sync::Arc},
    tracing::subscriber::DefaultGuard,
};

/// The log lines of the present thread.
#[derive(Clone, Default)]
pub(crate) struct LogText(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogText {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogText {
    /// Captures lines until the guard is dropped.
    pub(crate) fn capture() -> (Self, DefaultGuard) {
        let text = Self::default();
        let writer = text.clone();
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_writer(move || writer.clone())
            .finish();
        (text, tracing::subscriber::set_default(subscriber))
    }

    /// The lines with a decision.
    pub(crate) fn lines(&self, decision: &str) -> Vec<serde_json::Value> {
        let bytes = self.0.lock().clone();
        let lines = String::from_utf8(bytes).unwrap();
        let parsed = lines.lines().map(|line| serde_json::from_str(line).unwrap());
        parsed.filter(|line: &serde_json::Value| line["decision"] == decision).collect()
    }

    /// The only line with a decision.
    pub(crate) fn only_line(&self, decision: &str) -> serde_json::Value {
        let mut lines = self.lines(decision);
        assert_eq!(lines.len(), 1, "{lines:?}");
        lines.remove(0)
    }
}

/// The metrics of a relay's requests.
pub(crate) fn metrics_text(relay: &TestRelay) -> String {
    let mut registry = Registry::default();
    relay.shared.metrics.register(&mut registry);
    let mut text = String::new();
    encode(&mut text, &registry).unwrap();
    text
}
