//! The queue of what will happen, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use streamusher_protocol::Millis;

struct Entry<T> {
    at: Millis,
    order: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        self.order == other.order
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events by their time; those of one time in the order in which they were added.
pub struct EventQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    order: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub fn push(&mut self, at: Millis, event: T) {
        self.order += 1;
        self.heap.push(Reverse(Entry {
            at,
            order: self.order,
            event,
        }));
    }

    /// Takes the next event that is due by `until`.
    pub fn pop(&mut self, until: Millis) -> Option<(Millis, T)> {
        if self.heap.peek()?.0.at > until {
            return None;
        }
        self.heap
            .pop()
            .map(|Reverse(entry)| (entry.at, entry.event))
    }
}
