//! A queue of events, ordered by time.

use std::{cmp::Reverse, collections::BinaryHeap};

struct Queued<E> {
    at_ms: u64,
    number: u64,
    event: E,
}

impl<E> PartialEq for Queued<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Queued<E> {}

impl<E> PartialOrd for Queued<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Queued<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

/// Returns events by time; events of the same time in the order in which they were pushed.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Queued<E>>>,
    next: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), next: 0 }
    }

    pub(crate) fn push(&mut self, at_ms: u64, event: E) {
        self.next += 1;
        self.heap.push(Reverse(Queued { at_ms, number: self.next, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, E)> {
        self.heap.pop().map(|Reverse(queued)| (queued.at_ms, queued.event))
    }
}
