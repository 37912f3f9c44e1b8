//! Three control machines with their own loopback addresses, run in the test's thread.

use super::TestFolder;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use streamusher_controlplane::process::{ControlProcess, ProcessError};
use streamusher_protocol::config::BASE_VERSION_HEADER;
use streamusher_protocol::internal::{ClusterView, ClusterWatch, CLUSTER_PATH, CLUSTER_WATCH_PATH};
use streamusher_runtime::event_loop;
use streamusher_runtime::http::{Client, Request, Response};
use streamusher_runtime::settings::{FaultTolerance, ListenAddresses, ProcessSettings};
use streamusher_runtime::signals::Signal;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};

const MACHINES: u8 = 3;
const CONTROL_PORT: u16 = 8_144;
/// Timeout of one request. Only a failure exhausts it, even on a busy machine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout of each wait. An undisturbed election takes about one second.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Timeout of a whole test.
const MAX_TEST_TIME: Duration = Duration::from_mins(3);

static NEXT_NET: AtomicU8 = AtomicU8::new(1);

/// Three control machines, numbered from 0, of which some may be stopped.
pub(crate) struct Cluster {
    net: [u8; 3],
    folders: Vec<TestFolder>,
    running: BTreeMap<usize, Running>,
    clients: BTreeMap<SocketAddr, Client>,
}

struct Running {
    signals: mpsc::UnboundedSender<Signal>,
    task: JoinHandle<Result<(), ProcessError>>,
}

/// Runs a test within the runtime that the programs use. Fails if it exceeds `MAX_TEST_TIME`.
pub(crate) fn run_bounded<F: Future<Output = ()>>(test: F) {
    let bounded = async { tokio::time::timeout(MAX_TEST_TIME, test).await };
    let result = event_loop::block_on(bounded).unwrap();
    assert!(
        result.is_ok(),
        "the test did not finish within {MAX_TEST_TIME:?}"
    );
}

impl Cluster {
    /// Starts three machines with empty disks.
    pub(crate) async fn start() -> Cluster {
        let mut cluster = Cluster::without_machines();
        for machine in 0..usize::from(MACHINES) {
            cluster.start_machine(machine, true).await;
        }
        cluster
    }

    /// Allocates addresses and empty disks for three machines without starting them.
    pub(crate) fn without_machines() -> Cluster {
        let pid = std::process::id();
        let net = [
            127,
            u8::try_from(pid % 200).unwrap() + 20,
            NEXT_NET.fetch_add(1, Ordering::Relaxed),
        ];
        let folders = (0..MACHINES).map(|_| TestFolder::new()).collect();
        Cluster {
            net,
            folders,
            running: BTreeMap::new(),
            clients: BTreeMap::new(),
        }
    }

    pub(crate) async fn start_machine(&mut self, machine: usize, bootstrap: bool) {
        let settings = self.settings(machine, bootstrap);
        let process = ControlProcess::start(&settings, None).await.unwrap();
        let (signals, received) = mpsc::unbounded_channel();
        let task = spawn_local(process.run(received));
        self.running.insert(machine, Running { signals, task });
    }

    /// Ends a machine's process as SIGTERM does.
    pub(crate) async fn stop_machine(&mut self, machine: usize) {
        let running = self.running.remove(&machine).unwrap();
        running.signals.send(Signal::Terminate).unwrap();
        running.task.await.unwrap().unwrap();
        self.clients.clear();
    }

    pub(crate) async fn stop_all(&mut self) {
        let all: Vec<Running> = std::mem::take(&mut self.running).into_values().collect();
        for running in &all {
            running.signals.send(Signal::Terminate).unwrap();
        }
        for running in all {
            running.task.await.unwrap().unwrap();
        }
        self.clients.clear();
    }

    fn settings(&self, machine: usize, bootstrap: bool) -> ProcessSettings {
        let seeds = (0..usize::from(MACHINES))
            .map(|machine| self.control(machine))
            .collect();
        ProcessSettings {
            ip: self.ip(machine),
            seeds,
            bootstrap,
            data_dir: Some(self.folders[machine].path().to_owned()),
            listen: ListenAddresses {
                control: Some(self.control(machine)),
                ..Default::default()
            },
            fault_tolerance: FaultTolerance {
                machines: 1,
                ..Default::default()
            },
            ..Default::default()
        }
    }

    fn ip(&self, machine: usize) -> IpAddr {
        let [a, b, c] = self.net;
        let host = u8::try_from(machine).unwrap() + 1;
        IpAddr::V4(Ipv4Addr::new(a, b, c, host))
    }

    pub(crate) fn control(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(machine), CONTROL_PORT)
    }

    pub(crate) fn internal(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 7_300)
    }

    /// Waits until a machine responds to operators as the primary, and returns its number.
    pub(crate) async fn primary(&mut self) -> usize {
        let waiting = async {
            loop {
                if let Some(machine) = self.find_primary().await {
                    return machine;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(MAX_WAIT, waiting)
            .await
            .expect("no machine became primary in time")
    }

    async fn find_primary(&mut self) -> Option<usize> {
        let machines: Vec<usize> = self.running.keys().copied().collect();
        for machine in machines {
            let response = self
                .send_request(
                    self.control(machine),
                    Method::GET,
                    "/streamusher/Config.Read",
                    None,
                    b"",
                )
                .await;
            let acts =
                response.is_some_and(|response| matches!(response.status().as_u16(), 200 | 404));
            if acts {
                return Some(machine);
            }
        }
        None
    }

    pub(crate) async fn view(&mut self, machine: usize) -> ClusterView {
        let response = self
            .send_request(self.internal(machine), Method::GET, CLUSTER_PATH, None, b"")
            .await
            .unwrap();
        serde_json::from_slice(response.body()).unwrap()
    }

    /// Sends an operator's request to the control port of a machine. An empty body makes it a GET request.
    pub(crate) async fn operator_request(
        &mut self,
        machine: usize,
        path: &str,
        base: Option<&str>,
        body: &str,
    ) -> Response {
        let method = if body.is_empty() {
            Method::GET
        } else {
            Method::POST
        };
        self.send_request(self.control(machine), method, path, base, body.as_bytes())
            .await
            .unwrap()
    }

    /// Sends a request without a body.
    pub(crate) async fn send(
        &mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
    ) -> Response {
        self.send_request(address, method, path, None, b"")
            .await
            .unwrap()
    }

    /// Creates a caller with its own connection that waits for the next epoch at a machine.
    pub(crate) fn watcher(&self, machine: usize) -> Watcher {
        Watcher(Client::new(self.internal(machine)))
    }

    /// Sends a request to the internal port of a machine, as a gate or an agent does.
    pub(crate) async fn post<T: Serialize>(
        &mut self,
        machine: usize,
        path: &str,
        body: &T,
    ) -> Response {
        let body = serde_json::to_vec(body).unwrap();
        self.send_request(self.internal(machine), Method::POST, path, None, &body)
            .await
            .unwrap()
    }

    /// Repeats a request of a gate or an agent to the acting primary, until the response satisfies
    /// `is_expected`.
    pub(crate) async fn post_until<T: Serialize>(
        &mut self,
        path: &str,
        body: &T,
        is_expected: impl Fn(&Response) -> bool,
    ) -> Response {
        let body = serde_json::to_vec(body).unwrap();
        let waiting = async {
            loop {
                let machine = self.primary().await;
                let response = self
                    .send_request(self.internal(machine), Method::POST, path, None, &body)
                    .await;
                if let Some(response) = response.filter(|response| is_expected(response)) {
                    return response;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(MAX_WAIT, waiting)
            .await
            .expect("no expected response was received in time")
    }

    async fn send_request(
        &mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
        base: Option<&str>,
        body: &[u8],
    ) -> Option<Response> {
        let mut request = Request::new(Bytes::copy_from_slice(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap();
        if let Some(base) = base {
            request
                .headers_mut()
                .insert(BASE_VERSION_HEADER, base.parse().unwrap());
        }
        let client = self
            .clients
            .entry(address)
            .or_insert_with(|| Client::new(address))
            .clone();
        client.send(request, REQUEST_TIMEOUT).await.ok()
    }
}

/// Waits at one machine for the next epoch.
pub(crate) struct Watcher(Client);

impl Watcher {
    /// Repeats the watch until the machine knows a newer epoch.
    pub(crate) async fn watch(&mut self, watch: &ClusterWatch) -> ClusterView {
        loop {
            let mut request = Request::new(Bytes::from(serde_json::to_vec(watch).unwrap()));
            *request.method_mut() = Method::POST;
            *request.uri_mut() = CLUSTER_WATCH_PATH.parse().unwrap();
            let response = self.0.send(request, REQUEST_TIMEOUT).await.unwrap();
            let view: ClusterView = serde_json::from_slice(response.body()).unwrap();
            if view.epoch > watch.epoch {
                return view;
            }
        }
    }
}

pub(crate) fn is_ok(response: &Response) -> bool {
    response.status() == StatusCode::OK
}

pub(crate) fn body_text(response: &Response) -> String {
    String::from_utf8_lossy(response.body()).into_owned()
}
