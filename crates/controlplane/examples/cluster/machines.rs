//! The machines: an address, a settings file and a process for each.

use anyhow::{bail, Context, Result};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command};

/// Core machines, the least that can lose one.
const CORE: u8 = 3;
/// Front machines.
const FRONT: u8 = 2;
/// Side machines, with a worker each.
const SIDE: u8 = 3;

const CONTROL_PORT: u16 = 8_144;
const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const INTERNAL_PORT: u16 = 7_300;

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Control,
    Gate,
    Agent,
}

impl Part {
    pub fn from_argument(argument: &str) -> Option<Part> {
        [Part::Control, Part::Gate, Part::Agent]
            .into_iter()
            .find(|part| part.argument() == argument)
    }

    fn argument(self) -> &'static str {
        match self {
            Part::Control => "--part=control",
            Part::Gate => "--part=gate",
            Part::Agent => "--part=agent",
        }
    }

    /// The last number of the part's first address.
    fn first_host(self) -> u8 {
        match self {
            Part::Control => 1,
            Part::Gate => 11,
            Part::Agent => 21,
        }
    }
}

struct Machine {
    name: String,
    part: Part,
    address: Ipv4Addr,
    process: Child,
}

/// All machines; the processes are killed and the folder removed with the value.
pub struct Machines {
    folder: PathBuf,
    machines: Vec<Machine>,
}

impl Machines {
    /// Starts all processes, on empty disks.
    pub fn start() -> Result<Machines> {
        let folder =
            std::env::temp_dir().join(format!("streamusher-cluster-{}", std::process::id()));
        fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
        let mut machines = Machines {
            folder,
            machines: Vec::new(),
        };
        for (part, count) in [
            (Part::Control, CORE),
            (Part::Gate, FRONT),
            (Part::Agent, SIDE),
        ] {
            for number in 0..count {
                machines.start_one(part, number)?;
            }
        }
        Ok(machines)
    }

    fn start_one(&mut self, part: Part, number: u8) -> Result<()> {
        let kind = format!("{part:?}").to_lowercase();
        let name = format!("{kind}-{}", number + 1);
        let address = host(part.first_host() + number);
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(part, &name, address))?;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg(part.argument())
            .env("STREAMUSHER_SETTINGS", settings);
        if std::env::var_os("STREAMUSHER_LOG").is_none() {
            command.env("STREAMUSHER_LOG", "error");
        }
        let process = command
            .spawn()
            .with_context(|| format!("starting {name}"))?;
        self.machines.push(Machine {
            name,
            part,
            address,
            process,
        });
        Ok(())
    }

    fn settings(&self, part: Part, name: &str, address: Ipv4Addr) -> String {
        let seeds: Vec<String> = (0..CORE)
            .map(|seed| {
                format!(
                    "\"{}:{CONTROL_PORT}\"",
                    host(Part::Control.first_host() + seed)
                )
            })
            .collect();
        let last_port = INTERNAL_PORT + 15;
        let shared = format!(
            "node_name = \"{name}\"\nip = \"{address}\"\nport_range = [{INTERNAL_PORT}, {last_port}]\n\
             seeds = [{}]\nzone = \"loopback\"\nheartbeat_ms = 500\ncommands = \"heartbeat\"\n",
            seeds.join(", ")
        );
        let own = match part {
            Part::Control => {
                let disk = self.folder.join(format!("{name}.disk"));
                format!("bootstrap = true\nserves = [\"control\"]\ndata_dir = {disk:?}\nlisten.control = \"{address}:{CONTROL_PORT}\"\n")
            }
            Part::Gate => format!(
                "serves = [\"front\"]\nlisten.front = \"{address}:{FRONT_PORT}\"\nlisten.ready = \"{address}:{READY_PORT}\"\n"
            ),
            Part::Agent => format!("serves = [\"side\"]\nlisten.control = \"{address}:{CONTROL_PORT}\"\n"),
        };
        format!("{shared}{own}fault_tolerance.machines = 1\nbounds.hold_max_ms = 3000\nbounds.grace_s = 4\n")
    }

    fn of(&self, part: Part) -> impl Iterator<Item = &Machine> {
        self.machines
            .iter()
            .filter(move |machine| machine.part == part)
    }

    fn addresses(&self, part: Part, port: u16) -> Vec<SocketAddr> {
        self.of(part)
            .map(|machine| SocketAddr::from((machine.address, port)))
            .collect()
    }

    /// Internal addresses of the core machines that run.
    pub fn core(&self) -> Vec<SocketAddr> {
        self.addresses(Part::Control, INTERNAL_PORT)
    }

    /// Where operators call.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.addresses(Part::Control, CONTROL_PORT)
    }

    /// Where clients call.
    pub fn gates(&self) -> Vec<SocketAddr> {
        self.addresses(Part::Gate, FRONT_PORT)
    }

    /// Where the workers call, each its own agent.
    pub fn agents(&self) -> Vec<SocketAddr> {
        self.addresses(Part::Agent, CONTROL_PORT)
    }

    /// Kills the process of a core machine and takes it off the list.
    pub fn kill(&mut self, internal: SocketAddr) -> Result<String> {
        let found = self
            .machines
            .iter()
            .position(|machine| internal.ip() == machine.address);
        let Some(index) = found else {
            bail!("no machine has the address {internal}")
        };
        let mut machine = self.machines.remove(index);
        machine.process.kill()?;
        machine.process.wait()?;
        Ok(machine.name)
    }

    /// Ends all processes with SIGTERM and waits for them: gates and agents, and then the core one after the other, so that
    /// the primary hands over while another machine is there.
    ///
    /// # Errors
    /// One of them did not end with 0.
    pub fn stop(&mut self) -> Result<()> {
        self.end(|machine| machine.part != Part::Control)?;
        let core: Vec<Ipv4Addr> = self
            .of(Part::Control)
            .map(|machine| machine.address)
            .collect();
        core.into_iter()
            .try_for_each(|address| self.end(|machine| machine.address == address))
    }

    fn end(&mut self, chosen: impl Fn(&Machine) -> bool) -> Result<()> {
        let mut chosen: Vec<&mut Machine> = self
            .machines
            .iter_mut()
            .filter(|machine| chosen(machine))
            .collect();
        for machine in &chosen {
            let id = machine.process.id().to_string();
            Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .context("kill")?;
        }
        for machine in &mut chosen {
            let status = machine.process.wait()?;
            if !status.success() {
                bail!("{} ended with {status}", machine.name);
            }
        }
        Ok(())
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            // Those that have ended can't be killed.
            let _ = machine.process.kill();
            let _ = machine.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// An address that only this run of the example uses.
fn host(last: u8) -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 100 + (id % 80) as u8, (id / 80 % 250) as u8, last)
}
