//! The process of one machine of an example. The example starts itself once for each machine.

use crate::machines::Role;
use anyhow::Result;
use streamusher_dataplane::{agent_process, gate, process};
use streamusher_runtime::{logs, settings};

/// Runs the process of a machine in this role, with the settings file that the environment names.
pub(crate) fn run(role: Role) -> Result<()> {
    logs::start(None);
    let settings = settings::load()?;
    match role {
        Role::Control => Ok(streamusher_controlplane::process::run(&settings, None)?),
        Role::Gate => process::run(gate::run(settings)),
        Role::Agent => process::run(agent_process::run(settings)),
    }
}
