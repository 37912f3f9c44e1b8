//! The processes of a small deployment on loopback addresses, started with the commands of the deploy file.

use crate::record::Record;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

pub const CONTROL_PORT: u16 = 8_144;
pub const FRONT_PORT: u16 = 8_149;
pub const READY_PORT: u16 = 8_141;
pub const INTERNAL_PORT: u16 = 7_380;

#[derive(Clone, Copy, PartialEq)]
pub enum Role {
    Control,
    Gate,
    Agent,
}

struct Machine {
    name: String,
    role: Role,
    process: Option<Child>,
}

/// All machines; dropping it ends every process that it started.
pub struct Fleet {
    folder: PathBuf,
    binaries: PathBuf,
    net: String,
    record: Arc<Record>,
    machines: Vec<Machine>,
}

impl Fleet {
    /// `root` is the repository's root. The addresses are 127.A.B.x with A and B drawn from the process id.
    pub fn new(root: &Path, record: Arc<Record>) -> Fleet {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("streamusher-review-{id}"));
        fs::create_dir_all(&folder).expect("temporary folder");
        Fleet {
            folder,
            binaries: root.join("target/system"),
            net: format!("127.{}.{}", 100 + id % 100, 10 + id / 100 % 200),
            record,
            machines: Vec::new(),
        }
    }

    /// Address of a machine: control machines from 101 on, gates from 11, agents from 21.
    pub fn ip(&self, role: Role, number: u8) -> String {
        let first = match role {
            Role::Control => 101,
            Role::Gate => 11,
            Role::Agent => 21,
        };
        format!("{}.{}", self.net, first + number)
    }

    /// The first three bytes of all addresses.
    pub fn net(&self) -> &str {
        &self.net
    }

    pub fn address(&self, role: Role, number: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(role, number))
            .parse()
            .expect("address")
    }

    /// Writes the settings file of a machine and starts its process. `seeds` are the control machines' IP
    /// addresses as this machine reaches them.
    pub fn start(&mut self, role: Role, number: u8, bootstrap: bool, seeds: &[String]) {
        let (kind, class, party, program, argument) = match role {
            Role::Control => ("core", "core", "control", "streamusher-control", None),
            Role::Gate => ("front", "front", "front", "streamusher-data", Some("gate")),
            Role::Agent => ("side", "side", "side", "streamusher-data", Some("agent")),
        };
        let name = format!("{kind}-{}", number + 1);
        let ip = self.ip(role, number);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
            .collect();
        let listen = match role {
            Role::Gate => {
                format!("front = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n")
            }
            _ => format!("control = \"{ip}:{CONTROL_PORT}\"\n"),
        };
        let data_dir = match role {
            Role::Control => {
                let disk = self.folder.join(format!("{name}.disk"));
                fs::create_dir_all(&disk).expect("disk folder");
                format!("data_dir = \"{}\"\n", disk.display())
            }
            _ => String::new(),
        };
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"{kind}\"\nmachine_class = \"{class}\"\nserves = [\"{party}\"]\n\
             ip = \"{ip}\"\nzone = \"hall-a\"\nregion = \"erie-shore\"\n\
             port_range = [{INTERNAL_PORT},{}]\nseeds = [{}]\nbootstrap = {bootstrap}\n\
             counts_for_quorum = {}\n{data_dir}discovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\"]\ncommands = \"heartbeat\"\n\
             [zones]\nhall-a = \"erie-shore\"\n[listen]\n{listen}[limits]\ncpu_share = 0.5\ncores = 1\n\
             memory_mb = 256\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\n{BOUNDS}",
            INTERNAL_PORT + 15,
            seeds.join(","),
            role == Role::Control,
        );
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings).expect("settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .expect("log file");
        let mut command = Command::new(self.binaries.join(program));
        command
            .args(argument)
            .env("STREAMUSHER_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log);
        let process = match command.spawn() {
            Ok(process) => process,
            Err(error) => {
                self.record.line(&format!("cannot start {name}: {error}"));
                eprintln!("cannot start {name}: {error}");
                std::process::exit(2);
            }
        };
        self.record
            .line(&format!("{name} at {ip} started, process {}", process.id()));
        self.machines.retain(|machine| machine.name != name);
        self.machines.push(Machine {
            name,
            role,
            process: Some(process),
        });
    }

    /// Sends a signal (`STOP`, `CONT`, `TERM`) to the process of a machine.
    pub fn signal(&self, name: &str, signal: &str) {
        let machine = self.machines.iter().find(|machine| machine.name == name);
        if let Some(process) = machine.and_then(|machine| machine.process.as_ref()) {
            self.record.line(&format!("{name}: SIG{signal}"));
            let _ = Command::new("kill")
                .args([format!("-{signal}"), process.id().to_string()])
                .status();
        }
    }

    /// Kills the process of a machine and waits for its end.
    pub fn kill(&mut self, name: &str) {
        let record = self.record.clone();
        for machine in self.machines.iter_mut().filter(|one| one.name == name) {
            if let Some(mut process) = machine.process.take() {
                record.line(&format!("{name}: SIGKILL"));
                let _ = process.kill();
                let _ = process.wait();
            }
        }
    }

    /// Names of the machines whose process has ended by itself.
    pub fn ended(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for machine in &mut self.machines {
            let status = machine.process.as_mut().map(Child::try_wait);
            if let Some(Ok(Some(status))) = status {
                machine.process = None;
                ended.push(format!("{} ({status})", machine.name));
            }
        }
        ended
    }

    /// The last lines of a machine's log.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Ends all processes: SIGCONT and SIGKILL, by their ids.
    pub fn stop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut process) = machine.process.take() {
                let _ = process.kill();
                let _ = process.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    /// Names of the machines with this role.
    #[allow(dead_code)]
    pub fn names(&self, role: Role) -> Vec<String> {
        let with_role = self.machines.iter().filter(|machine| machine.role == role);
        with_role.map(|machine| machine.name.clone()).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop();
    }
}

pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The bounds of the site lwga-corehall.
const BOUNDS: &str = "seed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\n\
    catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
    rollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\nhold_max_ms = 6000\nstop_ms = 900\n\
    gang_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
    far_x = 1.5\nsave_s = 2\nrestore_ms = 600\n";
