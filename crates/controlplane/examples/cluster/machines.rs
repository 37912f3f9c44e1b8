//! The machines of an example: each has an address, a settings file and a process.

use anyhow::{bail, Context, Result};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus};

/// Number of control machines; three is the minimum that tolerates the loss of one.
const CONTROL_MACHINES: u8 = 3;

const CONTROL_PORT: u16 = 8_144;
const FRONT_PORT: u16 = 8_149;
const READY_PORT: u16 = 8_141;
const INTERNAL_PORT: u16 = 7_300;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Control,
    Gate,
    Agent,
}

impl Role {
    pub(crate) fn from_argument(argument: &str) -> Option<Role> {
        [Role::Control, Role::Gate, Role::Agent]
            .into_iter()
            .find(|role| role.argument() == argument)
    }

    fn argument(self) -> &'static str {
        match self {
            Role::Control => "--role=control",
            Role::Gate => "--role=gate",
            Role::Agent => "--role=agent",
        }
    }

    /// The last byte of the address of the role's first machine.
    fn first_host(self) -> u8 {
        match self {
            Role::Control => 1,
            Role::Gate => 11,
            Role::Agent => 21,
        }
    }
}

/// Number of machines of each role other than control machines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MachineCounts {
    /// Machines with a gate; at most 10.
    pub(crate) gates: u8,
    /// Machines with an agent and a worker; at most 200, or [`MAX_RELAYED_AGENTS`] with relays.
    pub(crate) agents: u8,
}

/// How agents reach the control machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AgentPath {
    /// At their own addresses.
    Direct,
    /// Through relays that the example runs.
    Relayed,
}

/// The last byte of the address of the first relay.
const FIRST_RELAY_HOST: u8 = 101;
/// Maximum number of agents with relays: each has one for each control machine.
pub(crate) const MAX_RELAYED_AGENTS: u8 = 50;

/// The address of a control machine, and the one at which an agent reaches it through a relay.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplacedAddress {
    pub(crate) own: Ipv4Addr,
    pub(crate) shown: Ipv4Addr,
}

/// The relays of one agent.
pub(crate) struct RelayedAgent {
    /// Name of the agent's machine.
    pub(crate) name: String,
    /// Where each relay listens, and where it forwards to.
    pub(crate) routes: Vec<(SocketAddr, SocketAddr)>,
    /// The addresses that the relays replace in responses.
    pub(crate) replaced_addresses: Vec<ReplacedAddress>,
}

/// A signal sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    Terminate,
    Kill,
    Reload,
}

impl Signal {
    fn argument(self) -> &'static str {
        match self {
            Signal::Terminate => "-TERM",
            Signal::Kill => "-KILL",
            Signal::Reload => "-HUP",
        }
    }
}

struct Machine {
    name: String,
    role: Role,
    number: u8,
    address: Ipv4Addr,
    process: Child,
}

/// All machines. Dropping the value kills the processes and removes their folder.
pub(crate) struct Machines {
    folder: PathBuf,
    started: Vec<Machine>,
    agent_path: AgentPath,
}

impl Machines {
    /// Starts all processes with empty disks.
    pub(crate) fn start(counts: MachineCounts, agent_path: AgentPath) -> Result<Machines> {
        if agent_path == AgentPath::Relayed && counts.agents > MAX_RELAYED_AGENTS {
            bail!("at most {MAX_RELAYED_AGENTS} agents have relays");
        }
        let folder =
            std::env::temp_dir().join(format!("streamusher-cluster-{}", std::process::id()));
        fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
        let mut machines = Machines {
            folder,
            started: Vec::new(),
            agent_path,
        };
        for (role, count) in [
            (Role::Control, CONTROL_MACHINES),
            (Role::Gate, counts.gates),
            (Role::Agent, counts.agents),
        ] {
            for number in 0..count {
                machines.start_one(role, number)?;
            }
        }
        Ok(machines)
    }

    fn start_one(&mut self, role: Role, number: u8) -> Result<()> {
        let kind = format!("{role:?}").to_lowercase();
        let name = format!("{kind}-{}", number + 1);
        let address = loopback_address(role.first_host() + number);
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, self.settings(role, number, &name, address))?;
        let mut command = Command::new(std::env::current_exe()?);
        command
            .arg(role.argument())
            .env("STREAMUSHER_SETTINGS", settings);
        if std::env::var_os("STREAMUSHER_LOG").is_none() {
            command.env("STREAMUSHER_LOG", "error");
        }
        let process = command
            .spawn()
            .with_context(|| format!("starting {name}"))?;
        self.started.push(Machine {
            name,
            role,
            number,
            address,
            process,
        });
        Ok(())
    }

    fn settings(&self, role: Role, number: u8, name: &str, address: Ipv4Addr) -> String {
        let uses_relays = role == Role::Agent && self.agent_path == AgentPath::Relayed;
        let seeds: Vec<String> = replaced_addresses(number)
            .into_iter()
            .map(|control| {
                if uses_relays {
                    control.shown
                } else {
                    control.own
                }
            })
            .map(|address| format!("\"{address}:{CONTROL_PORT}\""))
            .collect();
        let last_port = INTERNAL_PORT + 15;
        let shared = format!(
            "node_name = \"{name}\"\nip = \"{address}\"\nport_range = [{INTERNAL_PORT}, {last_port}]\n\
             seeds = [{}]\nzone = \"loopback\"\nheartbeat_ms = 500\ncommands = \"heartbeat\"\n",
            seeds.join(", ")
        );
        let own = match role {
            Role::Control => {
                let disk = self.folder.join(format!("{name}.disk"));
                format!("bootstrap = true\nserves = [\"control\"]\ndata_dir = \"{}\"\nlisten.control = \"{address}:{CONTROL_PORT}\"\n", disk.display())
            }
            Role::Gate => format!(
                "serves = [\"front\"]\nlisten.front = \"{address}:{FRONT_PORT}\"\nlisten.ready = \"{address}:{READY_PORT}\"\n"
            ),
            Role::Agent => format!("serves = [\"side\"]\nlisten.control = \"{address}:{CONTROL_PORT}\"\n"),
        };
        format!("{shared}{own}fault_tolerance.machines = 1\nbounds.hold_max_ms = 3000\nbounds.grace_s = 4\n")
    }

    fn with_role(&self, role: Role) -> impl Iterator<Item = &Machine> {
        self.started
            .iter()
            .filter(move |machine| machine.role == role)
    }

    fn addresses(&self, role: Role, listen_port: u16) -> Vec<SocketAddr> {
        self.with_role(role)
            .map(|machine| SocketAddr::from((machine.address, listen_port)))
            .collect()
    }

    /// Internal addresses of the control machines that run.
    pub(crate) fn control_internal(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Control, INTERNAL_PORT)
    }

    /// Control addresses of the control machines, for operators.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Control, CONTROL_PORT)
    }

    /// Addresses of the gates, for clients.
    pub(crate) fn gates(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Gate, FRONT_PORT)
    }

    /// The name of the machine whose gate has this address.
    pub(crate) fn gate_name(&self, address: SocketAddr) -> Option<&str> {
        self.with_role(Role::Gate)
            .find(|machine| machine.address == address.ip())
            .map(|machine| machine.name.as_str())
    }

    /// Addresses of the agents, for workers.
    pub(crate) fn agents(&self) -> Vec<SocketAddr> {
        self.addresses(Role::Agent, CONTROL_PORT)
    }

    /// The relays of all agents; none unless agents use them.
    pub(crate) fn relayed_agents(&self) -> Vec<RelayedAgent> {
        if self.agent_path == AgentPath::Direct {
            return Vec::new();
        }
        let agents = self.with_role(Role::Agent);
        agents
            .map(|agent| {
                let replaced_addresses = replaced_addresses(agent.number);
                RelayedAgent {
                    name: agent.name.clone(),
                    routes: relay_routes(&replaced_addresses),
                    replaced_addresses,
                }
            })
            .collect()
    }

    /// The names of the machines of a role.
    pub(crate) fn names(&self, role: Role) -> Vec<String> {
        self.with_role(role)
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// Sends a signal to the process of a machine.
    pub(crate) fn send(&self, name: &str, signal: Signal) -> Result<()> {
        let machine = self.started.iter().find(|machine| machine.name == name);
        let machine = machine.with_context(|| format!("no machine has the name {name}"))?;
        send_signal(&machine.process, signal)
    }

    /// The exit status of a machine's process; `None` while it runs.
    pub(crate) fn exit_status(&mut self, name: &str) -> Result<Option<ExitStatus>> {
        let mut machines = self.started.iter_mut();
        let machine = machines.find(|machine| machine.name == name);
        let machine = machine.with_context(|| format!("no machine has the name {name}"))?;
        Ok(machine.process.try_wait()?)
    }

    /// Restarts a machine whose process has ended, with its existing disk.
    pub(crate) fn restart(&mut self, name: &str) -> Result<()> {
        let index = self
            .started
            .iter()
            .position(|machine| machine.name == name)
            .with_context(|| format!("no machine has the name {name}"))?;
        let ended = self.started.remove(index);
        self.start_one(ended.role, ended.number)
    }

    /// Kills the process of a control machine and removes the machine from the list.
    pub(crate) fn kill(&mut self, internal: SocketAddr) -> Result<String> {
        let found = self
            .started
            .iter()
            .position(|machine| internal.ip() == machine.address);
        let Some(index) = found else {
            bail!("no machine has the address {internal}")
        };
        let mut machine = self.started.remove(index);
        machine.process.kill()?;
        machine.process.wait()?;
        Ok(machine.name)
    }

    /// Ends all processes with SIGTERM and waits for them: first gates and agents, then the control machines
    /// one at a time, so that the primary can transfer its leadership.
    ///
    /// # Errors
    /// A process did not exit with 0.
    pub(crate) fn stop(&mut self) -> Result<()> {
        self.terminate(|machine| machine.role != Role::Control)?;
        let control_machines: Vec<Ipv4Addr> = self
            .with_role(Role::Control)
            .map(|machine| machine.address)
            .collect();
        control_machines
            .into_iter()
            .try_for_each(|address| self.terminate(|machine| machine.address == address))
    }

    fn terminate(&mut self, chosen: impl Fn(&Machine) -> bool) -> Result<()> {
        let mut chosen: Vec<&mut Machine> = self
            .started
            .iter_mut()
            .filter(|machine| chosen(machine))
            .collect();
        for machine in &chosen {
            send_signal(&machine.process, Signal::Terminate)?;
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
        for machine in &mut self.started {
            // Killing a process that has already ended fails, which is ignored.
            let _ = machine.process.kill();
            let _ = machine.process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn send_signal(process: &Child, signal: Signal) -> Result<()> {
    Command::new("kill")
        .args([signal.argument(), &process.id().to_string()])
        .status()
        .context("kill")?;
    Ok(())
}

/// The addresses of the control machines, and those of an agent's relays to them.
fn replaced_addresses(agent: u8) -> Vec<ReplacedAddress> {
    let first_relay = FIRST_RELAY_HOST.saturating_add(agent.saturating_mul(CONTROL_MACHINES));
    (0..CONTROL_MACHINES)
        .map(|number| ReplacedAddress {
            own: loopback_address(Role::Control.first_host() + number),
            shown: loopback_address(first_relay.saturating_add(number)),
        })
        .collect()
}

fn relay_routes(replaced: &[ReplacedAddress]) -> Vec<(SocketAddr, SocketAddr)> {
    let mut routes = Vec::new();
    for address in replaced {
        for port in [CONTROL_PORT, INTERNAL_PORT] {
            let listen = SocketAddr::from((address.shown, port));
            let target = SocketAddr::from((address.own, port));
            routes.push((listen, target));
        }
    }
    routes
}

/// Returns an address that only this run of the example uses.
fn loopback_address(host: u8) -> Ipv4Addr {
    let id = std::process::id();
    let [_, _, _, second] = (100 + id % 80).to_be_bytes();
    let [_, _, _, third] = (id / 80 % 250).to_be_bytes();
    Ipv4Addr::new(127, second, third, host)
}
