//! Dispatchers with ledgers that are killed and restarted, and clients that keep a receipt for each result.

use super::{config, exchange, ledger, Files, Program, LONG};
use rand::Rng;
use rand_pcg::Pcg64;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Number of dispatchers; each has its own ledger.
pub const INSTANCES: usize = 3;
/// Number of clients per dispatcher.
pub const CLIENTS: usize = 4;
pub const CLASSES: [&str; 3] = ["depth-log", "layer-view", "sample-entry"];

/// Receipt for a result: the operation's id, its tenant and its class.
pub type Receipt = (String, String, String);

/// State that the clients of one run share.
pub struct Shared {
    pub addrs: Vec<SocketAddr>,
    pub next: AtomicU64,
    pub stop: AtomicBool,
    pub receipts: Mutex<Vec<Receipt>>,
    pub retried_elsewhere: AtomicU64,
}

/// Reads a number from the environment; `default` applies if the variable is not set.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| {
        v.parse()
            .unwrap_or_else(|_| panic!("{name}: not a number: {v}"))
    })
}

/// Returns a free address, on a separate loopback IP for each instance. The instance keeps the address after
/// a restart.
pub fn free(instance: usize) -> SocketAddr {
    let listener = TcpListener::bind(format!("127.0.77.{}:0", instance + 1))
        .expect("cannot bind the loopback address");
    listener.local_addr().unwrap()
}

/// Starts an instance whose `[ledger]` table has the settings of a new operators' file.
pub fn start(instance: usize, addr: SocketAddr, root: &Path, worker_addr: SocketAddr) -> Program {
    start_with(instance, addr, root, worker_addr, "")
}

/// Starts an instance with additional lines in the `[ledger]` table.
pub fn start_with(
    instance: usize,
    addr: SocketAddr,
    root: &Path,
    worker_addr: SocketAddr,
    ledger_settings: &str,
) -> Program {
    let (files, config) = configuration(instance, addr, root, worker_addr, ledger_settings);
    Program::with(files, &config, None, &[])
}

/// Returns an instance's configuration and the folder with its workers file.
pub fn configuration(
    instance: usize,
    addr: SocketAddr,
    root: &Path,
    worker_addr: SocketAddr,
    ledger_settings: &str,
) -> (Files, Value) {
    let files = Files::new();
    files.add(
        "workers.csv",
        &format!(
            "name,address,port,zone,kind\nshed-a,127.0.0.1,{},pump-house,standard\n",
            worker_addr.port()
        ),
    );
    let mut config = config(&[]);
    config["name"] = format!("n{instance}").into();
    config["listen"] = addr.to_string().into();
    let tenants: Vec<String> = (0..50).map(|t| format!("'t{t}'")).collect();
    config["operators"] = format!(
        "[tenants]\nlist = [{}]\n[drmaa]\ninventory = 'workers.csv'\n[ledger]\ndir = '{}'\nkey_file = '{}'\nperiod = 'hour'\n{ledger_settings}",
        tenants.join(", "),
        root.join(format!("n{instance}")).display(),
        root.join("shared.key").display(),
    )
    .into();
    (files, config)
}

/// Runs one client, which sends one operation after another until `stop` is set. An operation whose
/// connection broke is sent again with its idempotency key to another instance.
pub fn client(shared: &Shared, mut rng: Pcg64, mut at: usize) {
    let mut stream: Option<TcpStream> = None;
    let mut retry: Option<(String, String, String)> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        if rng.random_bool(0.02) {
            (stream, at) = (None, rng.random_range(0..shared.addrs.len()));
        }
        let id = format!("{:016x}", shared.next.fetch_add(1, Ordering::Relaxed));
        let (tenant, class, key) = retry.take().unwrap_or_else(|| {
            let tenant = if rng.random_bool(0.9) {
                0
            } else {
                rng.random_range(1..50)
            };
            (
                format!("t{tenant}"),
                CLASSES[rng.random_range(0..3)].to_string(),
                id.clone(),
            )
        });
        let text = format!(
            "POST /{class}/bh-7 HTTP/1.1\r\nHost: x\r\nX-Tenant: {tenant}\r\nX-Correlation-Id: {id}\r\n\
             X-Time-Left-Ms: 4000\r\nIdempotency-Key: {key}\r\nContent-Length: 4\r\n\r\ncore"
        );
        let connected = stream
            .take()
            .or_else(|| TcpStream::connect(shared.addrs[at]).ok());
        let answer = connected.and_then(|mut s| {
            s.set_read_timeout(Some(LONG)).unwrap();
            let answer = exchange(&mut s, &text)?;
            if !answer
                .get("connection")
                .is_some_and(|c| c.eq_ignore_ascii_case("close"))
            {
                stream = Some(s);
            }
            Some(answer)
        });
        match answer {
            Some(a) if a.status() == 200 => {
                assert_eq!(
                    a.body,
                    format!("log of {id}"),
                    "the response body differs from the worker's complete result"
                );
                shared.receipts.lock().unwrap().push((id, tenant, class));
            }
            // Rejected or failed: the client has no result, and the operation must not be billed. Another
            // instance may accept the next one.
            Some(_) => {
                stream = None;
                at = rng.random_range(0..shared.addrs.len());
            }
            None => {
                at = (at + 1) % shared.addrs.len();
                retry = Some((tenant, class, key));
                shared.retried_elsewhere.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(2)); // the instance may not listen yet: avoids a busy loop
            }
        }
    }
}

/// Runs a ledger command with `--json` and returns its output. Exit codes 0 and 3 are accepted.
pub fn json(dir: &Path, arguments: &[&str], key: &str) -> Value {
    let arguments: Vec<&str> = arguments
        .iter()
        .copied()
        .chain(["--json", "--key-file", key])
        .collect();
    let (code, text) = ledger(dir, &arguments);
    assert!(
        code == 0 || code == 3,
        "ledger command {arguments:?} exited with code {code}: {text}"
    );
    serde_json::from_str(&text)
        .unwrap_or_else(|e| panic!("ledger command {arguments:?}: output is not JSON: {e}: {text}"))
}
