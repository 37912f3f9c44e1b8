//! The process of a gate: a substitute for the real one, which forwards client requests to the primary.

use std::collections::BTreeMap;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::ClientRequest;

/// Largest number of attempts to forward a request. Each further attempt follows a response that the called
/// machine is not the primary.
const MAX_ATTEMPTS: u32 = 3;

#[derive(Debug)]
struct OpenRequest {
    request: ClientRequest,
    attempts: u32,
}

/// A gate's process.
pub(crate) struct GateProcess {
    discovery: PrimaryDiscovery,
    /// Open requests by the number of the client request.
    open_requests: BTreeMap<u64, OpenRequest>,
}

impl GateProcess {
    pub(crate) fn new(discovery: PrimaryDiscovery) -> GateProcess {
        GateProcess {
            discovery,
            open_requests: BTreeMap::new(),
        }
    }

    pub(crate) fn discovery_mut(&mut self) -> &mut PrimaryDiscovery {
        &mut self.discovery
    }

    /// Registers a client request.
    pub(crate) fn open(&mut self, client_request: u64, request: ClientRequest) {
        let open = OpenRequest {
            request,
            attempts: 0,
        };
        self.open_requests.insert(client_request, open);
    }

    /// Whether a request has not been answered yet.
    pub(crate) fn is_open(&self, client_request: u64) -> bool {
        self.open_requests.contains_key(&client_request)
    }

    /// Counts an attempt and returns the request to forward; `None` after the last attempt.
    pub(crate) fn next_attempt(&mut self, client_request: u64) -> Option<ClientRequest> {
        let open = self.open_requests.get_mut(&client_request)?;
        open.attempts += 1;
        (open.attempts <= MAX_ATTEMPTS).then(|| open.request.clone())
    }

    /// Closes a request; returns whether it was open.
    pub(crate) fn close(&mut self, client_request: u64) -> bool {
        self.open_requests.remove(&client_request).is_some()
    }
}
