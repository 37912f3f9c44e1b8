//! A member by name, and by life: a process that starts again keeps its name, begins from nothing, and is a new life.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Microseconds, as a point in time of this process's steady clock, or a span.
pub type Micros = u64;

/// The longest name, in bytes.
pub const LONGEST_NAME: usize = 64;

/// One life of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// The member's name, the same after a restart.
    pub name: Arc<str>,
    /// Its number, larger than that of any earlier life of the name: the Unix time of its start in microseconds.
    pub no: u64,
}

impl Life {
    /// One life.
    pub fn new(name: &str, no: u64) -> Life {
        Life {
            name: Arc::from(name),
            no,
        }
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.no)
    }
}

/// Whether a name can be a member's: 1 to 64 bytes of letters, digits, `-`, `_` and `.`.
pub fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !name.is_empty() && name.len() <= LONGEST_NAME && name.bytes().all(plain)
}
