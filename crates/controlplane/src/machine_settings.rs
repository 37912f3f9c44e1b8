//! The process settings that a control machine requires: its addresses and its data folder.

use std::net::SocketAddr;
use std::path::PathBuf;
use streamusher_protocol::internal::{CoreAddress, CONTROL_PORT_OFFSET};
use streamusher_runtime::settings::ProcessSettings;

/// The addresses and the data folder of a control machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineSettings {
    /// Listen address of the internal interface.
    pub internal_address: SocketAddr,
    /// Listen address of the control interface.
    pub control_address: SocketAddr,
    /// The folder that contains the store.
    pub data_dir: PathBuf,
}

/// A key that a control machine requires is missing in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: key {key} is missing: {remedy}")]
pub struct MissingSetting {
    key: &'static str,
    remedy: &'static str,
}

const MISSING_CONTROL_ADDRESS: MissingSetting = MissingSetting {
    key: "listen.control",
    remedy: "give the address for operators as ip:port",
};
const MISSING_DATA_DIR: MissingSetting = MissingSetting {
    key: "data_dir",
    remedy: "name the folder on this machine's disk",
};

impl MachineSettings {
    /// Extracts the addresses and the data folder from the process settings.
    ///
    /// # Errors
    /// A required key is missing.
    pub fn from_process(settings: &ProcessSettings) -> Result<MachineSettings, MissingSetting> {
        Ok(MachineSettings {
            internal_address: settings.internal_address(CONTROL_PORT_OFFSET),
            control_address: settings.listen.control.ok_or(MISSING_CONTROL_ADDRESS)?,
            data_dir: settings.data_dir.clone().ok_or(MISSING_DATA_DIR)?,
        })
    }

    /// The addresses at which other processes reach this machine.
    pub fn core_address(&self) -> CoreAddress {
        CoreAddress {
            internal: self.internal_address.to_string().into(),
            control: self.control_address.to_string().into(),
        }
    }
}
