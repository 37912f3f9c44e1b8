//! A simulated primary on loopback.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use bytes::Bytes;
use http::StatusCode;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_protocol::internal::{
    ClientRequest, ClientResponse, ClusterView, CoreAddress, CLUSTER_PATH,
};
use streamusher_runtime::http::{
    json, parse_json, Request, Response, Server, ServerHandle, ServerLimits,
};
use streamusher_runtime::settings::ProcessSettings;

/// Upper bound for operations that complete quickly unless they fail.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn run<F: Future<Output = ()>>(future: F) {
    let bounded = async {
        tokio::time::timeout(TEST_TIMEOUT, future)
            .await
            .expect("the test completes within TEST_TIMEOUT");
    };
    streamusher_runtime::event_loop::block_on(bounded).unwrap();
}

pub(crate) fn core_address(address: SocketAddr) -> CoreAddress {
    CoreAddress {
        internal: address.to_string().into(),
        control: "127.0.0.1:1".into(),
    }
}

pub(crate) fn view(epoch: u64, primary: Option<SocketAddr>) -> ClusterView {
    ClusterView {
        epoch,
        primary: primary.map(core_address),
        members: primary.map(core_address).into_iter().collect(),
    }
}

/// Settings whose only seed is the control machine at `primary`.
pub(crate) fn settings(primary: SocketAddr) -> ProcessSettings {
    ProcessSettings {
        port_range: [primary.port(), primary.port().saturating_add(15)],
        seeds: vec!["127.0.0.1:1".parse().unwrap()],
        ..ProcessSettings::default()
    }
}

/// A control machine that claims to be the primary and answers requests with a closure.
pub(crate) struct Primary {
    pub(crate) address: SocketAddr,
    pub(crate) handle: ServerHandle,
    pub(crate) requests: Rc<RefCell<Vec<Request>>>,
}

impl Primary {
    pub(crate) fn start<F: Future<Output = Response> + 'static>(
        script: impl Fn(Request) -> F + 'static,
    ) -> Primary {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let address = server.local_address().unwrap();
        let handle = server.handle();
        let requests: Rc<RefCell<Vec<Request>>> = Rc::default();
        let (received, script) = (Rc::clone(&requests), Rc::new(script));
        tokio::task::spawn_local(server.run(move |request: Request| {
            let (received, script) = (Rc::clone(&received), Rc::clone(&script));
            async move {
                if request.uri().path() == CLUSTER_PATH {
                    return json(StatusCode::OK, &view(1, Some(address)));
                }
                received.borrow_mut().push(request.clone());
                script(request).await
            }
        }));
        Primary {
            address,
            handle,
            requests,
        }
    }

    /// Starts a primary that gives the same response to every client request.
    pub(crate) fn responding(response: ClientResponse) -> Primary {
        Primary::start(move |_request| std::future::ready(json(StatusCode::OK, &response)))
    }

    pub(crate) fn client_requests(&self) -> Vec<ClientRequest> {
        self.requests
            .borrow()
            .iter()
            .map(|request| parse_json(request.body()).unwrap())
            .collect()
    }
}

pub(crate) fn client_response(status: u16, body: &str) -> ClientResponse {
    ClientResponse {
        status,
        body: body.into(),
        retry_after_ms: None,
    }
}

pub(crate) fn request(method: &str, path: &str, body: impl Into<Bytes>) -> Request {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "ficu95.example");
    request.body(body.into()).unwrap()
}

/// A request without body whose header states how long the client waits.
pub(crate) fn request_with_deadline(method: &str, path: &str, deadline_ms: u64) -> Request {
    let mut request = request(method, path, "");
    request
        .headers_mut()
        .insert("streamusher-deadline-ms", deadline_ms.into());
    request
}
