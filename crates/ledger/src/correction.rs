//! Corrections: signed amounts with author and reason, under a MAC. A closed period is never touched by one.

use crate::entry::Micros;
use crate::period::Period;
use serde::{Deserialize, Serialize};

/// What a correction is about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A tenant's usage as a whole.
    #[serde(rename = "use")]
    Usage,
    /// An entry in doubt that was billed, as the client has its answer.
    Billed {
        /// The entry's epoch.
        epoch: u64,
        /// Its number.
        seq: u64,
    },
    /// An entry in doubt that was waived.
    Waived {
        /// The entry's epoch.
        epoch: u64,
        /// Its number.
        seq: u64,
    },
}

/// A correction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Correction {
    /// When it was made.
    pub time_us: Micros,
    /// The period that it is about, which may be closed.
    #[serde(rename = "of")]
    pub corrected_period: Period,
    /// What it is about.
    #[serde(rename = "about")]
    pub subject: Subject,
    /// Whose use.
    pub tenant: String,
    /// Of which class.
    pub class: String,
    /// Operations added, or taken away.
    pub operations: i64,
    /// Slot-microseconds added, or taken away.
    pub slot_us: i128,
    /// Who made it.
    pub author: String,
    /// Why.
    pub reason: String,
}

/// The longest author, reason, tenant or class, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 10;

/// Why a correction cannot be booked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorrectionError {
    /// A text is empty or blank.
    #[error("{0}: must not be empty")]
    Empty(&'static str),
    /// A text is too long for a table, or holds control characters.
    #[error("{0}: at most {MAX_TEXT_BYTES} bytes, without control characters")]
    Unprintable(&'static str),
}

impl Correction {
    /// Guards against texts that could not be shown in a table, or not be found again.
    ///
    /// # Errors
    ///
    /// The first text that is blank, too long or holds control characters.
    pub fn check(&self) -> Result<(), CorrectionError> {
        let fields = [
            ("tenant", &self.tenant),
            ("class", &self.class),
            ("author", &self.author),
            ("reason", &self.reason),
        ];
        for (name, text) in fields {
            if text.trim().is_empty() {
                return Err(CorrectionError::Empty(name));
            }
            if text.len() > MAX_TEXT_BYTES || text.chars().any(char::is_control) {
                return Err(CorrectionError::Unprintable(name));
            }
        }
        Ok(())
    }

    /// Its bytes, as they are stored and sealed.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data")
    }

    /// Its MAC under the ledger's key, for this instance and number.
    pub fn mac(bytes: &[u8], key: &[u8; 32], instance: &str, no: u64) -> [u8; 32] {
        let mut mac = blake3::Hasher::new_keyed(key);
        mac.update(b"streamusher correction 1");
        mac.update(&(instance.len() as u64).to_le_bytes());
        mac.update(instance.as_bytes());
        mac.update(&no.to_le_bytes());
        mac.update(bytes);
        *mac.finalize().as_bytes()
    }
}
