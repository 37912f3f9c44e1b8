//! One HTTP client per member, created on first use.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_runtime::http::{Client, ClientLimits};

/// A member of the control plane, with the HTTP client for it.
#[derive(Clone)]
pub struct Endpoint {
    address: Arc<str>,
    client: Client,
}

impl Endpoint {
    /// The member's internal address, as `ip:port`.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }
}

/// HTTP clients of all members to which requests were sent.
pub(super) struct Connections {
    limits: ClientLimits,
    clients: RefCell<BTreeMap<Arc<str>, Client>>,
}

impl Connections {
    pub(super) fn new(max_idle_connections: usize) -> Connections {
        Connections {
            limits: ClientLimits {
                max_idle_connections,
                ..ClientLimits::default()
            },
            clients: RefCell::default(),
        }
    }

    /// The endpoint at an internal address; `None` if the address does not have the form `ip:port`.
    pub(super) fn endpoint(&self, address: &Arc<str>) -> Option<Endpoint> {
        let mut clients = self.clients.borrow_mut();
        let client = if let Some(client) = clients.get(address) {
            client.clone()
        } else {
            let socket_address: SocketAddr = address.parse().ok()?;
            let client = Client::with_limits(socket_address, self.limits);
            clients.insert(Arc::clone(address), client.clone());
            client
        };
        Some(Endpoint {
            address: Arc::clone(address),
            client,
        })
    }

    /// Drops the clients of all addresses for which `is_known` is false, with their idle connections.
    pub(super) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut clients = self.clients.borrow_mut();
        clients.retain(|address, _| is_known(address));
    }
}
