//! Queue of the events that drive virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use streamusher_protocol::Millis;

struct Entry<T> {
    due: Millis,
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
    fn partial_cmp(&self, other: &Entry<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
}

/// Events ordered by due time. Events of the same time keep their order of insertion.
pub(crate) struct EventQueue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    last_order: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> EventQueue<T> {
        EventQueue {
            heap: BinaryHeap::new(),
            last_order: 0,
        }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event.
    pub(crate) fn push(&mut self, due: Millis, event: T) {
        self.last_order += 1;
        self.heap.push(Reverse(Entry {
            due,
            order: self.last_order,
            event,
        }));
    }

    /// Removes the next event due by `until` and returns it with its due time.
    pub(crate) fn pop(&mut self, until: Millis) -> Option<(Millis, T)> {
        if self.heap.peek()?.0.due > until {
            return None;
        }
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.due, entry.event))
    }
}
