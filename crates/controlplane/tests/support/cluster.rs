//! Three control processes on loopback addresses of their own, in the test's thread.

use super::TestFolder;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Serialize;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use streamusher_controlplane::process::{ControlProcess, ProcessError};
use streamusher_protocol::config::BASE_VERSION_HEADER;
use streamusher_protocol::internal::{ClusterView, ClusterWatch, CLUSTER_PATH, CLUSTER_WATCH_PATH};
use streamusher_runtime::http::{Client, Request, Response};
use streamusher_runtime::runtime;
use streamusher_runtime::settings::{FaultTolerance, Listen, ProcessSettings};
use streamusher_runtime::signals::Signal;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinHandle};

const MACHINES: u8 = 3;
const CONTROL_PORT: u16 = 8_144;
/// Bound of one call: only a failure takes it, also on a busy machine.
const CALL_DEADLINE: Duration = Duration::from_secs(20);
/// Bound of every wait; calm elections take about a second.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

static NEXT_NET: AtomicU8 = AtomicU8::new(1);

/// The cluster; machines are numbered from 0.
pub struct Cluster {
    net: [u8; 3],
    folders: Vec<TestFolder>,
    running: BTreeMap<usize, Running>,
    clients: BTreeMap<SocketAddr, Client>,
}

struct Running {
    orders: mpsc::UnboundedSender<Signal>,
    task: JoinHandle<Result<(), ProcessError>>,
}

/// Runs a story within the runtime that the programs have.
pub fn story<F: Future<Output = ()>>(story: F) {
    let ended = Rc::new(Cell::new(false));
    let told = ended.clone();
    let bounded = async move {
        let story = async {
            story.await;
            told.set(true);
        };
        let _ = tokio::time::timeout(3 * LONGEST_WAIT, story).await;
    };
    runtime::block_on(bounded).unwrap();
    assert!(ended.get(), "the story took too long");
}

impl Cluster {
    /// Starts three machines on empty disks.
    pub async fn start() -> Cluster {
        let mut cluster = Cluster::without_machines();
        for machine in 0..usize::from(MACHINES) {
            cluster.start_machine(machine, true).await;
        }
        cluster
    }

    /// Addresses and empty disks for three machines, none of which runs.
    pub fn without_machines() -> Cluster {
        let pid = std::process::id();
        let net = [
            127,
            (pid % 200) as u8 + 20,
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

    pub async fn start_machine(&mut self, machine: usize, bootstrap: bool) {
        let settings = self.settings(machine, bootstrap);
        let process = ControlProcess::start(&settings, None).await.unwrap();
        let (orders, received) = mpsc::unbounded_channel();
        let task = spawn_local(process.run(received));
        self.running.insert(machine, Running { orders, task });
    }

    /// Ends a machine's process as SIGTERM does.
    pub async fn stop_machine(&mut self, machine: usize) {
        let running = self.running.remove(&machine).unwrap();
        running.orders.send(Signal::Terminate).unwrap();
        running.task.await.unwrap().unwrap();
        self.clients.clear();
    }

    pub async fn stop_all(&mut self) {
        let orders: Vec<Running> = std::mem::take(&mut self.running).into_values().collect();
        for running in &orders {
            running.orders.send(Signal::Terminate).unwrap();
        }
        for running in orders {
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
            listen: Listen {
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
        IpAddr::V4(Ipv4Addr::new(a, b, c, machine as u8 + 1))
    }

    pub fn control(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(machine), CONTROL_PORT)
    }

    pub fn internal(&self, machine: usize) -> SocketAddr {
        SocketAddr::new(self.ip(machine), 7_300)
    }

    /// Waits until a machine acts as primary for operators, and gives its number.
    pub async fn primary(&mut self) -> usize {
        let waiting = async {
            loop {
                if let Some(machine) = self.find_primary().await {
                    return machine;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(LONGEST_WAIT, waiting)
            .await
            .expect("no primary in time")
    }

    async fn find_primary(&mut self) -> Option<usize> {
        let machines: Vec<usize> = self.running.keys().copied().collect();
        for machine in machines {
            let answer = self
                .call(
                    self.control(machine),
                    Method::GET,
                    "/streamusher/Config.Read",
                    None,
                    b"",
                )
                .await;
            let acts = answer.is_some_and(|answer| matches!(answer.status().as_u16(), 200 | 404));
            if acts {
                return Some(machine);
            }
        }
        None
    }

    pub async fn view(&mut self, machine: usize) -> ClusterView {
        let answer = self
            .call(self.internal(machine), Method::GET, CLUSTER_PATH, None, b"")
            .await
            .unwrap();
        serde_json::from_slice(answer.body()).unwrap()
    }

    /// An operator's order at the control port of a machine.
    pub async fn order(
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
        self.call(self.control(machine), method, path, base, body.as_bytes())
            .await
            .unwrap()
    }

    /// A request without a body.
    pub async fn send(&mut self, address: SocketAddr, method: Method, path: &str) -> Response {
        self.call(address, method, path, None, b"").await.unwrap()
    }

    /// A caller of its own, which waits for the next epoch at a machine.
    pub fn watcher(&self, machine: usize) -> Watcher {
        Watcher(Client::new(self.internal(machine)))
    }

    /// A call of a gate or an agent at the internal port of a machine.
    pub async fn post<T: Serialize>(&mut self, machine: usize, path: &str, body: &T) -> Response {
        let body = serde_json::to_vec(body).unwrap();
        self.call(self.internal(machine), Method::POST, path, None, &body)
            .await
            .unwrap()
    }

    /// Repeats a call of a gate or an agent at whoever acts, until the answer is the one that is wanted.
    pub async fn post_until<T: Serialize>(
        &mut self,
        path: &str,
        body: &T,
        wanted: impl Fn(&Response) -> bool,
    ) -> Response {
        let body = serde_json::to_vec(body).unwrap();
        let waiting = async {
            loop {
                let machine = self.primary().await;
                let answer = self
                    .call(self.internal(machine), Method::POST, path, None, &body)
                    .await;
                if let Some(answer) = answer.filter(|answer| wanted(answer)) {
                    return answer;
                }
                tokio::task::yield_now().await;
            }
        };
        tokio::time::timeout(LONGEST_WAIT, waiting)
            .await
            .expect("the answer did not come in time")
    }

    async fn call(
        &mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
        base: Option<&str>,
        body: &[u8],
    ) -> Option<Response> {
        let mut call = Request::new(Bytes::copy_from_slice(body));
        *call.method_mut() = method;
        *call.uri_mut() = path.parse().unwrap();
        if let Some(base) = base {
            call.headers_mut()
                .insert(BASE_VERSION_HEADER, base.parse().unwrap());
        }
        let client = self
            .clients
            .entry(address)
            .or_insert_with(|| Client::new(address))
            .clone();
        client.send(call, CALL_DEADLINE).await.ok()
    }
}

/// Waits at one machine for the next epoch.
pub struct Watcher(Client);

impl Watcher {
    /// Watches until there is one.
    pub async fn watch(&mut self, watch: &ClusterWatch) -> ClusterView {
        loop {
            let mut call = Request::new(Bytes::from(serde_json::to_vec(watch).unwrap()));
            *call.method_mut() = Method::POST;
            *call.uri_mut() = CLUSTER_WATCH_PATH.parse().unwrap();
            let answer = self.0.send(call, CALL_DEADLINE).await.unwrap();
            let view: ClusterView = serde_json::from_slice(answer.body()).unwrap();
            if view.epoch > watch.epoch {
                return view;
            }
        }
    }
}

pub fn is_ok(answer: &Response) -> bool {
    answer.status() == StatusCode::OK
}

pub fn text_of(answer: &Response) -> String {
    String::from_utf8_lossy(answer.body()).into_owned()
}
