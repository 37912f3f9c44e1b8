//! A stand-in for the primary on loopback.

#![allow(dead_code)] // Each test file uses a part.

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

/// Bounds what should happen at once.
pub const SOON: Duration = Duration::from_secs(20);

pub fn run<F: Future<Output = ()>>(future: F) {
    let bounded = async {
        tokio::time::timeout(SOON, future)
            .await
            .expect("it ends in time")
    };
    streamusher_runtime::runtime::block_on(bounded).unwrap();
}

pub fn core(address: SocketAddr) -> CoreAddress {
    CoreAddress {
        internal: address.to_string().into(),
        control: "127.0.0.1:1".into(),
    }
}

pub fn view(epoch: u64, primary: Option<SocketAddr>) -> ClusterView {
    ClusterView {
        epoch,
        primary: primary.map(core),
        members: primary.map(core).into_iter().collect(),
    }
}

/// Settings whose only seed is the core machine at `primary`.
pub fn settings(primary: SocketAddr) -> ProcessSettings {
    ProcessSettings {
        port_range: [primary.port(), primary.port().saturating_add(15)],
        seeds: vec!["127.0.0.1:1".parse().unwrap()],
        ..ProcessSettings::default()
    }
}

/// A core machine that says it is the primary and answers calls as its script says.
pub struct Primary {
    pub address: SocketAddr,
    pub handle: ServerHandle,
    pub calls: Rc<RefCell<Vec<Request>>>,
}

impl Primary {
    pub fn start<F: Future<Output = Response> + 'static>(
        script: impl Fn(Request) -> F + 'static,
    ) -> Primary {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let address = server.local_address().unwrap();
        let handle = server.handle();
        let calls: Rc<RefCell<Vec<Request>>> = Rc::default();
        let (heard, script) = (Rc::clone(&calls), Rc::new(script));
        tokio::task::spawn_local(server.run(move |call: Request| {
            let (heard, script) = (Rc::clone(&heard), Rc::clone(&script));
            async move {
                if call.uri().path() == CLUSTER_PATH {
                    return json(StatusCode::OK, &view(1, Some(address)));
                }
                heard.borrow_mut().push(call.clone());
                script(call).await
            }
        }));
        Primary {
            address,
            handle,
            calls,
        }
    }

    /// One that gives every client the same reply.
    pub fn replying(reply: ClientResponse) -> Primary {
        Primary::start(move |_call| std::future::ready(json(StatusCode::OK, &reply)))
    }

    pub fn client_calls(&self) -> Vec<ClientRequest> {
        self.calls
            .borrow()
            .iter()
            .map(|call| parse_json(call.body()).unwrap())
            .collect()
    }
}

pub fn reply(status: u16, body: &str) -> ClientResponse {
    ClientResponse {
        status,
        body: body.into(),
        retry_after_ms: None,
    }
}

pub fn call(method: &str, path: &str, body: impl Into<Bytes>) -> Request {
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header("host", "ficu95.example");
    request.body(body.into()).unwrap()
}

/// The same with a client's deadline.
pub fn hurried(method: &str, path: &str, deadline_ms: u64) -> Request {
    let mut call = call(method, path, "");
    call.headers_mut()
        .insert("streamusher-deadline-ms", deadline_ms.into());
    call
}
