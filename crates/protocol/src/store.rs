//! Changes to the replicated state, an ordered map from keys to JSON texts. A batch of changes is applied as a whole or not
//! at all.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One change of the replicated state: a new value, or none to remove the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key, such as `job/5c0e7a21d94b36f8`.
    pub key: Arc<str>,
    /// The value; none removes the key.
    pub value: Option<Arc<str>>,
}

impl Write {
    /// Sets a key.
    pub fn set(key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Write {
        Write {
            key: key.into(),
            value: Some(value.into()),
        }
    }

    /// Removes a key.
    pub fn remove(key: impl Into<Arc<str>>) -> Write {
        Write {
            key: key.into(),
            value: None,
        }
    }
}
