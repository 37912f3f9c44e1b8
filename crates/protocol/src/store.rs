//! Changes to the replicated state, an ordered map from keys to JSON texts. A batch of changes is applied
//! atomically.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One change to the replicated state: sets a key to a new value, or removes the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key, for example `job/5c0e7a21d94b36f8`.
    pub key: Arc<str>,
    /// The new value; `None` removes the key.
    pub value: Option<Arc<str>>,
}

impl Write {
    /// Creates a change that sets a key.
    pub fn set(key: impl Into<Arc<str>>, value: impl Into<Arc<str>>) -> Write {
        Write {
            key: key.into(),
            value: Some(value.into()),
        }
    }

    /// Creates a change that removes a key.
    pub fn remove(key: impl Into<Arc<str>>) -> Write {
        Write {
            key: key.into(),
            value: None,
        }
    }
}
