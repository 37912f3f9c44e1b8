//! Identity of a member: a name, which is stable, and an incarnation number, which is new after each restart.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Microseconds: a point in time of this process's monotonic clock, a duration, or Unix time where
/// documented.
pub type Micros = u64;

/// The longest member name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// One incarnation of a member: a process that restarts under the same name has lost all state and is a new
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The member's name, the same after a restart.
    pub name: Arc<str>,
    /// The Unix time of the start in microseconds, larger than the number of any earlier incarnation of the
    /// name.
    pub number: u64,
}

impl Incarnation {
    /// Creates an incarnation from a name and a number.
    pub fn new(name: &str, number: u64) -> Incarnation {
        Incarnation {
            name: Arc::from(name),
            number,
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.name, self.number)
    }
}

/// Whether a name is a valid member name: 1 to [`MAX_NAME_BYTES`] bytes of ASCII letters, digits, `-`, `_`
/// and `.`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}
