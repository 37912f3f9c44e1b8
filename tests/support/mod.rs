//! Test harness: starts the real program as a child process and simulates its clients, workers and discovery
//! service, each on its own loopback port.
#![allow(dead_code)]

pub mod billing;
pub mod fleet;
pub mod ledger_store;
pub mod restarts;
pub mod soak;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Time limit for any event that a test waits for. Only a failing test waits this long.
pub const LONG: Duration = Duration::from_secs(20);

pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// Reads one HTTP message; the body length comes from `Content-Length`, and a message without it has an empty
/// body.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut next = || {
        let mut line = String::new();
        (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_string())
    };
    let line = next()?;
    let mut headers = Vec::new();
    loop {
        let header = next()?;
        let Some((name, value)) = header.split_once(':') else {
            break;
        };
        headers.push((name.to_string(), value.trim().to_string()));
    }
    let mut message = Message {
        line,
        headers,
        body: String::new(),
    };
    let length = message
        .get("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).ok()?;
    Some(message)
}

pub fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("the connection is refused");
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

pub fn exchange(stream: &mut TcpStream, text: &str) -> Option<Message> {
    stream.write_all(text.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Builds a request for an operation of `class`. The correlation id is `id` and the idempotency key is
/// `key-{id}`.
pub fn operation(class: &str, id: &str, left_ms: u64) -> String {
    format!(
        "POST /{class}/bh-7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: {id}\r\nX-Time-Left-Ms: {left_ms}\r\n\
         Idempotency-Key: key-{id}\r\nX-Facts: slots=1\r\nContent-Length: 4\r\n\r\ncore"
    )
}

pub fn ask(addr: SocketAddr, text: &str) -> Message {
    exchange(&mut connect(addr), text)
        .expect("the server closed the connection without a complete response")
}

/// Message from the dispatcher, as a simulated worker records it. A dispatcher that closes the connection to
/// a worker without an answer counts as a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum Sent {
    Job {
        id: String,
        key: Option<String>,
        body: String,
    },
    Cancel(String),
}

/// Behavior of a simulated worker for each job. `answer` is the response to the job request: `None` sends
/// nothing until the dispatcher closes the connection, and an empty text closes the connection. `early` lists
/// the states reported by callback before the response, `then` those reported after it. A `done` callback
/// carries a result that contains the job's id.
#[derive(Clone, Copy)]
pub struct Manner {
    pub answer: Option<&'static str>,
    pub early: &'static [&'static str],
    pub then: &'static [&'static str],
}

pub const TAKEN: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
pub const SERVES: Manner = Manner {
    answer: Some(TAKEN),
    early: &[],
    then: &["started", "done"],
};
pub const BUSY: Manner = Manner {
    answer: Some("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
    early: &[],
    then: &[],
};
pub const SILENT: Manner = Manner {
    answer: None,
    early: &[],
    then: &[],
};
pub const RUNS_ON: Manner = Manner {
    answer: Some(TAKEN),
    early: &[],
    then: &["started"],
};

/// Simulated worker that speaks the platform's worker protocol.
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub sent: Receiver<Sent>,
    /// States that the worker reported by callback and the dispatcher acknowledged.
    pub told: Receiver<String>,
    dispatcher: Arc<OnceLock<SocketAddr>>,
}

pub fn call_back(dispatcher: SocketAddr, id: &str, from: &str, state: &str) -> u16 {
    let mut call =
        json!({"id": id, "from": from, "state": state, "load": {"inflight": 1, "eps": 0, "x0": 4}});
    if state == "done" {
        call["result"] = format!("log of {id}").into();
    }
    let body = call.to_string();
    let text = format!(
        "POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    ask(dispatcher, &text).status()
}

impl Worker {
    pub fn start(name: &str, manner: Manner) -> Worker {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, (sender, sent)) = (listener.local_addr().unwrap(), channel());
        let (callback_sender, told) = channel();
        let dispatcher = Arc::new(OnceLock::new());
        let (dispatcher_addr, worker_name) = (dispatcher.clone(), name.to_string());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (dispatcher_addr, worker_name, sender) = (
                    dispatcher_addr.clone(),
                    worker_name.clone(),
                    (sender.clone(), callback_sender.clone()),
                );
                spawn(move || {
                    Worker::serve(stream, &worker_name, manner, &dispatcher_addr, &sender)
                });
            }
        });
        Worker {
            name: name.into(),
            addr,
            sent,
            told,
            dispatcher,
        }
    }

    fn serve(
        mut stream: TcpStream,
        worker_name: &str,
        manner: Manner,
        dispatcher_addr: &OnceLock<SocketAddr>,
        (sender, told): &(Sender<Sent>, Sender<String>),
    ) -> Option<()> {
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        loop {
            let request = read_message(&mut reader)?;
            if let Some(id) = request.line.strip_prefix("DELETE /jobs/") {
                sender
                    .send(Sent::Cancel(id.split(' ').next()?.into()))
                    .ok()?;
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok()?;
                continue;
            }
            let id = request.get("x-correlation-id")?.to_string();
            let key = request.get("idempotency-key").map(String::from);
            sender
                .send(Sent::Job {
                    id: id.clone(),
                    key,
                    body: request.body,
                })
                .ok()?;
            let report = |states: &[&str]| {
                for state in states {
                    assert_eq!(
                        call_back(*dispatcher_addr.wait(), &id, worker_name, state),
                        204
                    );
                    let _ = told.send(state.to_string());
                }
            };
            report(manner.early);
            match manner.answer {
                Some("") => return None,
                Some(text) => stream.write_all(text.as_bytes()).ok()?,
                None => {
                    let mut rest = Vec::new();
                    reader.read_to_end(&mut rest).ok()?;
                    sender.send(Sent::Cancel(id)).ok()?; // the dispatcher closed the connection
                    return None;
                }
            }
            report(manner.then);
        }
    }

    pub fn next(&self) -> Sent {
        self.sent
            .recv_timeout(LONG)
            .expect("the dispatcher sent nothing to the worker")
    }

    pub fn line(&self, state: &str) -> Value {
        json!({"id": self.name, "addr": self.addr.to_string(), "zone": "pump-house", "kind": "standard",
            "cell": 0, "state": state, "weight": 1.0, "started_ms": 0})
    }
}

/// Simulated discovery service. Accepts the dispatcher's connections one at a time.
pub struct Discovery(pub TcpListener);

impl Discovery {
    pub fn start() -> Discovery {
        Discovery(TcpListener::bind("127.0.0.1:0").unwrap())
    }

    pub fn addr(&self) -> String {
        self.0.local_addr().unwrap().to_string()
    }

    /// Accepts the next connection and reads the request head. Sends no response.
    pub fn call(&self) -> (TcpStream, String) {
        let stream = accept(&self.0);
        let mut request_head = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while !request_head.ends_with("\r\n\r\n") {
            assert!(
                reader.read_line(&mut request_head).unwrap() > 0,
                "connection closed within the request head: {request_head:?}"
            );
        }
        (stream, request_head)
    }

    pub fn watch(&self, after: u64, lines: &[Value]) -> TcpStream {
        let (mut stream, request_head) = self.call();
        let line = format!("GET /discovery/hosts?watch=1&after={after} HTTP/1.1\r\n");
        assert!(request_head.starts_with(&line), "{request_head}");
        stream.write_all(WATCHED.as_bytes()).unwrap();
        for line in lines {
            // Splits each line over two chunks: a line need not arrive in one chunk.
            let line = format!("{line}\n");
            let (first_half, second_half) = line.split_at(line.len() / 2);
            [first_half, second_half]
                .iter()
                .for_each(|p| write_chunk(&mut stream, p.as_bytes()));
        }
        stream
    }
}

/// Accepts the next connection; panics if none arrives within `LONG`.
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + LONG;
    let stream = loop {
        match listener.accept() {
            Ok((stream, _)) => break stream,
            Err(e) if e.kind() == ErrorKind::WouldBlock && Instant::now() < deadline => {
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(e) => panic!("no connection accepted: {e}"),
        }
    };
    listener.set_nonblocking(false).unwrap();
    stream.set_nonblocking(false).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    stream
}

/// Response head of a watch; the entries follow as chunks.
pub const WATCHED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) {
    let mut text = format!("{:x}\r\n", data.len()).into_bytes();
    text.extend_from_slice(data);
    text.extend_from_slice(b"\r\n");
    stream.write_all(&text).unwrap();
}

/// Closes a connection with a TCP reset, so that the peer's next read fails.
pub fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
}

/// Dispatcher process under test; killed when dropped.
pub struct Program {
    pub child: Child,
    pub addr: SocketAddr,
    pub drmaa: Option<SocketAddr>,
    log: Receiver<String>,
    files: Files,
}

/// Temporary folder for the files of one test; removed when dropped.
pub struct Files(pub std::path::PathBuf);

impl Files {
    pub fn new() -> Files {
        static NEXT: Mutex<u32> = Mutex::new(0);
        let mut next = NEXT.lock().unwrap();
        *next += 1;
        let path =
            std::env::temp_dir().join(format!("streamusher-test-{}-{next}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Files(path)
    }

    pub fn add(&self, name: &str, text: &str) -> std::path::PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn settings() -> Value {
    let class = |name: &str, semantics: &str, window: u64| {
        json!({"deadlineUs": 5000000, "keyScope": "all", "lateShare": 0.2, "name": name, "onTimeUs": 30000000,
            "semantics": semantics, "streaming": false, "windowUs": window, "worth": 1.0})
    };
    json!({"balancers": 1, "discovery": "on_request", "kinds": ["standard"], "myZone": "pump-house",
        "zones": ["pump-house"], "tickUs": 5000, "valueBy": "work", "weights": "rough",
        "familyInfo": {"classKind": [-1, -1, -1], "classPriority": [0, 0, 1], "classStretch": [2, 2, 2],
            "progressUs": 1000000, "reportX0": "free slots", "tellsStart": true},
        "feedback": {"fields": ["active", "err_rps", "x0"], "via": "inline"},
        "limits": {"cancel": true, "connectTimeoutUs": 250000, "idleCloseUs": 30000000, "maxAttempts": 4,
            "maxOpen": 30000, "maxRetryAfterUs": 2000000, "mayDuplicate": true, "multiplex": 1, "probes": true,
            "retryAfter": true},
        "requestClasses": [class("depth-log", "free", 5000000), class("layer-view", "free", 5000000),
            class("sample-entry", "guarded", 7500000)],
        "rules": {"answerSlackUs": 20000, "askWithinUs": 2000000, "drainGraceUs": 1000000, "fallUs": 1500000,
            "startCapacity": 0.34, "tipMultiple": 3.0, "warmAfterUs": 9000000}})
}

pub fn config(workers: &[&Worker]) -> Value {
    let servers: Vec<Value> = workers.iter().map(|w| w.line("ready")).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": "", "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": true, "servers": servers}, "settings": settings()})
}

/// First argument that makes an example act as the dispatcher program.
pub const AS_DISPATCHER: &str = "as-dispatcher";

/// Command that runs the program: the built binary in tests. An example contains the whole program and runs
/// itself with `AS_DISPATCHER`.
fn program() -> Command {
    match option_env!("CARGO_BIN_EXE_streamusher") {
        Some(program) => Command::new(program),
        None => {
            let mut command = Command::new(
                std::env::current_exe().expect("the path of the running executable is unknown"),
            );
            command.arg(AS_DISPATCHER);
            command
        }
    }
}

pub fn command(files: &Files, config: &Value, drmaa: Option<&str>) -> Command {
    let mut command = program();
    // `ulimit` sets the operating system's limit on open files, below the limit in the program's
    // configuration.
    if let Some(max_open_files) = config["limits"]["ulimit"].as_u64() {
        let program = command.get_program().to_owned();
        command = Command::new("sh");
        command
            .args([
                "-c",
                &format!("ulimit -n {max_open_files}; exec \"$0\" \"$@\""),
            ])
            .arg(program);
    }
    command.env("NODE_CONFIG", files.add("config.json", &config.to_string()));
    for variable in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"] {
        command.env_remove(variable);
    }
    for (variable, value) in config["environment"].as_object().into_iter().flatten() {
        command.env(variable, value.as_str().unwrap());
    }
    if let Some(text) = config["operators"].as_str() {
        command
            .args(["run", "--config"])
            .arg(files.add("streamusher.toml", text));
    }
    if let Some(text) = drmaa {
        command.arg("--drmaa").arg(files.add("drmaa.toml", text));
    }
    command.stderr(Stdio::piped());
    command
}

impl Program {
    /// Starts the program with these workers in its configuration.
    pub fn start(workers: &[&Worker]) -> Program {
        Program::with(Files::new(), &config(workers), None, workers)
    }

    pub fn with(files: Files, config: &Value, drmaa: Option<&str>, workers: &[&Worker]) -> Program {
        let mut child = command(&files, config, drmaa)
            .spawn()
            .expect("cannot start the program");
        let (sender, log) = channel();
        let errors = BufReader::new(child.stderr.take().unwrap());
        spawn(move || {
            errors
                .lines()
                .map_while(Result::ok)
                .try_for_each(|l| sender.send(l))
        });
        let mut program = Program {
            child,
            addr: ([127, 0, 0, 1], 0).into(),
            drmaa: None,
            log,
            files,
        };
        let parse_listen_addr = |line: String| {
            line.rsplit("listen: ")
                .next()
                .unwrap()
                .trim()
                .parse()
                .expect("no listen address at the end of the log line")
        };
        // `[fleet]` also has a `listen` setting. In the tests' files its table follows those of the front
        // ends, so only the text before it is searched.
        let operators = config["operators"]
            .as_str()
            .and_then(|o| o.split("[fleet]").next());
        if drmaa.or(operators).is_some_and(|d| d.contains("listen")) {
            program.drmaa = Some(parse_listen_addr(program.logged("serving DRMAA")));
        }
        let serving = program.logged("serving,");
        program.addr = serving
            .split(", ")
            .find_map(|p| p.strip_prefix("listen: "))
            .unwrap()
            .parse()
            .unwrap();
        workers
            .iter()
            .for_each(|w| w.dispatcher.set(program.addr).unwrap());
        program
    }

    /// Waits for the next log line that contains this text and returns it.
    pub fn logged(&self, text_in_line: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(LONG)
                .unwrap_or_else(|e| panic!("no log line contains {text_in_line:?}: {e}"));
            if line.contains(text_in_line) {
                return line;
            }
        }
    }

    /// Kills the process and returns the log lines not read so far, up to the last one.
    pub fn kill(&mut self) -> Vec<String> {
        self.child.kill().expect("cannot kill the program");
        self.child
            .wait()
            .expect("cannot wait for the killed program");
        self.rest_of_log()
    }

    /// Returns the log lines not read so far, up to the end of the log. Blocks until the process has ended.
    pub fn rest_of_log(&self) -> Vec<String> {
        self.log.iter().collect()
    }

    /// Waits for the next log line that contains any of these texts and returns it.
    pub fn logged_first(&self, texts: &[&str]) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(LONG)
                .unwrap_or_else(|e| panic!("no log line contains any of {texts:?}: {e}"));
            if texts.iter().any(|w| line.contains(w)) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(done.expect("cannot run the kill command").success());
    }

    /// Replaces the configuration file and makes the program reload it with SIGHUP.
    pub fn reload(&self, text: &str) {
        self.files.add("config.json", text);
        self.signal("HUP");
    }

    /// Waits until a counter has this value; panics if it does not within `LONG`.
    pub fn until(&self, counter: &str, value: u64) {
        let deadline = Instant::now() + LONG;
        loop {
            let counters = self.counters();
            if counters[counter] == value {
                return;
            }
            assert!(
                Instant::now() < deadline,
                "counter {counter} did not reach {value}: {counters}"
            );
        }
    }

    pub fn counters(&self) -> Value {
        serde_json::from_str(&ask(self.addr, "GET /counters HTTP/1.1\r\nHost: x\r\n\r\n").body)
            .unwrap()
    }
}

/// Runs `streamusher ledger` on the ledger in this folder. Returns the exit code and standard output, or
/// standard error if standard output is empty.
pub fn ledger(dir: &std::path::Path, arguments: &[&str]) -> (i32, String) {
    let mut command = program();
    let done = command
        .arg("ledger")
        .args(arguments)
        .arg("--dir")
        .arg(dir)
        .output()
        .expect("cannot start the program");
    let text = if done.stdout.is_empty() {
        done.stderr
    } else {
        done.stdout
    };
    (
        done.status.code().unwrap_or(-1),
        String::from_utf8(text).expect("the program's output is not UTF-8"),
    )
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Simulated worker that speaks DRMAA. `manner` is "serves" (completes each job), "runs on" (never ends a
/// job), "turns away" (answers TRY_LATER), "breaks" (closes the connection), "fails" (the job fails) or "is
/// lost" (SIGKILL ends the job).
pub struct Shed {
    pub addr: SocketAddr,
    pub sent: Receiver<Sent>,
}

impl Shed {
    pub fn start(manner: &'static str) -> Shed {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, (sender, sent)) = (listener.local_addr().unwrap(), channel());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                spawn(move || Shed::serve(stream, manner, &sender));
            }
        });
        Shed { addr, sent }
    }

    fn serve(mut stream: TcpStream, manner: &str, sender: &Sender<Sent>) -> Option<()> {
        stream.set_nodelay(true).ok()?; // consecutive lines are sent without Nagle's delay
        let reader = BufReader::new(stream.try_clone().ok()?);
        let mut job_name = String::new();
        for line in reader.lines().map_while(Result::ok) {
            let call: Value = serde_json::from_str(&line).expect("the call is not valid JSON");
            let seq = &call["seq"];
            let info = |state: &str| json!({"jobId": "j", "jobState": state});
            let replies = match (call["call"].as_str()?, manner) {
                ("runJob", _) => {
                    let template = &call["jobTemplate"];
                    job_name = template["jobName"].as_str()?.to_string();
                    let key = template["streamusher_idempotencyKey"]
                        .as_str()
                        .map(String::from);
                    let body = template["streamusher_input"].as_str()?.to_string();
                    sender
                        .send(Sent::Job {
                            id: job_name.clone(),
                            key,
                            body,
                        })
                        .ok()?;
                    match manner {
                        "breaks" => return None,
                        "turns away" => vec![json!({"seq": seq, "error": "TRY_LATER"})],
                        _ => vec![
                            json!({"seq": seq, "jobId": "j"}),
                            json!({"event": "NEW_STATE", "jobId": "j", "jobState": "RUNNING"}),
                        ],
                    }
                }
                ("terminate", _) => {
                    sender.send(Sent::Cancel(job_name.clone())).ok()?;
                    vec![json!({"seq": seq})]
                }
                ("waitTerminated", "serves") => {
                    let mut info = info("DONE");
                    info["streamusher_output"] = format!("log of {job_name}").into();
                    vec![json!({"seq": seq, "jobInfo": info})]
                }
                ("waitTerminated", "fails") => vec![json!({"seq": seq, "jobInfo": info("FAILED")})],
                ("waitTerminated", "is lost") => {
                    let mut info = info("FAILED");
                    info["terminatingSignal"] = "SIGKILL".into();
                    vec![json!({"seq": seq, "jobInfo": info})]
                }
                _ => continue,
            };
            // If the dispatcher was killed, the write fails and the connection ends.
            replies
                .iter()
                .try_for_each(|s| stream.write_all(format!("{s}\n").as_bytes()))
                .ok()?;
        }
        Some(())
    }
}
