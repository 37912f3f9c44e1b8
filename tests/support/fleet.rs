//! Fleet of real dispatcher processes on loopback: members with simulated workers, a UDP relay in front of
//! each member that drops, delays, duplicates and blocks frames by sender, and clients that count the
//! responses they receive.
#![allow(dead_code)]

use super::*;
use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Instant;

/// How a member's relay treats the frames of one sender. The default forwards every frame at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub cut: bool,
    /// Frames dropped per thousand.
    pub lost: u64,
    /// Frames duplicated per thousand.
    pub twice: u64,
    /// Delay of each frame. `jitter` is the upper limit of a random delay on top, so that frames can be
    /// reordered.
    pub late: Duration,
    pub jitter: Duration,
    /// Forwards at most one frame per second and drops the rest.
    pub slow: bool,
}

/// UDP relay in front of one member. The other members receive the relay's address as the member's own.
pub struct Relay {
    pub addr: SocketAddr,
    links: Arc<Mutex<BTreeMap<u16, Link>>>,
    pub passed: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay that forwards frames to the member's own address.
    fn start(member: SocketAddr, seed: u64) -> Relay {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let addr = socket.local_addr().unwrap();
        let links: Arc<Mutex<BTreeMap<u16, Link>>> = Arc::default();
        let (relay_links, passed) = (links.clone(), Arc::new(AtomicU64::new(0)));
        let (late_tx, late_rx) = channel::<(Instant, Vec<u8>)>();
        let (out, count) = (socket.try_clone().unwrap(), passed.clone());
        let immediate_out = socket.try_clone().unwrap();
        spawn(move || {
            let mut delayed: Vec<(Instant, Vec<u8>)> = Vec::new();
            loop {
                let next = delayed.iter().map(|w| w.0).min();
                let wait = next.map_or(LONG, |n| n.saturating_duration_since(Instant::now()));
                match late_rx.recv_timeout(wait) {
                    Ok(late) => delayed.push(late),
                    Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
                    Err(_) => {}
                }
                let now = Instant::now();
                delayed.retain(|(at, bytes)| {
                    let due = *at <= now;
                    if due {
                        let _ = out.send_to(bytes, member);
                    }
                    !due
                });
            }
        });
        spawn(move || {
            let (mut bytes, mut random) = ([0u8; 2_048], seed | 1);
            let mut last: BTreeMap<u16, Instant> = BTreeMap::new();
            let mut next_random = move || {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                random
            };
            while let Ok((n, from)) = socket.recv_from(&mut bytes) {
                let link = relay_links
                    .lock()
                    .unwrap()
                    .get(&from.port())
                    .copied()
                    .unwrap_or_default();
                if link.cut || next_random() % 1_000 < link.lost {
                    continue;
                }
                if link.slow {
                    let now = Instant::now();
                    if last
                        .get(&from.port())
                        .is_some_and(|l| now.duration_since(*l) < Duration::from_secs(1))
                    {
                        continue;
                    }
                    last.insert(from.port(), now);
                }
                count.fetch_add(1, Ordering::Relaxed);
                for _ in 0..1 + u32::from(next_random() % 1_000 < link.twice) {
                    if link.late.is_zero() && link.jitter.is_zero() {
                        let _ = immediate_out.send_to(&bytes[..n], member);
                    } else {
                        let jitter = link
                            .jitter
                            .mul_f64((next_random() % 1_000) as f64 / 1_000.0);
                        let _ = late_tx
                            .send((Instant::now() + link.late + jitter, bytes[..n].to_vec()));
                    }
                }
            }
        });
        Relay {
            addr,
            links,
            passed,
        }
    }
}

/// Parameters of a fleet.
#[derive(Clone)]
pub struct Plan {
    pub members: usize,
    pub copies: usize,
    /// Limit on in-flight jobs over the whole fleet for tenant `t0`; `None` sets no limit.
    pub limit: Option<u64>,
    pub floor: u64,
    pub lease_ms: u64,
    pub gossip_ms: u64,
    pub hold_ms: u64,
    /// Deadline of every request class, and thus the longest one; rights return this long after their lease.
    pub deadline_ms: u64,
    pub seed: u64,
    /// Time that a simulated worker takes for each job.
    pub work: Duration,
    pub ledger: bool,
    /// Whether the operators' file has the table `[fleet]`.
    pub on: bool,
    /// Whether each member has the workers of all members in its inventory, not only its own.
    pub shared: bool,
    /// Member at whose worker all jobs fail.
    pub bad: Option<usize>,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            members: 3,
            copies: 0,
            limit: None,
            floor: 1,
            lease_ms: 1_000,
            gossip_ms: 50,
            hold_ms: 2_000,
            deadline_ms: 3_000,
            seed: 7,
            work: Duration::ZERO,
            ledger: false,
            on: true,
            shared: false,
            bad: None,
        }
    }
}

pub struct Member {
    pub program: Option<Program>,
    pub addr: SocketAddr,
    pub mgmt: SocketAddr,
    /// Address at which the member itself receives frames; `relay` forwards to it.
    pub udp: SocketAddr,
    pub relay: Relay,
}

pub struct Fleet {
    pub plan: Plan,
    pub members: Vec<Member>,
    pub files: Files,
    /// Address of each member's worker, which keeps running when the member is killed.
    worker_addrs: Vec<SocketAddr>,
    pub running: Arc<Running>,
}

/// Counts by the simulated workers: jobs running now, the maximum at any time, and all jobs started.
#[derive(Default)]
pub struct Running {
    pub now: AtomicU64,
    pub most: AtomicU64,
    pub jobs: AtomicU64,
}

/// Returns a loopback address whose port is free for TCP and UDP and was not returned before by this process.
fn free_address() -> SocketAddr {
    // Ports are below the system's ephemeral range: a port from that range that is free now may be taken by
    // another socket.
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 131;
        let port = 12_000 + (step % 18_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Starts a simulated worker that speaks DRMAA, takes `work` for each job and counts its running jobs. With
/// `bad`, every job fails.
fn start_worker(running: Arc<Running>, work: Duration, bad: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let running = running.clone();
            spawn(move || serve(stream, &running, work, bad));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, running: &Running, work: Duration, bad: bool) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let reader = BufReader::new(stream.try_clone().ok()?);
    let mut job_name = String::new();
    for line in reader.lines().map_while(Result::ok) {
        let call: Value = serde_json::from_str(&line).expect("the call is not valid JSON");
        let seq = &call["seq"];
        let replies = match call["call"].as_str()? {
            "runJob" => {
                job_name = call["jobTemplate"]["jobName"].as_str()?.to_string();
                running.jobs.fetch_add(1, Ordering::SeqCst);
                let n = running.now.fetch_add(1, Ordering::SeqCst) + 1;
                running.most.fetch_max(n, Ordering::SeqCst);
                std::thread::sleep(work); // simulates the job's run time
                running.now.fetch_sub(1, Ordering::SeqCst);
                vec![
                    json!({"seq": seq, "jobId": "j"}),
                    json!({"event": "NEW_STATE", "jobId": "j", "jobState": "RUNNING"}),
                ]
            }
            "waitTerminated" if bad => {
                vec![json!({"seq": seq, "jobInfo": {"jobId": "j", "jobState": "FAILED"}})]
            }
            "waitTerminated" => {
                vec![
                    json!({"seq": seq, "jobInfo": {"jobId": "j", "jobState": "DONE",
                    "streamusher_output": format!("log of {job_name}")}}),
                ]
            }
            "terminate" => vec![json!({"seq": seq})],
            _ => continue,
        };
        replies
            .iter()
            .try_for_each(|s| stream.write_all(format!("{s}\n").as_bytes()))
            .ok()?;
    }
    Some(())
}

impl Fleet {
    pub fn start(plan: Plan) -> Fleet {
        let files = Files::new();
        files.add("fleet.key", &"a7".repeat(32));
        files.add("ledger.key", &"5c".repeat(32));
        let running = Arc::new(Running::default());
        let mut members = Vec::new();
        for i in 0..plan.members {
            let udp = free_address();
            members.push(Member {
                program: None,
                addr: free_address(),
                mgmt: free_address(),
                udp,
                relay: Relay::start(udp, plan.seed ^ (i as u64 + 1) << 20),
            });
        }
        let worker_addrs = (0..plan.members)
            .map(|i| start_worker(running.clone(), plan.work, plan.bad == Some(i)))
            .collect();
        let mut fleet = Fleet {
            plan,
            members,
            files,
            worker_addrs,
            running,
        };
        (0..fleet.members.len()).for_each(|i| fleet.begin(i));
        fleet
    }

    fn operators(&self, i: usize) -> String {
        let (plan, m) = (&self.plan, &self.members[i]);
        let member_names: Vec<String> = (0..plan.members).map(|n| format!("'m{n}'")).collect();
        let join: Vec<String> = self
            .members
            .iter()
            .take(3)
            .map(|m| format!("'{}'", m.relay.addr))
            .collect();
        let mut text = String::from(
            "[drmaa]\ninventory = 'workers.csv'\n[tenants]\nlist = ['t0', 't1', 't2']\nunlisted = 'book'\n",
        );
        if plan.ledger {
            text += &format!(
                "[ledger]\ndir = '{}'\nkey_file = '{}'\nperiod = 'hour'\n",
                self.files.0.join(format!("ledger-m{i}")).display(),
                self.files.0.join("ledger.key").display()
            );
        }
        if plan.on {
            text += &format!(
                "[fleet]\nlisten = '{}'\nadvertise = '{}'\njoin = [{}]\nkey_file = '{}'\nname = 'm{i}'\nseats = [{}]\n\
                 floor = {}\nlease_ms = {}\ngossip_ms = {}\ncopies = {}\nhold_ms = {}\nperiod = 'day'\n",
                m.udp,
                m.relay.addr,
                join.join(", "),
                self.files.0.join("fleet.key").display(),
                member_names.join(", "),
                plan.floor,
                plan.lease_ms,
                plan.gossip_ms,
                plan.copies,
                plan.hold_ms
            );
            text += &plan
                .limit
                .map_or(String::new(), |n| format!("[fleet.limits]\nt0 = {n}\n"));
        }
        text
    }

    /// Starts a member, or restarts it under the same name.
    pub fn begin(&mut self, i: usize) {
        let files = Files::new();
        let inventory_workers =
            (0..self.worker_addrs.len()).filter(|n| self.plan.shared || *n == i);
        let row = |n: usize| {
            format!(
                "shed-{n},127.0.0.1,{},pump-house,standard\n",
                self.worker_addrs[n].port()
            )
        };
        let rows: String = inventory_workers.map(row).collect();
        files.add(
            "workers.csv",
            &format!("name,address,port,zone,kind\n{rows}"),
        );
        let mut config = config(&[]);
        let m = &self.members[i];
        (config["name"], config["seed"]) = (
            format!("m{i}").into(),
            format!("{:x}", self.plan.seed + i as u64).into(),
        );
        (config["listen"], config["mgmt"]) = (m.addr.to_string().into(), m.mgmt.to_string().into());
        for class in config["settings"]["requestClasses"].as_array_mut().unwrap() {
            class["deadlineUs"] = (self.plan.deadline_ms * 1_000).into();
        }
        config["operators"] = self.operators(i).into();
        let program = Program::with(files, &config, None, &[]);
        program.logged("operators' calls"); // the management port opens shortly after the client port
        self.members[i].program = Some(program);
    }

    pub fn kill(&mut self, i: usize) {
        drop(self.members[i].program.take()); // SIGKILL
    }

    /// Sends SIGTERM and waits for a clean exit.
    pub fn stop(&mut self, i: usize) {
        let mut program = self.members[i]
            .program
            .take()
            .expect("the member is not running");
        program.signal("TERM");
        assert!(program.child.wait().unwrap().success());
    }

    pub fn signal(&self, i: usize, name: &str) {
        self.members[i]
            .program
            .as_ref()
            .expect("the member is not running")
            .signal(name);
    }

    /// Sets how the relay of `to` treats the frames of `from`.
    pub fn link(&self, from: usize, to: usize, link: Link) {
        let port = self.members[from].udp.port();
        self.members[to]
            .relay
            .links
            .lock()
            .unwrap()
            .insert(port, link);
    }

    /// Partitions these members from all others, in both directions.
    pub fn part(&self, one: &[usize]) {
        for i in 0..self.members.len() {
            for j in (0..self.members.len()).filter(|j| one.contains(&i) != one.contains(j)) {
                self.link(
                    i,
                    j,
                    Link {
                        cut: true,
                        ..Link::default()
                    },
                );
            }
        }
    }

    pub fn heal(&self) {
        self.members
            .iter()
            .for_each(|m| m.relay.links.lock().unwrap().clear());
    }

    /// Sends an operators' command to a member and returns the JSON line of its response.
    pub fn call(&self, i: usize, what: &str) -> Value {
        let mut stream = connect(self.members[i].mgmt);
        stream.write_all(format!("{what}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("cannot read the response up to the end of the connection");
        let (json, end) = answer
            .split_once('\n')
            .expect("the response has no line break after the JSON");
        assert_eq!(end, "END\n", "{answer}");
        serde_json::from_str(json).expect("the response is not valid JSON")
    }

    /// Polls until `holds` returns `Ok`; after twice `LONG` panics with the last error.
    pub fn wait(&self, what: &str, mut holds: impl FnMut(&Fleet) -> Result<(), String>) {
        let from = Instant::now();
        loop {
            match holds(self) {
                Ok(()) => return,
                Err(why) if from.elapsed() > LONG * 2 => panic!("{what}: {why}"),
                Err(_) => std::thread::sleep(Duration::from_millis(20)), // polled, as no event signals the change
            }
        }
    }

    pub fn live(&self) -> Vec<usize> {
        (0..self.members.len())
            .filter(|i| self.members[*i].program.is_some())
            .collect()
    }

    /// Waits until each running member sees all other running members as alive.
    pub fn joined(&self) {
        self.wait("all have joined", |fleet| {
            let live = fleet.live();
            for &i in &live {
                let show = fleet.call(i, "fleet");
                let alive = show["members"]
                    .as_array()
                    .unwrap()
                    .iter()
                    .filter(|m| m["standing"] == "alive")
                    .count();
                if alive + 1 < live.len() {
                    return Err(show.to_string());
                }
            }
            Ok(())
        });
    }

    /// Waits until each running member reports `seated`, that is, has received its parts of the budgets.
    pub fn seated(&self) {
        self.wait("all are seated", |fleet| {
            let all = fleet
                .live()
                .iter()
                .all(|&i| fleet.call(i, "fleet")["seated"] == true);
            all.then_some(()).ok_or("not yet".into())
        });
    }

    /// Waits until all running members have the same tally and nothing uncounted, and returns that tally.
    pub fn one_tally(&self) -> Value {
        let mut last = Value::Null;
        self.wait("one tally", |fleet| {
            let live = fleet.live();
            let counted = live
                .iter()
                .all(|&i| fleet.call(i, "fleet")["uncounted"] == 0);
            let tallies: Vec<Value> = live.iter().map(|&i| fleet.call(i, "tally")).collect();
            last = tallies[0].clone();
            match counted
                && tallies
                    .iter()
                    .all(|t| t["digest"] == tallies[0]["digest"] && t["rows"] == tallies[0]["rows"])
            {
                true => Ok(()),
                false => Err(format!("{tallies:?}")),
            }
        });
        last
    }
}

/// Sums a unit over the rows of a tally, for one tenant if `tenant` is given.
pub fn sum(tally: &Value, unit: &str, tenant: Option<&str>) -> u64 {
    let rows = tally["rows"].as_array().expect("rows").iter();
    rows.filter(|r| tenant.is_none_or(|t| r["tenant"] == t))
        .filter_map(|r| r[unit].as_u64())
        .sum()
}

/// Clients that send one operation after another, each to one member, and count the responses.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<Receipts>>,
    pub served: Arc<AtomicU64>,
}

/// Responses that clients received: served operations by tenant, rejections (429 and 503), other statuses,
/// and broken connections.
#[derive(Clone, Debug, Default)]
pub struct Receipts {
    pub served: BTreeMap<String, u64>,
    pub refused: u64,
    pub failed: u64,
    pub broken: u64,
}

impl Clients {
    /// Starts `n` clients for each member in `at`. Each client goes through the tenants in turn.
    pub fn start(
        fleet: &Fleet,
        at: &[usize],
        n: usize,
        tenants: &'static [&'static str],
        pause: Duration,
    ) -> Clients {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let (stop, served) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicU64::new(0)),
        );
        let left_ms = fleet.plan.deadline_ms;
        let mut threads = Vec::new();
        for &member in at {
            for c in 0..n {
                let (addr, stop, served) =
                    (fleet.members[member].addr, stop.clone(), served.clone());
                threads.push(spawn(move || {
                    let (mut receipts, mut stream, mut turn) = (Receipts::default(), None::<TcpStream>, c);
                    while !stop.load(Ordering::Relaxed) {
                        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
                        let tenant = tenants[turn % tenants.len()];
                        turn += 1;
                        let text = format!(
                            "POST /depth-log/bh-7 HTTP/1.1\r\nHost: x\r\nX-Tenant: {tenant}\r\nX-Correlation-Id: {id}\r\n\
                             X-Time-Left-Ms: {left_ms}\r\nContent-Length: 4\r\n\r\ncore"
                        );
                        let connected = stream.take().or_else(|| TcpStream::connect(addr).ok());
                        let answer = connected.and_then(|mut s| {
                            s.set_read_timeout(Some(LONG)).unwrap();
                            s.set_nodelay(true).unwrap();
                            let answer = exchange(&mut s, &text)?;
                            if !answer.get("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                                stream = Some(s);
                            }
                            Some(answer)
                        });
                        match answer.as_ref().map(Message::status) {
                            Some(200) => {
                                assert_eq!(answer.unwrap().body, format!("log of {id}"));
                                *receipts.served.entry(tenant.into()).or_default() += 1;
                                served.fetch_add(1, Ordering::Relaxed);
                            }
                            Some(429 | 503) => {
                                receipts.refused += 1;
                                std::thread::sleep(Duration::from_millis(3)); // like a client that obeys a retry advice
                            }
                            Some(_) => receipts.failed += 1,
                            None => {
                                receipts.broken += 1;
                                std::thread::sleep(Duration::from_millis(3)); // the member may not listen yet
                            }
                        }
                        std::thread::sleep(pause);
                    }
                    receipts
                }));
            }
        }
        Clients {
            stop,
            threads,
            served,
        }
    }

    /// Waits until `n` more operations are served.
    pub fn more(&self, n: u64) {
        let (from, started) = (self.served.load(Ordering::Relaxed), Instant::now());
        while self.served.load(Ordering::Relaxed) < from + n {
            assert!(
                started.elapsed() < LONG * 2,
                "the clients did not receive the expected number of results"
            );
            std::thread::sleep(Duration::from_millis(1)); // polled: the client threads update the counter
        }
    }

    pub fn end(self) -> Receipts {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Receipts::default();
        for thread in self.threads {
            let receipts = thread.join().expect("a client thread panicked");
            receipts
                .served
                .into_iter()
                .for_each(|(t, n)| *all.served.entry(t).or_default() += n);
            (all.refused, all.failed) =
                (all.refused + receipts.refused, all.failed + receipts.failed);
            all.broken += receipts.broken;
        }
        all
    }
}

impl Receipts {
    pub fn all(&self) -> u64 {
        self.served.values().sum()
    }
}
