//! Limits that a server enforces on its clients.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Limits that a server enforces on its clients.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum length of a request body in bytes. A longer body is rejected with status 413.
    pub max_body_bytes: usize,
    /// Maximum length of a request head in bytes, at least 8192. A longer head is rejected with status 431.
    pub max_header_bytes: usize,
    /// Maximum time for receiving a request body. After that, the request is rejected with status 408.
    pub body_timeout: Duration,
    /// Maximum time that a connection may wait until the next request head has been received.
    pub idle_timeout: Duration,
    /// Maximum number of concurrent connections. Further connections wait in the kernel's accept queue.
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

/// Limits that can be replaced while the server runs. Clones share the same limits.
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
