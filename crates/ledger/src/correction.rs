//! Corrections: signed amounts with an author and a reason, authenticated by a MAC. A correction never
//! changes a closed period.

use crate::entry::Micros;
use crate::period::Period;
use serde::{Deserialize, Serialize};

/// What a correction applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// The tenant's usage in general, not a particular entry.
    #[serde(rename = "use")]
    Usage,
    /// An entry in doubt that is billed because the client has its answer.
    Billed {
        /// Epoch of the entry.
        epoch: u64,
        /// Sequence number of the entry in its epoch.
        seq: u64,
    },
    /// An entry in doubt that is not billed.
    Waived {
        /// Epoch of the entry.
        epoch: u64,
        /// Sequence number of the entry in its epoch.
        seq: u64,
    },
}

/// A signed change to the usage of one tenant in one class.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Correction {
    /// When the correction was made, in Unix time.
    pub time_us: Micros,
    /// The period whose usage is corrected, which may be closed. The correction itself is booked in an open
    /// period.
    #[serde(rename = "of")]
    pub corrected_period: Period,
    /// What the correction applies to.
    #[serde(rename = "about")]
    pub subject: Subject,
    /// Tenant whose usage is corrected.
    pub tenant: String,
    /// Service class whose usage is corrected.
    pub class: String,
    /// Number of operations added, or removed if negative.
    pub operations: i64,
    /// Slot-microseconds added, or removed if negative.
    pub slot_us: i128,
    /// Person or program that made the correction.
    pub author: String,
    /// Reason given by the author.
    pub reason: String,
}

/// Maximum length of author, reason, tenant and class, in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 10;

/// Reason for which a correction is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorrectionError {
    /// The named field is empty or blank.
    #[error("{0}: must not be empty")]
    Empty(&'static str),
    /// The named field is too long for a table, or contains control characters.
    #[error("{0}: at most {MAX_TEXT_BYTES} bytes, without control characters")]
    Unprintable(&'static str),
}

impl Correction {
    /// Rejects fields that could not be displayed in a table or found again.
    ///
    /// # Errors
    ///
    /// [`CorrectionError`] for the first field that is blank, too long or contains control characters.
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

    /// Encodes the correction in the form that is stored and sealed.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a plain struct can always be encoded")
    }

    /// Computes the MAC of an encoded correction under the ledger's key, bound to the instance and the
    /// correction's number.
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
