//! One HTTP client for each member, created when it is first needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use streamusher_runtime::http::{Client, ClientLimits};

/// A member of the control plane and the client that reaches it.
#[derive(Clone)]
pub struct Endpoint {
    address: Arc<str>,
    client: Client,
}

impl Endpoint {
    /// Its internal address.
    pub fn address(&self) -> &Arc<str> {
        &self.address
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
    }
}

/// The clients of all members that requests were sent to.
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

    /// The endpoint at an internal address; none where that is not of the form `ip:port`.
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

    /// Drops the clients of other addresses, with their idle connections.
    pub(super) fn retain(&self, is_known: impl Fn(&str) -> bool) {
        let mut clients = self.clients.borrow_mut();
        clients.retain(|address, _| is_known(address));
    }
}
