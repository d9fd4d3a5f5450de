//! Counters of the bytes that peer messages use.

use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes of peer messages, sent and received, without IP, UDP and TCP headers.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    sent: AtomicU64,
    received: AtomicU64,
}

impl TrafficCounter {
    /// Adds bytes sent, including the length prefix of TCP messages.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds bytes received, including the length prefix of TCP messages.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Total bytes sent since the process started.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Total bytes received since the process started.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }
}
