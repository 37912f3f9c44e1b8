//! Dispatchers with ledgers that are killed and started again, and clients that keep a receipt for each result.

use super::{config, exchange, ledger, Files, Program, LONG};
use rand::Rng;
use rand_pcg::Pcg64;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

/// Dispatchers, each with a ledger of its own.
pub const INSTANCES: usize = 3;
/// Clients for each dispatcher.
pub const CLIENTS: usize = 4;
pub const CLASSES: [&str; 3] = ["depth-log", "layer-view", "sample-entry"];

/// What a client got: the operation, its tenant and its class.
pub type Receipt = (String, String, String);

/// What the clients of one run share.
pub struct Shared {
    pub addrs: Vec<SocketAddr>,
    pub next: AtomicU64,
    pub stop: AtomicBool,
    pub receipts: Mutex<Vec<Receipt>>,
    pub retried_elsewhere: AtomicU64,
}

/// A number from the environment.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| {
        v.parse()
            .unwrap_or_else(|_| panic!("{name}: not a number: {v}"))
    })
}

/// An address of its own for each instance: it is the same after a restart.
pub fn free(instance: usize) -> SocketAddr {
    let listener =
        TcpListener::bind(format!("127.0.77.{}:0", instance + 1)).expect("a loopback address");
    listener.local_addr().unwrap()
}

/// Starts an instance whose ledger has the settings that a new operators' file has.
pub fn start(instance: usize, addr: SocketAddr, root: &Path, shed: SocketAddr) -> Program {
    start_with(instance, addr, root, shed, "")
}

/// Starts an instance with further lines of the table `[ledger]`.
pub fn start_with(
    instance: usize,
    addr: SocketAddr,
    root: &Path,
    shed: SocketAddr,
    ledger_settings: &str,
) -> Program {
    let (files, config) = configuration(instance, addr, root, shed, ledger_settings);
    Program::with(files, &config, None, &[])
}

/// An instance's configuration, and the files beside it.
pub fn configuration(
    instance: usize,
    addr: SocketAddr,
    root: &Path,
    shed: SocketAddr,
    ledger_settings: &str,
) -> (Files, Value) {
    let files = Files::new();
    files.add(
        "workers.csv",
        &format!(
            "name,address,port,zone,kind\nshed-a,127.0.0.1,{},pump-house,standard\n",
            shed.port()
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

/// One client: sends one operation after another, and what broke once more, by the same key, to another instance.
pub fn client(shared: &Shared, mut rng: Pcg64, mut at: usize) {
    let mut stream: Option<TcpStream> = None;
    let mut again: Option<(String, String, String)> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        if rng.random_bool(0.02) {
            (stream, at) = (None, rng.random_range(0..shared.addrs.len()));
        }
        let id = format!("{:016x}", shared.next.fetch_add(1, Ordering::Relaxed));
        let (tenant, class, key) = again.take().unwrap_or_else(|| {
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
                    "a result is the worker's own, whole"
                );
                shared.receipts.lock().unwrap().push((id, tenant, class));
            }
            // Busy or failed: nothing was got, and nothing may be billed. Another may serve.
            Some(_) => {
                stream = None;
                at = rng.random_range(0..shared.addrs.len());
            }
            None => {
                at = (at + 1) % shared.addrs.len();
                again = Some((tenant, class, key));
                shared.retried_elsewhere.fetch_add(1, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(2)); // nobody may be there yet: no busy loop
            }
        }
    }
}

/// What a command of the ledger printed.
pub fn json(dir: &Path, words: &[&str], key: &str) -> Value {
    let words: Vec<&str> = words
        .iter()
        .copied()
        .chain(["--json", "--key-file", key])
        .collect();
    let (code, text) = ledger(dir, &words);
    assert!(code == 0 || code == 3, "{words:?}: {text}");
    serde_json::from_str(&text).unwrap_or_else(|e| panic!("{words:?}: {e}: {text}"))
}
