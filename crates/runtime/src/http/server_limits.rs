//! What a server accepts of its clients.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// What a server accepts of its clients.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Longest body in bytes; a longer one is answered with 413.
    pub max_body_bytes: usize,
    /// Longest head of a request in bytes, at least 8192; a longer one is answered with 431.
    pub max_header_bytes: usize,
    /// How long a body may take to come; then 408.
    pub body_timeout: Duration,
    /// How long a connection may be idle before the next head has come.
    pub idle_timeout: Duration,
    /// Connections at once; further ones wait in the kernel's queue.
    pub max_connections: usize,
}

impl Default for ServerLimits {
    fn default() -> ServerLimits {
        ServerLimits {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16_384,
            body_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
            max_connections: 1_024,
        }
    }
}

/// Limits that may change while the server runs.
#[derive(Clone, Debug)]
pub(super) struct SharedLimits {
    current: Rc<RefCell<Rc<ServerLimits>>>,
}

impl SharedLimits {
    pub(super) fn new(limits: ServerLimits) -> SharedLimits {
        SharedLimits {
            current: Rc::new(RefCell::new(Rc::new(limits))),
        }
    }

    pub(super) fn current(&self) -> Rc<ServerLimits> {
        Rc::clone(&self.current.borrow())
    }

    pub(super) fn replace(&self, limits: ServerLimits) {
        *self.current.borrow_mut() = Rc::new(limits);
    }
}
